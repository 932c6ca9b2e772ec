// Settings of the daemon that cannot be accepted.

#include <algorithm>

#include <boost/test/unit_test.hpp>

#include "program.hpp"

using namespace process_test;

namespace
{

struct BadValue {
    std::string flag;
    std::string value;
    std::string allowed; ///< part of what the message must say is allowed
};

std::vector<std::string> argumentsWith(const BadValue &bad)
{
    std::vector<std::string> arguments;
    const std::pair<std::string, std::string> good[] = {{"--name", "entry-0"},
        {"--region", "ernakulam"},
        {"--failure-domain", "dom-a"},
        {"--environment", "production"},
        {"--caller-address", "127.0.0.1:0"},
        {"--peer-address", "127.0.0.1:0"},
        {"--operator-address", "127.0.0.1:0"},
        {"--platform", "127.0.0.1:9"},
        {"--seeds", "127.0.0.1:9"},
        {"--mac-key", "key of the process tests"}};
    for (const auto &[flag, value] : good) {
        arguments.insert(arguments.end(), {flag, flag == bad.flag ? bad.value : value});
    }
    return arguments;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Settings)

// Guards against an instance that starts with a mistyped setting, and against a message that does not tell which.
BOOST_AUTO_TEST_CASE(badValuesEndTheDaemonWithOneLine)
{
    const TemporaryFolder folder;
    const BadValue cases[] = {{"--name", "Entry 0", "lower-case letters"},
        {"--region", "", "lower-case letters"},
        {"--failure-domain", "dom/a", "lower-case letters"},
        {"--environment", "Production", "lower-case letters"},
        {"--caller-address", "127.0.0.1:70000", "a port from 0 to 65535"},
        {"--peer-address", "localhost:7000", "an IP address"},
        {"--operator-address", "127.0.0.1", "a port from 0 to 65535"},
        {"--platform", "127.0.0.1:0", "a port from 1 to 65535"},
        {"--seeds", "127.0.0.1:0", "a port from 1 to 65535"}};
    for (const BadValue &bad : cases) {
        BOOST_TEST_CONTEXT(bad.flag << " '" << bad.value << "'")
        {
            Program daemon(folder, "daemon" + bad.flag, TREFOILSTILED_PATH, argumentsWith(bad));
            BOOST_TEST(daemon.wait().value_or(-1) == 2);
            const std::string log = daemon.log();
            BOOST_TEST(std::count(log.begin(), log.end(), '\n') == 1, log);
            BOOST_TEST(log.find(bad.flag) != std::string::npos, log);
            BOOST_TEST(log.find("'" + bad.value + "'") != std::string::npos, log);
            BOOST_TEST(log.find(bad.allowed) != std::string::npos, log);
            BOOST_TEST(daemon.output().empty());
        }
    }
}

// Guards against a MAC key in a log: the message names the flag and what is allowed, but not the value.
BOOST_AUTO_TEST_CASE(shortKeyIsRejectedWithoutShowingIt)
{
    const TemporaryFolder folder;
    Program daemon(folder, "daemon", TREFOILSTILED_PATH, argumentsWith({"--mac-key", "sesame", {}}));
    BOOST_TEST(daemon.wait().value_or(-1) == 2);
    const std::string log = daemon.log();
    BOOST_TEST(std::count(log.begin(), log.end(), '\n') == 1, log);
    BOOST_TEST(log.find("--mac-key") != std::string::npos, log);
    BOOST_TEST(log.find("at least 16") != std::string::npos, log);
    BOOST_TEST(log.find("sesame") == std::string::npos, log);
}

// Guards against a default for a setting that differs by machine.
BOOST_AUTO_TEST_CASE(missingFlagIsNamed)
{
    const TemporaryFolder folder;
    std::vector<std::string> arguments = argumentsWith({});
    arguments.erase(arguments.begin() + 2, arguments.begin() + 4); // --region
    Program daemon(folder, "daemon", TREFOILSTILED_PATH, arguments);
    BOOST_TEST(daemon.wait().value_or(-1) == 2);
    const std::string log = daemon.log();
    BOOST_TEST(std::count(log.begin(), log.end(), '\n') == 1, log);
    BOOST_TEST(log.find("--region") != std::string::npos, log);
}

BOOST_AUTO_TEST_SUITE_END()
