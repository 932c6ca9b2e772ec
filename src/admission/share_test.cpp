// Guards against a flood of one class that takes the minimum share of another, and against urgent requests that wait
// behind bulk requests, in particular with few slots. The service is a hand-written fake with slots and virtual time.

#include <algorithm>
#include <cmath>
#include <queue>
#include <utility>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "trefoilstile/admission/class_scheduler.hpp"
#include "trefoilstile/base/random.hpp"

using namespace trefoilstile;
using namespace trefoilstile::admission;
using namespace std::chrono_literals;
using base::PriorityClass;

namespace
{

struct Load {
    base::Duration interval{}; ///< mean time between arrivals; 0 for none
    base::Duration holdingTime{}; ///< mean time for which a request holds its slot
};

struct Usage {
    double slotSeconds{};
    std::size_t served{};
    std::size_t offered{};
    std::size_t lost{}; ///< rejected or expired
    base::Duration longestWait{};
};

SchedulerOptions options()
{
    SchedulerOptions result;
    result.classes = {{document::ClassPolicy{8.0, 0.3}, document::ClassPolicy{3.0, 0.3}, document::ClassPolicy{1.0, 0.1}}};
    return result;
}

/// Service in which each request holds a slot for an exponentially distributed time. Time advances in steps of 1 ms.
class FakeService
{
public:
    FakeService(const SchedulerOptions &schedulerOptions, std::size_t slots)
        : m_scheduler(schedulerOptions)
        , m_slots(slots)
    {
    }

    base::PerClass<Usage> run(const base::PerClass<Load> &loads, base::Duration time)
    {
        base::PerClass<base::TimePoint> arrivals;
        for (const base::TimePoint end = m_now + time; m_now < end; m_now += 1ms) {
            while (!m_running.empty() && m_running.top().end <= m_now) {
                const Running ended = m_running.top();
                m_running.pop();
                m_scheduler.finished(ended.priorityClass, ended.holdingTime, ended.holdingTime);
            }
            for (const PriorityClass priorityClass : base::s_priorityClasses) {
                const Load &load = loads[priorityClass];
                for (base::TimePoint &next = arrivals[priorityClass]; load.interval > 0s && next <= m_now; next += exponential(load.interval)) {
                    if (next == base::TimePoint()) {
                        next = m_now;
                    }
                    ++m_usage[priorityClass].offered;
                    const QueuedRequest request{{++m_lastId}, priorityClass, m_now, m_now + 3s};
                    m_usage[priorityClass].lost += m_scheduler.enqueue(request, m_now, m_slots) == Admission::Accepted ? 0 : 1;
                }
            }
            for (const QueuedRequest &expired : m_scheduler.expire(m_now)) {
                ++m_usage[expired.priorityClass].lost;
            }
            while (const auto started = m_scheduler.next(m_now, m_slots)) {
                start(started->request, loads);
            }
        }
        return std::exchange(m_usage, {});
    }

private:
    struct Running {
        base::TimePoint end;
        PriorityClass priorityClass;
        base::Duration holdingTime;

        bool operator<(const Running &other) const
        {
            return end > other.end;
        }
    };

    base::Duration exponential(base::Duration mean)
    {
        const double factor = -std::log(1.0 - base::uniformUnit(m_random));
        return std::max<base::Duration>(1us, std::chrono::duration_cast<base::Duration>(mean * factor));
    }

    void start(const QueuedRequest &request, const base::PerClass<Load> &loads)
    {
        Usage &usage = m_usage[request.priorityClass];
        const base::Duration holdingTime = exponential(loads[request.priorityClass].holdingTime);
        usage.slotSeconds += base::toSeconds(holdingTime);
        ++usage.served;
        usage.longestWait = std::max(usage.longestWait, m_now - request.arrival);
        m_running.push({m_now + holdingTime, request.priorityClass, holdingTime});
    }

    ClassScheduler m_scheduler;
    std::size_t m_slots;
    base::SplitMix64 m_random{20261204};
    base::TimePoint m_now{1s};
    std::priority_queue<Running> m_running;
    base::PerClass<Usage> m_usage;
    std::uint64_t m_lastId{};
};

} // namespace

BOOST_AUTO_TEST_SUITE(Shares)

// Without minimum shares, or without credit for their fractional part, some class gets far less than its share here.
BOOST_DATA_TEST_CASE(
    everyClassKeepsItsShareUnderFloods, boost::unit_test::data::make({1, 2, 3, 4, 5, 10, 16}) * boost::unit_test::data::make({0, 1, 2}), slots, flood)
{
    const double perSlot = 1.0 / slots;
    base::PerClass<Load> loads{{Load{20ms, 20ms}, Load{20ms, 20ms}, Load{20ms, 20ms}}};
    for (Load &load : loads.values) {
        // Each class alone offers 1.5 times the capacity, the flooding class 10 times.
        load.interval = std::chrono::duration_cast<base::Duration>(load.holdingTime * perSlot / 1.5);
    }
    loads.values[flood].interval = std::chrono::duration_cast<base::Duration>(loads.values[flood].holdingTime * perSlot / 10.0);
    FakeService service(options(), slots);
    service.run(loads, 10s);
    const base::PerClass<Usage> usage = service.run(loads, 60s);
    for (const PriorityClass priorityClass : base::s_priorityClasses) {
        const double share = usage[priorityClass].slotSeconds / (60.0 * slots);
        BOOST_TEST(share >= 0.95 * options().classes[priorityClass].minimumShare, toString(priorityClass) << " got a share of " << share);
    }
}

// With long downloads in few slots, an urgent request that finds no free slot would wait for seconds.
BOOST_DATA_TEST_CASE(urgentDoesNotWaitBehindDownloads, boost::unit_test::data::make({1, 2, 3, 4, 5, 10, 16}), slots)
{
    const base::PerClass<Load> loads{{Load{500ms, 20ms}, Load{}, Load{50ms, 10s}}};
    FakeService service(options(), slots);
    const base::PerClass<Usage> usage = service.run(loads, 300s);
    BOOST_TEST(usage[PriorityClass::Urgent].served > 500);
    BOOST_TEST(usage[PriorityClass::Urgent].lost == 0);
    // An urgent request may wait for another urgent request, but not for a download of 10 s.
    BOOST_TEST(base::toMilliseconds(usage[PriorityClass::Urgent].longestWait) <= 300);
}

// A class that gets requests again after downloads have taken all slots that they may take must find its share free.
// Otherwise its requests would wait until a download ends.
BOOST_DATA_TEST_CASE(sharesAreFreeAfterLongWork, boost::unit_test::data::make({4, 10, 16}), slots)
{
    base::PerClass<Load> loads;
    loads[PriorityClass::Bulk] = {50ms, 100s};
    FakeService service(options(), slots);
    service.run(loads, 60s);
    loads[PriorityClass::Interactive] = {std::chrono::duration_cast<base::Duration>(base::Duration(10ms) / (0.1 * slots)), 10ms};
    loads[PriorityClass::Urgent] = loads[PriorityClass::Interactive];
    const base::PerClass<Usage> usage = service.run(loads, 10s);
    for (const PriorityClass priorityClass : {PriorityClass::Urgent, PriorityClass::Interactive}) {
        BOOST_TEST(usage[priorityClass].lost == 0);
        BOOST_TEST(base::toMilliseconds(usage[priorityClass].longestWait) <= 200);
    }
}

// If unused shares were not lent, their slots would stay idle while requests of another class wait.
BOOST_DATA_TEST_CASE(unusedSharesAreLent, boost::unit_test::data::make({1, 2, 3, 4, 5, 10, 16}), slots)
{
    base::PerClass<Load> loads;
    loads[PriorityClass::Interactive] = {std::chrono::duration_cast<base::Duration>(base::Duration(10ms) / (2.0 * slots)), 10ms};
    FakeService service(options(), slots);
    service.run(loads, 5s);
    const base::PerClass<Usage> usage = service.run(loads, 30s);
    // With two or more slots, one is kept for urgent requests.
    const double lent = slots == 1 ? 1.0 : (slots - 1.0) / slots;
    BOOST_TEST(usage[PriorityClass::Interactive].slotSeconds >= 0.9 * lent * 30.0 * slots);
}

// Slots beyond the shares that urgent requests leave are divided by the weights, here 3 to 1. If the weights were ignored,
// the parts would not follow the document.
BOOST_AUTO_TEST_CASE(weightsDivideTheSlotsBeyondTheShares)
{
    const base::PerClass<Load> loads{{Load{}, Load{500us, 20ms}, Load{500us, 20ms}}};
    FakeService service(options(), 20);
    service.run(loads, 5s);
    const base::PerClass<Usage> usage = service.run(loads, 60s);
    const double interactive = usage[PriorityClass::Interactive].slotSeconds / 60.0 - 0.3 * 20;
    const double bulk = usage[PriorityClass::Bulk].slotSeconds / 60.0 - 0.1 * 20;
    BOOST_TEST(interactive / bulk > 2.3);
    BOOST_TEST(interactive / bulk < 3.7);
}

// Urgent demand that fits beside the other classes' shares must be served completely. With division by weights alone, floods
// of the other classes would take a part of its slots.
BOOST_DATA_TEST_CASE(urgentWithinCapacityIsAllServed, boost::unit_test::data::make({4, 10, 16}), slots)
{
    base::PerClass<Load> loads{{Load{20ms, 20ms}, Load{20ms, 20ms}, Load{20ms, 20ms}}};
    loads[PriorityClass::Urgent].interval = std::chrono::duration_cast<base::Duration>(base::Duration(20ms) / (0.5 * slots));
    loads[PriorityClass::Interactive].interval = std::chrono::duration_cast<base::Duration>(base::Duration(20ms) / (10.0 * slots));
    loads[PriorityClass::Bulk].interval = loads[PriorityClass::Interactive].interval;
    SchedulerOptions equalWeights = options();
    for (document::ClassPolicy &policy : equalWeights.classes.values) {
        policy.weight = 1.0;
    }
    FakeService service(equalWeights, slots);
    const base::PerClass<Usage> usage = service.run(loads, 60s);
    BOOST_TEST(usage[PriorityClass::Urgent].lost == 0);
    BOOST_TEST(usage[PriorityClass::Urgent].served >= 0.95 * 0.5 * slots * 60.0 / 0.02);
}

BOOST_AUTO_TEST_SUITE_END()
