// Property test with random fault sequences: after any sequence no generation in effect may have reverted, all member lists
// must agree and new documents must arrive. The sequences kill, replace and pause nodes, partition and heal the network, stop
// and restore the store, and publish, with message loss and duplication.

#include "testing/steered_fleet.hpp"

#include <algorithm>
#include <sstream>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace trefoilstile;
using namespace trefoilstile::membership;
using namespace trefoilstile::membership::testing;
using namespace std::chrono_literals;

namespace
{

enum class Fault : std::uint8_t { Kill, Start, Pause, CutDomain, CutAtRandom, Heal, StoreDown, StoreUp, StoreRestored, PublishDocument, PublishDrains };

struct Step {
    Fault fault = Fault::Kill;
    std::size_t node{};
    int tenths{}; ///< time to run after the fault, in tenths of a second
};

std::ostream &operator<<(std::ostream &stream, const Step &step)
{
    return stream << static_cast<int>(step.fault) << " node " << step.node << " then " << step.tenths << " tenths";
}

Step randomStep()
{
    return {Fault(*rc::gen::inRange(0, 11)), *rc::gen::inRange<std::size_t>(0, 12), *rc::gen::inRange(0, 80)};
}

void apply(SteeredFleet &fleet, const Step &step, base::SplitMix64 &random)
{
    std::vector<int> groups(12);
    switch (step.fault) {
    case Fault::Kill:
        return fleet.kill(step.node);
    case Fault::Start:
        return fleet.start(step.node);
    case Fault::Pause:
        return fleet.pause(step.node, std::chrono::milliseconds(100) * (step.tenths * 2));
    case Fault::CutDomain:
        return fleet.cutOffDomain(step.node / 3);
    case Fault::CutAtRandom:
        for (int &group : groups) {
            group = static_cast<int>(base::uniformBelow(random, 3));
        }
        return fleet.partition(groups);
    case Fault::Heal:
        return fleet.heal();
    case Fault::StoreDown:
        fleet.store.up = false;
        return;
    case Fault::StoreUp:
        fleet.store.up = true;
        return;
    case Fault::StoreRestored:
        // The backup is a few generations old, so the next publications reuse generation numbers.
        return fleet.publishDocument(
            std::max<std::uint64_t>(1, fleet.store.document.generation.value - std::min<std::uint64_t>(3, fleet.store.document.generation.value)));
    case Fault::PublishDocument:
        return fleet.publishDocument();
    case Fault::PublishDrains:
        return fleet.publishDrains();
    }
}

/// Ends all faults and restarts stopped nodes. The test then publishes above the highest generation, as operators do on the alarm.
void endFaults(SteeredFleet &fleet)
{
    fleet.heal();
    fleet.store.up = true;
    for (std::size_t node = 0; node < fleet.nodes().size(); ++node) {
        if (!fleet.isRunning(node)) {
            fleet.start(node);
        }
    }
    fleet.run(16s);
}

} // namespace

BOOST_AUTO_TEST_SUITE(FleetSequences)

// Some orders of faults may leave member lists in permanent disagreement, revert a generation or stop dissemination.
RC_BOOST_PROP(fleetAgreesAgainAfterAnySequence, (std::uint64_t seed, bool lossy))
{
    FleetOptions options;
    options.seed = seed;
    options.loss = lossy ? 0.05 : 0.0;
    options.duplication = lossy ? 0.1 : 0.0;
    SteeredFleet fleet(options);
    base::SplitMix64 random(seed);
    fleet.publishDocument();
    fleet.startAll();
    const auto steps = *rc::gen::resize(30, rc::gen::container<std::vector<Step>>(rc::gen::exec(randomStep)));
    for (const Step &step : steps) {
        apply(fleet, step, random);
        fleet.resetCounts();
        fleet.run(std::chrono::milliseconds(100) * step.tenths);
        RC_ASSERT(fleet.reversals == 0U);
        for (const FleetNode &node : fleet.nodes()) {
            RC_ASSERT(node.sent <= 60U + 6U * static_cast<unsigned>(step.tenths));
        }
    }
    endFaults(fleet);
    const auto agreed = fleet.runUntil(
        [&] {
            return fleet.agrees();
        },
        30s);
    RC_ASSERT(agreed.has_value());
    fleet.publishDocument(fleet.highestDocument() + 1);
    fleet.publishDrains();
    const base::TimePoint published = fleet.now();
    const auto drained = fleet.runUntil(
        [&] {
            return fleet.drainsEverywhere();
        },
        3s);
    RC_ASSERT(drained.has_value());
    const auto documented = fleet.runUntil(
        [&] {
            return fleet.documentEverywhere();
        },
        published + 5s - fleet.now());
    RC_ASSERT(documented.has_value());
    RC_ASSERT(fleet.reversals == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
