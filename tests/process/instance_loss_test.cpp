// An instance dies or is paused while the others go on.

#include <algorithm>

#include <csignal>

#include <boost/test/unit_test.hpp>

#include "fleet.hpp"

using namespace process_test;

namespace
{

bool names(const std::vector<std::string> &list, const std::string &name)
{
    return std::find(list.begin(), list.end(), name) != list.end();
}

/// Waits until all instances but the named one see it in the state.
bool othersSee(Fleet &fleet, const std::string &name, const std::string &state)
{
    return waitUntil([&] {
        return std::all_of(fleet.instances.begin(), fleet.instances.end(), [&](const auto &instance) {
            return instance->name == name || instance->stateOf(name) == state;
        });
    });
}

/// Waits until the lookups of all other instances name it, or until none does.
bool othersName(Fleet &fleet, const std::string &name, bool wanted)
{
    return waitUntil([&] {
        return std::all_of(fleet.instances.begin(), fleet.instances.end(), [&](const auto &instance) {
            return instance->name == name || names(instance->lookedUp(), name) == wanted;
        });
    });
}

} // namespace

BOOST_AUTO_TEST_SUITE(InstanceLoss)

// Guards against callers sent to a dead instance, and against a second run of an order whose issuer died (P4, P5): what
// the issuer did cannot be known, so its keys are `unknown`, before and after its death is noticed.
BOOST_AUTO_TEST_CASE(keysOfAKilledInstanceNeverRun)
{
    Fleet fleet;
    fleet.startInstances(4);
    fleet.apply();
    BOOST_REQUIRE(othersName(fleet, "entry-1", true));
    Instance &lost = fleet.instance("entry-1");
    const std::string prefix = lost.keyPrefix();
    const std::string done = prefix + "done";
    BOOST_REQUIRE_EQUAL(call(lost.callers, order(done)).status, 200U);
    lost.program->signal(SIGKILL);
    BOOST_REQUIRE_EQUAL(lost.program->wait().value_or(-1), 128 + SIGKILL);
    fleet.remove("entry-1");

    const auto ordersAreUnknown = [&](const std::string &when) {
        for (const auto &instance : fleet.instances) {
            BOOST_TEST_CONTEXT(instance->name << ' ' << when)
            {
                const std::string fresh = prefix + when + instance->name;
                for (const std::string &key : {fresh, done}) {
                    const HttpResponse response = call(instance->callers, order(key));
                    BOOST_TEST(response.status >= 500U);
                    BOOST_TEST(response.header("trefoilstile-outcome") == "unknown");
                }
                BOOST_TEST(fleet.executionsOf(fresh) == 0U);
            }
        }
    };
    ordersAreUnknown("at-once-");
    BOOST_TEST(othersSee(fleet, "entry-1", "dead"));
    BOOST_TEST(othersName(fleet, "entry-1", false));
    ordersAreUnknown("later-");
    BOOST_TEST(fleet.executionsOf(done) == 1U);
    BOOST_TEST(call(fleet.instance("entry-0").callers, order(fleet.instance("entry-2").keyPrefix() + "x")).status == 200U);
}

// Guards against an instance that resumes after a pause and runs again what it no longer should, or keeps an old
// document, or stays out for good (P5, P8).
BOOST_AUTO_TEST_CASE(pausedInstanceComesBackWithoutASecondRun)
{
    Fleet fleet;
    fleet.startInstances(4);
    fleet.apply();
    BOOST_REQUIRE(othersName(fleet, "entry-1", true));
    Instance &paused = fleet.instance("entry-1");
    Instance &other = fleet.instance("entry-0");
    const std::string prefix = paused.keyPrefix();
    const std::string running = prefix + "running";
    const std::string waiting = prefix + "waiting";
    for (const Standin &upstream : fleet.upstreams) {
        upstream.control("/_mode", {{"answer_delay_ms", 1500}});
    }
    HttpCaller first(paused.callers);
    first.send(order(running));
    BOOST_REQUIRE(waitUntil([&] {
        return fleet.executionsOf(running) == 1;
    }));
    paused.program->signal(SIGSTOP);
    HttpCaller second(paused.callers); // the kernel accepts the connection
    second.send(order(waiting));

    BOOST_REQUIRE(othersSee(fleet, "entry-1", "dead"));
    BOOST_TEST(othersName(fleet, "entry-1", false));
    BOOST_TEST(call(other.callers, order(running)).header("trefoilstile-outcome") == "unknown");
    BOOST_TEST(call(other.callers, order(waiting)).header("trefoilstile-outcome") == "unknown");
    // The document is accepted, but cannot be in effect on the paused instance.
    const CtlResult promoted = fleet.submit(fleet.document({.connections = 80}), "2000");
    BOOST_TEST(promoted.status == 3, promoted.text);
    BOOST_TEST(waitUntil([&] {
        return other.generation() == 2;
    }));

    paused.program->signal(SIGCONT);
    BOOST_TEST(othersSee(fleet, "entry-1", "alive"));
    BOOST_TEST(othersName(fleet, "entry-1", true));
    BOOST_TEST(fleet.waitForGeneration(2));
    const HttpResponse firstResponse = first.response();
    const HttpResponse secondResponse = second.response();
    for (const auto &instance : fleet.instances) {
        call(instance->callers, order(running));
        call(instance->callers, order(waiting));
    }
    BOOST_TEST(fleet.executionsOf(running) == 1U);
    BOOST_TEST(fleet.executionsOf(waiting) <= 1U);
    BOOST_TEST(firstResponse.header("trefoilstile-outcome") != "not-run");
    BOOST_TEST((secondResponse.status != 200U || fleet.executionsOf(waiting) == 1U));
    // The instance is of use again.
    const std::string fresh = paused.keyPrefix() + "fresh";
    BOOST_TEST(call(other.callers, order(fresh)).status == 200U);
    BOOST_TEST(fleet.executionsOf(fresh) == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
