// Tests of requests to upstreams that reset new connections.

#include <boost/asio/steady_timer.hpp>
#include <boost/test/unit_test.hpp>

#include "entry_fixture.hpp"

namespace trefoilstile::proxy
{

using namespace testing;

namespace
{

/// Accepts connections and resets each after 5 ms, whatever was sent on it.
class ResettingUpstream
{
public:
    explicit ResettingUpstream(boost::asio::io_context &context)
        : m_acceptor(context, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0))
    {
        boost::asio::co_spawn(
            context,
            [this]() {
                return accept();
            },
            boost::asio::detached);
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
    }

    int connections = 0;
    std::size_t bytes = 0; ///< received on all connections

private:
    boost::asio::awaitable<void> accept()
    {
        while (true) {
            tcp::socket socket = co_await m_acceptor.async_accept(boost::asio::use_awaitable);
            ++connections;
            boost::asio::steady_timer timer(m_acceptor.get_executor(), 5ms);
            co_await timer.async_wait(boost::asio::use_awaitable);
            bytes += socket.available();
            socket.set_option(boost::asio::socket_base::linger(true, 0));
            socket.close();
        }
    }

    tcp::acceptor m_acceptor;
};

/// Entry with one upstream that responds and one that resets connections and reports a long queue.
struct ResetFixture {
    ResetFixture()
        : entry([](const std::string &received) {
            return ScriptedReply{signedResponse(idOf(received), "hello")};
        })
        , resetting(entry.context)
    {
        ingress::UpstreamReport report = entry.core.upstreamTable.ofService("ledger").front()->report;
        report.id = "resetting";
        report.address = resetting.address();
        entry.core.upstreamTable.report(report, http::now());
        entry.core.upstreamTable.applyReportedLoad(*upstream("resetting"), {8, 4, 8}, http::now());
    }

    ingress::UpstreamTable::Pointer upstream(const std::string &id)
    {
        for (const auto &upstream : entry.core.upstreamTable.ofService("ledger")) {
            if (upstream->report.id == id) {
                return upstream;
            }
        }
        return nullptr;
    }

    /// Sends a request while the upstream that responds is not to be chosen first.
    std::string sendToResetting(const std::string &id, const std::string &method)
    {
        upstream("u0")->avoidUntil = http::now() + 1h;
        upstream("u0")->lastTrial = http::now();
        upstream("resetting")->avoidUntil = {};
        const std::string path = method == "POST" ? "/holds/1" : "/reads/1";
        return entry.send(request(path, id, method), "\r\n\r\n");
    }

    EntryFixture entry;
    ResettingUpstream resetting;
};

} // namespace

BOOST_AUTO_TEST_SUITE(ConnectionResets)

// Guards against a second run of a request that was written to a connection which the upstream then reset: the reset proves nothing
// about it. And against a later request that meets the same fate: where a reset is to be expected, it is awaited before the request is
// written, so that another upstream can serve it.
BOOST_AUTO_TEST_CASE(resetIsAwaitedBeforeTheNextRequestIsWritten)
{
    ResetFixture fixture;
    BOOST_TEST(startsWith(fixture.sendToResetting("r1", "POST"), "HTTP/1.1 502"));
    BOOST_TEST(fixture.resetting.connections == 1);
    BOOST_TEST(fixture.resetting.bytes > 0U);
    BOOST_TEST(fixture.entry.requestsAtUpstreams() == 0);

    const std::size_t bytes = fixture.resetting.bytes;
    const base::TimePoint start = http::now();
    BOOST_TEST(startsWith(fixture.sendToResetting("r2", "POST"), "HTTP/1.1 200"));
    BOOST_TEST((http::now() - start < 200ms)); // far below the latency objective
    BOOST_TEST(fixture.resetting.connections == 2);
    BOOST_TEST(fixture.resetting.bytes == bytes);
    BOOST_TEST(fixture.entry.requestsAtUpstreams() == 1);
}

// Guards against new connections to an upstream that has just reset one while another upstream has room.
BOOST_AUTO_TEST_CASE(requestsGoElsewhereAfterAReset)
{
    ResetFixture fixture;
    fixture.sendToResetting("r0", "GET");
    BOOST_TEST(fixture.resetting.connections == 1);
    fixture.upstream("u0")->avoidUntil = {};
    fixture.upstream("resetting")->avoidUntil = {};
    for (int i = 1; i <= 10; ++i) {
        BOOST_TEST(startsWith(fixture.entry.send(request("/reads/1", "r" + std::to_string(i)), "hello"), "HTTP/1.1 200"));
    }
    BOOST_TEST(fixture.resetting.connections == 1);
}

// Guards against the delay of requests to upstreams that reset no connections, and against connections that grow in number while the
// queue of their upstream is long, because those that were idle for too long are kept beside new ones.
BOOST_AUTO_TEST_CASE(staleConnectionIsReplacedWhileTheQueueIsLong)
{
    EntryFixture entry([](const std::string &received) {
        return ScriptedReply{signedResponse(idOf(received), "hello")};
    });
    const auto upstream = entry.core.upstreamTable.ofService("ledger").front();
    upstream->connectionRestraint->learned(2.9, http::now()); // another upstream of the service has reset connections
    for (int i = 0; i < 3; ++i) {
        entry.core.upstreamTable.applyReportedLoad(*upstream, {8, 4, 8}, http::now());
        BOOST_TEST(startsWith(entry.send(request("/holds/1", "r" + std::to_string(i), "POST"), "hello"), "HTTP/1.1 200"));
        entry.context.restart();
        entry.context.run_for(350ms); // longer than a request that may run once uses a kept connection
        BOOST_TEST(upstream->openConnections == 1U);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace trefoilstile::proxy
