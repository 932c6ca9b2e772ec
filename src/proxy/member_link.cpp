// Connects the failure detector with the network.

#include "trefoilstile/proxy/member_link.hpp"

#include <algorithm>
#include <utility>

#include "trefoilstile/http/clock.hpp"

namespace trefoilstile::proxy
{

namespace
{

/// All instances that share a store share its environment; the key keeps others out.
constexpr const char *s_environment = "entry";

} // namespace

MemberLink::MemberLink(boost::asio::io_context &context,
    const Settings &settings,
    std::string key,
    base::IncarnationId incarnation,
    const std::vector<std::string> &seeds,
    std::uint64_t seed)
    : m_random(seed)
    , m_network(context, settings.peerAddress, {std::move(key), s_environment, settings.name, incarnation}, handlers())
    , m_detector(
          {}, incarnation, {settings.name, settings.callerAddress, settings.peerAddress, settings.region, settings.failureDomain}, seeds, m_random)
{
    m_network.start();
}

daemon::PeerNetworkHandlers MemberLink::handlers()
{
    daemon::PeerNetworkHandlers handlers;
    handlers.message = [this](base::IncarnationId sender, const membership::Message &message) {
        m_detector.receive(sender, message, http::now(), *this);
    };
    // Configuration comes from the store, and no idempotency keys are handed over, so nothing else is exchanged.
    handlers.documentProgressed = [](std::uint64_t) {};
    handlers.documentFetched = [](std::uint64_t, steering::FetchResult, std::string) {};
    handlers.drainsFetched = [](std::uint64_t, steering::FetchResult, base::Generation, std::string) {};
    handlers.keysOffered = [this](std::uint64_t ticket, const idempotency::SealedPart &) {
        m_network.replyToOffer(ticket, false, false);
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

void MemberLink::addSeed(const std::string &peerAddress)
{
    m_detector.addSeed(peerAddress);
}

std::size_t MemberLink::memberCount(base::TimePoint now) const
{
    std::size_t known = 0;
    for (const auto &[incarnation, member] : m_detector.table().entries()) {
        known += member.status.state != membership::MemberState::Dead ? 1 : 0;
    }
    std::size_t summarized = 0;
    std::size_t local = 0;
    const auto &self = m_detector.table().entries();
    const auto summaries = m_detector.summaries(now);
    for (const auto &summary : summaries) {
        summarized += summary.alive + summary.suspect;
    }
    if (!self.empty()) {
        local = m_detector.localAlive().size();
    }
    // Above a size only members of the own failure domain are known singly.
    return std::max(known, local + summarized);
}

void MemberLink::send(membership::Outgoing outgoing)
{
    m_network.send(outgoing);
}

} // namespace trefoilstile::proxy
