// Tests of the upstream set: leaving, ejected, excluded or full upstreams must not be chosen, and no unit of concurrency may
// be lost or counted twice.

#include "trefoilstile/upstream/upstream_set.hpp"

#include <numeric>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include "trefoilstile/upstream/slot_split.hpp"

using namespace trefoilstile;
using namespace trefoilstile::upstream;
using namespace std::chrono_literals;
using base::PriorityClass;
using engine::AttemptResult;

namespace
{

const std::vector<SharingInstance> s_members{{"e1", "r1"}, {"e2", "r1"}, {"e3", "r2"}, {"e4", "r2"}};

UpstreamSetConfig config(std::size_t upstreams = 8)
{
    UpstreamSetConfig result;
    result.instance = "e1";
    result.maximumEntryInstances = 6;
    for (std::size_t index = 0; index < upstreams; ++index) {
        const std::string region = index % 4 < 2 ? "r1" : "r2";
        const std::string domain = region + (index % 2 == 0 ? "a" : "b");
        result.upstreams.push_back({"u" + std::to_string(index), "10.0.0.1:" + std::to_string(index), domain, region, 4, index % 2 == 0 ? 60U : 12U, 1.0});
    }
    return result;
}

struct Fixture {
    UpstreamSet set{config()};
    base::SplitMix64 random{7};
    PowerOfTwoChoices policy;
    base::TimePoint now{1s};
    std::vector<DomainIndex> domains = set.domainsFrom("r1a", "r1", false);

    Fixture()
    {
        set.updateInstances(s_members);
    }

    std::optional<Choice> choose(bool idempotent = true, std::span<const std::size_t> excluded = {})
    {
        return set.choose({PriorityClass::Interactive, idempotent, excluded, domains, false}, now, random, policy);
    }

    void finish(const Choice &choice, AttemptResult result = AttemptResult::Completed, bool leaving = false)
    {
        set.finished(choice, PriorityClass::Interactive, {result, 10ms, leaving, false}, now, random);
    }

    void ejectByFailures(std::size_t index, AttemptResult result = AttemptResult::Failed)
    {
        for (int count = 0; count < 5; ++count) {
            std::vector<std::size_t> others(set.size());
            std::iota(others.begin(), others.end(), std::size_t{});
            others.erase(others.begin() + static_cast<std::ptrdiff_t>(index));
            const auto choice = choose(false, others);
            BOOST_REQUIRE(choice.has_value());
            finish(*choice, result);
        }
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(UpstreamSets, Fixture)

// Requests that leave the local failure domain while it has free slots take longer and depend on a second failure domain.
BOOST_AUTO_TEST_CASE(localFailureDomainComesFirst)
{
    std::vector<std::string> used;
    while (const auto choice = choose()) {
        used.push_back(set.upstream(choice->index).failureDomain);
    }
    BOOST_TEST(used.size() == set.concurrency(domains, now));
    BOOST_TEST(std::is_sorted(used.begin(), used.end()));
    BOOST_TEST(used.front() == "r1a");
    BOOST_TEST(used.back() == "r1b");
}

// If the slots assigned to all instances do not add up to the slots of an upstream, it is overloaded or partly idle. No
// instance may get much less than another, because callers are spread evenly.
RC_BOOST_FIXTURE_PROP(assignedSlotsAddUpAndAreEven, Fixture, (const std::vector<std::uint8_t> &slots, std::uint8_t instances))
{
    std::vector<std::string> names;
    for (int index = 0; index <= instances % 16; ++index) {
        names.push_back("e" + std::to_string(index));
    }
    std::vector<std::string> upstreamNames;
    for (std::size_t index = 0; index < slots.size(); ++index) {
        upstreamNames.push_back("u" + std::to_string(index));
    }
    std::vector<SplitUpstream> upstreams;
    for (std::size_t index = 0; index < slots.size(); ++index) {
        upstreams.push_back({upstreamNames[index], slots[index]});
    }
    std::vector<std::uint32_t> perUpstream(slots.size(), 0);
    std::vector<std::uint32_t> perInstance;
    for (const std::string &name : names) {
        const std::vector<std::uint32_t> assigned = assignedSlots(upstreams, names, name);
        perInstance.push_back(std::accumulate(assigned.begin(), assigned.end(), 0U));
        std::transform(assigned.begin(), assigned.end(), perUpstream.begin(), perUpstream.begin(), std::plus<>());
    }
    RC_ASSERT(std::equal(perUpstream.begin(), perUpstream.end(), slots.begin(), slots.end()));
    const auto [least, most] = std::minmax_element(perInstance.begin(), perInstance.end());
    RC_ASSERT(*most - *least <= 1U);
}

// A retry at an upstream that was already tried for the request would probably fail again.
BOOST_AUTO_TEST_CASE(excludedUpstreamsAreNotChosen)
{
    const auto first = choose();
    BOOST_REQUIRE(first.has_value());
    const std::array tried{first->index};
    while (const auto choice = choose(true, tried)) {
        BOOST_TEST(choice->index != first->index);
    }
}

// New attempts on a drained upstream fail when it stops. The unit of an attempt that runs during the drain must be released
// when the attempt ends.
BOOST_AUTO_TEST_CASE(leavingUpstreamFinishesRunningAttemptsAndGetsNoNewOnes)
{
    const auto choice = choose();
    BOOST_REQUIRE(choice.has_value());
    const std::uint32_t before = set.concurrency(domains, now);
    const std::array drains{engine::Drain{engine::DrainKind::FailureDomain, "r1a"}};
    set.drainsUpdated({1}, drains, now);
    BOOST_TEST(set.leaving(choice->index));
    BOOST_TEST(set.allowed(choice->index, now) == 0);
    BOOST_TEST(set.concurrency(domains, now) < before);
    while (const auto other = choose()) {
        BOOST_TEST(set.upstream(other->index).failureDomain == "r1b");
    }
    finish(*choice);
    BOOST_TEST(set.inFlight(choice->index) == 0);
}

// An older drain list that arrives late must not determine the state of upstreams that are added afterwards.
BOOST_AUTO_TEST_CASE(olderDrainListIsIgnored)
{
    const std::array drains{engine::Drain{engine::DrainKind::Region, "r1"}};
    set.drainsUpdated({3}, drains, now);
    set.drainsUpdated({2}, {}, now);
    UpstreamSetConfig next = config();
    next.upstreams.push_back({"new", "10.0.0.2:1", "r1a", "r1", 4, 60, 1.0});
    set.update(next, now);
    BOOST_TEST(set.leaving(*set.find("u0")));
    BOOST_TEST(set.leaving(*set.find("new")));
    set.drainsUpdated({4}, {}, now);
    BOOST_TEST(!set.leaving(*set.find("new")));
}

// Lists and load reports lag, so a response that states that the upstream is leaving must stop new attempts at once. After a
// live report the upstream must return with a ramp.
BOOST_AUTO_TEST_CASE(leavingResponseTakesEffectAtOnce)
{
    const auto choice = choose();
    BOOST_REQUIRE(choice.has_value());
    finish(*choice, AttemptResult::Completed, true);
    BOOST_TEST(set.leaving(choice->index));
    set.loadReported({set.upstream(choice->index).name, {1}, engine::UpstreamState::Live, 4, 0, 0}, now);
    BOOST_TEST(!set.leaving(choice->index));
    BOOST_TEST(set.limit(choice->index).ramp(now) < 1.0);
}

// A probe may fail after it ran, so a request that is not idempotent must never probe an ejected upstream.
BOOST_AUTO_TEST_CASE(onlyIdempotentRequestsProbe)
{
    ejectByFailures(0);
    BOOST_TEST(set.ejected(0));
    now += 10s;
    for (int count = 0; count < 50; ++count) {
        const auto choice = choose(false);
        BOOST_REQUIRE(choice.has_value());
        BOOST_TEST(choice->index != 0);
        finish(*choice);
    }
    const auto probe = choose(true);
    BOOST_REQUIRE(probe.has_value());
    BOOST_TEST(probe->index == 0);
    BOOST_TEST(probe->probe);
    BOOST_TEST(choose(true)->index != 0);
    finish(*probe);
    BOOST_TEST(!set.ejected(0));
    BOOST_TEST(set.limit(0).ramp(now) < 1.0);
}

// When most upstreams fail, the fault is more likely on the side of this instance. Ejecting all of them would leave no
// upstream to serve requests.
BOOST_AUTO_TEST_CASE(healthIsIgnoredWhenMostUpstreamsAreEjected)
{
    UpstreamSetOptions options;
    options.splitSlots = false;
    set = UpstreamSet(config(), options);
    for (const std::size_t index : {0U, 1U, 4U, 5U}) {
        ejectByFailures(index, AttemptResult::NothingSent);
    }
    BOOST_TEST(!set.healthIgnored()); // four of eight
    BOOST_TEST(set.allowed(0, now) == 0);
    domains = set.domainsFrom("r1a", "r1", true);
    ejectByFailures(2);
    BOOST_TEST(set.healthIgnored());
    BOOST_TEST(set.allowed(0, now) > 0);
    BOOST_TEST(choose(false).has_value());
}

// A document update that reset health or lost units would send requests to failed upstreams or exceed their slots. Indices of
// removed upstreams must not be reused while an attempt is running.
BOOST_AUTO_TEST_CASE(documentUpdateKeepsStateOfRemainingUpstreams)
{
    ejectByFailures(0);
    const auto held = choose(false);
    BOOST_REQUIRE(held.has_value());
    UpstreamSetConfig next = config();
    next.upstreams.erase(next.upstreams.begin() + static_cast<std::ptrdiff_t>(held->index));
    next.upstreams.push_back({"new", "10.0.0.2:1", "r1a", "r1", 4, 60, 1.0});
    next.upstreams[0].weight = 2.0;
    set.update(next, now);
    domains = set.domainsFrom("r1a", "r1", false);
    BOOST_TEST(set.ejected(0));
    BOOST_TEST(!set.present(held->index));
    BOOST_TEST(set.inFlight(held->index) == 1);
    BOOST_TEST(*set.find("new") != held->index);
    BOOST_TEST(set.limit(*set.find("new")).ramp(now) < 1.0);
    finish(*held);
    BOOST_TEST(set.inFlight() == 0);
    // A changed address means another process, whose health is unknown.
    next.upstreams[0].address = "10.0.0.9:1";
    set.update(next, now);
    BOOST_TEST(!set.ejected(*set.find("u0")));
}

// The scheduler may start an urgent request above the slots. Without the extra unit no upstream could be chosen for it.
BOOST_AUTO_TEST_CASE(urgentRequestMayExceedTheLimitByOne)
{
    while (choose()) {}
    ChoiceRequest request{PriorityClass::Urgent, false, {}, domains, false};
    BOOST_TEST(!set.choose(request, now, random, policy).has_value());
    request.beyondLimit = true;
    BOOST_TEST(set.choose(request, now, random, policy).has_value());
}

// Candidates are a changing subset of the set, so the policy must continue by index in the set and wrap around.
BOOST_AUTO_TEST_CASE(roundRobinTakesTurns)
{
    RoundRobin turns;
    const std::array candidates{Candidate{2, 0, 1}, Candidate{5, 0, 1}, Candidate{6, 0, 1}};
    std::vector<std::size_t> order;
    for (int count = 0; count < 4; ++count) {
        order.push_back(candidates.at(turns.select(candidates, random)).index);
    }
    BOOST_TEST(order == (std::vector<std::size_t>{2, 5, 6, 2}), boost::test_tools::per_element());
}

// Events can arrive in any order. After each one, no unusable upstream may be chosen, no unit of concurrency may be lost and
// no ceiling may be exceeded.
RC_BOOST_FIXTURE_PROP(invariantsHoldAfterEveryEvent, Fixture, (const std::vector<std::array<std::uint8_t, 3>> &events))
{
    std::vector<Choice> held;
    std::uint64_t generation = 0;
    for (const auto &[kind, first, second] : events) {
        now += std::chrono::milliseconds(20 * second);
        const std::string name = "u" + std::to_string(first % 8);
        switch (kind % 8) {
        case 0:
            set.loadReported({name, {1 + second % 3U}, static_cast<engine::UpstreamState>(second % 3), 4, first % 5U, 0}, now);
            break;
        case 1:
            set.listedLeaving(name, {1 + second % 3U});
            break;
        case 2: {
            const std::array drains{engine::Drain{engine::DrainKind::Upstream, name}};
            set.drainsUpdated({++generation}, std::span(drains).first(second % 2), now);
            break;
        }
        case 3: {
            UpstreamSetConfig next = config();
            next.upstreams.erase(next.upstreams.begin() + first % 8);
            set.update(second % 2 == 0 ? next : config(), now);
            domains = set.domainsFrom("r1a", "r1", second % 3 == 0);
            break;
        }
        case 4:
            if (!held.empty()) {
                finish(held.back(), static_cast<AttemptResult>(first % 7), second % 16 == 0);
                held.pop_back();
            }
            break;
        default: {
            const ChoiceRequest request{base::s_priorityClasses.at(first % 3), second % 2 == 0, {}, domains, first % 5 == 0};
            const bool possible = set.canChoose(request, now);
            if (const auto choice = set.choose(request, now, random, policy)) {
                RC_ASSERT(set.present(choice->index) && !set.leaving(choice->index));
                RC_ASSERT(!choice->probe || request.idempotent);
                RC_ASSERT(choice->probe || !set.ejected(choice->index) || set.healthIgnored());
                held.push_back(*choice);
            } else {
                RC_ASSERT(!possible);
            }
        }
        }
        RC_ASSERT(set.inFlight() == held.size());
        RC_ASSERT(set.concurrency(domains, now) >= held.size());
        for (std::size_t index = 0; index < set.size(); ++index) {
            RC_ASSERT(set.inFlight(index) <= set.limit(index).ceiling());
            RC_ASSERT(set.allowed(index, now) <= set.limit(index).ceiling());
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
