// Tests of the HTTP client: no write is sent twice, responses belong to their requests, and waits are limited.

#include "trefoilstile/tablestore/http_connection.hpp"

#include <boost/test/unit_test.hpp>

#include "scripted_server.hpp"

using namespace trefoilstile::tablestore;
using testing::response;
using testing::ScriptedServer;
using testing::Step;
using namespace std::chrono_literals;

namespace
{

const HttpRequest s_read{"GET", "/r", {}, {}, true};
const HttpRequest s_write{"PUT", "/w", {{"If-Version", "3"}}, "body", false};

/// Time limits that a slow machine does not reach.
const HttpOptions s_longTimeouts{.connectTimeout = 1h, .readTimeout = 1h, .totalTimeout = 1h, .maximumIdle = 1h};

Endpoint endpoint(std::uint16_t port)
{
    return {"127.0.0.1", port};
}

/// Port on which nothing listens.
std::uint16_t closedPort()
{
    return ScriptedServer({}).port();
}

} // namespace

BOOST_AUTO_TEST_SUITE(HttpConnections)

// A new connection per request would cost a round trip each, and a wrongly formed request would be rejected.
BOOST_AUTO_TEST_CASE(keepsTheConnection)
{
    const ScriptedServer server({{response(200, "one")}, {response(404, "")}});
    HttpConnection connection(endpoint(server.port()), s_longTimeouts);
    BOOST_TEST(connection.exchange(s_write).body == "one");
    BOOST_TEST(connection.exchange(s_read).status == 404U);
    BOOST_TEST(server.connections() == 1);
    BOOST_TEST(server.requests()[0].starts_with("PUT /w HTTP/1.1\r\n"));
    BOOST_TEST(server.requests()[0].find("If-Version: 3\r\n") != std::string::npos);
    BOOST_TEST(server.requests()[0].ends_with("\r\n\r\nbody"));
}

// A write that may have taken effect must not be sent again, and the error must show that it may have been received.
BOOST_AUTO_TEST_CASE(doesNotRepeatWrites)
{
    const ScriptedServer server({{"", Step::End::Close}, {response(200, "")}});
    HttpConnection connection(endpoint(server.port()), s_longTimeouts);
    BOOST_CHECK_EXCEPTION(connection.exchange(s_write), HttpError, [](const HttpError &error) {
        return !error.nothingSent() && !error.timedOut();
    });
    BOOST_TEST(server.requests().size() == 1U);
}

// A read fails only if the connection breaks twice; unlimited repetition would add load to a failing server.
BOOST_AUTO_TEST_CASE(repeatsReadsOnce)
{
    const ScriptedServer server({{"", Step::End::Close}, {response(200, "again")}, {"", Step::End::Close}, {"", Step::End::Close}, {response(200, "")}});
    HttpConnection connection(endpoint(server.port()), s_longTimeouts);
    BOOST_TEST(connection.exchange(s_read).body == "again");
    BOOST_CHECK_THROW(connection.exchange(s_read), HttpError);
    BOOST_TEST(server.requests().size() == 4U);
}

// If a refused connection were not reported as nothing sent, the outcome of the write would count as unknown.
BOOST_AUTO_TEST_CASE(refusedConnectionHasSentNothing)
{
    HttpConnection connection(endpoint(closedPort()));
    BOOST_CHECK_EXCEPTION(connection.exchange(s_write), HttpError, [](const HttpError &error) {
        return error.nothingSent();
    });
}

// A server that stops before or within a response must not block the thread: the limits of the options and of the call apply.
BOOST_AUTO_TEST_CASE(timesOut)
{
    const ScriptedServer server({{"", Step::End::Hang}, {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab", Step::End::Hang}, {"", Step::End::Hang}});
    HttpConnection byOptions(endpoint(server.port()), {.connectTimeout = 1h, .readTimeout = 20ms, .totalTimeout = 1h});
    const auto timedOut = [](const HttpError &error) {
        return error.timedOut() && !error.nothingSent();
    };
    BOOST_CHECK_EXCEPTION(byOptions.exchange(s_read), HttpError, timedOut);
    BOOST_CHECK_EXCEPTION(byOptions.exchange(s_read), HttpError, timedOut);
    HttpConnection byCall(endpoint(server.port()), s_longTimeouts);
    BOOST_CHECK_EXCEPTION(byCall.exchange(s_write, 200ms), HttpError, timedOut);
}

// A response body above the limit must be rejected, or a faulty server could exhaust the memory.
BOOST_AUTO_TEST_CASE(limitsTheResponseSize)
{
    const ScriptedServer server({{response(200, std::string(1000, 'x'))}, {response(200, std::string(1001, 'x')), Step::End::Hang}});
    HttpOptions options = s_longTimeouts;
    options.maximumResponseBody = 1000;
    HttpConnection connection(endpoint(server.port()), options);
    BOOST_TEST(connection.exchange(s_write).body.size() == 1000U);
    BOOST_CHECK_THROW(connection.exchange(s_write), HttpError);
}

// A truncated or malformed response must not be accepted as complete.
BOOST_AUTO_TEST_CASE(rejectsTruncatedAndMalformedResponses)
{
    const ScriptedServer server({{"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab", Step::End::Close}, {"nonsense\r\n\r\n", Step::End::Hang}});
    HttpConnection connection(endpoint(server.port()), s_longTimeouts);
    BOOST_CHECK_THROW(connection.exchange(s_write), HttpError);
    BOOST_CHECK_THROW(connection.exchange(s_write), HttpError);
}

// Surplus bytes after a response would be read as the response to the next request.
BOOST_AUTO_TEST_CASE(dropsConnectionsWithSurplusBytes)
{
    const ScriptedServer server({{response(200, "first") + response(200, "surplus"), Step::End::Hang}, {response(200, "second")}});
    HttpConnection connection(endpoint(server.port()), s_longTimeouts);
    BOOST_TEST(connection.exchange(s_write).body == "first");
    BOOST_TEST(connection.exchange(s_write).body == "second");
}

// A mistyped address must be rejected when it is parsed instead of failing on every connect.
BOOST_AUTO_TEST_CASE(parsesEndpoints)
{
    BOOST_TEST(parseEndpoint("127.0.0.1:80")->port == 80);
    BOOST_TEST(parseEndpoint("[::1]:80")->address == "::1");
    for (const char *text : {"", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:65536", "127.0.0.1:8x", "host:80", "::1:80", "[127.0.0.1]:80", ":80"}) {
        BOOST_TEST(!parseEndpoint(text).has_value(), text);
    }
}

BOOST_AUTO_TEST_SUITE_END()
