// Tests of second attempts where upstreams report the speed of their machines.

#include <boost/asio/steady_timer.hpp>
#include <boost/test/unit_test.hpp>

#include "entry_fixture.hpp"

namespace trefoilstile::proxy
{

using namespace testing;

namespace
{

/// Entry with two upstreams, of which the first to get a request takes 700 ms. Work usually takes 100 ms.
struct SlowFixture {
    SlowFixture()
        : entry(
            [this](const std::string &received) {
                return ScriptedReply{signedResponse(idOf(received), "hello"), false, ++count == 1 ? 700ms : 0ms};
            },
            2)
    {
        for (const auto &upstream : entry.core.upstreamTable.ofService("ledger")) {
            upstream->serviceSeconds = 0.1;
            entry.core.upstreamTable.applyReportedLoad(*upstream, {0, 0, 8, 100}, http::now());
        }
    }

    /// Sends a request. 50 ms later, the upstream that has it reports a speed to another instance.
    std::string send(std::uint32_t speedPercent)
    {
        return entry.send(request("/reads/1", "r1"), "hello", [this, speedPercent]() {
            boost::asio::co_spawn(entry.context, report(speedPercent), boost::asio::detached);
        });
    }

    EntryFixture entry;
    int count = 0;

private:
    boost::asio::awaitable<void> report(std::uint32_t speedPercent)
    {
        boost::asio::steady_timer timer(entry.context, 50ms);
        co_await timer.async_wait(boost::asio::use_awaitable);
        for (const auto &upstream : entry.core.upstreamTable.ofService("ledger")) {
            if (upstream->outstanding > 0) {
                entry.core.upstreamTable.applyLoadObservation({upstream->hash, 1, 8, 0ms, speedPercent}, http::now());
            }
        }
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(SecondAttempts)

// Guards against a request that waits for a machine that has become slow while another machine is free.
BOOST_AUTO_TEST_CASE(requestOnASlowMachineGetsASecondAttemptSooner)
{
    SlowFixture fixture;
    const base::TimePoint start = http::now();
    BOOST_TEST(startsWith(fixture.send(250), "HTTP/1.1 200"));
    BOOST_TEST((http::now() - start < 600ms)); // six times the usual time, after which a second attempt started before
    BOOST_TEST(fixture.entry.requestsAtUpstreams() == 2);
}

// Guards against a second attempt of a request that takes seven times the mean on every upstream.
BOOST_AUTO_TEST_CASE(longRequestIsNotRepeatedWhileItsMachineWorksAsUsual)
{
    SlowFixture fixture;
    BOOST_TEST(startsWith(fixture.send(100), "HTTP/1.1 200"));
    BOOST_TEST(fixture.entry.requestsAtUpstreams() == 1);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace trefoilstile::proxy
