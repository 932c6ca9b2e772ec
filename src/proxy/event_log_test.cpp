// Tests of the structured log.

#include "trefoilstile/proxy/event_log.hpp"

#include <array>
#include <string>

#include <boost/test/unit_test.hpp>
#include <fcntl.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace trefoilstile::proxy
{

namespace
{

using namespace std::chrono_literals;

constexpr base::TimePoint s_start = base::TimePoint(100s);

/// A pipe whose reading end does not block.
struct Pipe {
    Pipe()
    {
        BOOST_REQUIRE(::pipe(ends.data()) == 0);
        ::fcntl(ends[0], F_SETFL, O_NONBLOCK);
    }
    ~Pipe()
    {
        ::close(ends[0]);
        ::close(ends[1]);
    }
    Pipe(const Pipe &) = delete;
    Pipe &operator=(const Pipe &) = delete;

    std::string read() const
    {
        std::string text;
        std::array<char, 4096> chunk{};
        ssize_t count = 0;
        while ((count = ::read(ends[0], chunk.data(), chunk.size())) > 0) {
            text.append(chunk.data(), static_cast<std::size_t>(count));
        }
        return text;
    }

    std::array<int, 2> ends{};
};

} // namespace

BOOST_AUTO_TEST_SUITE(EventLogSuite)

// Guards against lines that a reader of JSON cannot take, whatever a caller sends as an id.
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

// Guards against a log that grows with the load; what is left out is told.
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

// Guards against a process that stands still because nobody reads its log.
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
