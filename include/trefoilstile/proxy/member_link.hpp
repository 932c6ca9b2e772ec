// Membership of one entry process: connects the failure detector, the reports between instances and the feeds of tables with the
// peer network.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "trefoilstile/base/random.hpp"
#include "trefoilstile/daemon/peer_network.hpp"
#include "trefoilstile/feed/readers.hpp"
#include "trefoilstile/membership/failure_detector.hpp"
#include "trefoilstile/proxy/feed_server.hpp"
#include "trefoilstile/proxy/fleet_report.hpp"
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

    /// Adds the peer address of an instance that may run.
    void addSeed(const std::string &peerAddress)
    {
        m_detector.addSeed(peerAddress);
    }

    /// Uses another key for the messages from now on. Throws `peer::CodecError` if it is too short.
    void setKey(std::string key)
    {
        m_network.setKey(std::move(key));
    }

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

    /// Sends a report to a random sample of the members of this failure domain.
    void sendReport(const FleetReport &report);

    /// Sends a report to one instance of each other failure domain.
    void sendReportToOtherDomains(const FleetReport &report, base::TimePoint now);

    /// Sends a message about the use of quotas.
    void sendUsage(const std::string &peerAddress, const quota::UsageMessage &message)
    {
        m_network.send(peerAddress, message);
    }

    /// Members that may be contacted in each other failure domain. In a large system these are only its relays, without names.
    std::map<std::string, std::vector<feed::ReaderCandidate>> otherDomains(base::TimePoint now) const;

    /// Called for each message about the use of quotas. May be empty.
    std::function<void(const quota::UsageMessage &)> usageReceived;

    /// Called for each report that another member sends. May be empty.
    std::function<void(const FleetReport &)> reportReceived;

    /// Alive members of this failure domain that are not leaving, as candidates for readers of the store.
    std::vector<feed::ReaderCandidate> readerCandidates() const;

    /// Asks the instance at a peer address for the changes of a table. Returns nothing if it does not respond in time.
    boost::asio::awaitable<std::optional<peer::FeedResponse>> requestFeed(std::string address, peer::FeedRequest request, base::Duration timeout);

    /// Answers the requests of other instances for changes. May be empty.
    std::function<void(peer::FeedRequest, FeedServer::Reply)> feedRequested;

    /// Sends a message of the failure detector, which requires this member function.
    void send(membership::Outgoing outgoing);

private:
    daemon::PeerNetworkHandlers handlers();

    boost::asio::io_context &m_context;
    base::IncarnationId m_self;
    std::string m_domain;
    std::string m_address; ///< peer address of this instance
    base::SplitMix64 m_random;
    daemon::PeerNetwork m_network;
    membership::FailureDetector m_detector;
};

} // namespace trefoilstile::proxy
