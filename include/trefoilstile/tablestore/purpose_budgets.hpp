// Budgets of requests to the platform by purpose, reads and writes apart.
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
    double burst{}; ///< requests that an idle purpose may make at once; not negative
};

/// Rates by access and purpose. The defaults are those of one of 12 entry instances, which together stay under half of
/// the platform's 2,000 reads/s and several hundred writes/s.
struct PurposeBudgetOptions {
    std::array<std::array<BudgetRate, s_purposeCount>, s_accessCount> rates{{
        {{{10, 20}, {40, 40}, {5, 10}}},
        {{{2, 8}, {10, 20}, {1, 2}}},
    }};
};

/// Token buckets, one for each access and purpose. A purpose spends its own tokens first and then those that lower
/// purposes have left, the lowest first. A lower purpose never spends the tokens of a higher one.
class PurposeBudgets
{
public:
    explicit PurposeBudgets(const PurposeBudgetOptions &options = {});

    /// Takes one request out of the budgets; false if there is none left. Time must not go backwards; if it does,
    /// nothing is added.
    bool tryTake(Access access, Purpose purpose, base::TimePoint now);

    /// Tokens left of one purpose as of the last call, for metrics.
    double tokens(Access access, Purpose purpose) const;

private:
    void refill(base::TimePoint now);

    PurposeBudgetOptions m_options;
    std::array<std::array<double, s_purposeCount>, s_accessCount> m_tokens{}; ///< 0 to the burst of each
    std::optional<base::TimePoint> m_last; ///< time up to which tokens have been added
};

} // namespace trefoilstile::tablestore
