// Advertised spare capacity of other regions, and the rate limits that a sender derives from it.
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
    double step = 0.2; ///< fraction of the gap between current and target rate that one measurement closes
    /// Age up to which a measurement has full weight: the 5 s lag of normal operation plus two measurement periods.
    base::Duration fullWeightAge = std::chrono::seconds(7);
    /// Age from which a measurement has no weight.
    base::Duration maximumAge = std::chrono::seconds(30);
};

/// Weight of a measurement by its age: 1 up to `fullWeightAge`, then decreasing linearly to 0 at `maximumAge`.
double ageWeight(base::Duration age, const DampingOptions &options);

/// Rate that one sender may direct to another region, in requests/s.
///
/// The target is the rate at which this sender sent at the time of the measurement plus its share of the spare capacity.
/// If the region was overloaded, the target is the sent rate reduced by the fraction by which all shifted work has to
/// shrink.
///
/// The sent rate is taken from the sender's own history, because the measurement does not include the steps taken after
/// it: otherwise each sender would add the same spare capacity again for every measurement during the lag. It is the rate
/// that was sent, not the rate that was allowed, so that the allowance of an idle sender does not grow.
///
/// Each new measurement closes at most `step` of the gap; a repeated one has no effect. With n senders of equal share the
/// total then approaches the capacity from one side. As the measurement ages the rate decreases to 0, and the next
/// measurement starts from the rate reached by then.
class DampedRate
{
public:
    /// `senders` is the number of instances that may send to the region at the same time: `maximumEntryInstances`.
    explicit DampedRate(std::uint32_t senders, DampingOptions options = {});

    /// Records requests sent to the region at `now`.
    void onSent(double requests, base::TimePoint now);

    /// Applies a measurement. Ignored if it is not newer than the last one or is at least `maximumAge` old.
    void onAdvert(const CapacityAdvert &advert, base::TimePoint now);

    /// Allowed rate at `now`, in requests/s.
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
    double m_rate = 0; ///< at the time of the last applied measurement
    std::deque<Bucket> m_sent; ///< oldest first; 250 ms each; covers `maximumAge` and one rate period of 1 s
};

/// Linear ramp for work shifted to a target with cold caches. Urgent work is not limited. Interactive and bulk work start
/// at a tenth of the rate and reach the full rate at the end of the target's warm-up. The ramp restarts after the target
/// received no shifted work for a whole warm-up.
class WarmUpRamp
{
public:
    explicit WarmUpRamp(base::Duration warmUp);

    /// Records that work of any class is sent to the target at `now`.
    void onSent(base::TimePoint now);

    /// Fraction of the rate that the class may use, 0.1 to 1.
    double factor(base::PriorityClass priorityClass, base::TimePoint now) const;

private:
    bool isCold(base::TimePoint now) const;

    base::Duration m_warmUp;
    std::optional<base::TimePoint> m_startedAt;
    base::TimePoint m_lastSent;
};

} // namespace trefoilstile::shift
