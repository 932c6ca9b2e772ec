// Tests of the reuse of connections to upstreams.

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

/// A connected pair of sockets.
struct Pair {
    explicit Pair(boost::asio::io_context &context)
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

// Guards against a request that may run only once being sent on a connection that the upstream may have closed.
BOOST_AUTO_TEST_CASE(requestThatRunsOnceTakesARecentConnectionOnly)
{
    boost::asio::io_context context;
    Pair pair(context);
    UpstreamConnections connections;
    connections.keep("u", pair.connection, nullptr, s_start);
    BOOST_TEST(!connections.take("u", true, s_start + 1s));
    BOOST_TEST((connections.take("u", false, s_start + 1s) == pair.connection));
    connections.keep("u", pair.connection, nullptr, s_start + 1s);
    BOOST_TEST((connections.take("u", true, s_start + 1100ms) == pair.connection));
}

// Guards against a request that crosses the close of an idle connection by the upstream.
BOOST_AUTO_TEST_CASE(statedTimeoutIsUndercut)
{
    boost::asio::io_context context;
    Pair pair(context);
    UpstreamConnections connections;
    const std::string keepAlive = "timeout=2, max=100";
    connections.keep("u", pair.connection, &keepAlive, s_start);
    BOOST_TEST(!connections.take("u", false, s_start + 1s));
    BOOST_TEST(!pair.connection->socket.is_open());
}

// Guards against a late response being taken for the answer to the next request.
BOOST_AUTO_TEST_CASE(connectionWithUnexpectedInputIsNotReused)
{
    boost::asio::io_context context;
    Pair pair(context);
    UpstreamConnections connections;
    connections.keep("u", pair.connection, nullptr, s_start);
    boost::asio::write(pair.upstream, boost::asio::buffer("HTTP/1.1 200 OK\r\n", 17));
    BOOST_TEST(!connections.take("u", false, s_start));
}

BOOST_AUTO_TEST_CASE(keepAliveFieldIsRead)
{
    BOOST_TEST((keepAliveTimeout("timeout=5") == base::Duration(5s)));
    BOOST_TEST((keepAliveTimeout("max=3, Timeout=7") == base::Duration(7s)));
    BOOST_TEST(!keepAliveTimeout("max=3"));
    BOOST_TEST(!keepAliveTimeout("timeout=x"));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace trefoilstile::proxy
