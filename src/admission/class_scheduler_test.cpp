// Guards against accepted requests that are lost, started after their deadline or started without a slot, and against
// wrong early rejections.

#include "trefoilstile/admission/class_scheduler.hpp"

#include <map>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace trefoilstile;
using namespace trefoilstile::admission;
using namespace std::chrono_literals;
using base::PriorityClass;

namespace
{

SchedulerOptions options()
{
    SchedulerOptions result;
    result.classes = {{document::ClassPolicy{8.0, 0.3}, document::ClassPolicy{3.0, 0.3}, document::ClassPolicy{1.0, 0.1}}};
    result.queueLength = 8;
    result.order = QueueOrder::Fifo;
    return result;
}

QueuedRequest request(std::uint64_t id, PriorityClass priorityClass, base::TimePoint now, base::Duration timeout = 1s)
{
    return {{id}, priorityClass, now, now + timeout};
}

} // namespace

BOOST_AUTO_TEST_SUITE(ClassSchedulers)

// With a start order by arrival, urgent requests would wait behind bulk requests that arrived earlier.
BOOST_AUTO_TEST_CASE(urgentStartsBeforeEarlierBulk)
{
    ClassScheduler scheduler(options());
    const base::TimePoint now(1s);
    BOOST_TEST((scheduler.enqueue(request(1, PriorityClass::Bulk, now), now, 10) == Admission::Accepted));
    BOOST_TEST((scheduler.enqueue(request(2, PriorityClass::Interactive, now), now, 10) == Admission::Accepted));
    BOOST_TEST((scheduler.enqueue(request(3, PriorityClass::Urgent, now), now, 10) == Admission::Accepted));
    std::vector<std::uint64_t> started;
    while (const auto next = scheduler.next(now, 10)) {
        started.push_back(next->request.id.value);
    }
    BOOST_TEST(started == (std::vector<std::uint64_t>{3, 2, 1}), boost::test_tools::per_element());
}

// An unbounded queue would fill with requests whose callers no longer wait for a response.
BOOST_AUTO_TEST_CASE(fullQueueRejects)
{
    ClassScheduler scheduler(options());
    const base::TimePoint now(1s);
    for (std::uint64_t id = 1; id <= 8; ++id) {
        BOOST_TEST((scheduler.enqueue(request(id, PriorityClass::Bulk, now, 1h), now, 1) == Admission::Accepted));
    }
    BOOST_TEST((scheduler.enqueue(request(9, PriorityClass::Bulk, now, 1h), now, 1) == Admission::QueueFull));
    BOOST_TEST((scheduler.enqueue(request(10, PriorityClass::Urgent, now, 1h), now, 1) == Admission::Accepted));
}

// A request that would wait past its deadline must be rejected at once, while its caller can still try another instance.
BOOST_AUTO_TEST_CASE(waitBeyondTheDeadlineIsRejectedEarly)
{
    ClassScheduler scheduler(options());
    base::TimePoint now(1s);
    for (int attempt = 0; attempt < 500; ++attempt) {
        scheduler.finished(PriorityClass::Interactive, 400ms, 400ms);
    }
    BOOST_TEST((scheduler.enqueue(request(1, PriorityClass::Interactive, now), now, 1) == Admission::Accepted));
    BOOST_TEST(scheduler.next(now, 1).has_value());
    BOOST_TEST((scheduler.enqueue(request(2, PriorityClass::Interactive, now, 2s), now, 1) == Admission::Accepted));
    BOOST_TEST((scheduler.enqueue(request(3, PriorityClass::Interactive, now, 1s), now, 1) == Admission::DeadlineTooShort));
    BOOST_TEST((scheduler.enqueue(request(4, PriorityClass::Interactive, now, 0s), now, 1) == Admission::DeadlineTooShort));
}

// If slow observations could reject a request that need not wait, no request would ever run and correct the estimate.
BOOST_AUTO_TEST_CASE(idleClassIsNeverRejectedByItsEstimate)
{
    ClassScheduler scheduler(options());
    const base::TimePoint now(1s);
    for (int attempt = 0; attempt < 500; ++attempt) {
        scheduler.finished(PriorityClass::Interactive, 60s, 60s);
    }
    BOOST_TEST((scheduler.enqueue(request(1, PriorityClass::Interactive, now, 1s), now, 2) == Admission::Accepted));
}

// An expired request must not take a slot, and must be reported exactly once so that its caller gets a response.
BOOST_AUTO_TEST_CASE(expiredRequestsDoNotStart)
{
    ClassScheduler scheduler(options());
    const base::TimePoint now(1s);
    scheduler.enqueue(request(1, PriorityClass::Bulk, now, 100ms), now, 4);
    scheduler.enqueue(request(2, PriorityClass::Bulk, now, 3s), now, 4);
    const auto next = scheduler.next(now + 100ms, 4);
    BOOST_REQUIRE(next.has_value());
    BOOST_TEST(next->request.id.value == 2);
    const std::vector<QueuedRequest> expired = scheduler.expire(now + 100ms);
    BOOST_REQUIRE(expired.size() == 1);
    BOOST_TEST(expired[0].id.value == 1);
    BOOST_TEST(scheduler.expire(now + 100ms).empty());
}

// A cancelled start that still counted as running would make its slot unusable permanently.
BOOST_AUTO_TEST_CASE(cancelledStartFreesItsSlot)
{
    ClassScheduler scheduler(options());
    const base::TimePoint now(1s);
    scheduler.enqueue(request(1, PriorityClass::Bulk, now), now, 1);
    const auto next = scheduler.next(now, 1);
    BOOST_REQUIRE(next.has_value());
    scheduler.cancelled(PriorityClass::Bulk);
    scheduler.requeue(next->request);
    BOOST_TEST(scheduler.next(now, 1).has_value());
    BOOST_TEST(scheduler.running() == 1);
}

// Slots reserved for a class that no route of the service assigns would stay idle permanently.
BOOST_AUTO_TEST_CASE(nothingIsReservedForAnUnusedClass)
{
    SchedulerOptions noUrgent = options();
    noUrgent.used[PriorityClass::Urgent] = false;
    BOOST_TEST(ClassScheduler(noUrgent).reserve(PriorityClass::Urgent, PriorityClass::Bulk, base::TimePoint(1s), 10) == 0.0);
    BOOST_TEST(ClassScheduler(options()).reserve(PriorityClass::Urgent, PriorityClass::Bulk, base::TimePoint(1s), 10) >= 1.0);
}

// Long requests release no slot in time: without the whole reserve, the other classes would wait for their end. Short
// requests release slots soon: a large reserve would only leave slots idle.
BOOST_AUTO_TEST_CASE(reserveDependsOnTheHoldingTime)
{
    ClassScheduler longRequests(options());
    ClassScheduler shortRequests(options());
    for (int attempt = 0; attempt < 500; ++attempt) {
        longRequests.finished(PriorityClass::Bulk, 10s, 10ms);
        shortRequests.finished(PriorityClass::Bulk, 5ms, 5ms);
    }
    // Bulk holds its share of 2 of 20 slots and needs a third.
    const base::TimePoint now(1s);
    for (std::uint64_t id = 1; id <= 2; ++id) {
        for (ClassScheduler *scheduler : {&longRequests, &shortRequests}) {
            scheduler->enqueue(request(id, PriorityClass::Bulk, now, 1h), now, 20);
            BOOST_TEST(scheduler->next(now, 20).has_value());
        }
    }
    BOOST_TEST(longRequests.reserve(PriorityClass::Interactive, PriorityClass::Bulk, now, 20) == 6.0);
    BOOST_TEST(shortRequests.reserve(PriorityClass::Interactive, PriorityClass::Bulk, now, 20) == 0.0);
}

// A request that is lost or counted twice in some order of calls would get no response, or would exceed the slots.
RC_BOOST_PROP(requestsAndSlotsAreAccountedFor, (const std::vector<std::array<std::uint8_t, 3>> &operations, std::uint8_t slotSeed))
{
    ClassScheduler scheduler(options());
    const std::size_t slots = 1 + slotSeed % 12;
    base::TimePoint now(1s);
    std::map<std::uint64_t, QueuedRequest> waiting;
    std::vector<PriorityClass> running;
    std::uint64_t nextId = 1;
    for (const auto &[kind, first, second] : operations) {
        now += std::chrono::milliseconds(second % 40);
        const PriorityClass priorityClass = base::s_priorityClasses.at(first % 3);
        switch (kind % 6) {
        case 0:
        case 1: {
            const QueuedRequest entry = request(nextId++, priorityClass, now, std::chrono::milliseconds(1 + 4 * second));
            if (scheduler.enqueue(entry, now, slots) == Admission::Accepted) {
                waiting.emplace(entry.id.value, entry);
            }
            break;
        }
        case 2:
            if (const auto next = scheduler.next(now, slots)) {
                RC_ASSERT(waiting.erase(next->request.id.value) == 1);
                RC_ASSERT(next->request.deadline > now);
                RC_ASSERT(next->beyondSlots == (running.size() >= slots));
                RC_ASSERT(!next->beyondSlots || next->request.priorityClass == PriorityClass::Urgent);
                running.push_back(next->request.priorityClass);
            }
            break;
        case 3:
            if (!running.empty()) {
                scheduler.finished(running.back(), std::chrono::milliseconds(first), std::chrono::milliseconds(first / 2));
                running.pop_back();
            }
            break;
        case 4:
            RC_ASSERT(scheduler.remove({second}).has_value() == (waiting.erase(second) == 1));
            break;
        default:
            for (const QueuedRequest &entry : scheduler.expire(now)) {
                RC_ASSERT(entry.deadline <= now);
                RC_ASSERT(waiting.erase(entry.id.value) == 1);
            }
        }
        RC_ASSERT(scheduler.running() == running.size());
        RC_ASSERT(running.size() <= slots + 1);
        for (const PriorityClass each : base::s_priorityClasses) {
            RC_ASSERT(scheduler.queued(each) <= options().queueLength);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
