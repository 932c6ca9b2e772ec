// Outgoing gossip of the failure detector: own record, queued reports, summaries and member lists.

#include "trefoilstile/membership/failure_detector.hpp"

#include <algorithm>
#include <set>

namespace trefoilstile::membership
{

namespace
{

/// Upper bound in bytes of the announcement, the list headers and the struct terminators.
std::size_t frameBytes(const steering::Announcement &announcement)
{
    return announcement.document.hash.size() + 40;
}

} // namespace

std::vector<DomainSummary> FailureDetector::summaries(base::TimePoint now) const
{
    if (!m_forwardsRecords) {
        return m_domains.summaries(now);
    }
    std::set<std::string> domains;
    for (const auto &[incarnation, entry] : m_table.entries()) {
        domains.insert(entry.info.failureDomain);
    }
    domains.erase(m_domain);
    std::vector<DomainSummary> made;
    for (const std::string &domain : domains) {
        made.push_back(summarise(m_table, domain, {}));
    }
    return made;
}

void FailureDetector::announce(const steering::Announcement &announcement, base::TimePoint now)
{
    if (announcement == m_announcement) {
        return;
    }
    m_announcement = announcement;
    reportSelf(now, true);
}

void FailureDetector::leave(base::TimePoint now)
{
    MemberUpdate update = updateOf(self(), false);
    ++update.status.reportNumber;
    update.status.leaving = true;
    m_now = now;
    enqueueChange(m_self, m_table.apply(update, now));
    sendEagerly();
}

void FailureDetector::raiseStatus(base::TimePoint now)
{
    MemberUpdate update = updateOf(self(), false);
    ++update.status.statusNumber;
    enqueueChange(m_self, m_table.apply(update, now));
}

void FailureDetector::reportSelf(base::TimePoint now, bool eager)
{
    MemberUpdate update = updateOf(self(), false);
    ++update.status.reportNumber;
    update.status.generation = m_announcement.document.generation;
    update.status.drainGeneration = m_announcement.drains;
    update.status.spareCapacity = m_spareCapacity.value_or(0);
    m_now = now;
    enqueueChange(m_self, m_table.apply(update, now));
    if (eager) {
        sendEagerly();
    }
}

/// Notifies a few members without waiting for the next probe, so that a new generation spreads in fractions of a second.
void FailureDetector::sendEagerly()
{
    refreshViews(m_now);
    const auto sendTo = [this](base::IncarnationId receiver) {
        const MemberEntry &entry = *m_table.find(receiver);
        send(entry.info.peerAddress, Gossip{makeBody(&entry.info, receiver)});
    };
    for (const base::IncarnationId receiver : sample(m_localAlive, m_options.eagerFanout, m_random)) {
        sendTo(receiver);
    }
    if (!isRelay()) {
        return;
    }
    if (m_forwardsRecords) {
        for (const base::IncarnationId receiver : sample(m_remoteRelays, m_options.eagerFanout, m_random)) {
            sendTo(receiver);
        }
        return;
    }
    std::vector<std::string> addresses;
    for (const DomainSummary &summary : m_domains.summaries(m_now)) {
        for (const RelayAddress &relay : summary.relays) {
            addresses.push_back(relay.peerAddress);
        }
    }
    for (const std::string &address : sample(std::move(addresses), m_options.eagerFanout, m_random)) {
        send(address, Gossip{makeBody(nullptr, {})});
    }
}

GossipBody FailureDetector::makeBody(const MemberInfo *receiver, base::IncarnationId receiverId)
{
    const bool toLocal = receiver != nullptr && isLocal(*receiver);
    GossipBody body;
    body.announcement = m_announcement;
    body.sender = updateOf(self(), true);
    const std::size_t taken = encodedBytes(body.sender) + frameBytes(m_announcement);
    std::size_t bytes = m_options.bodyBytes - std::min(taken, m_options.bodyBytes);
    const MemberEntry *entry = m_table.find(receiverId);
    if (entry != nullptr && !entry->isAlive()) {
        // A member that is suspected or declared dead needs the report in order to refute it.
        body.updates.push_back(updateOf(*entry, false));
        bytes -= std::min(bytes, encodedBytes(body.updates.back()));
    }
    addSummaries(body, receiver, bytes);
    if (toLocal || m_forwardsRecords) {
        GossipQueue &queue = toLocal ? m_localQueue : m_remoteQueue;
        const std::size_t receivers = toLocal ? m_localAlive.size() : m_remoteRelays.size();
        for (MemberUpdate &update : queue.pick(m_table, transmissionLimit(m_options.transmissionFactor, receivers), bytes)) {
            body.updates.push_back(std::move(update));
        }
        addRotated(body, bytes);
    }
    return body;
}

void FailureDetector::addSummaries(GossipBody &body, const MemberInfo *receiver, std::size_t &bytes)
{
    const auto add = [&body, &bytes](DomainSummary summary) {
        const std::size_t size = encodedBytes(summary);
        if (size <= bytes) {
            bytes -= size;
            body.summaries.push_back(std::move(summary));
        }
    };
    const bool toLocal = receiver != nullptr && isLocal(*receiver);
    if (!toLocal) {
        add(ownSummary());
    }
    if (m_forwardsRecords) {
        return;
    }
    if (!toLocal && receiver != nullptr) {
        // A joining member learns the relays of its own failure domain from this summary.
        if (auto summary = m_domains.findForMember(receiver->failureDomain, m_now)) {
            add(std::move(*summary));
        }
    }
    for (DomainSummary &summary : m_domains.rotate(m_options.rotatedSummaries, m_now)) {
        add(std::move(summary));
    }
}

/// Adds records in round-robin order whether or not they changed, for receivers that missed a report.
void FailureDetector::addRotated(GossipBody &body, std::size_t &bytes)
{
    const auto &entries = m_table.entries();
    auto next = entries.upper_bound(m_lastRotated);
    std::size_t added = 0;
    for (std::size_t seen = 0; seen < entries.size() && added < m_options.rotatedRecords; ++seen, ++next) {
        if (next == entries.end()) {
            next = entries.begin();
        }
        if (!next->second.disseminated || next->first == m_self) {
            continue;
        }
        MemberUpdate update = updateOf(next->second, true);
        const std::size_t size = encodedBytes(update);
        if (size > bytes) {
            return;
        }
        bytes -= size;
        body.updates.push_back(std::move(update));
        m_lastRotated = next->first;
        ++added;
    }
}

DomainSummary FailureDetector::ownSummary()
{
    refreshViews(m_now);
    DomainSummary summary = summarise(m_table, m_domain, m_ownRelays);
    if (m_announcement.document.generation >= summary.highest.document.generation) {
        summary.highest.document = m_announcement.document;
    }
    return summary;
}

/// Sends the member list to the receiver, split into several messages, within the limits of the options.
void FailureDetector::sendMemberList(const MemberEntry &receiver, base::TimePoint now)
{
    if (now - m_syncWindow >= std::chrono::seconds(1)) {
        m_syncWindow = now;
        m_syncs = 0;
    }
    if (m_syncs >= m_options.syncsPerSecond || (!isLocal(receiver.info) && !m_forwardsRecords)) {
        return;
    }
    ++m_syncs;
    GossipBody empty;
    empty.announcement = m_announcement;
    empty.sender = updateOf(self(), true);
    const std::size_t taken = encodedBytes(empty.sender) + frameBytes(m_announcement);
    GossipBody body = empty;
    std::size_t bytes = taken;
    std::size_t messages = 0;
    for (const auto &[incarnation, entry] : m_table.entries()) {
        if (!entry.disseminated || incarnation == m_self) {
            continue;
        }
        MemberUpdate update = updateOf(entry, true);
        const std::size_t size = encodedBytes(update);
        if (bytes + size > m_options.bodyBytes && !body.updates.empty()) {
            send(receiver.info.peerAddress, Gossip{std::exchange(body, empty)});
            bytes = taken;
            if (++messages >= m_options.syncMessages) {
                return;
            }
        }
        bytes += size;
        body.updates.push_back(std::move(update));
    }
    if (!body.updates.empty()) {
        send(receiver.info.peerAddress, Gossip{std::move(body)});
    }
}

void FailureDetector::send(const std::string &address, Message message)
{
    m_outgoing.push_back({address, std::move(message)});
}

} // namespace trefoilstile::membership
