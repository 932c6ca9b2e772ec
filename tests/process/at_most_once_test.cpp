// Orders with keys, repeated at several instances.

#include <algorithm>
#include <thread>

#include <boost/test/unit_test.hpp>

#include "fleet.hpp"

using namespace process_test;

namespace
{

/// Sends the same request to every instance at the same time.
std::vector<HttpResponse> callEverywhere(const Fleet &fleet, const HttpRequest &request)
{
    std::vector<HttpResponse> responses(fleet.instances.size());
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < responses.size(); ++i) {
        threads.emplace_back([&, i] {
            responses[i] = call(fleet.instances[i]->callers, request);
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    return responses;
}

/// What callers were told must agree with what ran: at most one run, a response only after a run, `not-run` only
/// without one.
void checkOutcomes(const std::vector<HttpResponse> &responses, std::uint64_t runs)
{
    BOOST_TEST(runs <= 1U);
    for (const HttpResponse &response : responses) {
        const std::string outcome = response.header("trefoilstile-outcome");
        if (response.status == 200) {
            BOOST_TEST(response.complete);
            BOOST_TEST(runs == 1U);
        } else if (outcome == "not-run") {
            BOOST_TEST(runs == 0U);
        } else {
            BOOST_TEST(outcome == "unknown", "status " << response.status << ", outcome '" << outcome << "'");
        }
    }
}

void setMode(const Fleet &fleet, const nlohmann::json &mode)
{
    for (const Standin &upstream : fleet.upstreams) {
        upstream.control("/_mode", mode);
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(AtMostOnce)

// Guards against a second run when a caller repeats at several instances at once (P5): one run, the same response for all.
BOOST_AUTO_TEST_CASE(simultaneousRepeatsRunOnce)
{
    Fleet fleet;
    fleet.startInstances(3);
    fleet.apply();
    BOOST_REQUIRE(fleet.waitForMembers());
    for (int i = 0; i < 30; ++i) {
        const Instance &issuer = *fleet.instances[static_cast<std::size_t>(i) % fleet.instances.size()];
        const std::string key = issuer.keyPrefix() + "n" + std::to_string(i);
        BOOST_TEST_CONTEXT("order " << i << " with a key of " << issuer.name)
        {
            const auto responses = callEverywhere(fleet, order(key));
            checkOutcomes(responses, fleet.executionsOf(key));
            for (const HttpResponse &response : responses) {
                BOOST_TEST(response.status == 200U);
                BOOST_TEST(response.body == responses.front().body);
            }
        }
    }
    // Keys that the caller made up: the claim decides which instance runs the order.
    for (int i = 0; i < 10; ++i) {
        const std::string key = "caller-order-" + std::to_string(i);
        BOOST_TEST_CONTEXT(key)
        {
            const auto responses = callEverywhere(fleet, order(key));
            checkOutcomes(responses, fleet.executionsOf(key));
            BOOST_TEST(std::any_of(responses.begin(), responses.end(), [](const HttpResponse &response) {
                return response.status == 200;
            }));
        }
    }
}

// Guards against a second run, or a false `not-run`, when the caller lost the response and asks again (P4, P5).
BOOST_AUTO_TEST_CASE(repeatAfterALostResponseGetsTheOutcome)
{
    Fleet fleet;
    fleet.startInstances(3);
    fleet.apply();
    BOOST_REQUIRE(fleet.waitForMembers());
    setMode(fleet, {{"answer_delay_ms", 700}});
    for (const auto &issuer : fleet.instances) {
        const std::string key = issuer->keyPrefix() + "lost";
        BOOST_TEST_CONTEXT("key of " << issuer->name)
        {
            HttpCaller caller(fleet.instances.front()->callers);
            caller.send(order(key));
            BOOST_REQUIRE(waitUntil([&] {
                return fleet.executionsOf(key) == 1;
            }));
            caller.close();
            const auto responses = callEverywhere(fleet, order(key));
            checkOutcomes(responses, fleet.executionsOf(key));
            for (const HttpResponse &response : responses) {
                BOOST_TEST(response.status == 200U);
            }
        }
    }
}

// Guards against another run after the upstream took the order and closed without a response (P5): nobody knows whether
// it ran, so every repeat is told `unknown`.
BOOST_AUTO_TEST_CASE(lostOutcomeStaysUnknown)
{
    Fleet fleet;
    fleet.startInstances(3);
    fleet.apply();
    BOOST_REQUIRE(fleet.waitForMembers());
    setMode(fleet, {{"close_after_zero_bytes", true}});
    const std::string key = fleet.instance("entry-1").keyPrefix() + "closed";
    BOOST_TEST(call(fleet.instance("entry-0").callers, order(key)).header("trefoilstile-outcome") == "unknown");
    setMode(fleet, {{"close_after_zero_bytes", false}});
    for (const HttpResponse &response : callEverywhere(fleet, order(key))) {
        BOOST_TEST(response.header("trefoilstile-outcome") == "unknown");
    }
    BOOST_TEST(fleet.executionsOf(key) == 1U);
}

// Guards against a key that stays blocked after a proof that the order did not run (P4): the repeat may run.
BOOST_AUTO_TEST_CASE(repeatAfterNotRunMayRun)
{
    Fleet fleet;
    fleet.startInstances(2);
    fleet.apply();
    BOOST_REQUIRE(fleet.waitForMembers());
    setMode(fleet, {{"reject_next", 1'000'000}});
    const std::string key = fleet.instance("entry-1").keyPrefix() + "rejected";
    const auto rejected = callEverywhere(fleet, order(key));
    checkOutcomes(rejected, fleet.executionsOf(key));
    BOOST_TEST(fleet.executionsOf(key) == 0U);
    setMode(fleet, {{"reject_next", 0}});
    HttpResponse response;
    const bool ran = waitUntil([&] {
        response = call(fleet.instance("entry-0").callers, order(key));
        return response.status == 200;
    });
    BOOST_TEST(ran,
        "the repeat got status " << response.status << " and outcome '" << response.header("trefoilstile-outcome") << "', the rejected orders '"
                                 << rejected[0].header("trefoilstile-outcome") << "' and '" << rejected[1].header("trefoilstile-outcome") << "'");
    checkOutcomes({response}, fleet.executionsOf(key));
}

BOOST_AUTO_TEST_SUITE_END()
