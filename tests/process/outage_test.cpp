// The platform is unreachable, slow, or has lost recent writes.

#include <algorithm>

#include <boost/test/unit_test.hpp>

#include "fleet.hpp"

using namespace process_test;
using nlohmann::json;

namespace
{

HttpResponse ready(const Instance &instance)
{
    return call(instance.operators, {"GET", "/readyz", {}, {}});
}

/// First attempt of an order with a key that the caller made up.
HttpRequest callerKeyedOrder(const std::string &key)
{
    HttpRequest request = order(key);
    request.headers["Trefoilstile-Repeat"] = "0";
    return request;
}

/// Lookups and requests of each class at every instance, none of which needs the platform.
void requireService(Fleet &fleet, const std::string &phase)
{
    for (const auto &instance : fleet.instances) {
        BOOST_TEST_CONTEXT(instance->name << ", platform " << phase)
        {
            BOOST_TEST(instance->lookup().status == 200U);
            const std::string key = instance->keyPrefix() + phase;
            BOOST_TEST(call(instance->callers, order(key)).status == 200U);
            BOOST_TEST(fleet.executionsOf(key) == 1U);
            BOOST_TEST(call(instance->callers, statusCheck()).status == 200U);
            BOOST_TEST(call(instance->callers, download(50'000)).complete);
        }
    }
}

/// Without the platform the key cannot be claimed, and without the claim the order must not run.
void requireNoRunOfCallerKey(Fleet &fleet, const std::string &key)
{
    const HttpResponse response = call(fleet.instances.front()->callers, callerKeyedOrder(key));
    BOOST_TEST(response.status == 503U);
    BOOST_TEST(response.header("trefoilstile-outcome") == "not-run");
    BOOST_TEST(fleet.executionsOf(key) == 0U);
}

/// A platform that hangs must stop polls for a while; they would only add to its load.
void requireOpenBreaker(const Fleet &fleet)
{
    BOOST_TEST(waitUntil([&fleet] {
        return std::any_of(fleet.instances.begin(), fleet.instances.end(), [](const auto &instance) {
            return instance->status()["platform"]["breaker"] == "open";
        });
    }));
}

json documentRow(const Fleet &fleet)
{
    const HttpResponse response = call(fleet.platform.address, {"GET", "/tables/documents/rows/production", {}, {}});
    BOOST_REQUIRE_EQUAL(response.status, 200U);
    return json::parse(response.body);
}

} // namespace

BOOST_AUTO_TEST_SUITE(Outage)

// Guards against a dependence of lookups, requests or starts on the platform, and against running an order whose claim
// could not be made (P4, P5). An instance started in the outage gets its document from a peer (P8).
BOOST_AUTO_TEST_CASE(serviceGoesOnWithoutThePlatform)
{
    Fleet fleet;
    fleet.startInstances(2);
    fleet.apply();
    for (const char *mode : {"reset", "hang"}) {
        fleet.setPlatformFaults({{"unreachable", mode}});
        requireService(fleet, mode);
        requireNoRunOfCallerKey(fleet, std::string("caller-key-") + mode);
        requireOpenBreaker(fleet);
    }

    Instance &replacement = fleet.start("entry-2", "dom-a");
    BOOST_TEST(fleet.waitForGeneration(1));
    BOOST_TEST(waitUntil([&] {
        return ready(replacement).status == 200;
    }));
    BOOST_TEST(call(replacement.callers, statusCheck()).status == 200U);

    Instance &isolated = fleet.start("entry-3", "dom-b", "production", false);
    // The reason is refined once polls have failed.
    BOOST_TEST(waitUntil([&] {
        const HttpResponse response = ready(isolated);
        return response.status == 503 && response.body.starts_with("not ready: ")
            && response.body.find("the store has not answered, and no peer has been heard") != std::string::npos;
    }),
        ready(isolated).body);
    BOOST_TEST(isolated.lookup().status == 503U);
    const HttpResponse rejected = call(isolated.callers, statusCheck());
    BOOST_TEST(rejected.status == 503U);
    BOOST_TEST(rejected.header("trefoilstile-outcome") == "not-run");
    BOOST_TEST(!rejected.header("retry-after").empty());
    fleet.remove("entry-3");

    // Answers later than the limits of claims and polls.
    fleet.setPlatformFaults({{"unreachable", false}, {"latency_ms", 20'000}});
    requireService(fleet, "slow");
    requireNoRunOfCallerKey(fleet, "caller-key-slow");

    fleet.setPlatformFaults({{"latency_ms", 0}});
    // The circuit breaker closes at its own pace, so that the end of an outage causes no burst.
    int attempt = 0;
    std::string key;
    BOOST_TEST(waitUntil([&] {
        key = "caller-key-" + std::to_string(++attempt);
        return call(fleet.instances.front()->callers, callerKeyedOrder(key)).status == 200;
    }));
    BOOST_TEST(fleet.executionsOf(key) == 1U);
    for (int earlier = 1; earlier < attempt; ++earlier) {
        BOOST_TEST(fleet.executionsOf("caller-key-" + std::to_string(earlier)) == 0U);
    }
}

// Guards against the loss of the document when instances are replaced during an outage, and against a step back (P8).
BOOST_AUTO_TEST_CASE(replacedInstancesGetTheDocumentFromTheLastOne)
{
    Fleet fleet;
    fleet.startInstances(4);
    fleet.apply();
    fleet.apply({.connections = 80});
    const std::string hash = fleet.instance("entry-3").status().at("hash");
    fleet.setPlatformFaults({{"unreachable", "reset"}});
    std::uint64_t lowest = fleet.instance("entry-3").generation();
    for (const char *name : {"entry-0", "entry-1", "entry-2"}) {
        const std::string domain = fleet.instance(name).failureDomain;
        fleet.remove(name);
        Instance &replacement = fleet.start(name, domain);
        BOOST_TEST(waitUntil([&] {
            lowest = std::min(lowest, fleet.instance("entry-3").generation());
            return replacement.generation() == 2;
        }),
            replacement.program->log());
        BOOST_TEST(replacement.status().at("hash") == hash);
    }
    BOOST_TEST(lowest == 2U);
    requireService(fleet, "replaced");
    fleet.setPlatformFaults({{"unreachable", false}});
    BOOST_TEST(waitUntil([&] {
        return std::all_of(fleet.instances.begin(), fleet.instances.end(), [](const auto &instance) {
            return instance->status().at("platform").at("breaker") == "closed";
        });
    }));
    BOOST_TEST(fleet.waitForGeneration(2));
}

// Guards against a store restored from a backup that takes an accepted document back (P8).
BOOST_AUTO_TEST_CASE(restoredBackupDoesNotRevertTheDocument)
{
    Fleet fleet;
    fleet.startInstances(2);
    fleet.apply();
    const json old = documentRow(fleet);
    fleet.apply({.connections = 80});
    const std::string hash = fleet.instance("entry-0").status().at("hash");
    const std::string version = std::to_string(documentRow(fleet).at("version").get<std::uint64_t>());
    const HttpResponse restored = call(fleet.platform.address, {"PUT", "/tables/documents/rows/production", {{"If-Version", version}}, old.at("value").dump()});
    BOOST_REQUIRE_EQUAL(restored.status, 200U);
    for (const auto &instance : fleet.instances) {
        BOOST_TEST_CONTEXT(instance->name)
        {
            const auto hasAlarm = [&] {
                const json status = instance->status();
                const json &alarms = status.at("alarms");
                return std::any_of(alarms.begin(), alarms.end(), [](const json &alarm) {
                    return alarm.at("name") == "document_regressed";
                });
            };
            BOOST_TEST(waitUntil(hasAlarm), instance->status().dump());
            BOOST_TEST(instance->generation() == 2U);
            BOOST_TEST(instance->status().at("hash") == hash);
        }
    }
    requireService(fleet, "restored");
}

BOOST_AUTO_TEST_SUITE_END()
