// Guards against a mistyped command that does something else than what was meant.

#include "trefoilstile/ctl/arguments.hpp"

#include <cstdlib>

#include <boost/test/unit_test.hpp>

using namespace trefoilstile::ctl;
using namespace std::chrono_literals;

namespace
{

Arguments parsed(std::vector<std::string> arguments)
{
    const auto result = parseArguments(std::move(arguments));
    const auto *usage = std::get_if<UsageText>(&result);
    BOOST_REQUIRE_MESSAGE(usage == nullptr, (usage != nullptr ? usage->text : ""));
    return std::get<Arguments>(result);
}

/// Text of the usage error.
std::string refusal(std::vector<std::string> arguments)
{
    const auto result = parseArguments(std::move(arguments));
    const auto *usage = std::get_if<UsageText>(&result);
    return usage != nullptr && usage->status == ExitStatus::Usage ? usage->text : "accepted";
}

} // namespace

BOOST_AUTO_TEST_SUITE(ArgumentParsing)

BOOST_AUTO_TEST_CASE(commands)
{
    const Arguments apply =
        parsed({"apply", "f.yaml", "--env", "trial", "--platform", "127.0.0.1:1", "--operator", "127.0.0.1:2,127.0.0.1:3", "--wait-ms", "5"});
    BOOST_TEST((apply.command == Command::Apply));
    BOOST_TEST(apply.file == "f.yaml");
    BOOST_TEST(apply.operators.size() == 2U);
    BOOST_TEST((apply.wait == 5ms));
    const Arguments drain = parsed({"--platform", "127.0.0.1:1", "undrain", "failure-domain", "d1", "--env", "trial", "--output", "json"});
    BOOST_TEST((drain.command == Command::Undrain));
    BOOST_TEST((drain.drain == trefoilstile::engine::Drain{trefoilstile::engine::DrainKind::FailureDomain, "d1"}));
    BOOST_TEST((drain.output == OutputFormat::Json));
    const Arguments promote = parsed({"promote", "--from", "trial", "--to", "production", "--platform", "127.0.0.1:1"});
    BOOST_TEST(!promote.hash.has_value());
    BOOST_TEST(parsed({"explain", "--service", "s", "--client", "10.0.0.1", "--operator", "127.0.0.1:2"}).client == "10.0.0.1");
}

BOOST_AUTO_TEST_CASE(environmentVariables)
{
    setenv("TREFOILSTILE_PLATFORM", "127.0.0.1:9", 1);
    setenv("TREFOILSTILE_OPERATOR", "127.0.0.1:2,127.0.0.1:3", 1);
    setenv("TREFOILSTILE_ENV", "trial", 1);
    const Arguments arguments = parsed({"history"});
    BOOST_TEST(arguments.platform->port == 9);
    BOOST_TEST(arguments.operators.size() == 2U);
    BOOST_TEST(arguments.environment == "trial");
    for (const char *name : {"TREFOILSTILE_PLATFORM", "TREFOILSTILE_OPERATOR", "TREFOILSTILE_ENV"}) {
        unsetenv(name);
    }
}

BOOST_AUTO_TEST_CASE(usageErrors)
{
    const std::string platform = "--platform=127.0.0.1:1";
    BOOST_TEST(refusal({}) != "accepted");
    BOOST_TEST(refusal({"destroy"}) != "accepted");
    BOOST_TEST(refusal({"apply", "f", "--env", "trial"}).starts_with("--platform: "));
    BOOST_TEST(refusal({"apply", "f", platform}).starts_with("--env '': "));
    BOOST_TEST(refusal({"apply", "f", platform, "--env", "a/b"}).starts_with("--env 'a/b': "));
    BOOST_TEST(refusal({"apply", "f", platform, "--env", "production"}).starts_with("--env production: "));
    BOOST_TEST(refusal({"promote", "--from", "trial", "--to", "trial", platform}).starts_with("--to trial: "));
    BOOST_TEST(refusal({"drain", "rack", "r1", "--env", "trial", platform}).starts_with("kind rack: "));
    BOOST_TEST(refusal({"status"}).starts_with("--operator: "));
    BOOST_TEST(refusal({"status", "--operator", "127.0.0.1"}).starts_with("--operator 127.0.0.1: "));
    BOOST_TEST(refusal({"explain", "--service", "s", "--client", "x", "--operator", "127.0.0.1:1"}).starts_with("--client x: "));
    const std::vector<std::string> request{"explain-request", "--operator", "127.0.0.1:1", "--host", "h", "--path"};
    const auto with = [&request](std::vector<std::string> further) {
        further.insert(further.begin(), request.begin(), request.end());
        return refusal(further);
    };
    BOOST_TEST(with({"x"}).starts_with("--path x: "));
    BOOST_TEST(with({"/x", "--deadline-ms", "0"}) != "accepted");
    BOOST_TEST(with({"/x", "--account", "a", "--key-file", "f"}) != "accepted");
    BOOST_TEST(refusal({"explain-request", "--host", "h", "--path", "/x"}).starts_with("--operator: "));
    BOOST_TEST(refusal({"history", platform, "--env", "trial", "--wait-ms", "-1"}) != "accepted");
    BOOST_TEST(refusal({"history", platform, "--env", "trial", "--output", "xml"}) != "accepted");
    BOOST_TEST((std::get<UsageText>(parseArguments({"--help"})).status == ExitStatus::Done));
}

BOOST_AUTO_TEST_SUITE_END()
