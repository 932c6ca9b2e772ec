// Tests of overload control: what callers get under load, by kind and account, compared with other rules.

#include "trefoilstile/ingress/overload_control.hpp"

#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include "overload_emulation.hpp"

namespace trefoilstile::ingress
{

namespace
{

using namespace std::chrono_literals;

/// Requests/s of warm work that 12 upstreams with 4 slots can do if its mean time is 0.25 s.
constexpr double s_capacity = 12 * 4 / 0.25;

/// Ledger views and filings of deployment B in their proportion, at a multiple of the capacity.
std::vector<EmulatedLoad> mixedService(double multiple)
{
    EmulatedLoad views{makeRoute("views", 600ms, 4s, 2), 0.7 * multiple * s_capacity, 750ms};
    EmulatedLoad filings{makeRoute("filings", 800ms, 6s, 1), 0.3 * multiple * s_capacity, 990ms};
    return {views, filings};
}

/// Checks that callers get more value than by each of the other rules.
std::vector<EmulatedResult> checkGain(const std::vector<EmulatedLoad> &loads)
{
    const auto results = playSeeds(loads, EmulatedRules::Overload);
    const double value = sum(results).value;
    for (const EmulatedRules rules : {EmulatedRules::Overload, EmulatedRules::Today, EmulatedRules::Fifo, EmulatedRules::StrictPriority}) {
        const EmulatedResult other = rules == EmulatedRules::Overload ? sum(results) : sum(playSeeds(loads, rules));
        BOOST_TEST_MESSAGE("rules " << static_cast<int>(rules) << ": value " << other.value << ", in time " << other.inTime / other.sent << ", late "
                                    << other.late / other.sent << ", refused " << other.refused / other.sent << ", again " << other.refusedAgain / other.sent);
        BOOST_TEST((value > other.value || rules == EmulatedRules::Overload));
    }
    return results;
}

/// Least fraction of the requests of a kind or account that must be served, relative to all.
constexpr double s_requiredShare = 0.25;
constexpr double s_allowedInversion = 0.05;

} // namespace

BOOST_AUTO_TEST_SUITE(OverloadControlSuite)

// Guards against a price that jumps, that oscillates with the age of the loads, or that refuses requests after a burst has ended.
BOOST_AUTO_TEST_CASE(priceMovesByBoundedStepsAndFallsWithinASecond)
{
    const Route route = makeRoute("views", 600ms, 4s, 2);
    OverloadControl control;
    base::TimePoint now(100s);
    double before = 0;
    const auto offer = [&](double load) {
        now += 20ms;
        control.arrived({route, nullptr, static_cast<std::uint64_t>(now.time_since_epoch().count()), requestCost(route, nullptr, 4s)}, load, now);
        BOOST_TEST(control.refusedFraction() - before < 0.15);
        before = control.refusedFraction();
    };
    for (int i = 0; i < 500; ++i) {
        offer(3.5);
    }
    BOOST_TEST(control.refusedFraction() > 0.9);
    BOOST_TEST(control.price() > 0);
    for (int i = 0; i < 50; ++i) {
        offer(0.4);
    }
    BOOST_TEST(control.refusedFraction() == 0);
    BOOST_TEST(control.price() == 0);
}

// Guards against oscillation under a steady load: with loads that are 0.3 to 3 s old the refused fraction must not swing between
// refusing nothing and nearly everything.
BOOST_AUTO_TEST_CASE(refusedFractionIsSteadyWithOldLoads)
{
    for (const base::Duration lag : {300ms, 1'000ms, 2'500ms}) {
        EmulationOptions options;
        options.lag = lag;
        OverloadEmulation emulation(options, mixedService(1.6));
        double least = 1;
        double greatest = 0;
        emulation.onShare = [&](base::Duration at) {
            if (at > 15s) {
                least = std::min(least, emulation.refusedFraction(0));
                greatest = std::max(greatest, emulation.refusedFraction(0));
            }
        };
        emulation.run();
        BOOST_TEST_MESSAGE("lag " << base::toMilliseconds(lag) << " ms: refused fraction " << least << " to " << greatest);
        BOOST_TEST(least > 0);
        BOOST_TEST(greatest - least < 0.5);
    }
}

// Guards against a refused request that is told to return later than one that is worth less, or later than callers wait.
BOOST_AUTO_TEST_CASE(requestsThatAreWorthMoreReturnSooner)
{
    const std::vector<Route> routes{makeRoute("a", 600ms, 4s, 0), makeRoute("b", 600ms, 4s, 2)};
    OverloadControl control;
    base::TimePoint now(100s);
    std::array<base::Duration, 2> longest{};
    for (std::uint64_t i = 0; i < 1'000; ++i) {
        now += 10ms;
        const Route &route = routes[i % 2];
        const OverloadControl::Request request{route, nullptr, i, requestCost(route, nullptr, 4s)};
        const OverloadControl::Admission admission = control.arrived(request, 3.5, now);
        if (admission.refusal != RefusalReason::None) {
            const base::Duration after = control.refused(request, admission, now);
            BOOST_TEST((after >= 300ms && after <= 4s / 3));
            longest.at(i % 2) = std::max(longest.at(i % 2), after);
        }
    }
    BOOST_TEST((longest[0] < longest[1]));
}

// Guards against waits that end after the objective, and against an attempt that may not be repeated so close to its deadline.
BOOST_AUTO_TEST_CASE(queueLimitsFollowObjectiveAndDeadline)
{
    OverloadControl control;
    Route route = makeRoute("views", 600ms, 4s, 0);
    const QueueLimit once = control.queueLimit(requestCost(route, nullptr, 1s), false);
    route.idempotent = true;
    const QueueLimit repeatable = control.queueLimit(requestCost(route, nullptr, 1s), false);
    const QueueLimit cold = control.queueLimit(requestCost(route, nullptr, 1s), true);
    BOOST_TEST((once.wait < 600ms - 240ms));
    BOOST_TEST((once.deadlineWait < repeatable.deadlineWait));
    BOOST_TEST((cold.wait < once.wait));
    BOOST_TEST(!control.queueLimit(requestCost(route, nullptr, 200ms), false).allows(0, 4, 0ms));
}

// Guards against losses to callers at a service like that of deployment B under load beyond its capacity, against an inversion of
// priorities there, and against the starvation of the less urgent kind.
BOOST_AUTO_TEST_CASE(mixedServiceBeyondItsCapacityServesWhatIsWorthMost)
{
    const auto results = checkGain(mixedService(1.6));
    BOOST_TEST(results[0].served() <= results[1].served() + s_allowedInversion);
    BOOST_TEST(results[0].served() >= s_requiredShare * sum(results).served());
}

// Guards against queues that a burst of two kinds leaves full of late work.
BOOST_AUTO_TEST_CASE(burstOfTwoKindsCostsCallersLess)
{
    auto loads = mixedService(0.6);
    for (EmulatedLoad burst : mixedService(1.5)) {
        burst.from = 12s;
        burst.until = 17s;
        loads.push_back(burst);
    }
    checkGain(loads);
}

// The same with a burst to three times the capacity, which fills all queues within a second.
BOOST_AUTO_TEST_CASE(largeBurstOfTwoKindsCostsCallersLess)
{
    auto loads = mixedService(0.6);
    for (EmulatedLoad burst : mixedService(2.5)) {
        burst.from = 12s;
        burst.until = 17s;
        loads.push_back(burst);
    }
    checkGain(loads);
}

// Guards against a hot account that displaces the requests of others: what it sends beyond its share is refused first.
BOOST_AUTO_TEST_CASE(hotAccountPaysForItsOwnExcess)
{
    std::vector<Account> accounts(8);
    std::vector<EmulatedLoad> loads;
    for (std::size_t i = 0; i < accounts.size(); ++i) {
        accounts[i].name = std::to_string(i);
        accounts[i].requestsPerSecond = 20;
        EmulatedLoad load{makeRoute("reads", 400ms, 3s, 1), i == 0 ? 7.5 * 20 : 20, 600ms, &accounts[i]};
        loads.push_back(load);
    }
    const auto before = playSeeds(loads, EmulatedRules::Today);
    const auto results = playSeeds(loads, EmulatedRules::Overload);
    const EmulatedResult others = sum({results.begin() + 1, results.end()});
    const EmulatedResult othersBefore = sum({before.begin() + 1, before.end()});
    BOOST_TEST_MESSAGE("in time: others " << others.inTime / others.sent << ", before " << othersBefore.inTime / othersBefore.sent << ", hot "
                                          << results[0].inTime / results[0].sent);
    BOOST_TEST(others.inTime / others.sent > othersBefore.inTime / othersBefore.sent);
    BOOST_TEST(others.inTime / others.sent > results[0].inTime / results[0].sent);
    BOOST_TEST(results[0].served() >= s_requiredShare * sum(results).served());
}

// Guards against callers that get in by retrying immediately, at the cost of those that honour `Retry-After`.
BOOST_AUTO_TEST_CASE(immediateRetriesDisplaceNoOneThatWaits)
{
    auto loads = mixedService(0.8);
    for (EmulatedLoad impatient : mixedService(0.8)) {
        impatient.retriesImmediately = true;
        loads.push_back(impatient);
    }
    const auto results = checkGain(loads);
    const EmulatedResult patient = sum({results[0], results[1]});
    const EmulatedResult impatient = sum({results[2], results[3]});
    BOOST_TEST_MESSAGE("in time: " << patient.inTime / patient.sent << ", impatient " << impatient.inTime / impatient.sent << "; served " << patient.served()
                                   << ", impatient " << impatient.served());
    BOOST_TEST(impatient.value / impatient.sent <= 1.05 * patient.value / patient.sent);
}

// Guards against cold work, which takes several times as long, in the slots that warm work needs.
BOOST_AUTO_TEST_CASE(coldWorkDoesNotDisplaceWarmWork)
{
    auto loads = mixedService(1.2);
    EmulatedLoad cold = loads[0];
    cold.route.name = "rare";
    cold.requestsPerSecond = 0.1 * s_capacity;
    cold.objects = 100'000;
    loads.push_back(cold);
    const auto results = checkGain(loads);
    BOOST_TEST(results[2].served() >= s_requiredShare * sum(results).served());
}

// Guards against the starvation of a kind or an account by any mix of the others, and against inversions of priorities.
BOOST_AUTO_TEST_CASE(noKindOrAccountStarves)
{
    const bool holds = rc::check([]() {
        std::vector<Account> accounts(3);
        std::vector<EmulatedLoad> loads;
        for (std::size_t i = 0; i < 6; ++i) {
            Account &account = accounts[i / 2];
            account.name = std::to_string(i / 2);
            account.requestsPerSecond = *rc::gen::inRange(20, 400);
            const auto objective = std::chrono::milliseconds(*rc::gen::inRange(200, 1'000));
            EmulatedLoad load{makeRoute("kind" + std::to_string(i % 2), objective, 4s, i % 2 == 0 ? 2 : *rc::gen::inRange(0, 2)),
                *rc::gen::inRange(1, 6) * s_capacity / 16,
                objective * 5 / 4,
                &account};
            loads.push_back(load);
        }
        EmulationOptions options;
        options.seed = *rc::gen::inRange(0, 1'000);
        options.instances = 2;
        options.upstreams = 5;
        options.length = 14s;
        options.measureFrom = 4s;
        const auto results = play(loads, EmulatedRules::Overload, options);
        const EmulatedResult all = sum(results);
        for (std::size_t i = 0; i < 3; ++i) {
            RC_ASSERT(sum({results[2 * i], results[2 * i + 1]}).served() >= s_requiredShare * all.served());
        }
        const EmulatedResult lessUrgent = sum({results[0], results[2], results[4]});
        const EmulatedResult moreUrgent = sum({results[1], results[3], results[5]});
        RC_ASSERT(lessUrgent.served() >= s_requiredShare * all.served());
        RC_ASSERT(lessUrgent.served() <= moreUrgent.served() + s_allowedInversion);
    });
    BOOST_TEST(holds);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace trefoilstile::ingress
