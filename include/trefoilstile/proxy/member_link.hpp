// Membership of one entry process: connects the failure detector and the load reports with the peer network.
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

    /// Runs the failure detector's periodic work.
    void tick(base::TimePoint now);

    /// Announces to the other members that this instance stops.
    void announceLeaving(base::TimePoint now);

    /// Sets the spare capacity of this instance that is announced to the other members, in requests/s.
    void reportSpareCapacity(std::uint32_t requestsPerSecond)
    {
        m_detector.setSpareCapacity(requestsPerSecond);
    }

    const membership::MemberTable &members() const
    {
        return m_detector.table();
    }

    /// Number of alive or suspect members in all failure domains, including this one.
    std::size_t memberCount(base::TimePoint now) const;

    /// Number of members in this failure domain that are not dead, including this one.
    std::size_t domainMemberCount() const;

    /// Sends loads that upstreams have reported to this instance to a random sample of the members of this failure domain.
    void reportLoads(const std::vector<ingress::LoadObservation> &observations);

    /// Called for each load that another member reports. May be empty.
    std::function<void(const ingress::LoadObservation &)> loadReported;

    /// Sends a message of the failure detector, which requires this member function.
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
