// State of the entry process that requests share: what is believed, the limits, and the means to send.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "trefoilstile/base/random.hpp"
#include "trefoilstile/ingress/configuration.hpp"
#include "trefoilstile/ingress/fleet_limits.hpp"
#include "trefoilstile/ingress/instance_capacity.hpp"
#include "trefoilstile/ingress/placement.hpp"
#include "trefoilstile/ingress/planned_stop.hpp"
#include "trefoilstile/ingress/route_index.hpp"
#include "trefoilstile/ingress/upstream_table.hpp"
#include "trefoilstile/metrics/registry.hpp"
#include "trefoilstile/proxy/event_log.hpp"
#include "trefoilstile/proxy/header_names.hpp"
#include "trefoilstile/proxy/settings.hpp"
#include "trefoilstile/proxy/upstream_connections.hpp"

namespace trefoilstile::proxy
{

class EntryCore
{
public:
    EntryCore(boost::asio::io_context &ioContext, Settings processSettings, HeaderNames headerNames, std::uint64_t seed);

    /// Puts a configuration into effect if it is newer than the one in effect.
    bool applyConfiguration(ingress::Configuration newer, base::TimePoint now);

    /// Retries of this instance to a service.
    ingress::RetryShare &retryShare(std::string_view service);

    /// Takes one retry to the service out of this instance's part.
    bool takeRetry(std::string_view service, base::TimePoint now);

    /// Connections of this instance to one upstream of a service: its part of what the upstream accepts from all.
    std::size_t connectionLimit(std::string_view service) const;

    /// Writes a line if the upstream has come to be avoided, or is used again.
    void logHealth(ingress::Upstream &upstream, base::TimePoint now);

    /// Work to be done a few times a second.
    void advance(base::TimePoint now);

    boost::asio::io_context &context;
    Settings settings;
    HeaderNames names;
    base::SplitMix64 random;
    EventLog log;
    metrics::Registry metrics;
    ingress::Configuration configuration;
    std::unique_ptr<ingress::RouteIndex> routes; ///< null until a configuration is in effect
    ingress::UpstreamTable book;
    ingress::Placement placement;
    ingress::MemberCount members; ///< of all failure domains
    ingress::MemberCount domainMembers; ///< of this failure domain
    ingress::PlannedStop stop;
    UpstreamConnections connections;
    bool upstreamsKnown = false; ///< the list of upstreams has been read once
    std::size_t sessions{}; ///< open connections of callers
    std::size_t requests{}; ///< being served
    ingress::RequestRate requestRate;

private:
    void splitRegions(base::TimePoint now);
    void logSplits(base::TimePoint now);

    std::map<std::string, std::map<std::string, double, std::less<>>, std::less<>> m_loggedShares; ///< by service and region
    base::TimePoint m_nextSplit; ///< not before is the split over regions moved
    std::map<std::string, ingress::RetryShare, std::less<>> m_retryShares; ///< by service
};

} // namespace trefoilstile::proxy
