// Checks the default policy against bounds that come from the stated targets, on every service of the benchmark, and
// shows that each baseline breaks at least one of them. Guards against a change of policy that trades a promise away.

#include <algorithm>
#include <set>
#include <string>

#include <boost/test/unit_test.hpp>

#include "world.hpp"

using namespace trefoilstile;
using namespace trefoilstile::bench;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint64_t s_seed = 20261204;

// Arrivals and lengths of work are random; over 20 s the slots held vary by some percent. A class without its mechanism misses its share by half and more.
constexpr double s_shareTolerance = 0.10;

Policy policy(const std::string &name)
{
    const std::vector<Policy> all = policies();
    return *std::find_if(all.begin(), all.end(), [&](const Policy &each) {
        return each.name == name;
    });
}

Scenario bulkFlood()
{
    return {"bulk-flood", {{"warm", 5s, {{0.10, 0.25, 0.15}}}, {"flood", 20s, {{0.10, 0.25, 10.0}}}}, {}};
}

/// Every class claims three times its share and more; the flood comes from one of them.
Scenario claimed(std::size_t flooding)
{
    Phase phase{"claimed", 20s, {{0.9, 0.9, 0.9}}};
    phase.demand.values.at(flooding) = flooding == 2 ? 10.0 : 3.0;
    return {"claimed", {{"warm", 5s, phase.demand}, phase}, {}};
}

Scenario drain()
{
    return {"drain", {{"warm", 10s, {{0.10, 0.25, 0.15}}}, {"drained", 20s, {{0.10, 0.25, 0.15}}}}, {{10s, FaultKind::DrainDomain, 1}}, true};
}

/// Names of the bounds that a policy breaks on a service, or only the first one, which takes less time.
std::set<std::string> brokenBounds(const Policy &tested, const Deployment &deployment, bool onlyFirst)
{
    std::set<std::string> broken;
    const RunResult flood = run(deployment, bulkFlood(), tested, s_seed);
    const ClassResult &urgent = flood.phases[1].classes[base::PriorityClass::Urgent];
    if (urgent.served != urgent.offered || urgent.offered == 0) {
        broken.insert("urgent work within capacity is all served");
    }
    for (std::size_t flooding = 0; flooding < base::s_priorityClassCount; ++flooding) {
        if (onlyFirst && !broken.empty()) {
            return broken;
        }
        const RunResult shares = run(deployment, claimed(flooding), tested, s_seed);
        for (const base::PriorityClass priorityClass : base::s_priorityClasses) {
            const double held = shares.phases[1].classes[priorityClass].slotShare;
            BOOST_TEST_MESSAGE(deployment.name << ' ' << tested.name << " flood of " << flooding << ' ' << toString(priorityClass) << ' ' << held);
            if (held < (1.0 - s_shareTolerance) * s_minimumShares[priorityClass]) {
                broken.insert("each class keeps its share");
            }
        }
    }
    if (run(deployment, drain(), tested, s_seed).startsAfterDrain != 0) {
        broken.insert("leaving upstreams get no new work after 3 s");
    }
    return broken;
}

} // namespace

BOOST_AUTO_TEST_SUITE(PolicyBounds)

BOOST_AUTO_TEST_CASE(defaultKeepsAll)
{
    for (const Deployment &deployment : deployments()) {
        for (const std::string &broken : brokenBounds(policy("default"), deployment, false)) {
            BOOST_ERROR(deployment.name << ": " << broken);
        }
    }
}

BOOST_AUTO_TEST_CASE(baselinesBreakSome)
{
    for (const std::string name : {"fifo-round-robin", "strict-priority"}) {
        BOOST_TEST(policy(name).baseline);
        for (const Deployment &deployment : deployments()) {
            BOOST_TEST(!brokenBounds(policy(name), deployment, true).empty(), name << " keeps all bounds on " << deployment.name);
        }
    }
}

// The same seed must give the same figures, or policies could not be compared.
BOOST_AUTO_TEST_CASE(runsAreReproducible)
{
    const Deployment deployment = deployments().back();
    const RunResult first = run(deployment, bulkFlood(), policy("default"), s_seed);
    const RunResult second = run(deployment, bulkFlood(), policy("default"), s_seed);
    for (const base::PriorityClass priorityClass : base::s_priorityClasses) {
        BOOST_TEST(first.phases[1].classes[priorityClass].served == second.phases[1].classes[priorityClass].served);
        BOOST_TEST(first.phases[1].classes[priorityClass].quantile(0.99) == second.phases[1].classes[priorityClass].quantile(0.99));
    }
}

BOOST_AUTO_TEST_SUITE_END()
