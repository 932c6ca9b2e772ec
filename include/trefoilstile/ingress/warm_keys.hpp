// Keys whose objects an upstream has recently processed for this instance and therefore probably still has warm.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

#include "trefoilstile/base/time.hpp"

namespace trefoilstile::ingress
{

/// Small set of keys with least-recently-used replacement.
class WarmKeys
{
public:
    /// Smaller than the number of objects that any upstream keeps warm, because other instances send it other keys.
    static constexpr std::size_t s_capacity = 24;

    /// After this time other keys may have evicted the object at the upstream.
    static constexpr base::Duration s_lifetime = std::chrono::seconds(10);

    /// Adds the key or refreshes its time of last use.
    void handled(std::uint64_t key, base::TimePoint now)
    {
        const auto known = find(key);
        if (known != m_keys.end()) {
            known->second = now;
        } else if (m_keys.size() < s_capacity) {
            m_keys.emplace_back(key, now);
        } else {
            *std::min_element(m_keys.begin(), m_keys.end(), [](const auto &left, const auto &right) {
                return left.second < right.second;
            }) = {key, now};
        }
    }

    bool contains(std::uint64_t key, base::TimePoint now) const
    {
        const auto known = std::find_if(m_keys.begin(), m_keys.end(), [key](const auto &entry) {
            return entry.first == key;
        });
        return known != m_keys.end() && now - known->second < s_lifetime;
    }

    void clear()
    {
        m_keys.clear();
    }

private:
    std::vector<std::pair<std::uint64_t, base::TimePoint>>::iterator find(std::uint64_t key)
    {
        return std::find_if(m_keys.begin(), m_keys.end(), [key](const auto &entry) {
            return entry.first == key;
        });
    }

    std::vector<std::pair<std::uint64_t, base::TimePoint>> m_keys; ///< at most `s_capacity`
};

} // namespace trefoilstile::ingress
