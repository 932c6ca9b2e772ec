// Tests of requests of client accounts over sockets: identification, withdrawal of keys, and what upstreams get to see.

#include <memory>
#include <string>

#include <boost/asio/post.hpp>
#include <boost/test/unit_test.hpp>

#include "entry_fixture.hpp"
#include "trefoilstile/proxy/exchange.hpp"

namespace trefoilstile::proxy
{

using namespace testing;

namespace
{

/// An entry whose configuration holds one account with the key `k1`, a private route `/reads/` and a public route `/holds/`.
struct AccountFixture {
    AccountFixture()
        : entry([this](const std::string &received) {
            lastRequest = received;
            return ScriptedReply{signedResponse(idOf(received), "hello")};
        })
    {
        apply({"k1"});
    }

    /// Puts a configuration in effect in which the account holds these keys.
    void apply(const std::vector<std::string> &keys)
    {
        ingress::Configuration configuration = entry.core.configuration;
        ++configuration.version;
        configuration.routes[0].access = ingress::RouteAccess::Account;
        configuration.routes[1].access = ingress::RouteAccess::Public;
        ingress::Account account;
        account.name = "club";
        for (const std::string &key : keys) {
            account.keys.push_back(ingress::digestOfKey(key));
        }
        configuration.accounts = {account};
        entry.core.applyConfiguration(std::move(configuration), http::now());
    }

    static std::string withField(std::string text, const std::string &field)
    {
        return text.insert(text.find("\r\n\r\n") + 2, field + "\r\n");
    }

    std::string send(const std::string &path, const std::string &authorization)
    {
        return entry.send(withField(request(path, "r1"), "Authorization: " + authorization), "\r\n\r\n");
    }

    /// Runs an exchange and calls `interfere` after its first attempt was launched and before that attempt has started.
    std::optional<CallerResponse> runWith(std::function<void(Exchange &)> interfere)
    {
        http::Request arrived;
        arrived.method = "GET";
        arrived.target = "/reads/1";
        arrived.headers = {{"Host", "a.example"}, {"Trefoilstile-Request-Id", "r2"}, {"Authorization", "Bearer k1"}};
        const auto exchange = std::make_shared<Exchange>(entry.core, std::move(arrived), http::now());
        std::optional<CallerResponse> response;
        entry.context.restart();
        boost::asio::co_spawn(
            entry.context,
            [&]() -> boost::asio::awaitable<void> {
                response = co_await exchange->run();
            },
            boost::asio::detached);
        boost::asio::post(entry.context, [&] {
            interfere(*exchange);
        });
        entry.context.run_for(200ms);
        return response;
    }

    std::string lastRequest;
    EntryFixture entry;
};

} // namespace

BOOST_AUTO_TEST_SUITE(AccountRequests)

// Guards against a key or an account name of the caller that reaches an upstream, and against a request without its account.
BOOST_AUTO_TEST_CASE(upstreamGetsTheAccountAndNotTheKey)
{
    AccountFixture fixture;
    const std::string sent =
        AccountFixture::withField(AccountFixture::withField(request("/reads/1", "r1"), "Authorization: Bearer k1"), "Trefoilstile-Account: other");
    BOOST_TEST(startsWith(fixture.entry.send(sent, "\r\n\r\n"), "HTTP/1.1 200"));
    BOOST_TEST(fixture.lastRequest.find("Trefoilstile-Account: club\r\n") != std::string::npos);
    BOOST_TEST(fixture.lastRequest.find("other") == std::string::npos);
    BOOST_TEST(fixture.lastRequest.find("k1") == std::string::npos);
}

// Guards against service without a valid key, and against 401 without the scheme that the caller has to use.
BOOST_AUTO_TEST_CASE(requestWithoutValidKeyIsRefused)
{
    AccountFixture fixture;
    for (const char *authorization : {"Bearer k2", "Bearer", "Bearer k1 k1", "Basic k1", "k1", "Bearer k1,k2", ""}) {
        const std::string response = fixture.send("/reads/1", authorization);
        BOOST_TEST(startsWith(response, "HTTP/1.1 401"), authorization);
        BOOST_TEST(response.find("WWW-Authenticate: Bearer\r\n") != std::string::npos);
    }
    BOOST_TEST(startsWith(fixture.entry.send(request("/reads/1", "r1"), "\r\n\r\n"), "HTTP/1.1 401"));
    BOOST_TEST(fixture.entry.requestsAtUpstreams() == 0);
    BOOST_TEST(startsWith(fixture.send("/reads/1", "bearer  k1 "), "HTTP/1.1 200"));
}

// Guards against a public route that asks for a key, or forwards one that a caller sends all the same.
BOOST_AUTO_TEST_CASE(publicRouteNeedsNoKeyAndForwardsNone)
{
    AccountFixture fixture;
    BOOST_TEST(startsWith(fixture.send("/holds/1", "Bearer k1"), "HTTP/1.1 200"));
    BOOST_TEST(fixture.lastRequest.find("k1") == std::string::npos);
    BOOST_TEST(fixture.lastRequest.find("Trefoilstile-Account") == std::string::npos);
}

// Guards against changed requests where the operator uses no accounts.
BOOST_AUTO_TEST_CASE(authorizationIsForwardedWithoutAccounts)
{
    std::string received;
    EntryFixture entry([&received](const std::string &text) {
        received = text;
        return ScriptedReply{signedResponse(idOf(text), "hello")};
    });
    entry.send(AccountFixture::withField(request("/reads/1", "r1"), "Authorization: Basic x"), "\r\n\r\n");
    BOOST_TEST(received.find("Authorization: Basic x\r\n") != std::string::npos);
}

// Guards against a key that is accepted on an open connection after its withdrawal.
BOOST_AUTO_TEST_CASE(withdrawnKeyIsRefusedOnOpenConnections)
{
    AccountFixture fixture;
    const std::string text = AccountFixture::withField(request("/reads/1", "r1"), "Authorization: Bearer k1");
    std::string first;
    std::string second;
    boost::asio::co_spawn(
        fixture.entry.context,
        [&]() -> boost::asio::awaitable<void> {
            tcp::socket socket(fixture.entry.context);
            co_await socket.async_connect(http::parseEndpoint(fixture.entry.listener->address()), boost::asio::use_awaitable);
            co_await boost::asio::async_write(socket, boost::asio::buffer(text), boost::asio::use_awaitable);
            first = co_await readUntil(socket, "hello");
            fixture.apply({"k2"});
            co_await boost::asio::async_write(socket, boost::asio::buffer(text), boost::asio::use_awaitable);
            second = co_await readUntil(socket, "\r\n\r\n");
            fixture.entry.context.stop();
        },
        boost::asio::detached);
    fixture.entry.context.run_for(5s);
    BOOST_TEST(startsWith(first, "HTTP/1.1 200"));
    BOOST_TEST(startsWith(second, "HTTP/1.1 401"));
    BOOST_TEST(fixture.entry.requestsAtUpstreams() == 1);
}

// Guards against a request that is written after the withdrawal of its key, because the key was checked only when it arrived.
BOOST_AUTO_TEST_CASE(keyIsCheckedBeforeTheRequestIsWritten)
{
    AccountFixture fixture;
    BOOST_TEST(startsWith(fixture.send("/reads/1", "Bearer k1"), "HTTP/1.1 200")); // leaves an idle connection to the upstream
    const auto response = fixture.runWith([&fixture](Exchange &) {
        fixture.apply({"k2"});
    });
    BOOST_REQUIRE(response);
    BOOST_TEST(response->status == 401U);
    BOOST_TEST(fixture.entry.requestsAtUpstreams() == 1);
}

// Guards against a request that is sent for a caller that left before the attempt started: an attempt without a connection cannot be
// ended by closing it.
BOOST_AUTO_TEST_CASE(requestOfACallerThatLeftIsNotWritten)
{
    AccountFixture fixture;
    BOOST_TEST(startsWith(fixture.send("/reads/1", "Bearer k1"), "HTTP/1.1 200"));
    const auto response = fixture.runWith([](Exchange &exchange) {
        exchange.cancel();
    });
    BOOST_TEST(!response.has_value());
    BOOST_TEST(fixture.entry.requestsAtUpstreams() == 1);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace trefoilstile::proxy
