// Tests of requests for changes of tables between two instances on loopback.

#include "trefoilstile/daemon/feed_client.hpp"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "trefoilstile/daemon/peer_network.hpp"

namespace trefoilstile::daemon
{

namespace
{

using namespace std::chrono_literals;

/// Two instances; the second one keeps the requests that it receives.
struct Pair {
    static PeerNetworkHandlers handlers(std::vector<std::pair<peer::FeedRequest, std::function<void(peer::FeedResponse)>>> &received)
    {
        PeerNetworkHandlers result;
        result.message = [](base::IncarnationId, const membership::Message &) {};
        result.feedRequested = [&received](peer::FeedRequest request, std::function<void(peer::FeedResponse)> reply) {
            received.emplace_back(std::move(request), std::move(reply));
        };
        return result;
    }

    Pair()
    {
        client->start();
        server.start();
    }

    /// Sends a request; its result is appended to `versions`, 0 for none.
    void request(std::uint64_t after, base::Duration timeout)
    {
        peer::FeedRequest asked;
        asked.table = "servers";
        asked.after.version = after;
        client->requestFeed(server.address(), std::move(asked), timeout, [this](std::optional<peer::FeedResponse> response) {
            versions.push_back(response ? response->position.version : 0);
        });
    }

    void run(base::Duration span)
    {
        context.restart();
        context.run_for(span);
    }

    boost::asio::io_context context;
    std::vector<std::pair<peer::FeedRequest, std::function<void(peer::FeedResponse)>>> ignored;
    std::vector<std::pair<peer::FeedRequest, std::function<void(peer::FeedResponse)>>> received;
    std::vector<std::uint64_t> versions;
    std::optional<PeerNetwork> client{std::in_place,
        context,
        "127.0.0.1:0",
        peer::CodecSettings{"a key of the test environment", "test", "client", base::IncarnationId{1}},
        handlers(ignored)};
    PeerNetwork server{context, "127.0.0.1:0", {"a key of the test environment", "test", "server", base::IncarnationId{2}}, handlers(received)};
};

peer::FeedResponse answer(std::uint64_t version)
{
    peer::FeedResponse response;
    response.table = "servers";
    response.status = peer::FeedStatus::Changes;
    response.position.version = version;
    return response;
}

} // namespace

BOOST_AUTO_TEST_SUITE(FeedClientSuite)

// Guards against a request that never ends, because a second one for the same table of the same instance has replaced its handler.
BOOST_AUTO_TEST_CASE(requestsForTheSameTableEndEach)
{
    Pair pair;
    pair.request(1, 2s);
    pair.run(50ms);
    pair.request(2, 2s);
    pair.run(100ms);
    BOOST_REQUIRE_EQUAL(pair.received.size(), 2U);
    for (auto &[request, reply] : pair.received) {
        reply(answer(request.after.version + 10));
    }
    pair.run(100ms);
    BOOST_TEST((pair.versions == std::vector<std::uint64_t>{11, 12}));
    // The channels are used again.
    pair.request(3, 100ms);
    pair.run(50ms);
    BOOST_REQUIRE_EQUAL(pair.received.size(), 3U);
    pair.run(200ms);
    BOOST_TEST(pair.versions.size() == 3U);
}

// Guards against connections that keep themselves alive after the client has been destroyed, and against a request whose handler is not
// called then. `sent` is false for a request whose connection has not been opened.
BOOST_DATA_TEST_CASE(destructionEndsPendingRequests, boost::unit_test::data::make({true, false}), sent)
{
    Pair pair;
    pair.request(1, 2s);
    if (sent) {
        pair.run(50ms);
    }
    pair.client.reset();
    BOOST_REQUIRE((pair.versions == std::vector<std::uint64_t>{0}));
    BOOST_REQUIRE_EQUAL(pair.received.size(), sent ? 1U : 0U);
    for (auto &[request, reply] : pair.received) {
        reply(answer(11));
    }
    pair.run(100ms);
    BOOST_TEST(pair.versions.size() == 1U);
    BOOST_TEST(pair.received.size() == (sent ? 1U : 0U));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace trefoilstile::daemon
