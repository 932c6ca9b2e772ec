// Queue of the waiting requests of one priority class, with removal by identifier and expiry by deadline.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "trefoilstile/base/ids.hpp"
#include "trefoilstile/base/priority_class.hpp"
#include "trefoilstile/base/time.hpp"

namespace trefoilstile::admission
{

/// Order in which the requests of one class are started.
enum class QueueOrder : std::uint8_t {
    Fifo,
    Lifo,
    EarliestDeadline,
    AdaptiveLifo, ///< FIFO, but LIFO while the oldest request has waited for more than half of the time up to its deadline
};

/// A request that waits for a slot.
struct QueuedRequest {
    base::RequestId id;
    base::PriorityClass priorityClass = base::PriorityClass::Interactive;
    base::TimePoint arrival;
    base::TimePoint deadline; ///< the request expires if it has not been started by then

    friend bool operator==(const QueuedRequest &, const QueuedRequest &) = default;
};

/// Queue of one class. Its length is limited by `ClassScheduler::enqueue`, not by the queue itself.
class ClassQueue
{
public:
    std::size_t size() const
    {
        return m_entries.size();
    }

    bool empty() const
    {
        return m_entries.empty();
    }

    bool contains(base::RequestId id) const
    {
        return m_positions.contains(id);
    }

    void pushBack(const QueuedRequest &request);

    /// Puts a request before all others in FIFO order. For requests that were started before and wait again.
    void pushFront(const QueuedRequest &request);

    std::optional<QueuedRequest> remove(base::RequestId id);

    /// Moves the requests whose deadline is not after `now` to `expired`.
    void expire(base::TimePoint now, std::vector<QueuedRequest> &expired);

    /// Number of queued requests that would be started before one that arrives at `now` with the given deadline.
    std::size_t ahead(QueueOrder order, base::TimePoint deadline, base::TimePoint now) const;

    /// First request that satisfies the predicate among the first `scan` requests in the given order, or null.
    template<typename Predicate>
    const QueuedRequest *find(QueueOrder order, base::TimePoint now, std::size_t scan, Predicate &&accepts) const;

    std::optional<base::TimePoint> earliestDeadline() const;

    std::optional<base::TimePoint> oldestArrival() const;

private:
    using Position = std::int64_t;

    bool usesLifo(QueueOrder order, base::TimePoint now) const;
    void insert(Position position, const QueuedRequest &request);

    // The three indexes always hold the same requests; an identifier occurs at most once.
    std::map<Position, QueuedRequest> m_entries;
    std::set<std::pair<base::TimePoint, Position>> m_byDeadline;
    std::unordered_map<base::RequestId, Position> m_positions;
    // All positions in use lie between m_front and m_back, both excluded.
    Position m_front = 0;
    Position m_back = 1;
};

template<typename Predicate>
const QueuedRequest *ClassQueue::find(QueueOrder order, base::TimePoint now, std::size_t scan, Predicate &&accepts) const
{
    const auto search = [&](auto begin, auto end, auto entryOf) -> const QueuedRequest * {
        for (std::size_t scanned = 0; begin != end && scanned < scan; ++begin, ++scanned) {
            const QueuedRequest &entry = entryOf(*begin);
            if (accepts(entry)) {
                return &entry;
            }
        }
        return nullptr;
    };
    const auto byPosition = [](const auto &item) -> const QueuedRequest & {
        return item.second;
    };
    if (order == QueueOrder::EarliestDeadline) {
        return search(m_byDeadline.begin(), m_byDeadline.end(), [this](const auto &item) -> const QueuedRequest & {
            return m_entries.at(item.second);
        });
    }
    if (usesLifo(order, now)) {
        return search(m_entries.rbegin(), m_entries.rend(), byPosition);
    }
    return search(m_entries.begin(), m_entries.end(), byPosition);
}

} // namespace trefoilstile::admission
