// Tests of the settings of the entry process.

#include "trefoilstile/proxy/settings.hpp"

#include <cstdlib>
#include <filesystem>
#include <fstream>

#include <boost/test/unit_test.hpp>
#include <unistd.h>

namespace trefoilstile::proxy
{

namespace
{

using namespace std::chrono_literals;

constexpr const char *s_variable = "TREFOILSTILE_TEST_SETTINGS";

std::vector<std::string> requiredArguments()
{
    return {"--name=a",
        "--region=one",
        "--failure-domain=east",
        "--caller-address=127.0.0.1:1",
        "--lookup-address=127.0.0.1:2",
        "--readiness-address=127.0.0.1:3",
        "--peer-address=127.0.0.1:4",
        "--metrics-address=127.0.0.1:5",
        "--store-address=127.0.0.1:6"};
}

std::string errorOf(std::vector<std::string> arguments)
{
    try {
        parseSettings(arguments, s_variable);
    } catch (const SettingsError &error) {
        return error.what();
    }
    return {};
}

/// A temporary settings file that the environment variable points to while the object exists.
struct SettingsFile {
    explicit SettingsFile(const std::string &text)
        : path((std::filesystem::temp_directory_path() / ("trefoilstile-settings-" + std::to_string(::getpid()))).string())
    {
        std::ofstream(path) << text;
        ::setenv(s_variable, path.c_str(), 1);
    }
    ~SettingsFile()
    {
        ::unsetenv(s_variable);
        std::filesystem::remove(path);
    }
    SettingsFile(const SettingsFile &) = delete;
    SettingsFile &operator=(const SettingsFile &) = delete;

    std::string path;
};

} // namespace

BOOST_AUTO_TEST_SUITE(EntrySettings)

// Guards against durations that are read in a wrong unit because a missing, unknown or malformed unit is accepted.
BOOST_AUTO_TEST_CASE(durationRequiresAUnit)
{
    BOOST_TEST((parseDuration("1500ms") == 1500ms));
    BOOST_TEST((parseDuration("2.5s") == 2500ms));
    for (const char *wrong : {"", "5", "s", "1.2.3s", "-1s", "5 s", "5m", "1e99s"}) {
        BOOST_CHECK_THROW(parseDuration(wrong), SettingsError);
    }
}

// Guards against a start with an invalid or missing value, and against an error message that does not name the flag.
BOOST_AUTO_TEST_CASE(errorNamesTheInvalidFlag)
{
    auto arguments = requiredArguments();
    BOOST_TEST(errorOf(arguments).empty());
    arguments.back() = "--store-address=nowhere";
    const std::string error = errorOf(arguments);
    BOOST_TEST(error.find("--store-address") != std::string::npos);
    BOOST_TEST(error.find("'nowhere' is not allowed") != std::string::npos);
    arguments.pop_back();
    BOOST_TEST(errorOf(arguments).find("--store-address") != std::string::npos);
    arguments = requiredArguments();
    arguments.push_back("--retry-ratio=3");
    BOOST_TEST(errorOf(arguments).find("--retry-ratio") != std::string::npos);
}

// Guards against quotas that are enforced where the platform states no window, and against a window too short to exchange news in.
BOOST_AUTO_TEST_CASE(quotasAreOffByDefault)
{
    auto arguments = requiredArguments();
    BOOST_TEST((parseSettings(arguments, s_variable).quotaWindow == 0s));
    arguments.insert(arguments.end(), {"--quota-window=5000ms", "--quota-overshoot=0.1", "--quota-slack=20"});
    const Settings settings = parseSettings(arguments, s_variable);
    BOOST_TEST((settings.quotaWindow == 5s));
    BOOST_TEST(settings.quotaOvershoot == 0.1);
    BOOST_TEST(settings.quotaSlack == 20.0);
    arguments.push_back("--quota-window=50ms");
    BOOST_TEST(errorOf(arguments).find("--quota-window") != std::string::npos);
}

// Guards against values of the settings file that are ignored, and against a flag that does not override the file.
BOOST_AUTO_TEST_CASE(settingsFileIsReadAndFlagsOverrideIt)
{
    const SettingsFile file(R"(name = "front-1"
region = "one"
failure-domain = "east"
domain-region = ["east=one","north=two"]
caller-address = "127.0.0.1:1"
lookup-address = "127.0.0.1:2"
readiness-address = "127.0.0.1:3"
peer-address = "127.0.0.1:4"
metrics-address = "127.0.0.1:5"
store-address = "127.0.0.1:6"
memory-megabytes = 260
stop-grace = "6s"
retry-slack = 64
)");
    const Settings settings = parseSettings({}, s_variable);
    BOOST_TEST(settings.name == "front-1");
    BOOST_TEST(settings.regions.at("north") == "two");
    BOOST_TEST((settings.stopGrace == 6s));
    BOOST_TEST(settings.retrySlack == 64.0);
    const std::vector<std::string> flag{"--name=other"};
    BOOST_TEST(parseSettings(flag, s_variable).name == "other");
}

// Guards against a variable that overrides the settings file or a flag, and against an empty one that is taken for a value.
BOOST_AUTO_TEST_CASE(variablesAreReadWhereFileAndFlagsSayNothing)
{
    ::setenv("TREFOILSTILE_QUOTA_SLACK", "30", 1);
    ::setenv("TREFOILSTILE_QUOTA_OVERSHOOT", "", 1);
    BOOST_TEST(parseSettings(requiredArguments(), s_variable).quotaSlack == 30.0);
    BOOST_TEST(parseSettings(requiredArguments(), s_variable).quotaOvershoot == Settings().quotaOvershoot);
    {
        const SettingsFile file("quota-slack = 40\n");
        BOOST_TEST(parseSettings(requiredArguments(), s_variable).quotaSlack == 40.0);
        auto arguments = requiredArguments();
        arguments.push_back("--quota-slack=50");
        BOOST_TEST(parseSettings(arguments, s_variable).quotaSlack == 50.0);
    }
    ::unsetenv("TREFOILSTILE_QUOTA_SLACK");
    ::unsetenv("TREFOILSTILE_QUOTA_OVERSHOOT");
}

// Guards against a start with defaults when the settings file that the environment variable names does not exist.
BOOST_AUTO_TEST_CASE(missingFileIsAnError)
{
    ::setenv(s_variable, "/nonexistent/settings", 1);
    BOOST_TEST(!errorOf(requiredArguments()).empty());
    ::unsetenv(s_variable);
}

// Guards against a mode of overload control that is read as another one, and against a default other than `auto`.
BOOST_AUTO_TEST_CASE(overloadControlIsOffOnOrAuto)
{
    std::vector<std::string> arguments = requiredArguments();
    BOOST_TEST((parseSettings(arguments, s_variable).overloadControl == ingress::OverloadMode::Auto));
    arguments.push_back("--overload-control=off");
    BOOST_TEST((parseSettings(arguments, s_variable).overloadControl == ingress::OverloadMode::Off));
    arguments.back() = "--overload-control=on";
    BOOST_TEST((parseSettings(arguments, s_variable).overloadControl == ingress::OverloadMode::On));
    arguments.back() = "--overload-control=always";
    BOOST_TEST(errorOf(arguments).find("overload-control") != std::string::npos);
}

// Guards against a limit for bodies where the settings ask for none, and against one that is read wrongly.
BOOST_AUTO_TEST_CASE(upstreamBodyBytesAreUnlimitedUnlessSet)
{
    std::vector<std::string> arguments = requiredArguments();
    BOOST_TEST(parseSettings(arguments, s_variable).upstreamBodyBytes == 0U);
    arguments.push_back("--upstream-body-bytes=40000000");
    BOOST_TEST(parseSettings(arguments, s_variable).upstreamBodyBytes == 40'000'000U);
    arguments.back() = "--upstream-body-bytes=-1";
    BOOST_TEST(errorOf(arguments).find("upstream-body-bytes") != std::string::npos);
}

// Guards against a mode of the measured capacity that is read as another one, and against a default other than `off`.
BOOST_AUTO_TEST_CASE(measuredCapacityIsOffOnOrAuto)
{
    std::vector<std::string> arguments = requiredArguments();
    BOOST_TEST((parseSettings(arguments, s_variable).measuredCapacity == ingress::CapacityMode::Off));
    arguments.push_back("--measured-capacity=auto");
    BOOST_TEST((parseSettings(arguments, s_variable).measuredCapacity == ingress::CapacityMode::Auto));
    arguments.back() = "--measured-capacity=on";
    BOOST_TEST((parseSettings(arguments, s_variable).measuredCapacity == ingress::CapacityMode::On));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace trefoilstile::proxy
