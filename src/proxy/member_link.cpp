// Passes messages between the failure detector and the peer network, and exchanges reports and changes of tables.

#include "trefoilstile/proxy/member_link.hpp"

#include <algorithm>
#include <utility>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

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

peer::LoadReport toPeer(const FleetReport &report)
{
    peer::LoadReport result;
    for (const ingress::LoadObservation &load : report.loads) {
        result.loads.push_back({load.upstream, load.busy, load.slots, load.age, load.speedPercent});
    }
    result.leavingRuns = report.leavingRuns;
    for (const KnownTable &table : report.tables) {
        result.tables.push_back({table.table, table.lastChange});
    }
    result.peerAddress = report.peerAddress;
    for (const ingress::ConnectionLoadLimit &limit : report.connectionLimits) {
        result.connectionLimits.push_back({limit.service, static_cast<std::uint32_t>(100 * limit.loadPerSlot)});
    }
    return result;
}

FleetReport fromPeer(const peer::LoadReport &report)
{
    FleetReport result;
    for (const peer::UpstreamLoad &load : report.loads) {
        result.loads.push_back({load.upstream, load.busy, load.slots, load.age, load.speedPercent});
    }
    result.leavingRuns = report.leavingRuns;
    for (const peer::TablePosition &table : report.tables) {
        result.tables.push_back({table.table, table.position});
    }
    result.peerAddress = report.peerAddress;
    for (const peer::ConnectionLoadLimit &limit : report.connectionLimits) {
        result.connectionLimits.push_back({limit.service, limit.loadPercent / 100.0});
    }
    return result;
}

} // namespace

MemberLink::MemberLink(boost::asio::io_context &context,
    const Settings &settings,
    std::string key,
    base::IncarnationId incarnation,
    const std::vector<std::string> &seeds,
    std::uint64_t seed)
    : m_context(context)
    , m_self(incarnation)
    , m_domain(settings.failureDomain)
    , m_address(settings.peerAddress)
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
        if (reportReceived) {
            reportReceived(fromPeer(report));
        }
    };
    handlers.usageReceived = [this](const quota::UsageMessage &message) {
        if (usageReceived) {
            usageReceived(message);
        }
    };
    handlers.feedRequested = [this](peer::FeedRequest request, FeedServer::Reply reply) {
        if (feedRequested) {
            feedRequested(std::move(request), std::move(reply));
        } else {
            reply({});
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

void MemberLink::sendReport(const FleetReport &report)
{
    std::vector<std::string> addresses;
    for (const auto &[incarnation, member] : m_detector.table().entries()) {
        if (incarnation != m_self && member.isAlive() && member.info.failureDomain == m_domain) {
            addresses.push_back(member.info.peerAddress);
        }
    }
    peer::LoadReport message = toPeer(report);
    message.peerAddress = m_address;
    for (const std::string &address : membership::sample(std::move(addresses), s_reportFanout, m_random)) {
        m_network.send(address, message);
    }
}

std::map<std::string, std::vector<feed::ReaderCandidate>> MemberLink::otherDomains(base::TimePoint now) const
{
    std::map<std::string, std::vector<feed::ReaderCandidate>> contacts;
    for (const auto &[incarnation, member] : m_detector.table().entries()) {
        if (member.isAlive() && member.info.failureDomain != m_domain) {
            contacts[member.info.failureDomain].push_back({member.info.name, member.info.peerAddress});
        }
    }
    // In a large system the members of other failure domains are not known individually, but the summaries name their relays.
    for (const membership::DomainSummary &summary : m_detector.summaries(now)) {
        for (const membership::RelayAddress &relay : summary.relays) {
            contacts[summary.failureDomain].push_back({std::string(), relay.peerAddress});
        }
    }
    return contacts;
}

void MemberLink::sendReportToOtherDomains(const FleetReport &report, base::TimePoint now)
{
    peer::LoadReport message = toPeer(report);
    message.peerAddress = m_address;
    for (auto &[domain, contacts] : otherDomains(now)) {
        for (const feed::ReaderCandidate &contact : membership::sample(std::move(contacts), 1, m_random)) {
            m_network.send(contact.address, message);
        }
    }
}

std::vector<feed::ReaderCandidate> MemberLink::readerCandidates() const
{
    std::vector<feed::ReaderCandidate> candidates;
    for (const auto &[incarnation, member] : m_detector.table().entries()) {
        if (member.isAlive() && !member.isLeaving() && member.info.failureDomain == m_domain) {
            candidates.push_back({member.info.name, member.info.peerAddress});
        }
    }
    return candidates;
}

boost::asio::awaitable<std::optional<peer::FeedResponse>> MemberLink::requestFeed(std::string address, peer::FeedRequest request, base::Duration timeout)
{
    struct Pending {
        explicit Pending(boost::asio::io_context &context)
            : timer(context, std::chrono::steady_clock::time_point::max())
        {
        }
        boost::asio::steady_timer timer; ///< cancelled when the result is known
        std::optional<peer::FeedResponse> response;
        bool ended = false;
    };
    const auto pending = std::make_shared<Pending>(m_context);
    m_network.requestFeed(address, std::move(request), timeout, [pending](std::optional<peer::FeedResponse> response) {
        pending->response = std::move(response);
        pending->ended = true;
        pending->timer.cancel();
    });
    while (!pending->ended) {
        boost::system::error_code ignored;
        co_await pending->timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    }
    co_return std::move(pending->response);
}

void MemberLink::send(membership::Outgoing outgoing)
{
    m_network.send(outgoing);
}

} // namespace trefoilstile::proxy
