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

BOOST_AUTO_TEST_CASE(eachOrderFindsItsFirst)
{
    ClassQueue queue;
    queue.pushBack(request(1, 0ms, 300ms));
    queue.pushBack(request(2, 10ms, 200ms));
    queue.pushBack(request(3, 20ms, 400ms));
    BOOST_TEST(first(queue, QueueOrder::Fifo, 30ms) == 1);
    BOOST_TEST(first(queue, QueueOrder::Lifo, 30ms) == 3);
    BOOST_TEST(first(queue, QueueOrder::EarliestDeadline, 30ms) == 2);
    BOOST_TEST(first(queue, QueueOrder::AdaptiveLifo, 30ms) == 1);
    BOOST_TEST(first(queue, QueueOrder::AdaptiveLifo, 160ms) == 3); // the oldest has waited for half of its time
    queue.pushFront(request(4, 0ms, 500ms));
    BOOST_TEST(first(queue, QueueOrder::Fifo, 30ms) == 4);
}

BOOST_AUTO_TEST_CASE(findStepsOverWhatCannotStart)
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

// A request in one index only would be lost, or started after its caller has gone.
RC_BOOST_PROP(everyRequestLeavesOnce, (const std::vector<std::pair<std::uint8_t, std::uint8_t>> &operations))
{
    ClassQueue queue;
    std::set<std::uint64_t> present;
    for (const auto &[kind, value] : operations) {
        const std::uint64_t id = value % 32;
        if (kind % 4 <= 1) {
            const QueuedRequest entry = request(id, 0ms, std::chrono::milliseconds(kind));
            kind % 4 == 0 ? queue.pushBack(entry) : queue.pushFront(entry);
            present.insert(id);
        } else if (kind % 4 == 2) {
            RC_ASSERT(queue.remove({id}).has_value() == (present.erase(id) == 1));
        } else {
            std::vector<QueuedRequest> expired;
            queue.expire(base::TimePoint(std::chrono::milliseconds(value)), expired);
            for (const QueuedRequest &entry : expired) {
                RC_ASSERT(entry.deadline <= base::TimePoint(std::chrono::milliseconds(value)));
                RC_ASSERT(present.erase(entry.id.value) == 1);
            }
            RC_ASSERT(!queue.earliestDeadline() || *queue.earliestDeadline() > base::TimePoint(std::chrono::milliseconds(value)));
        }
        RC_ASSERT(queue.size() == present.size());
        for (std::uint64_t each = 0; each < 32; ++each) {
            RC_ASSERT(queue.contains({each}) == present.contains(each));
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
