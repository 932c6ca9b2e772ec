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

Route makeRoute(const std::string &name, base::Duration objective, base::Duration timeout, std::uint32_t priority)
{
    Route route;
    route.name = name;
    route.latencyObjective = objective;
    route.timeout = timeout;
    route.priority = priority;
    return route;
}

/// Requests/s of warm work that 30 upstreams with 4 slots can do if its mean time is 0.25 s.
constexpr double s_capacity = 30 * 4 / 0.25;

/// Ledger views and filings of deployment B in their proportion, at a multiple of the capacity.
std::vector<EmulatedLoad> mixedService(double multiple)
{
    EmulatedLoad views{makeRoute("views", 600ms, 4s, 2), 0.7 * multiple * s_capacity, 750ms};
    EmulatedLoad filings{makeRoute("filings", 800ms, 6s, 1), 0.3 * multiple * s_capacity, 990ms};
    return {views, filings};
}

std::vector<EmulatedResult> play(const std::vector<EmulatedLoad> &loads, EmulatedRules rules, std::uint64_t seed = 1)
{
    EmulationOptions options;
    options.rules = rules;
    options.seed = seed;
    OverloadEmulation emulation(options, loads);
    emulation.run();
    return emulation.results;
}

EmulatedResult sum(const std::vector<EmulatedResult> &results)
{
    EmulatedResult total;
    for (const EmulatedResult &result : results) {
        total.sent += result.sent;
        total.inTime += result.inTime;
        total.late += result.late;
        total.refused += result.refused;
        total.refusedAgain += result.refusedAgain;
        total.value += result.value;
    }
    return total;
}

/// Checks that callers get more value than by each of the other rules.
std::vector<EmulatedResult> checkGain(const std::vector<EmulatedLoad> &loads)
{
    const auto results = play(loads, EmulatedRules::Overload);
    const double value = sum(results).value;
    for (const EmulatedRules rules : {EmulatedRules::Today, EmulatedRules::Fifo, EmulatedRules::StrictPriority}) {
        const EmulatedResult other = sum(play(loads, rules));
        BOOST_TEST_MESSAGE("rules " << static_cast<int>(rules) << ": value " << other.value << " of " << value << ", in time " << other.inTime / other.sent
                                    << ", late " << other.late / other.sent << ", refused " << other.refused / other.sent << ", again "
                                    << other.refusedAgain / other.sent);
        BOOST_TEST(value > other.value);
    }
    return results;
}

/// Least fraction of the requests of a kind or account that must be served, relative to all.
constexpr double s_requiredShare = 0.25;
constexpr double s_allowedInversion = 0.05;

} // namespace

BOOST_AUTO_TEST_SUITE(OverloadControlSuite)

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
        accounts[i].requestsPerSecond = 50;
        EmulatedLoad load{makeRoute("reads", 400ms, 3s, 1), i == 0 ? 7.5 * 45 : 45, 600ms, &accounts[i]};
        loads.push_back(load);
    }
    const auto before = play(loads, EmulatedRules::Today);
    const auto results = play(loads, EmulatedRules::Overload);
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
                *rc::gen::inRange(1, 6) * s_capacity / 8,
                objective * 5 / 4,
                &account};
            loads.push_back(load);
        }
        const auto results = play(loads, EmulatedRules::Overload, 1 + *rc::gen::inRange(0, 1'000));
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
