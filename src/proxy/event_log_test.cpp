// Tests of the structured log.

#include "trefoilstile/proxy/event_log.hpp"

#include <string>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "test_pipe.hpp"

namespace trefoilstile::proxy
{

namespace
{

using namespace std::chrono_literals;

constexpr base::TimePoint s_start = base::TimePoint(100s);

} // namespace

BOOST_AUTO_TEST_SUITE(EventLogSuite)

// Guards against lines that are not valid JSON because a caller sends quotes, control characters or other bytes in an id.
BOOST_AUTO_TEST_CASE(linesAreJson)
{
    Pipe pipe;
    EventLog log({pipe.ends[1], 1U << 20U, 100, 100});
    LogLine line("request");
    line.text("id", "a\"b\\c\n\xff").number("count", -3).real("load", 0.5).flag("ok", true).milliseconds("age_ms", 1500ms);
    log.write(line, s_start);
    log.flush();
    const auto json = nlohmann::json::parse(pipe.read());
    BOOST_TEST(json["event"] == "request");
    BOOST_TEST(json["count"] == -3);
    BOOST_TEST(json["age_ms"] == 1500);
    BOOST_TEST(json["id"].get<std::string>().starts_with("a\"b\\c\n"));
}

// Guards against a log volume that grows with the load, and against dropped lines whose number is not logged.
BOOST_AUTO_TEST_CASE(linesAboveTheRateAreDroppedAndCounted)
{
    Pipe pipe;
    EventLog log({pipe.ends[1], 1U << 20U, 10, 5});
    for (int i = 0; i < 20; ++i) {
        log.write(LogLine("request"), s_start);
    }
    BOOST_TEST(log.dropped() == 15U);
    log.write(LogLine("stop"), s_start, true);
    log.flush();
    BOOST_TEST(pipe.read().find("\"event\":\"log_lines_dropped\",\"count\":15") != std::string::npos);
}

// Guards against a process that blocks in a write to the log because the reader has stopped reading.
BOOST_AUTO_TEST_CASE(slowReaderDoesNotBlock)
{
    Pipe pipe;
    EventLog log({pipe.ends[1], 256U * 1024U, 1e9, 1e9});
    const std::string filler(150, 'x');
    for (int i = 0; i < 10'000; ++i) {
        LogLine line("request");
        line.text("filler", filler);
        log.write(line, s_start);
        log.flush();
    }
    BOOST_TEST(log.dropped() > 0U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace trefoilstile::proxy
