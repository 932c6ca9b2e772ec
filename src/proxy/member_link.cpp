// Passes messages between the failure detector and the peer network, and exchanges load reports.

#include "trefoilstile/proxy/member_link.hpp"

#include <algorithm>
#include <utility>

#include "trefoilstile/http/clock.hpp"

namespace trefoilstile::proxy
{

namespace
{

/// All instances that use the same store are in the same environment, so its name is fixed; messages of instances that use
/// another store are rejected because their peer key differs.
constexpr const char *s_environment = "entry";

/// Number of members that receive a load report. Each member then receives the load of an upstream from up to this many
/// others, regardless of the size of the failure domain.
constexpr std::size_t s_reportFanout = 8;

} // namespace

MemberLink::MemberLink(boost::asio::io_context &context,
    const Settings &settings,
    std::string key,
    base::IncarnationId incarnation,
    const std::vector<std::string> &seeds,
    std::uint64_t seed)
    : m_self(incarnation)
    , m_domain(settings.failureDomain)
    , m_random(seed)
    , m_network(context, settings.peerAddress, {std::move(key), s_environment, settings.name, incarnation}, handlers())
    , m_detector({}, incarnation, {settings.name, settings.callerAddress, settings.peerAddress, settings.region, settings.failureDomain}, seeds, m_random)
{
    m_network.start();
}

daemon::PeerNetworkHandlers MemberLink::handlers()
{
    daemon::PeerNetworkHandlers handlers;
    handlers.message = [this](base::IncarnationId sender, const membership::Message &message) {
        m_detector.receive(sender, message, http::now(), *this);
    };
    // The configuration is read from the store and idempotency keys are not handed over, so the other messages are not used.
    handlers.documentProgressed = [](std::uint64_t) {};
    handlers.documentFetched = [](std::uint64_t, steering::FetchResult, std::string) {};
    handlers.drainsFetched = [](std::uint64_t, steering::FetchResult, base::Generation, std::string) {};
    handlers.keysOffered = [this](std::uint64_t ticket, const idempotency::SealedPart &) {
        m_network.replyToOffer(ticket, false, false);
    };
    handlers.loadsReported = [this](const peer::LoadReport &report) {
        for (const peer::UpstreamLoad &load : report.loads) {
            if (loadReported) {
                loadReported({load.upstream, load.busy, load.slots, load.age});
            }
        }
    };
    return handlers;
}

void MemberLink::tick(base::TimePoint now)
{
    m_detector.tick(now, *this);
}

void MemberLink::announceLeaving(base::TimePoint now)
{
    m_detector.announceLeaving(now, *this);
}

std::size_t MemberLink::memberCount(base::TimePoint now) const
{
    const auto &entries = m_detector.table().entries();
    const auto known = std::count_if(entries.begin(), entries.end(), [](const auto &entry) {
        return entry.second.status.state != membership::MemberState::Dead;
    });
    std::size_t summarized = domainMemberCount();
    for (const membership::DomainSummary &summary : m_detector.summaries(now)) {
        summarized += summary.alive + summary.suspect;
    }
    // In a large system only the members of this instance's failure domain are known individually; the others are counted in
    // the summaries.
    return std::max(static_cast<std::size_t>(known), summarized);
}

std::size_t MemberLink::domainMemberCount() const
{
    const auto &entries = m_detector.table().entries();
    return static_cast<std::size_t>(std::count_if(entries.begin(), entries.end(), [this](const auto &entry) {
        return entry.second.info.failureDomain == m_domain && entry.second.status.state != membership::MemberState::Dead;
    }));
}

void MemberLink::reportLoads(const std::vector<ingress::LoadObservation> &observations)
{
    if (observations.empty()) {
        return;
    }
    std::vector<std::string> addresses;
    for (const auto &[incarnation, member] : m_detector.table().entries()) {
        if (incarnation != m_self && member.isAlive() && member.info.failureDomain == m_domain) {
            addresses.push_back(member.info.peerAddress);
        }
    }
    peer::LoadReport report;
    for (const ingress::LoadObservation &load : observations) {
        report.loads.push_back({load.upstream, load.busy, load.slots, load.age});
    }
    for (const std::string &address : membership::sample(std::move(addresses), s_reportFanout, m_random)) {
        m_network.send(address, report);
    }
}

void MemberLink::send(membership::Outgoing outgoing)
{
    m_network.send(outgoing);
}

} // namespace trefoilstile::proxy
