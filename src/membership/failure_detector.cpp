// Time-driven part of the failure detector: probes, suspicions, exchanges and contacts.

#include "trefoilstile/membership/failure_detector.hpp"

#include <algorithm>
#include <cmath>
#include <set>

#include "trefoilstile/steering/rendezvous.hpp"

namespace trefoilstile::membership
{

namespace
{

constexpr base::Duration s_viewLifetime = std::chrono::seconds(1);

} // namespace

FailureDetector::FailureDetector(
    Options options, base::IncarnationId incarnation, MemberInfo info, const std::vector<std::string> &seeds, std::uint64_t randomSeed)
    : m_options(options)
    , m_self(incarnation)
    , m_domain(info.failureDomain)
    , m_address(info.peerAddress)
    , m_random(randomSeed)
    , m_table(options.maximumMembers)
    , m_domains(options.maximumDomains, options.summaryLifetime)
    , m_contacts(options)
{
    for (const std::string &seed : seeds) {
        m_contacts.addSeed(seed);
    }
    MemberUpdate update{incarnation, {}, std::move(info)};
    update.status.statusNumber = 1;
    update.status.reportNumber = 1;
    m_table.apply(update, {});
    enqueueChange(m_self, Change::Added);
}

void FailureDetector::setSpareCapacity(std::uint32_t requestsPerSecond)
{
    m_spareCapacity = requestsPerSecond;
}

void FailureDetector::addSeed(const std::string &peerAddress)
{
    m_contacts.addSeed(peerAddress);
}

void FailureDetector::markListedLeaving(base::IncarnationId incarnation)
{
    m_table.markListedLeaving(incarnation);
}

bool FailureDetector::isRelay()
{
    refreshViews(m_now);
    return std::find(m_ownRelays.begin(), m_ownRelays.end(), m_self) != m_ownRelays.end();
}

void FailureDetector::advance(base::TimePoint now)
{
    handlePause(now);
    m_now = now;
    m_lastTick = now;
    refreshViews(now);
    expireProbes(now);
    checkSilent(now);
    expireSuspicions(now);
    probeLocal(now);
    exchange(now);
    contact(now);
    reportCapacity(now);
}

/// A paused process received no messages during the pause, so missing answers are no evidence of failures. Other members
/// have probably declared it dead, so it raises its status number immediately.
void FailureDetector::handlePause(base::TimePoint now)
{
    if (!m_lastTick || now - *m_lastTick <= m_options.pauseGap) {
        return;
    }
    const base::Duration gap = now - *m_lastTick;
    m_lastTick = now;
    m_now = now;
    m_lastHeard = now;
    ++m_counters.pauses;
    m_openProbes.clear();
    m_forwarded.clear();
    m_table.restartSuspicions(now);
    if (gap > m_options.tombstone / 2) {
        // Tombstones may have expired at other nodes for members that are still listed here, so the list is rebuilt.
        for (const auto &[incarnation, entry] : m_table.entries()) {
            if (incarnation != m_self) {
                m_contacts.addSeed(entry.info.peerAddress);
            }
        }
        m_table.removeIf([this](const MemberEntry &entry) {
            return entry.incarnation != m_self;
        });
    }
    m_contacts.expedite(now, m_random);
    raiseStatus(now);
    sendEagerly();
}

void FailureDetector::sendProbeRequests(std::uint64_t nonce, const OpenProbe &probe)
{
    const auto eligible = [this, &probe](const MemberEntry &entry, bool local) {
        return entry.isAlive() && entry.incarnation != m_self && entry.incarnation != probe.target && isLocal(entry.info) == local;
    };
    std::vector<base::IncarnationId> helpers;
    // Probes of remote members are first requested from other remote members, since a link of this failure domain may be faulty.
    const MemberEntry *target = m_table.find(probe.target);
    for (const bool local : {target != nullptr && isLocal(target->info), true}) {
        for (const auto &[incarnation, entry] : m_table.entries()) {
            if (eligible(entry, local)) {
                helpers.push_back(incarnation);
            }
        }
        if (!helpers.empty()) {
            break;
        }
    }
    for (const base::IncarnationId helper : sample(std::move(helpers), m_options.indirectProbes, m_random)) {
        const MemberInfo &info = m_table.find(helper)->info;
        send(info.peerAddress, ProbeRequest{nonce, probe.target, probe.address, makeBody(&info, helper)});
    }
}

void FailureDetector::expireSuspicions(base::TimePoint now)
{
    for (const bool local : {true, false}) {
        const base::TimePoint since = now - (local ? m_options.suspicion : m_options.remoteSuspicion);
        for (const base::IncarnationId incarnation : m_table.suspectedBefore(since, local, m_domain)) {
            ++m_counters.deaths;
            setState(incarnation, MemberState::Dead, now);
        }
    }
    m_table.removeIf([this, now](const MemberEntry &entry) {
        return entry.status.state == MemberState::Dead && now - entry.since >= m_options.tombstone;
    });
    if (m_heard.size() > m_table.entries().size()) {
        std::erase_if(m_heard, [this](const auto &heard) {
            return m_table.find(heard.first) == nullptr;
        });
    }
}

void FailureDetector::probeLocal(base::TimePoint now)
{
    if (!m_nextProbe) {
        m_nextProbe = now + base::jittered(m_options.probePeriod / 2, 1.0, m_random);
    }
    if (now < *m_nextProbe) {
        return;
    }
    m_nextProbe = now + base::jittered(m_options.probePeriod, m_options.periodJitter, m_random);
    if (const auto target = m_localRound.next(m_localAlive, m_random)) {
        sendProbe(Purpose::Local, *target, m_table.find(*target)->info.peerAddress, now);
    }
}

void FailureDetector::exchange(base::TimePoint now)
{
    if (!isRelay()) {
        m_nextExchange.reset();
        return;
    }
    if (!m_nextExchange) {
        m_nextExchange = now + base::jittered(m_options.exchangePeriod / 2, 1.0, m_random);
    }
    if (now < *m_nextExchange) {
        return;
    }
    m_nextExchange = now + base::jittered(m_options.exchangePeriod, m_options.periodJitter, m_random);
    if (!m_forwardsRecords) {
        exchangeBySummaries(now);
    } else if (const auto target = m_remoteRound.next(m_remoteRelays, m_random)) {
        sendProbe(Purpose::Remote, *target, m_table.find(*target)->info.peerAddress, now);
    }
}

void FailureDetector::exchangeBySummaries(base::TimePoint now)
{
    std::vector<std::string> reachable;
    for (const DomainSummary &summary : m_domains.summaries(now)) {
        if (m_domains.isFresh(summary) && !summary.relays.empty()) {
            reachable.push_back(summary.failureDomain);
        }
    }
    if (const auto domain = m_domainRound.next(reachable, m_random)) {
        const auto summary = m_domains.find(*domain, now);
        const auto &relay = summary->relays[base::uniformBelow(m_random, summary->relays.size())];
        sendProbe(Purpose::Contact, relay.incarnation, relay.peerAddress, now);
    }
}

/// Addresses that may belong to nodes that are currently unreachable from this node.
std::vector<std::string> FailureDetector::contactCandidates(base::TimePoint now) const
{
    std::set<std::string> candidates = m_contacts.seeds();
    for (const auto &[incarnation, entry] : m_table.entries()) {
        if (entry.status.state == MemberState::Dead) {
            candidates.insert(entry.info.peerAddress);
        }
    }
    for (const DomainSummary &summary : m_domains.summaries(now)) {
        for (const RelayAddress &relay : summary.relays) {
            if (!m_domains.isFresh(summary)) {
                candidates.insert(relay.peerAddress);
            }
        }
    }
    for (const auto &[incarnation, entry] : m_table.entries()) {
        if (entry.isAlive()) {
            candidates.erase(entry.info.peerAddress);
        }
    }
    candidates.erase(m_address);
    return {candidates.begin(), candidates.end()};
}

void FailureDetector::contact(base::TimePoint now)
{
    const bool alone = m_localAlive.empty() && m_remoteRelays.empty() && m_domains.summaries(now).empty();
    if (!alone && !isRelay()) {
        return;
    }
    const std::size_t count = m_contacts.due(alone, now, m_random);
    if (count == 0) {
        return;
    }
    for (const std::string &address : sample(contactCandidates(now), count, m_random)) {
        ++m_counters.contacts;
        sendProbe(Purpose::Contact, {}, address, now);
    }
}

void FailureDetector::sendProbe(Purpose purpose, base::IncarnationId target, const std::string &address, base::TimePoint now)
{
    const std::uint64_t nonce = m_random.next();
    m_openProbes[nonce] = {purpose, target, address, now, false};
    const MemberEntry *entry = m_table.find(target);
    GossipBody body = makeBody(entry == nullptr ? nullptr : &entry->info, target);
    ++m_counters.probes;
    if (purpose == Purpose::Local || (purpose == Purpose::Check && entry != nullptr && isLocal(entry->info))) {
        send(address, Probe{nonce, target, std::move(body)});
    } else {
        send(address, SummaryExchange{nonce, target, std::move(body)});
    }
}

void FailureDetector::reportCapacity(base::TimePoint now)
{
    const double reported = self().status.spareCapacity;
    const double change = std::abs(static_cast<double>(m_spareCapacity.value_or(0)) - reported);
    const bool refresh = m_spareCapacity && now >= m_nextReport - m_options.reportPeriod + m_options.reportRefresh;
    if (now < m_nextReport || (change <= m_options.reportThreshold * reported && !refresh)) {
        return;
    }
    m_nextReport = now + m_options.reportPeriod;
    reportSelf(now, false);
}

/// Derives from the table the probe targets, the relays, and whether records are forwarded.
void FailureDetector::refreshViews(base::TimePoint now)
{
    if (m_viewVersion == m_table.version() && now - m_viewMade < s_viewLifetime) {
        return;
    }
    m_viewMade = now;
    std::map<std::string_view, std::vector<base::IncarnationId>> alive;
    for (const auto &[incarnation, entry] : m_table.entries()) {
        if (entry.isAlive()) {
            alive[entry.info.failureDomain].push_back(incarnation);
        }
    }
    std::size_t total = 0;
    for (const DomainSummary &summary : m_domains.summaries(now)) {
        const std::size_t known = alive.contains(summary.failureDomain) ? alive[summary.failureDomain].size() : 0;
        total += m_domains.isFresh(summary) ? std::max<std::size_t>(summary.alive, known) - known : 0;
    }
    m_remoteRelays.clear();
    for (const auto &[domain, members] : alive) {
        total += members.size();
        const auto relays = steering::rendezvousChoice(members, "relay:" + std::string(domain), m_options.relays);
        if (domain == m_domain) {
            m_ownRelays = relays;
            m_localAlive = members;
        } else {
            m_remoteRelays.insert(m_remoteRelays.end(), relays.begin(), relays.end());
        }
    }
    std::erase(m_localAlive, m_self);
    m_viewVersion = m_table.version();
    const std::size_t limit = m_forwardsRecords ? m_options.recordLimit : m_options.recordResume;
    if ((total <= limit) != m_forwardsRecords) {
        m_forwardsRecords = total <= limit;
        m_remoteQueue.clear();
        if (!m_forwardsRecords) {
            m_remoteRelays.clear();
            m_table.removeIf([this](const MemberEntry &entry) {
                return !isLocal(entry.info);
            });
            m_viewVersion = m_table.version();
        }
    }
}

} // namespace trefoilstile::membership
