// Replay protection: detects sequence numbers that have already been accepted.
#pragma once

#include <bitset>
#include <cstdint>
#include <list>
#include <unordered_map>

#include "trefoilstile/base/ids.hpp"
#include "trefoilstile/peer/payload.hpp"

namespace trefoilstile::peer
{

/// Sliding window of the sequence numbers of one sender on one channel.
class ReplayWindow
{
public:
    /// Datagrams overtaken by this many or more are dropped. At the few messages per second between two instances, the
    /// window covers minutes.
    static constexpr std::uint64_t s_size = 1'024;

    /// Marks the number as seen. Returns false if it has already been seen, is older than the window, or is 0.
    bool accept(std::uint64_t sequence);

private:
    std::uint64_t m_highest{};
    std::bitset<s_size> m_seen; ///< bit `n % s_size` for the numbers in (m_highest - s_size, m_highest]
};

/// Replay windows of the most recent senders; the least recently used one is evicted when the limit is reached.
///
/// A message of an evicted incarnation, or of any incarnation after a restart of this process, can be accepted once more.
/// It is then marked as first contact. Such a replay is safe, because the arrival of a payload alone does not change state:
/// member updates are ordered by numbers that only the member increments, acks and fetch responses must match the random
/// number of a pending request, document bodies must match their hash, generations only increase, and loans and handoffs
/// carry IDs that their owners keep on record.
class ReplayWindows
{
public:
    /// At the fleet size planned for two years from now, an instance receives messages from about 130 peers, and 260 are
    /// replaced per day across the whole fleet.
    static constexpr std::size_t s_maximumSenders = 4'096;

    enum class Result : std::uint8_t { Accepted, AcceptedFirst, Replayed };

    Result accept(base::IncarnationId sender, Channel channel, std::uint64_t sequence);

    std::size_t size() const
    {
        return m_senders.size();
    }

private:
    struct Sender {
        std::array<ReplayWindow, s_channelCount> windows;
        std::list<base::IncarnationId>::iterator recentPosition;
    };

    std::unordered_map<base::IncarnationId, Sender> m_senders;
    std::list<base::IncarnationId> m_recent; ///< most recent sender first; contains exactly the keys of m_senders
};

} // namespace trefoilstile::peer
