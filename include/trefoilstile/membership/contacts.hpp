// Seed addresses and the schedule for contacting them to join the fleet and to heal partitions.
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

/// Schedules contacts: with jittered exponential backoff while this node knows no other node, otherwise one contact per heal period.
class ContactSchedule
{
public:
    explicit ContactSchedule(const Options &options)
        : m_options(options)
        , m_backoff(options.joinBackoffFirst)
    {
    }

    /// Adds an address; ignored above 256 addresses.
    void addSeed(const std::string &address);

    const std::set<std::string> &seeds() const
    {
        return m_seeds;
    }

    /// Number of addresses to contact now; 0 between the scheduled contacts.
    std::size_t due(bool alone, base::TimePoint now, base::SplitMix64 &random);

    /// Moves the next contact forward to about the first backoff interval, for example after a pause of the process.
    void expedite(base::TimePoint now, base::SplitMix64 &random);

private:
    base::Duration nextDelay(bool alone, base::SplitMix64 &random);

    Options m_options;
    std::set<std::string> m_seeds;
    base::Duration m_backoff; ///< nominal interval before the next contact while alone, before jitter
    std::optional<base::TimePoint> m_next;
    bool m_wasAlone = true;
};

/// Returns up to `count` items chosen uniformly at random.
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
