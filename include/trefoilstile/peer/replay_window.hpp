// Recognises sequence numbers that have been accepted before.
#pragma once

#include <bitset>
#include <cstdint>
#include <list>
#include <unordered_map>

#include "trefoilstile/base/ids.hpp"
#include "trefoilstile/peer/payload.hpp"

namespace trefoilstile::peer
{

/// Sequence numbers of one sender on one channel.
class ReplayWindow
{
public:
    /// Datagrams overtaken by more than this many are dropped: at the few messages a second between two nodes, minutes.
    static constexpr std::uint64_t s_size = 1'024;

    /// Marks the number as seen. False if it was seen before, is older than the window, or is 0.
    bool accept(std::uint64_t sequence);

private:
    std::uint64_t m_highest{};
    std::bitset<s_size> m_seen; ///< bit `n % s_size` for the numbers in (m_highest - s_size, m_highest]
};

/// Windows of the senders heard last; the one not heard for longest is forgotten when there are too many.
///
/// A message of a forgotten incarnation, or of any incarnation after this process has restarted, passes once more. It
/// is then marked as first contact. This does no harm, because no payload changes state by arriving alone: member news
/// is ordered by numbers that only the member raises, acks and fetch responses must match a number drawn at random for
/// an open question, document bodies must match their hash, generations only move up, and loans and handoffs carry a
/// number of their own that their owners remember.
class ReplayWindows
{
public:
    /// At the two-year size a node hears from about 130 peers, of which 260 a day are replaced across the whole fleet.
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
        std::list<base::IncarnationId>::iterator place;
    };

    std::unordered_map<base::IncarnationId, Sender> m_senders;
    std::list<base::IncarnationId> m_recent; ///< heard last in front; holds exactly the keys of m_senders
};

} // namespace trefoilstile::peer
