// Membership of one entry process: the failure detector, its clock and its datagrams.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "trefoilstile/base/random.hpp"
#include "trefoilstile/daemon/peer_network.hpp"
#include "trefoilstile/ingress/upstream_table.hpp"
#include "trefoilstile/membership/failure_detector.hpp"
#include "trefoilstile/proxy/settings.hpp"

namespace trefoilstile::proxy
{

class MemberLink
{
public:
    /// Binds the peer address. Throws `base::Error` if that fails.
    MemberLink(boost::asio::io_context &context,
        const Settings &settings,
        std::string key,
        base::IncarnationId incarnation,
        const std::vector<std::string> &seeds,
        std::uint64_t seed);

    void tick(base::TimePoint now);
    void announceLeaving(base::TimePoint now);

    /// Tells the members what this instance can take beyond what it has, in requests/s.
    void reportSpareCapacity(std::uint32_t requestsPerSecond)
    {
        m_detector.setSpareCapacity(requestsPerSecond);
    }

    const membership::MemberTable &members() const
    {
        return m_detector.table();
    }

    /// Members of all failure domains that run or may run, this one included.
    std::size_t memberCount(base::TimePoint now) const;

    /// Members of this failure domain that run or may run, this one included.
    std::size_t domainMemberCount() const;

    /// Tells some members of this failure domain what upstreams have stated.
    void reportLoads(const std::vector<ingress::LoadObservation> &news);

    /// Called with what other members report.
    std::function<void(const ingress::LoadObservation &)> loadHeard;

    /// Sink of the failure detector.
    void send(membership::Outgoing outgoing);

private:
    daemon::PeerNetworkHandlers handlers();

    base::IncarnationId m_self;
    std::string m_domain;
    base::SplitMix64 m_random;
    daemon::PeerNetwork m_network;
    membership::FailureDetector m_detector;
};

} // namespace trefoilstile::proxy
