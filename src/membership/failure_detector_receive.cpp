// Message-driven part of the failure detector: handling of received messages and merging of their gossip.

#include "trefoilstile/membership/failure_detector.hpp"

#include <algorithm>

namespace trefoilstile::membership
{

namespace
{

/// True for a probe that was sent to an address whose incarnation is unknown.
bool isContact(const Message &message)
{
    const auto *probe = std::get_if<SummaryExchange>(&message);
    return probe != nullptr && probe->target == base::IncarnationId{};
}

} // namespace

void FailureDetector::handle(base::IncarnationId sender, const Message &message, base::TimePoint now)
{
    const GossipBody &body = bodyOf(message);
    if (body.sender.incarnation != sender || !body.sender.info || sender == m_self) {
        return;
    }
    handlePause(now);
    m_now = now;
    refreshViews(now);
    const MemberEntry *before = m_table.find(sender);
    const bool wasDead = before != nullptr && before->status.state == MemberState::Dead;
    const std::uint64_t refutations = m_counters.refutations;
    mergeBody(body, now);
    heardFrom(sender, now);
    refreshViews(now);
    const MemberEntry *after = m_table.find(sender);
    if (after != nullptr && after->isAlive() && (wasDead || isContact(message))) {
        sendMemberList(*after, now);
    }
    if (const auto *probe = std::get_if<Probe>(&message)) {
        answer(probe->nonce, body);
    } else if (const auto *exchange = std::get_if<SummaryExchange>(&message)) {
        answer(exchange->nonce, body);
    } else if (m_counters.refutations != refutations || (after != nullptr && !after->isAlive())) {
        // Sends the refutation to the reporter immediately, or notifies a live sender that it is listed as suspect or dead.
        // A tombstone of the sender here may not be disseminated, so it may receive no other message about it.
        send(body.sender.info->peerAddress, Gossip{makeBody(&*body.sender.info, sender)});
    }
    if (const auto *ack = std::get_if<Ack>(&message)) {
        handleAck(sender, *ack, now);
    } else if (const auto *request = std::get_if<ProbeRequest>(&message)) {
        handleProbeRequest(*request, now);
    }
}

void FailureDetector::answer(std::uint64_t nonce, const GossipBody &body)
{
    const MemberInfo &info = *body.sender.info;
    send(info.peerAddress, Ack{nonce, m_self, makeBody(&info, body.sender.incarnation)});
}

void FailureDetector::handleAck(base::IncarnationId sender, const Ack &ack, base::TimePoint now)
{
    if (const auto forwarded = m_forwarded.find(ack.nonce); forwarded != m_forwarded.end()) {
        if (ack.responder == sender) {
            send(forwarded->second.requesterAddress, Ack{forwarded->second.requesterNonce, sender, makeBody(&self().info, {})});
        }
        m_forwarded.erase(forwarded);
        return;
    }
    const auto open = m_openProbes.find(ack.nonce);
    if (open == m_openProbes.end()) {
        return;
    }
    const std::string address = open->second.address;
    const bool contact = open->second.purpose == Purpose::Contact && open->second.target == base::IncarnationId{};
    m_openProbes.erase(open);
    if (const MemberEntry *entry = m_table.find(sender); contact && entry != nullptr && entry->isAlive()) {
        sendMemberList(*entry, now);
    }
    // The answer to an open probe proves which incarnation holds the address; any other member listed there was replaced.
    for (const base::IncarnationId holder : m_table.atAddress(address)) {
        if (holder != ack.responder && holder != m_self) {
            ++m_counters.deaths;
            setState(holder, MemberState::Dead, now);
        }
    }
}

void FailureDetector::handleProbeRequest(const ProbeRequest &request, base::TimePoint now)
{
    if (m_forwarded.size() >= m_options.forwardedProbes || request.targetAddress == m_address) {
        return;
    }
    const std::uint64_t nonce = m_random.next();
    m_forwarded[nonce] = {request.body.sender.info->peerAddress, request.nonce, now};
    const MemberEntry *target = m_table.find(request.target);
    send(request.targetAddress, Probe{nonce, request.target, makeBody(target == nullptr ? nullptr : &target->info, request.target)});
}

void FailureDetector::mergeBody(const GossipBody &body, base::TimePoint now)
{
    mergeUpdate(body.sender, now);
    for (const MemberUpdate &update : body.updates) {
        mergeUpdate(update, now);
    }
    for (const DomainSummary &summary : body.summaries) {
        mergeSummary(summary, now);
    }
}

void FailureDetector::mergeUpdate(const MemberUpdate &update, base::TimePoint now)
{
    if (update.incarnation == m_self) {
        mergeAboutSelf(update, now);
        return;
    }
    const MemberEntry *known = m_table.find(update.incarnation);
    if (!m_forwardsRecords && known == nullptr && (!update.info || !isLocal(*update.info))) {
        return;
    }
    const Change change = m_table.apply(update, now);
    enqueueChange(update.incarnation, change);
    if (change == Change::Added) {
        resolveAddress(*m_table.find(update.incarnation), now);
    }
}

/// This node is authoritative for its own state: it refutes a suspect or dead report with a higher status number.
void FailureDetector::mergeAboutSelf(const MemberUpdate &update, base::TimePoint now)
{
    const std::uint64_t own = self().status.statusNumber;
    if (update.status.state == MemberState::Alive || update.status.statusNumber < own) {
        return;
    }
    ++m_counters.refutations;
    MemberUpdate refutation = updateOf(self(), false);
    refutation.status.statusNumber = update.status.statusNumber + 1;
    enqueueChange(m_self, m_table.apply(refutation, now));
}

void FailureDetector::mergeSummary(const DomainSummary &summary, base::TimePoint now)
{
    if (summary.failureDomain != m_domain) {
        if (m_domains.merge(summary, now)) {
            m_viewVersion = ~0ULL;
        }
        return;
    }
    // Contacts relays of this failure domain that are not alive in the table: this node has not joined them yet, or the
    // failure domain is partitioned.
    for (const RelayAddress &relay : summary.relays) {
        const MemberEntry *known = m_table.find(relay.incarnation);
        const bool alive = known != nullptr && known->isAlive();
        if (!alive && relay.peerAddress != m_address && now >= m_nextLocalContact) {
            m_nextLocalContact = now + m_options.probePeriod;
            ++m_counters.contacts;
            sendProbe(Purpose::Contact, {}, relay.peerAddress, now);
        }
    }
}

/// If two members have the same address, one has replaced the other. At the address of this node the other member is dead;
/// at any other address a new probe decides.
void FailureDetector::resolveAddress(const MemberEntry &entry, base::TimePoint now)
{
    const base::IncarnationId incarnation = entry.incarnation;
    const std::string address = entry.info.peerAddress;
    if (address == m_address) {
        ++m_counters.deaths;
        setState(incarnation, MemberState::Dead, now);
    } else if (m_table.atAddress(address).size() > 1) {
        sendProbe(Purpose::Contact, incarnation, address, now);
    }
}

void FailureDetector::setState(base::IncarnationId incarnation, MemberState state, base::TimePoint now)
{
    enqueueChange(incarnation, m_table.report(incarnation, state, now));
}

void FailureDetector::enqueueChange(base::IncarnationId incarnation, Change change)
{
    if (change == Change::None) {
        return;
    }
    m_localQueue.push(incarnation, change);
    if (m_forwardsRecords) {
        m_remoteQueue.push(incarnation, change);
    }
}

} // namespace trefoilstile::membership
