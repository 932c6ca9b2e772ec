// Probes that fail: suspicion of the member, and checks of other members that were not heard of since.
//
// A node probes one member a period, so the loss of many members would be noticed one after the other. A failed probe therefore leads to
// probes of a few others, and each of these that fails to further ones.

#include "trefoilstile/membership/failure_detector.hpp"

#include <algorithm>
#include <set>

namespace trefoilstile::membership
{

void FailureDetector::expireProbes(base::TimePoint now)
{
    std::vector<OpenProbe> failed;
    for (auto it = m_openProbes.begin(); it != m_openProbes.end();) {
        OpenProbe &probe = it->second;
        const base::Duration waited = now - probe.sent;
        if (waited >= m_options.probeTimeout) {
            if (probe.purpose != Purpose::Contact) {
                failed.push_back(probe);
            }
            it = m_openProbes.erase(it);
            continue;
        }
        if (probe.purpose != Purpose::Contact && !probe.indirect && waited >= m_options.directTimeout) {
            probe.indirect = true;
            sendProbeRequests(it->first, probe);
        }
        ++it;
    }
    for (const OpenProbe &probe : failed) {
        probeFailed(probe, now);
    }
    for (const OpenProbe &probe : failed) {
        checkOthers(probe, now);
    }
    std::erase_if(m_forwarded, [this, now](const auto &forwarded) {
        return now - forwarded.second.sent >= m_options.probeTimeout;
    });
}

void FailureDetector::probeFailed(const OpenProbe &probe, base::TimePoint now)
{
    ++m_counters.probesFailed;
    const MemberEntry *entry = m_table.find(probe.target);
    if (entry == nullptr || !entry->isAlive()) {
        return;
    }
    if (probe.purpose == Purpose::Check && (m_lastHeard < probe.sent || probe.sent < m_connectedSince)) {
        // No member answered, so this node may be the one that is cut off. Suspicions of all others would reach them when it is back.
        if (now - m_lastHeard >= m_options.isolation) {
            m_table.setSilent(probe.target, true);
            m_silentMembers = true;
        }
        return;
    }
    ++m_counters.suspicions;
    setState(probe.target, MemberState::Suspect, now);
    // A direct notification lets the member refute before the suspicion reaches it by gossip.
    send(entry->info.peerAddress, Gossip{makeBody(&entry->info, probe.target)});
}

void FailureDetector::checkOthers(const OpenProbe &failed, base::TimePoint now)
{
    std::set<base::IncarnationId> open;
    std::size_t checks = 0;
    for (const auto &[nonce, probe] : m_openProbes) {
        open.insert(probe.target);
        checks += probe.purpose == Purpose::Check ? 1 : 0;
    }
    // Members of other failure domains are probed by relays only, unless the relays may be lost too.
    const bool remote = m_forwardsRecords && (m_lastHeard < failed.sent || isRelay());
    std::vector<base::IncarnationId> candidates;
    for (const auto &[incarnation, entry] : m_table.entries()) {
        const auto heard = m_heard.find(incarnation);
        const bool heardSince = heard != m_heard.end() && heard->second >= failed.sent;
        if (incarnation != m_self && entry.isAlive() && !entry.silent && !heardSince && !open.contains(incarnation) && (remote || isLocal(entry.info))) {
            candidates.push_back(incarnation);
        }
    }
    const std::size_t count = std::min(m_options.checksPerFailure, m_options.maximumChecks - std::min(checks, m_options.maximumChecks));
    for (const base::IncarnationId target : sample(std::move(candidates), count, m_random)) {
        sendProbe(Purpose::Check, target, m_table.find(target)->info.peerAddress, now);
    }
}

/// Once this node hears from a member again, those that are still marked as silent are asked at once: they answer, or are suspected.
void FailureDetector::checkSilent(base::TimePoint now)
{
    if (!m_silentMembers || now - m_lastHeard >= m_options.isolation) {
        return;
    }
    std::vector<base::IncarnationId> silent;
    std::vector<base::IncarnationId> suspected; // the state of these is known to others, and a refutation will reach this node
    for (const auto &[incarnation, entry] : m_table.entries()) {
        if (entry.silent) {
            (entry.isAlive() ? silent : suspected).push_back(incarnation);
        }
    }
    for (const base::IncarnationId member : suspected) {
        m_table.setSilent(member, false);
    }
    m_silentMembers = !silent.empty();
    std::erase_if(silent, [this](base::IncarnationId member) {
        return std::any_of(m_openProbes.begin(), m_openProbes.end(), [member](const auto &open) {
            return open.second.target == member;
        });
    });
    for (const base::IncarnationId target : sample(std::move(silent), m_options.maximumChecks, m_random)) {
        sendProbe(Purpose::Check, target, m_table.find(target)->info.peerAddress, now);
    }
}

void FailureDetector::heardFrom(base::IncarnationId sender, base::TimePoint now)
{
    if (now - m_lastHeard >= m_options.isolation) {
        m_connectedSince = now;
    }
    m_lastHeard = now;
    if (m_table.find(sender) != nullptr) {
        m_heard[sender] = now;
        m_table.setSilent(sender, false);
    }
}

} // namespace trefoilstile::membership
