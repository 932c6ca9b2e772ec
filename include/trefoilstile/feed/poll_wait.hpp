// Chooses how long each poll for changes may wait at the store, so that the polls of a fleet end at different times.
//
// The store holds a poll back until there are changes. A store that falls silent loses all polls that are pending, and an instance
// notices that only when a poll does not end in time. After a change all readers poll again at the same time; if their polls also ended
// at the same time, all of them would be without news until then. The first poll after such an event therefore waits for a part of the
// poll time that differs between the polls of a failure domain; the later ones wait for the whole of it and stay out of phase.
#pragma once

#include <chrono>
#include <cstddef>

#include "trefoilstile/base/random.hpp"
#include "trefoilstile/base/time.hpp"

namespace trefoilstile::feed
{

struct PollWaitOptions {
    /// Wait of a poll in a steady state. Long, because the platform charges for each poll.
    base::Duration longest = std::chrono::seconds(7);
    base::Duration shortest = std::chrono::milliseconds(250); ///< of a first poll; a shorter one costs a call and shows nothing
};

/// Position of a poll among all polls of the failure domain that wait at the same time.
struct PollSlot {
    std::size_t index{};
    std::size_t count = 1;

    friend bool operator==(const PollSlot &, const PollSlot &) = default;
};

class PollWait
{
public:
    explicit PollWait(std::uint64_t seed, PollWaitOptions options = {})
        : m_options(options)
        , m_random(seed)
    {
    }

    void setSlot(PollSlot slot)
    {
        m_slot = slot;
    }

    /// Records an event after which all instances poll at the same time: changes, a complete read, or the return of the store.
    void aligned()
    {
        m_aligned = true;
    }

    /// Wait of the next poll. After `aligned`, the waits of the slots are spread evenly over the poll time, with a random part, because
    /// the failure domains have the same slots.
    base::Duration next()
    {
        if (!m_aligned) {
            return m_options.longest;
        }
        m_aligned = false;
        const double position = (static_cast<double>(m_slot.index) + base::uniformUnit(m_random)) / static_cast<double>(m_slot.count);
        const auto span = static_cast<double>((m_options.longest - m_options.shortest).count());
        return m_options.shortest + base::Duration(static_cast<base::Duration::rep>(span * position));
    }

private:
    PollWaitOptions m_options;
    PollSlot m_slot;
    bool m_aligned = true;
    base::SplitMix64 m_random;
};

} // namespace trefoilstile::feed
