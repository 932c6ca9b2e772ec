// Tests that the sum over all instances stays within the limits of the fleet.

#include "trefoilstile/ingress/fleet_limits.hpp"

#include <algorithm>
#include <deque>
#include <vector>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

namespace trefoilstile::ingress
{

namespace
{

using namespace std::chrono_literals;

constexpr base::TimePoint s_start = base::TimePoint(100s);

} // namespace

BOOST_AUTO_TEST_SUITE(FleetLimits)

// Guards against a fleet that retries more than operators allow when every request fails, also if members start late and some
// instances therefore know fewer of them.
RC_BOOST_PROP(retriesOfAllInstancesStayWithinTheLimit, ())
{
    const auto instances = static_cast<std::size_t>(*rc::gen::inRange(1, 30));
    const RetryShareOptions options{0.2, 10s, 64, 0.85};
    std::vector<RetryShare> shares(instances, RetryShare(options));
    std::deque<std::pair<base::TimePoint, int>> requests;
    std::deque<std::pair<base::TimePoint, int>> retries;
    for (int step = 0; step < 300; ++step) {
        const base::TimePoint now = s_start + step * 100ms;
        int arrived = 0;
        int retried = 0;
        const int load = *rc::gen::inRange(0, 5);
        for (RetryShare &share : shares) {
            for (int i = 0; i < load; ++i) {
                share.requestArrived(now);
                ++arrived;
                retried += share.tryTake(instances, now) ? 1 : 0;
            }
        }
        requests.emplace_back(now, arrived);
        retries.emplace_back(now, retried);
        const auto within = [now](const auto &entries, base::Duration span) {
            int sum = 0;
            for (const auto &[time, count] : entries) {
                sum += time > now - span ? count : 0;
            }
            return sum;
        };
        RC_ASSERT(within(retries, 10s) <= 0.2 * within(requests, 10s) + 64);
    }
}

// Guards against an instance that uses the slack before it knows how many members share it.
BOOST_AUTO_TEST_CASE(noSlackWithoutKnownMembers)
{
    RetryShare share({0.2, 10s, 64, 0.85});
    BOOST_TEST(!share.tryTake(0, s_start));
    BOOST_TEST(share.tryTake(12, s_start));
}

// Guards against many instances that overload a warming upstream together although each stays within a rate of its own.
BOOST_AUTO_TEST_CASE(warmUpRateHoldsForAllInstancesTogether)
{
    for (const std::size_t instances : {1U, 9U, 12U, 87U}) {
        std::vector<WarmUpShare> shares(instances);
        std::vector<base::TimePoint> sent;
        for (int step = 0; step < 400; ++step) {
            const base::TimePoint now = s_start + step * 10ms;
            for (std::size_t rank = 0; rank < instances; ++rank) {
                if (shares[rank].tryTake(16, instances, rank, now)) {
                    sent.push_back(now);
                }
            }
        }
        for (const base::TimePoint from : sent) {
            const auto count = std::count_if(sent.begin(), sent.end(), [from](base::TimePoint time) {
                return time >= from && time < from + 1s;
            });
            BOOST_TEST(count <= 16);
        }
        BOOST_TEST(sent.size() >= 16U);
    }
}

// Guards against an instance that is partitioned from the others and uses their shares.
BOOST_AUTO_TEST_CASE(memberCountKeepsTheRecentMaximum)
{
    MemberCount count(60s);
    count.observe(12, s_start);
    count.observe(1, s_start + 30s);
    BOOST_TEST(count.value() == 12U);
    count.observe(1, s_start + 61s);
    BOOST_TEST(count.value() == 1U);
}

// Guards against a sudden shift between regions when one of them lacks capacity.
BOOST_AUTO_TEST_CASE(spilledShareStaysBelowItsLimit)
{
    SpillLimit limit(0.05);
    int spilled = 0;
    for (int i = 0; i < 4000; ++i) {
        const base::TimePoint now = s_start + i * 1ms;
        limit.requestPlaced(now);
        spilled += limit.tryTake(now) ? 1 : 0;
    }
    BOOST_TEST(spilled <= 200);
    BOOST_TEST(spilled > 100);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace trefoilstile::ingress
