// Units and options shared by the budgets of the shift module.
#pragma once

#include <cstdint>
#include <string>
#include <tuple>

#include "trefoilstile/base/time.hpp"

namespace trefoilstile::shift
{

/// Amount of a resource, in thousandths of a request or in bytes.
using Units = std::uint64_t;

/// Requests are counted in thousandths, so that a lookup response can commit less than one request/s and fractions of a
/// quota can be lent.
inline constexpr Units s_unitsPerRequest = 1000;

enum class Resource : std::uint8_t { Requests, Bytes };

/// Ordered pair of regions: traffic of callers in `from` that is sent to `to`.
struct RegionPair {
    std::string from;
    std::string to;

    friend bool operator==(const RegionPair &, const RegionPair &) = default;

    friend bool operator<(const RegionPair &a, const RegionPair &b)
    {
        return std::tie(a.from, a.to) < std::tie(b.from, b.to);
    }
};

/// Options of the budgets. All instances must use the same values.
struct ShiftOptions {
    /// Length of the window within which the total use of all instances stays within the cap.
    base::Duration window = std::chrono::seconds(1);
    /// Greatest relative rate error of an instance's clock: twice the 500 ppm by which the kernel may slew a clock. Local
    /// windows are lengthened by this fraction, since a fast clock would otherwise allow two quotas in one true second.
    double clockDrift = 0.001;
    /// Longest lease of a loan.
    base::Duration maximumLease = std::chrono::seconds(20);
    /// Fraction of a lease by which its holder stops earlier and its lender waits longer; at least `clockDrift`.
    double leaseMargin = 0.1;
    /// Time after its start during which an instance does not use its fixed quota: the instance that it replaces may have
    /// used that quota in the last window, lent it, or committed it by lookup responses that callers still cache (at most
    /// 57 s with the default TTL and the greatest jitter).
    base::Duration startHold = std::chrono::seconds(60);
    /// Fractions of a quota reserved for urgent and for interactive work; a class may use its own reserve and those of
    /// less urgent classes. The urgent reserve is at least one request.
    double urgentReserve = 0.2;
    double interactiveReserve = 0.2;

    /// Throws `Error` if the values are out of range or inconsistent with each other.
    void validate() const;

    /// Length of the window on an instance's own clock, `clockDrift` included.
    base::Duration localWindow() const;

    /// Longest duration of a commitment that `startHold` still covers.
    base::Duration maximumCommitment() const;
};

/// Span multiplied by a factor, rounded up to a nanosecond.
base::Duration scaled(base::Duration span, double factor);

} // namespace trefoilstile::shift
