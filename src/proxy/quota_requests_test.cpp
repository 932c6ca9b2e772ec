// Tests of requests of accounts with a quota over sockets: refusals, attempts that count, and credits that are returned.

#include <string>

#include <boost/test/unit_test.hpp>

#include "entry_fixture.hpp"

namespace trefoilstile::proxy
{

using namespace testing;

namespace
{

constexpr int s_granted = 5; ///< requests per window

/// An entry in which `/reads/` needs the key `k1` of an account with a quota of `s_granted` requests per window.
struct QuotaFixture {
    explicit QuotaFixture(ScriptedUpstream::Script script, int upstreams = 1, base::Duration window = 5s)
        : entry(std::move(script), upstreams)
    {
        Settings settings = testSettings();
        settings.quotaWindow = window;
        entry.core.quota = quota::QuotaGate(quotaOptions(settings), 1);
        ingress::Configuration configuration = entry.core.configuration;
        ++configuration.version;
        configuration.routes[0].access = ingress::RouteAccess::Account;
        configuration.routes[1].access = ingress::RouteAccess::Public;
        ingress::Account account;
        account.name = "club";
        account.keys = {ingress::digestOfKey("k1")};
        account.requestsPerSecond = 1;
        configuration.accounts = {account};
        entry.core.applyConfiguration(std::move(configuration), http::now());
    }

    std::string send(const std::string &path = "/reads/1")
    {
        std::string text = request(path, "r" + std::to_string(++sent));
        return entry.send(text.insert(text.find("\r\n\r\n") + 2, "Authorization: Bearer k1\r\n"), "\r\n\r\n");
    }

    int sent = 0;
    EntryFixture entry;
};

ScriptedReply hello(const std::string &received)
{
    return {signedResponse(idOf(received), "hello")};
}

} // namespace

BOOST_AUTO_TEST_SUITE(QuotaRequests)

// Guards against requests over quota that run, and against a refusal that does not say when to come back.
BOOST_AUTO_TEST_CASE(requestOverQuotaIsRefusedAndDoesNotRun)
{
    QuotaFixture fixture(hello);
    for (int number = 0; number < s_granted; ++number) {
        BOOST_TEST(startsWith(fixture.send(), "HTTP/1.1 200"));
    }
    const std::string refusal = fixture.send();
    BOOST_TEST(startsWith(refusal, "HTTP/1.1 429 Too Many Requests\r\n"), refusal);
    BOOST_TEST(refusal.find("Retry-After: ") != std::string::npos);
    BOOST_TEST(fixture.entry.requestsAtUpstreams() == s_granted);
    BOOST_TEST(startsWith(fixture.send("/holds/1"), "HTTP/1.1 200"), "public routes have no quota");
}

// Guards against quotas that are enforced although the settings do not ask for them.
BOOST_AUTO_TEST_CASE(noQuotaIsEnforcedWithoutAWindow)
{
    QuotaFixture fixture(hello, 1, 0s);
    for (int number = 0; number < 3 * s_granted; ++number) {
        BOOST_TEST(startsWith(fixture.send(), "HTTP/1.1 200"));
    }
}

// Guards against quota that is lost by requests for which there was no capacity, or that is returned more than once.
BOOST_AUTO_TEST_CASE(requestRefusedForLackOfCapacityReturnsItsCredit)
{
    QuotaFixture fixture(hello, 0);
    for (int number = 0; number < 3 * s_granted; ++number) {
        BOOST_TEST(startsWith(fixture.send(), "HTTP/1.1 503"));
    }
    int admitted = 0;
    for (int number = 0; number < 3 * s_granted; ++number) {
        admitted += fixture.entry.core.quota.admit(quota::accountId("club"), http::now()).admitted ? 1 : 0;
    }
    BOOST_TEST(admitted == s_granted);
}

// Guards against retries that run beyond the quota because only the first attempt counts.
BOOST_AUTO_TEST_CASE(everyAttemptThatMayRunCounts)
{
    QuotaFixture fixture(
        [](const std::string &) {
            return ScriptedReply{"", true};
        },
        2);
    for (int number = 0; number < 2 * s_granted; ++number) {
        fixture.send();
    }
    BOOST_TEST(fixture.entry.requestsAtUpstreams() == s_granted);
}

// Guards against quota that is used up by attempts that an upstream has not run.
BOOST_AUTO_TEST_CASE(attemptThatProvablyDidNotRunDoesNotCount)
{
    QuotaFixture fixture([](const std::string &received) {
        return ScriptedReply{"HTTP/1.1 503 Full\r\nTrefoilstile-Not-Run: 1\r\nTrefoilstile-Request-Id: " + idOf(received) + "\r\nContent-Length: 0\r\n\r\n"};
    });
    for (int number = 0; number < 2 * s_granted; ++number) {
        BOOST_TEST(!startsWith(fixture.send(), "HTTP/1.1 429"));
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace trefoilstile::proxy
