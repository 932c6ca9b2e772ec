// Tests of the explanation of a request.

#include "trefoilstile/proxy/request_explainer.hpp"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "entry_fixture.hpp"

namespace trefoilstile::proxy
{

using namespace testing;
using nlohmann::json;

namespace
{

json explain(const EntryCore &core, const std::string &query)
{
    return json::parse(explainRequest(core, *parseExplainedRequest(query), http::now()));
}

struct ExplainerFixture {
    ExplainerFixture()
        : entry(
            [this](const std::string &received) {
                expected = received.substr(received.find("Trefoilstile-Expect-Upstream: ") + 30);
                expected.resize(expected.find('\r'));
                return ScriptedReply{signedResponse(idOf(received), "hello")};
            },
            4)
    {
    }

    /// Puts a configuration in effect in which the first route needs the key `k1` of the account `club`.
    void addAccount()
    {
        ingress::Configuration configuration = entry.core.configuration;
        ++configuration.version;
        configuration.routes[0].access = ingress::RouteAccess::Account;
        configuration.routes[1].access = ingress::RouteAccess::Public;
        ingress::Account account;
        account.name = "club";
        account.keys = {ingress::digestOfKey("k1")};
        account.priority = 3;
        configuration.accounts = {account};
        entry.core.applyConfiguration(std::move(configuration), http::now());
    }

    std::string expected; ///< upstream that the last request was sent to
    EntryFixture entry;
};

std::string hex(const ingress::KeyDigest &digest)
{
    std::string text;
    for (const std::uint8_t byte : digest) {
        text += fmt::format("{:02x}", byte);
    }
    return text;
}

} // namespace

BOOST_AUTO_TEST_SUITE(RequestExplainer)

// Guards against an explanation that differs from what then happens.
BOOST_AUTO_TEST_CASE(namesTheUpstreamThatARequestIsSentTo)
{
    ExplainerFixture fixture;
    for (int object = 0; object < 8; ++object) {
        const json explained = explain(fixture.entry.core, fmt::format("host=A.example&path=/reads/1&object=o{}", object));
        BOOST_REQUIRE(explained["services"].size() == 1U);
        BOOST_TEST(explained["route"] == "reads");
        BOOST_TEST(explained["services"][0]["decision"] == "send");
        BOOST_TEST(explained["services"][0]["candidates"].size() == 4U);
        std::string sent = request("/reads/1", "r1");
        sent.insert(sent.size() - 2, fmt::format("Trefoilstile-Object-Key: o{}\r\n", object));
        fixture.entry.send(sent, "hello");
        BOOST_TEST(explained["services"][0]["upstream"] == fixture.expected);
    }
}

// Guards against an explanation that sends, counts or uses up anything. An upstream that is warming up accepts one request a second
// here; explanations must not take it.
BOOST_AUTO_TEST_CASE(changesNothing)
{
    ExplainerFixture fixture;
    EntryCore &core = fixture.entry.core;
    core.configuration.services.at("ledger").warmUpRequestsPerSecond = 1;
    core.placement.setMembers({}, 1);
    for (const auto &upstream : core.upstreamTable.ofService("ledger")) {
        upstream->warmingUpUntil = http::now() + 60s;
    }
    const std::string first = explain(core, "host=a.example&path=/reads/1&object=o")["services"][0]["upstream"];
    for (int i = 0; i < 10; ++i) {
        BOOST_TEST(explain(core, "host=a.example&path=/reads/1&object=o")["services"][0]["upstream"] == first);
    }
    BOOST_TEST(fixture.entry.requestsAtUpstreams() == 0);
    for (const auto &upstream : core.upstreamTable.ofService("ledger")) {
        BOOST_TEST(upstream->outstanding == 0U);
    }
}

// Guards against an explanation for a request that would be refused, and against one without the reason.
BOOST_AUTO_TEST_CASE(refusalsAreExplained)
{
    ExplainerFixture fixture;
    BOOST_TEST(explain(fixture.entry.core, "host=a.example&path=/other/1")["status"] == 404);
    BOOST_TEST(explain(fixture.entry.core, "host=b.example&path=/reads/1")["status"] == 404);
    fixture.addAccount();
    const std::string target = "host=a.example&path=/reads/1";
    BOOST_TEST(explain(fixture.entry.core, target)["status"] == 401);
    BOOST_TEST(explain(fixture.entry.core, target + "&account=other")["status"] == 401);
    BOOST_TEST(explain(fixture.entry.core, target + "&key_digest=" + hex(ingress::digestOfKey("k2")))["status"] == 401);
    for (const std::string &identity : {std::string("&account=club"), "&key_digest=" + hex(ingress::digestOfKey("k1"))}) {
        const json explained = explain(fixture.entry.core, target + identity);
        BOOST_TEST(explained["account"]["name"] == "club");
        BOOST_TEST(explained["services"][0]["decision"] == "send");
    }
    for (const auto &upstream : fixture.entry.core.upstreamTable.ofService("ledger")) {
        fixture.entry.core.upstreamTable.leavingAnnounced(*upstream, http::now());
    }
    const json explained = explain(fixture.entry.core, "host=a.example&path=/holds/1&deadline_ms=500");
    BOOST_TEST(explained["services"][0]["decision"] == "refuse");
    BOOST_TEST(explained["time_allowed_ms"] == 500);
}

// Guards against an answer to a query that does not say what it asks.
BOOST_AUTO_TEST_CASE(malformedQueriesAreRejected)
{
    for (const char *query : {"",
             "host=a",
             "path=/x",
             "host=a&path=x",
             "host=a&path=/x&deadline_ms=0",
             "host=a&path=/x&deadline_ms=-5",
             "host=a&path=/x&deadline_ms=x",
             "host=a&path=/x&key_digest=00",
             "host=a&path=/x&key_digest="}) {
        BOOST_TEST(!parseExplainedRequest(query), query);
    }
    const std::string invalid = "host=a&path=/x&key_digest=" + std::string(63, '0') + "g";
    BOOST_TEST(!parseExplainedRequest(invalid));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace trefoilstile::proxy
