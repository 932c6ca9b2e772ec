// Guards against a drain or undrain that another operator's change wipes out.

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

// Operators drain different upstreams at once under every fault: who was told that it is done finds it in the list,
// who was told that it is not finds it absent. Generations go up, and by exactly one for operators that know of no
// instance with a higher generation.
RC_BOOST_PROP(racingOperatorsLoseNothing, (const std::vector<std::uint8_t> &faults, const std::vector<bool> &races, const std::vector<std::uint8_t> &inEffect))
{
    FakeStore store;
    for (const std::uint8_t fault : faults) {
        store.faults.push_back(static_cast<Fault>(fault % 5));
    }
    enum class Told : std::uint8_t { Done, NotDone, Unknown };
    std::vector<Told> told(6, Told::Unknown);
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
            told[operatorIndex] = std::holds_alternative<DrainApplied>(result) ? Told::Done : Told::Unknown;
        } catch (const Unavailable &) {
            told[operatorIndex] = Told::NotDone;
        }
    };
    store.beforeRequest = [&] {
        if (race < races.size() && races[race++] && next < told.size()) {
            runNext();
        }
    };
    while (next < told.size()) {
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
    for (std::size_t i = 0; i < told.size(); ++i) {
        const bool listed = std::count(row.drains.begin(), row.drains.end(), Drain{DrainKind::Upstream, "u" + std::to_string(i)}) == 1;
        RC_ASSERT(told[i] != Told::Done || listed);
        RC_ASSERT(told[i] != Told::NotDone || !listed);
    }
}

// A drain whose answer was lost, and which another operator has undrained since, must not come back by a retry.
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

// A row below the instances is ignored by them, so that even a list that is already so must be written again.
BOOST_AUTO_TEST_CASE(takesAGenerationAboveTheInstances)
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

BOOST_AUTO_TEST_CASE(kindNames)
{
    BOOST_TEST((drainKindFromString("failure-domain") == DrainKind::FailureDomain));
    BOOST_TEST(!drainKindFromString("rack").has_value());
    for (const auto kind : {DrainKind::Upstream, DrainKind::Entry, DrainKind::FailureDomain, DrainKind::Region}) {
        BOOST_TEST((drainKindFromString(toString(kind)) == kind));
    }
}

BOOST_AUTO_TEST_SUITE_END()
