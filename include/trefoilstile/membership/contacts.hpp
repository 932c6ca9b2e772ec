// Addresses to contact in order to join and to heal partitions, and when.
#pragma once

#include <algorithm>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "trefoilstile/base/random.hpp"
#include "trefoilstile/base/time.hpp"
#include "trefoilstile/membership/options.hpp"

namespace trefoilstile::membership
{

/// Schedules contacts: with growing jittered backoff while alone, otherwise one at a time at a low rate.
class ContactSchedule
{
public:
    explicit ContactSchedule(const Options &options)
        : m_options(options)
        , m_backoff(options.joinBackoffFirst)
    {
    }

    /// Adds an address, unless there are too many.
    void addSeed(const std::string &address);

    const std::set<std::string> &seeds() const
    {
        return m_seeds;
    }

    /// Number of addresses to contact now, usually 0.
    std::size_t due(bool alone, base::TimePoint now, base::SplitMix64 &random);

    /// Makes the next contact soon, after a pause or when a failure domain has come into sight.
    void hasten(base::TimePoint now, base::SplitMix64 &random);

private:
    base::Duration waitFor(bool alone, base::SplitMix64 &random);

    Options m_options;
    std::set<std::string> m_seeds;
    base::Duration m_backoff; ///< nominal time to the next contact while alone
    std::optional<base::TimePoint> m_next;
    bool m_wasAlone = true;
};

/// Up to `count` of the items at random.
template<typename T>
std::vector<T> sample(std::vector<T> items, std::size_t count, base::SplitMix64 &random)
{
    const std::size_t kept = std::min(count, items.size());
    for (std::size_t i = 0; i < kept; ++i) {
        std::swap(items[i], items[i + base::uniformBelow(random, items.size() - i)]);
    }
    items.resize(kept);
    return items;
}

} // namespace trefoilstile::membership
