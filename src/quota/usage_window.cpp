// Sliding windows of counts.

#include "trefoilstile/quota/usage_window.hpp"

#include <algorithm>
#include <cmath>

namespace trefoilstile::quota
{

void UsageWindow::advance(std::int64_t number)
{
    if (number <= m_latest || m_counts.empty()) {
        m_latest = std::max(m_latest, number);
        return;
    }
    const std::int64_t steps = std::min<std::int64_t>(number - m_latest, s_buckets + 1);
    for (std::int64_t step = 0; step < steps; ++step) {
        std::uint32_t &oldest = bucket(number - step);
        m_total -= oldest;
        oldest = 0;
    }
    m_latest = number;
}

void UsageWindow::add(base::TimePoint now)
{
    if (m_counts.empty()) {
        m_counts.resize(s_buckets + 1);
    }
    advance(numberOf(now));
    ++bucket(m_latest);
    ++m_total;
}

void UsageWindow::remove(base::TimePoint at, base::TimePoint now)
{
    advance(numberOf(now));
    const std::int64_t number = numberOf(at);
    if (m_counts.empty() || number > m_latest || number < m_latest - s_buckets || bucket(number) == 0) {
        return;
    }
    --bucket(number);
    --m_total;
}

std::uint64_t UsageWindow::total(base::TimePoint now)
{
    advance(numberOf(now));
    return m_total;
}

std::vector<std::uint32_t> UsageWindow::slots(base::TimePoint now)
{
    advance(numberOf(now));
    std::vector<std::uint32_t> result;
    if (m_total == 0) {
        return result;
    }
    constexpr std::int64_t bucketsPerSlot = s_buckets / static_cast<std::int64_t>(s_slots);
    result.resize(s_slots);
    for (std::int64_t age = 0; age <= s_buckets; ++age) {
        // The oldest bucket lies partly in the window and joins the oldest slot.
        const auto slot = static_cast<std::size_t>(std::min<std::int64_t>(age / bucketsPerSlot, s_slots - 1));
        result[slot] += bucket(m_latest - age);
    }
    while (!result.empty() && result.back() == 0) {
        result.pop_back();
    }
    return result;
}

SlotCounts::SlotCounts(const std::vector<std::uint32_t> &slots, base::TimePoint now)
    : m_takenAt(now)
{
    std::copy_n(slots.begin(), std::min(slots.size(), s_slots), m_slots.begin());
}

namespace
{

std::size_t agedBy(base::Duration age, base::Duration slotTime)
{
    const std::int64_t slots = (std::max(age, base::Duration::zero()) + slotTime / 2) / slotTime;
    return static_cast<std::size_t>(std::min<std::int64_t>(slots, s_slots));
}

} // namespace

void SlotCounts::add(const SlotCounts &other, base::Duration slotTime, base::TimePoint now)
{
    if (const std::size_t aged = agedBy(now - m_takenAt, slotTime); aged > 0) {
        for (std::size_t slot = s_slots; slot-- > 0;) {
            m_slots[slot] = slot >= aged ? m_slots[slot - aged] : 0;
        }
    }
    m_takenAt = now;
    const std::size_t shift = agedBy(now - other.m_takenAt, slotTime);
    for (std::size_t slot = shift; slot < s_slots; ++slot) {
        m_slots[slot] += other.m_slots[slot - shift];
    }
}

void SlotCounts::addLatest(double perSlot, std::size_t slots)
{
    for (std::size_t slot = 0; slot < std::min(slots, s_slots); ++slot) {
        m_slots[slot] += perSlot;
    }
}

void SlotCounts::subtract(const SlotCounts &other, base::Duration slotTime, base::TimePoint now)
{
    const std::size_t shift = agedBy(now - other.m_takenAt, slotTime);
    for (std::size_t slot = shift; slot < s_slots; ++slot) {
        m_slots[slot] = std::max(0.0, m_slots[slot] - other.m_slots[slot - shift]);
    }
}

SlotCounts SlotCounts::missingFrom(const SlotCounts &later, base::Duration slotTime) const
{
    SlotCounts result;
    result.m_takenAt = later.m_takenAt;
    const std::size_t shift = agedBy(later.m_takenAt - m_takenAt, slotTime);
    double missing = 0;
    double positive = 0;
    for (std::size_t slot = shift; slot < s_slots; ++slot) {
        const double difference = m_slots[slot - shift] - later.m_slots[slot];
        missing += difference;
        result.m_slots[slot] = std::max(0.0, difference);
        positive += result.m_slots[slot];
    }
    return result.scaled(missing > 0 ? missing / positive : 0);
}

SlotCounts SlotCounts::scaled(double factor) const
{
    SlotCounts result = *this;
    for (double &count : result.m_slots) {
        count *= factor;
    }
    return result;
}

double SlotCounts::total(base::Duration slotTime, base::TimePoint now) const
{
    // The latest events of slot k have the age k x slotTime plus the age of the message.
    const auto expired = static_cast<std::size_t>(std::max<std::int64_t>(0, (now - m_takenAt) / slotTime));
    double sum = 0;
    for (std::size_t slot = 0; slot + expired < s_slots; ++slot) {
        sum += m_slots[slot];
    }
    return sum;
}

double SlotCounts::expiring(base::Duration slotTime, base::TimePoint now, std::size_t count) const
{
    const auto expired = static_cast<std::size_t>(std::clamp<std::int64_t>((now - m_takenAt) / slotTime, 0, s_slots));
    const std::size_t end = s_slots - expired;
    double sum = 0;
    for (std::size_t slot = end - std::min(count, end); slot < end; ++slot) {
        sum += m_slots[slot];
    }
    return sum;
}

double SlotCounts::latest(std::size_t count) const
{
    double sum = 0;
    for (std::size_t slot = 0; slot < std::min(count, s_slots); ++slot) {
        sum += m_slots[slot];
    }
    return sum;
}

std::vector<std::uint32_t> SlotCounts::slots() const
{
    std::vector<std::uint32_t> result;
    for (const double count : m_slots) {
        result.push_back(static_cast<std::uint32_t>(std::llround(count)));
    }
    while (!result.empty() && result.back() == 0) {
        result.pop_back();
    }
    return result;
}

} // namespace trefoilstile::quota
