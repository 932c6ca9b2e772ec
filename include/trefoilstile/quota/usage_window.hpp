// Counts of attempts in a sliding window: exact enough at the instance that counts, and by coarse slots as others know them.
#pragma once

#include <array>
#include <cstdint>
#include <vector>

#include "trefoilstile/base/time.hpp"
#include "trefoilstile/quota/usage.hpp"

namespace trefoilstile::quota
{

/// Counts by time in a sliding window. An event counts for up to a hundredth of the window longer than the window, never shorter.
class UsageWindow
{
public:
    explicit UsageWindow(base::Duration window)
        : m_bucketTime(window / s_buckets)
    {
    }

    void add(base::TimePoint now);

    /// Takes back an event that was added at `at`; without effect if it has left the window.
    void remove(base::TimePoint at, base::TimePoint now);

    /// Events in the window.
    std::uint64_t total(base::TimePoint now);

    /// Counts by slot of `window / s_slots`, the latest first, without zeros at the end.
    std::vector<std::uint32_t> slots(base::TimePoint now);

private:
    static constexpr std::int64_t s_buckets = 100;

    std::int64_t numberOf(base::TimePoint at) const
    {
        return at.time_since_epoch() / m_bucketTime;
    }

    std::uint32_t &bucket(std::int64_t number)
    {
        return m_counts[static_cast<std::size_t>(number % (s_buckets + 1))];
    }

    void advance(std::int64_t number);

    base::Duration m_bucketTime;
    std::vector<std::uint32_t> m_counts; ///< ring; empty until the first event, since most accounts are inactive at an instance
    std::int64_t m_latest{}; ///< number of the latest bucket
    std::uint64_t m_total{};
};

/// Counts by slot as received in a message, which leave the window as time passes.
class SlotCounts
{
public:
    SlotCounts() = default;
    SlotCounts(const std::vector<std::uint32_t> &slots, base::TimePoint now);

    /// Adds the counts of another one as they are at `now`. Ages are rounded to whole slots.
    void add(const SlotCounts &other, base::Duration slotTime, base::TimePoint now);

    /// Adds the same count to each of the latest slots.
    void addLatest(double perSlot, std::size_t slots);

    /// Subtracts them; no slot becomes negative.
    void subtract(const SlotCounts &other, base::Duration slotTime, base::TimePoint now);

    /// The counts that a later report should contain and does not. Only their sum is exact: slots of two senders differ by up to half a
    /// slot, so what one slot has too much and another too little cancels out.
    SlotCounts missingFrom(const SlotCounts &later, base::Duration slotTime) const;

    /// All counts multiplied by a factor.
    SlotCounts scaled(double factor) const;

    /// Sum of the slots that are not wholly outside the window.
    double total(base::Duration slotTime, base::TimePoint now) const;

    /// Sum of the latest slots, as received.
    double latest(std::size_t count) const;

    /// Sum of the slots that leave the window next.
    double expiring(base::Duration slotTime, base::TimePoint now, std::size_t count) const;

    std::vector<std::uint32_t> slots() const;

    base::TimePoint takenAt() const
    {
        return m_takenAt;
    }

private:
    std::array<double, s_slots> m_slots{};
    base::TimePoint m_takenAt;
};

} // namespace trefoilstile::quota
