// Sliding windows of sequence numbers.

#include "trefoilstile/peer/replay_window.hpp"

namespace trefoilstile::peer
{

bool ReplayWindow::accept(std::uint64_t sequence)
{
    if (sequence == 0 || (m_highest >= s_size && sequence <= m_highest - s_size)) {
        return false;
    }
    if (sequence > m_highest) {
        if (sequence - m_highest >= s_size) {
            m_seen.reset();
        } else {
            for (std::uint64_t skipped = m_highest + 1; skipped < sequence; ++skipped) {
                m_seen.reset(skipped % s_size);
            }
        }
        m_highest = sequence;
        m_seen.set(sequence % s_size);
        return true;
    }
    if (m_seen.test(sequence % s_size)) {
        return false;
    }
    m_seen.set(sequence % s_size);
    return true;
}

ReplayWindows::Result ReplayWindows::accept(base::IncarnationId sender, Channel channel, std::uint64_t sequence)
{
    auto found = m_senders.find(sender);
    const bool first = found == m_senders.end();
    if (first) {
        if (m_senders.size() >= s_maximumSenders) {
            m_senders.erase(m_recent.back());
            m_recent.pop_back();
        }
        m_recent.push_front(sender);
        found = m_senders.emplace(sender, Sender{{}, m_recent.begin()}).first;
    } else {
        m_recent.splice(m_recent.begin(), m_recent, found->second.recentPosition);
    }
    if (!found->second.windows[static_cast<std::size_t>(channel)].accept(sequence)) {
        return Result::Replayed;
    }
    return first ? Result::AcceptedFirst : Result::Accepted;
}

} // namespace trefoilstile::peer
