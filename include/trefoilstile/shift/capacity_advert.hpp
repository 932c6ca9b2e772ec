// Spare capacity of other regions as it is advertised, and how fast a sender may follow it.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>

#include "trefoilstile/base/priority_class.hpp"
#include "trefoilstile/base/time.hpp"

namespace trefoilstile::shift
{

/// Measured spare capacity of a region.
struct CapacityAdvert {
    std::uint64_t sequence{}; ///< higher for each new measurement
    double spare{}; ///< requests/s; negative if the region is overloaded
    double shifted{}; ///< requests/s that came from other regions
    base::Duration age{}; ///< time since the middle of the measurement, transport included
};

struct DampingOptions {
    double step = 0.2; ///< part of the gap closed by one measurement
    /// Age up to which a measurement is used in full: the 5 s lag of normal operation and two measurement periods.
    base::Duration fresh = std::chrono::seconds(7);
    /// Age from which on nothing is sent on its account.
    base::Duration useless = std::chrono::seconds(30);
};

/// Weight of a measurement by its age: 1 up to `fresh`, then falling in a straight line to 0 at `useless`.
double ageWeight(base::Duration age, const DampingOptions &options);

/// Rate that one sender may direct to another region, in requests/s.
///
/// The target is what this sender sent at the time of the measurement plus its share of the spare capacity; if the region
/// was overloaded, less by the part by which all shifted work has to shrink. What it sent
/// then comes from its own history, since the measurement cannot know the steps taken after it: otherwise each sender
/// would add the same spare capacity again for every measurement during the lag. It is what was sent, not what was
/// allowed, so that the allowance of an idle sender does not grow. Each new measurement moves the rate by at most `step`
/// of the gap; a repeated one moves nothing. With n senders of equal share the total then approaches the capacity from
/// one side. As the measurement ages the rate falls to 0, and the next one starts from the rate so reached.
class DampedRate
{
public:
    /// `senders` is the number of instances that may send there at once: `maximumEntryInstances`.
    explicit DampedRate(std::uint32_t senders, DampingOptions options = {});

    /// Requests were sent there.
    void onSent(double requests, base::TimePoint now);

    /// Takes a measurement into account; older or repeated ones are ignored.
    void onAdvert(const CapacityAdvert &advert, base::TimePoint now);

    /// Rate that may be sent now, in requests/s.
    double rate(base::TimePoint now) const;

private:
    struct Bucket {
        base::TimePoint start;
        double requests{};
    };

    double sentAt(base::TimePoint time) const;

    std::uint32_t m_senders;
    DampingOptions m_options;
    std::optional<std::uint64_t> m_sequence;
    base::TimePoint m_measuredAt;
    double m_rate = 0; ///< as of the last measurement taken into account
    std::deque<Bucket> m_sent; ///< oldest first; 250 ms each, for the age at which a measurement is useless
};

/// Ramp after a shift onto cold caches. Urgent work is not held back; interactive and bulk work start at a tenth of the
/// rate and reach it in a straight line at the end of the target's warm-up. The ramp starts again after the target got
/// no shifted work for a whole warm-up.
class WarmUpRamp
{
public:
    explicit WarmUpRamp(base::Duration warmUp);

    /// Work of any class is sent to the target now.
    void onSent(base::TimePoint now);

    /// Part of the rate that the class may use, 0.1 to 1.
    double factor(base::PriorityClass priorityClass, base::TimePoint now) const;

private:
    bool cold(base::TimePoint now) const;

    base::Duration m_warmUp;
    std::optional<base::TimePoint> m_startedAt;
    base::TimePoint m_lastSent;
};

} // namespace trefoilstile::shift
