// Tests of the pool of connections to upstreams.

#include "trefoilstile/proxy/upstream_connections.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

namespace trefoilstile::proxy
{

namespace
{

using namespace std::chrono_literals;
using boost::asio::ip::tcp;

constexpr base::TimePoint s_start = base::TimePoint(100s);

/// The two ends of one connection over loopback.
struct ConnectedPair {
    explicit ConnectedPair(boost::asio::io_context &context)
        : upstream(context)
    {
        tcp::acceptor acceptor(context, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
        tcp::socket socket(context);
        socket.connect(acceptor.local_endpoint());
        acceptor.accept(upstream);
        connection = std::make_shared<http::Connection>(context, std::move(socket));
    }

    tcp::socket upstream;
    std::shared_ptr<http::Connection> connection;
};

} // namespace

BOOST_AUTO_TEST_SUITE(UpstreamConnectionsSuite)

// Guards against a request that is not idempotent being sent on a connection that the upstream may have closed because it was
// idle: after the failure it would be unknown whether the request ran.
BOOST_AUTO_TEST_CASE(recentOnlyTakesRecentlyUsedConnections)
{
    boost::asio::io_context context;
    ConnectedPair pair(context);
    UpstreamConnections connections;
    connections.keep("u", pair.connection, nullptr, s_start);
    BOOST_TEST(!connections.take("u", true, s_start + 1s));
    BOOST_TEST((connections.take("u", false, s_start + 1s) == pair.connection));
    connections.keep("u", pair.connection, nullptr, s_start + 1s);
    BOOST_TEST((connections.take("u", true, s_start + 1100ms) == pair.connection));
}

// Guards against a request that is sent while the upstream closes the idle connection at the timeout that it stated.
BOOST_AUTO_TEST_CASE(connectionIsNotUsedCloseToTheStatedTimeout)
{
    boost::asio::io_context context;
    ConnectedPair pair(context);
    UpstreamConnections connections;
    const std::string keepAlive = "timeout=2, max=100";
    connections.keep("u", pair.connection, &keepAlive, s_start);
    BOOST_TEST(!connections.take("u", false, s_start + 1s));
    BOOST_TEST(!pair.connection->socket.is_open());
}

// Guards against a late response to an earlier request being read as the response to the next request.
BOOST_AUTO_TEST_CASE(connectionWithUnexpectedInputIsNotReused)
{
    boost::asio::io_context context;
    ConnectedPair pair(context);
    UpstreamConnections connections;
    connections.keep("u", pair.connection, nullptr, s_start);
    boost::asio::write(pair.upstream, boost::asio::buffer("HTTP/1.1 200 OK\r\n", 17));
    BOOST_TEST(!connections.take("u", false, s_start));
}

// Guards against a connection that is used past the upstream's timeout because the timeout is not found in the field, and
// against a malformed timeout that is accepted.
BOOST_AUTO_TEST_CASE(keepAliveTimeoutIsParsed)
{
    BOOST_TEST((keepAliveTimeout("timeout=5") == base::Duration(5s)));
    BOOST_TEST((keepAliveTimeout("max=3, Timeout=7") == base::Duration(7s)));
    BOOST_TEST(!keepAliveTimeout("max=3"));
    BOOST_TEST(!keepAliveTimeout("timeout=x"));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace trefoilstile::proxy
