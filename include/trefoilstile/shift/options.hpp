// Units and options shared by the budgets of this module.
#pragma once

#include <cstdint>
#include <string>
#include <tuple>

#include "trefoilstile/base/time.hpp"

namespace trefoilstile::shift
{

/// Amount of a resource: thousandths of a request, or bytes.
using Units = std::uint64_t;

/// Requests are counted in thousandths, so that a lookup response can bring less than one request/s and fractions of a
/// quota can be lent.
inline constexpr Units s_unitsPerRequest = 1000;

enum class Resource : std::uint8_t { Requests, Bytes };

/// Ordered pair of regions: traffic of callers of `from` that goes to `to`.
struct RegionPair {
    std::string from;
    std::string to;

    friend bool operator==(const RegionPair &, const RegionPair &) = default;

    friend bool operator<(const RegionPair &a, const RegionPair &b)
    {
        return std::tie(a.from, a.to) < std::tie(b.from, b.to);
    }
};

/// Options that all instances must share; `check` throws `Error` if they are not safe together.
struct ShiftOptions {
    /// Span in which the use of all instances together stays within the cap.
    base::Duration window = std::chrono::seconds(1);
    /// Greatest error of the rate of an instance's clock. Twice the 500 ppm by which the kernel may slew a clock. Windows
    /// are longer by this part, since a fast clock would otherwise allow two quotas in one true second.
    double clockDrift = 0.001;
    /// Longest lease of a loan.
    base::Duration maximumLease = std::chrono::seconds(20);
    /// Part of a lease by which its holder stops earlier and its lender waits longer; at least `clockDrift`.
    double leaseMargin = 0.1;
    /// A started instance leaves its fixed quota unused this long: the instance that it replaces may have used its own
    /// in the last window, lent it, or committed it by lookup responses that callers still hold (at most 57 s with the
    /// default TTL and the greatest jitter).
    base::Duration startHold = std::chrono::seconds(60);
    /// Shares of a quota kept for urgent and for interactive work; a class may use what is kept for itself and for the
    /// classes below it. At least one request is kept for urgent work.
    double urgentReserve = 0.2;
    double interactiveReserve = 0.2;

    void check() const;

    /// The window on an instance's own clock.
    base::Duration localWindow() const;

    /// Longest time that a commitment may last, so that `startHold` covers it.
    base::Duration maximumCommitment() const;
};

/// Span lengthened or shortened by a factor, rounded up to a nanosecond.
base::Duration scaled(base::Duration span, double factor);

} // namespace trefoilstile::shift
