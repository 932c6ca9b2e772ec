// Tests of activities that fail with an exception.

#include "trefoilstile/proxy/activity.hpp"

#include <stdexcept>

#include <boost/test/unit_test.hpp>

namespace trefoilstile::proxy
{

namespace
{

using namespace std::chrono_literals;

Settings minimalSettings()
{
    Settings settings;
    settings.name = "test";
    settings.region = "one";
    settings.failureDomain = "east";
    return settings;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Activities)

// Guards against an activity that ends for good, without a log line, because of an exception that does not derive from the root of our
// errors, and against a restart without a pause.
BOOST_AUTO_TEST_CASE(failedActivityStartsAgain)
{
    boost::asio::io_context context;
    EntryCore core(context, minimalSettings(), HeaderNames(), 1);
    int runs = 0;
    RestartOptions options;
    options.initialPause = 10ms;
    options.maximumPause = 20ms;
    spawnSupervised(
        core,
        "test",
        [&runs]() -> boost::asio::awaitable<void> {
            if (++runs < 4) {
                throw std::logic_error("not one of ours");
            }
            co_return;
        },
        options);
    const base::TimePoint start = http::now();
    context.run();
    BOOST_TEST(runs == 4);
    BOOST_TEST((http::now() - start >= 50ms)); // 10 + 20 + 20 ms
    BOOST_TEST(core.metrics.prometheusText().find("trefoilstile_activity_failures_total{activity=\"test\"} 3") != std::string::npos);
}

// Guards against a request whose coroutine fails and whose caller waits for ever.
BOOST_AUTO_TEST_CASE(failureOfASingleActivityIsReported)
{
    boost::asio::io_context context;
    EntryCore core(context, minimalSettings(), HeaderNames(), 1);
    bool reported = false;
    spawnOnce(
        core,
        "test",
        []() -> boost::asio::awaitable<void> {
            throw 17; // not even an exception class
            co_return;
        },
        [&reported] {
            reported = true;
        });
    context.run();
    BOOST_TEST(reported);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace trefoilstile::proxy
