// Tests of changes of the drain list.

#include "trefoilstile/tablestore/drain_store.hpp"

#include <algorithm>
#include <limits>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include "fake_store.hpp"
#include "row_codec.hpp"

using namespace trefoilstile::tablestore;
using testing::FakeStore;
using testing::Fault;
using trefoilstile::engine::Drain;
using trefoilstile::engine::DrainKind;

BOOST_AUTO_TEST_SUITE(DrainStores)

// Guards against a change that is overwritten by another operator's concurrent change. Operators drain different upstreams
// concurrently under any faults: a drain reported as done is in the list, and one reported as not done is absent. Each
// generation follows the previous one or the highest one that the operator knows to be in effect, whichever is higher.
RC_BOOST_PROP(concurrentChangesAreKept, (const std::vector<std::uint8_t> &faults, const std::vector<bool> &races, const std::vector<std::uint8_t> &inEffect))
{
    FakeStore store;
    for (const std::uint8_t fault : faults) {
        store.faults.push_back(static_cast<Fault>(fault % 5));
    }
    enum class Reported : std::uint8_t { Done, NotDone, Unknown };
    std::vector<Reported> reported(6, Reported::Unknown);
    const auto highestInEffect = [&](std::size_t operatorIndex) -> std::uint64_t {
        return operatorIndex < inEffect.size() ? inEffect[operatorIndex] % 10U : 0;
    };
    std::size_t next = 0;
    std::size_t race = 0;
    const auto runNext = [&] {
        const std::size_t operatorIndex = next++;
        const std::string name = "u" + std::to_string(operatorIndex);
        try {
            const auto result =
                DrainStore(store).change("trial", {DrainChange::Action::Add, {DrainKind::Upstream, name}}, "s" + name, {highestInEffect(operatorIndex)});
            reported[operatorIndex] = std::holds_alternative<DrainApplied>(result) ? Reported::Done : Reported::Unknown;
        } catch (const Unavailable &) {
            reported[operatorIndex] = Reported::NotDone;
        }
    };
    store.beforeRequest = [&] {
        if (race < races.size() && races[race++] && next < reported.size()) {
            runNext();
        }
    };
    while (next < reported.size()) {
        runNext();
    }
    store.beforeRequest = nullptr;
    store.deliverDelayed();
    store.faults.clear();
    const DrainRow row = DrainStore(store).row("trial");
    std::uint64_t previous = 0;
    for (const std::string &value : store.log["drains/trial"]) {
        const DrainRow written = parseDrainRow({1, value});
        const std::uint64_t highest = highestInEffect(std::stoul(written.submission.substr(2)));
        RC_ASSERT(written.generation.value == std::max(previous, highest) + 1);
        previous = written.generation.value;
    }
    RC_ASSERT(row.generation.value == previous);
    RC_ASSERT(row.drains.size() == store.log["drains/trial"].size());
    for (std::size_t i = 0; i < reported.size(); ++i) {
        const bool listed = std::count(row.drains.begin(), row.drains.end(), Drain{DrainKind::Upstream, "u" + std::to_string(i)}) == 1;
        RC_ASSERT(reported[i] != Reported::Done || listed);
        RC_ASSERT(reported[i] != Reported::NotDone || !listed);
    }
}

// If the answer to a drain was lost and another operator has removed the drain since, a retry must not add it again.
BOOST_AUTO_TEST_CASE(settledDrainIsNotRepeated)
{
    FakeStore store;
    store.faults = {Fault::None, Fault::AnswerLost};
    const Drain drain{DrainKind::Region, "malabar"};
    int requests = 0;
    store.beforeRequest = [&] {
        if (++requests == 3) {
            DrainStore(store).change("trial", {DrainChange::Action::Remove, drain}, "b");
        }
    };
    const auto result = DrainStore(store).change("trial", {DrainChange::Action::Add, drain}, "a");
    BOOST_TEST(std::get<DrainApplied>(result).generation.value == 1U);
    BOOST_TEST(DrainStore(store).row("trial").drains.empty());
}

// A repeated change must not create a new generation, which every instance would have to fetch.
BOOST_AUTO_TEST_CASE(repeatedChangeMakesNoGeneration)
{
    FakeStore store;
    DrainStore drains(store);
    const DrainChange change{DrainChange::Action::Add, {DrainKind::Entry, "e1"}};
    drains.change("trial", change, "a");
    const auto again = std::get<DrainApplied>(drains.change("trial", change, "b"));
    BOOST_TEST(!again.changed);
    BOOST_TEST(again.generation.value == 1U);
}

// Instances ignore a row whose generation is below theirs, so even a list that already contains the change must be written
// again.
BOOST_AUTO_TEST_CASE(choosesAGenerationAboveTheInstances)
{
    FakeStore store;
    DrainStore drains(store);
    const DrainChange change{DrainChange::Action::Add, {DrainKind::Entry, "e1"}};
    drains.change("trial", change, "a");
    const auto raised = std::get<DrainApplied>(drains.change("trial", change, "b", {7}));
    BOOST_TEST(raised.changed);
    BOOST_TEST(raised.generation.value == 8U);
    BOOST_TEST(raised.previous.value == 1U);
    BOOST_TEST(drains.row("trial").drains.size() == 1U);
    BOOST_TEST(!std::get<DrainApplied>(drains.change("trial", change, "c", {8})).changed);
    BOOST_CHECK_THROW(drains.change("trial", change, "d", {std::numeric_limits<std::uint64_t>::max()}), MalformedData);
}

// A kind whose name does not parse back to it would make the stored drain list unreadable.
BOOST_AUTO_TEST_CASE(parsesKindNames)
{
    BOOST_TEST((drainKindFromString("failure-domain") == DrainKind::FailureDomain));
    BOOST_TEST(!drainKindFromString("rack").has_value());
    for (const auto kind : {DrainKind::Upstream, DrainKind::Entry, DrainKind::FailureDomain, DrainKind::Region}) {
        BOOST_TEST((drainKindFromString(toString(kind)) == kind));
    }
}

BOOST_AUTO_TEST_SUITE_END()
