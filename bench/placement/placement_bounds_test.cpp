// Tests of what callers get from the placement under load, on an emulated deployment. Bounds come from the users' promises:
// urgent work is not served less than other work, and simple ways of choosing serve callers no better.

#include <boost/test/unit_test.hpp>

#include "emulator.hpp"

namespace trefoilstile::bench::placement
{

namespace
{

constexpr base::Duration s_length = std::chrono::seconds(16); // the bursts end after 14 s
constexpr std::uint64_t s_seed = 20261204;

/// The users count a less urgent kind that is served more often by over 5 in 100 as a fault.
constexpr double s_priorityTolerance = 0.05;

const Deployment &society()
{
    static const std::vector<Deployment> all = deployments();
    return all.front();
}

Scenario scenarioNamed(const std::string &name)
{
    for (const Scenario &scenario : scenarios()) {
        if (scenario.name == name) {
            return scenario;
        }
    }
    throw std::runtime_error("no scenario " + name);
}

void expectUrgentFirst(const Result &result)
{
    for (const RequestKind &urgent : society().kinds) {
        for (const RequestKind &other : society().kinds) {
            if (urgent.service == other.service && urgent.priority < other.priority) {
                const double urgentShare = result.kinds.at(urgent.name).servedShare();
                const double otherShare = result.kinds.at(other.name).servedShare();
                BOOST_TEST(urgentShare >= otherShare - s_priorityTolerance,
                    result.scenario << ": " << urgent.name << " is served " << urgentShare << ", " << other.name << " " << otherShare);
            }
        }
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(PlacementBounds)

// Guards against a placement that keeps objects cold under load, where callers would be served better by a simple way.
BOOST_AUTO_TEST_CASE(servesCallersNoWorseThanSimpleWays)
{
    for (const Scenario &scenario : scenarios()) {
        const auto results = compare(society(), scenario, s_seed, s_length);
        for (std::size_t i = 1; i < results.size(); ++i) {
            BOOST_TEST(results.front().all.inObjectiveShare() >= results[i].all.inObjectiveShare(),
                scenario.name << ": within the objective " << results.front().all.inObjectiveShare() << ", " << results[i].policy << " "
                              << results[i].all.inObjectiveShare());
        }
        expectUrgentFirst(results.front());
    }
}

// Guards against requests of a load within capacity that are not served.
BOOST_AUTO_TEST_CASE(loadWithinCapacityIsServed)
{
    const auto results = compare(society(), scenarioNamed("calm"), s_seed, s_length);
    BOOST_TEST(results.front().all.servedShare() > 0.99);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace trefoilstile::bench::placement
