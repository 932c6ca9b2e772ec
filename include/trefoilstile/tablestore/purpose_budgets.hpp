// Rate limits of requests to the platform, by purpose and separately for reads and writes.
#pragma once

#include <array>
#include <cstdint>
#include <optional>

#include "trefoilstile/base/time.hpp"
#include "trefoilstile/tablestore/purpose.hpp"

namespace trefoilstile::tablestore
{

enum class Access : std::uint8_t { Read, Write };

inline constexpr std::size_t s_accessCount = 2;

/// Rate of one purpose for one kind of access.
struct BudgetRate {
    double perSecond{}; ///< requests/s; not negative
    double burst{}; ///< requests that may be made at once after an idle period; not negative
};

/// Rates by access and purpose. The defaults are for one of 12 entry instances, which together stay below half of the
/// platform's capacity of 2,000 reads/s and several hundred writes/s.
struct PurposeBudgetOptions {
    std::array<std::array<BudgetRate, s_purposeCount>, s_accessCount> rates{{
        {{{10, 20}, {40, 40}, {5, 10}}},
        {{{2, 8}, {10, 20}, {1, 2}}},
    }};
};

/// Token buckets, one for each access and purpose. A purpose uses its own tokens first and then borrows those of
/// purposes with lower precedence, the lowest first. It never uses tokens of a purpose with higher precedence.
class PurposeBudgets
{
public:
    explicit PurposeBudgets(const PurposeBudgetOptions &options = {});

    /// Takes one token for a request; false if none is left. `now` should not decrease between calls; if it does, no tokens
    /// are added.
    bool tryTake(Access access, Purpose purpose, base::TimePoint now);

    /// Tokens of one purpose as of the last `tryTake`, for metrics.
    double tokens(Access access, Purpose purpose) const;

private:
    void refill(base::TimePoint now);

    PurposeBudgetOptions m_options;
    std::array<std::array<double, s_purposeCount>, s_accessCount> m_tokens{}; ///< 0 to the burst of each
    std::optional<base::TimePoint> m_refilledUntil; ///< time up to which tokens have been added
};

} // namespace trefoilstile::tablestore
