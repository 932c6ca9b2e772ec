// Guards against requests that are lost, started twice or started out of order within a class.

#include "trefoilstile/admission/class_queue.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace trefoilstile;
using namespace trefoilstile::admission;
using namespace std::chrono_literals;

namespace
{

QueuedRequest request(std::uint64_t id, base::Duration arrival, base::Duration deadline)
{
    return {{id}, base::PriorityClass::Interactive, base::TimePoint(arrival), base::TimePoint(deadline)};
}

std::uint64_t first(const ClassQueue &queue, QueueOrder order, base::Duration now)
{
    const auto all = [](const QueuedRequest &) {
        return true;
    };
    const QueuedRequest *found = queue.find(order, base::TimePoint(now), 16, all);
    return found != nullptr ? found->id.value : 0;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ClassQueues)

// A queue that searches the wrong index, or the right one from the wrong end, would start requests out of order.
BOOST_AUTO_TEST_CASE(findReturnsTheFirstRequestOfEachOrder)
{
    ClassQueue queue;
    queue.pushBack(request(1, 0ms, 300ms));
    queue.pushBack(request(2, 10ms, 200ms));
    queue.pushBack(request(3, 20ms, 400ms));
    BOOST_TEST(first(queue, QueueOrder::Fifo, 30ms) == 1);
    BOOST_TEST(first(queue, QueueOrder::Lifo, 30ms) == 3);
    BOOST_TEST(first(queue, QueueOrder::EarliestDeadline, 30ms) == 2);
    BOOST_TEST(first(queue, QueueOrder::AdaptiveLifo, 30ms) == 1);
    BOOST_TEST(first(queue, QueueOrder::AdaptiveLifo, 160ms) == 3); // the oldest has waited for more than half of its time
    queue.pushFront(request(4, 0ms, 500ms));
    BOOST_TEST(first(queue, QueueOrder::Fifo, 30ms) == 4);
}

// A request that cannot start would block those behind it, and a scan without a limit would cost time for each decision.
BOOST_AUTO_TEST_CASE(findSkipsRequestsThatCannotStart)
{
    ClassQueue queue;
    queue.pushBack(request(1, 0ms, 300ms));
    queue.pushBack(request(2, 0ms, 300ms));
    const auto second = [](const QueuedRequest &entry) {
        return entry.id.value == 2;
    };
    BOOST_TEST(queue.find(QueueOrder::Fifo, base::TimePoint(1ms), 16, second)->id.value == 2);
    BOOST_TEST(queue.find(QueueOrder::Fifo, base::TimePoint(1ms), 1, second) == nullptr);
}

// A request that stays in only one of the indexes would be lost, or started after its caller has disconnected.
RC_BOOST_PROP(everyRequestIsRemovedOnce, (const std::vector<std::pair<std::uint8_t, std::uint8_t>> &operations))
{
    ClassQueue queue;
    std::set<std::uint64_t> queued;
    for (const auto &[kind, value] : operations) {
        const std::uint64_t id = value % 32;
        if (kind % 4 <= 1) {
            const QueuedRequest entry = request(id, 0ms, std::chrono::milliseconds(kind));
            kind % 4 == 0 ? queue.pushBack(entry) : queue.pushFront(entry);
            queued.insert(id);
        } else if (kind % 4 == 2) {
            RC_ASSERT(queue.remove({id}).has_value() == (queued.erase(id) == 1));
        } else {
            std::vector<QueuedRequest> expired;
            queue.expire(base::TimePoint(std::chrono::milliseconds(value)), expired);
            for (const QueuedRequest &entry : expired) {
                RC_ASSERT(entry.deadline <= base::TimePoint(std::chrono::milliseconds(value)));
                RC_ASSERT(queued.erase(entry.id.value) == 1);
            }
            RC_ASSERT(!queue.earliestDeadline() || *queue.earliestDeadline() > base::TimePoint(std::chrono::milliseconds(value)));
        }
        RC_ASSERT(queue.size() == queued.size());
        for (std::uint64_t other = 0; other < 32; ++other) {
            RC_ASSERT(queue.contains({other}) == queued.contains(other));
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
