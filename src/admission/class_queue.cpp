// Indexes of the queue by position, deadline and identifier.

#include "trefoilstile/admission/class_queue.hpp"

#include <iterator>

namespace trefoilstile::admission
{

void ClassQueue::pushBack(const QueuedRequest &request)
{
    insert(m_back, request);
    ++m_back;
}

void ClassQueue::pushFront(const QueuedRequest &request)
{
    insert(m_front, request);
    --m_front;
}

void ClassQueue::insert(Position position, const QueuedRequest &request)
{
    if (!m_positions.emplace(request.id, position).second) {
        return;
    }
    m_entries.emplace(position, request);
    m_byDeadline.emplace(request.deadline, position);
}

std::optional<QueuedRequest> ClassQueue::remove(base::RequestId id)
{
    const auto found = m_positions.find(id);
    if (found == m_positions.end()) {
        return std::nullopt;
    }
    const Position position = found->second;
    m_positions.erase(found);
    const auto entry = m_entries.find(position);
    const QueuedRequest request = entry->second;
    m_entries.erase(entry);
    m_byDeadline.erase({request.deadline, position});
    return request;
}

void ClassQueue::expire(base::TimePoint now, std::vector<QueuedRequest> &expired)
{
    while (!m_byDeadline.empty() && m_byDeadline.begin()->first <= now) {
        const base::RequestId id = m_entries.at(m_byDeadline.begin()->second).id;
        expired.push_back(*remove(id));
    }
}

std::size_t ClassQueue::ahead(QueueOrder order, base::TimePoint deadline, base::TimePoint now) const
{
    if (order == QueueOrder::EarliestDeadline) {
        const auto end = m_byDeadline.upper_bound({deadline, m_back});
        return static_cast<std::size_t>(std::distance(m_byDeadline.begin(), end));
    }
    return usesLifo(order, now) ? 0 : size();
}

std::optional<base::TimePoint> ClassQueue::earliestDeadline() const
{
    return m_byDeadline.empty() ? std::nullopt : std::optional(m_byDeadline.begin()->first);
}

std::optional<base::TimePoint> ClassQueue::oldestArrival() const
{
    return m_entries.empty() ? std::nullopt : std::optional(m_entries.begin()->second.arrival);
}

bool ClassQueue::usesLifo(QueueOrder order, base::TimePoint now) const
{
    if (order != QueueOrder::AdaptiveLifo || m_entries.empty()) {
        return order == QueueOrder::Lifo;
    }
    const QueuedRequest &oldest = m_entries.begin()->second;
    return now - oldest.arrival > (oldest.deadline - oldest.arrival) / 2;
}

} // namespace trefoilstile::admission
