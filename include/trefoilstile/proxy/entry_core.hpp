// State of the entry process that all requests share: configuration, known upstreams, limits, log and connections.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "trefoilstile/base/random.hpp"
#include "trefoilstile/http/request_reader.hpp"
#include "trefoilstile/ingress/account_index.hpp"
#include "trefoilstile/ingress/configuration.hpp"
#include "trefoilstile/ingress/fleet_limits.hpp"
#include "trefoilstile/ingress/instance_capacity.hpp"
#include "trefoilstile/ingress/measured_requests.hpp"
#include "trefoilstile/ingress/placement.hpp"
#include "trefoilstile/ingress/planned_stop.hpp"
#include "trefoilstile/ingress/route_index.hpp"
#include "trefoilstile/ingress/upstream_table.hpp"
#include "trefoilstile/metrics/registry.hpp"
#include "trefoilstile/proxy/event_log.hpp"
#include "trefoilstile/proxy/header_names.hpp"
#include "trefoilstile/proxy/settings.hpp"
#include "trefoilstile/proxy/upstream_connections.hpp"
#include "trefoilstile/quota/quota_gate.hpp"

namespace trefoilstile::proxy
{

class EntryCore
{
public:
    EntryCore(boost::asio::io_context &ioContext, Settings processSettings, HeaderNames headerNames, std::uint64_t seed);

    /// Applies a configuration if its version is higher than the current one; returns whether it was applied.
    bool applyConfiguration(ingress::Configuration newer, base::TimePoint now);

    /// This instance's share of the retries to a service; created at the first call.
    ingress::RetryShare &retryShare(std::string_view service);

    /// Takes one retry to the service from this instance's share; false if none is left.
    bool takeRetry(std::string_view service, base::TimePoint now);

    /// Maximum number of connections of this instance to one upstream of the service: the upstream's limit divided by the
    /// number of instances, but at least 2.
    std::size_t connectionLimit(std::string_view service) const;

    /// Bytes of bodies that this instance may have in flight at one upstream; 0: not limited.
    std::uint64_t upstreamBodyLimit() const;

    /// Logs an event if placement started or stopped avoiding the upstream since the last such event.
    void logHealth(ingress::Upstream &upstream, base::TimePoint now);

    /// Sets the metrics that show the current state.
    void setGauges();

    /// Periodic work: advances the upstream table and the request rate, updates the regional split, closes connections that
    /// were idle for too long and flushes the log. Call several times per second.
    void advance(base::TimePoint now);

    boost::asio::io_context &context;
    Settings settings;
    HeaderNames names;
    base::SplitMix64 random;
    EventLog log;
    metrics::Registry metrics;
    ingress::Configuration configuration;
    std::unique_ptr<ingress::RouteIndex> routes; ///< null until a configuration is in effect
    std::unique_ptr<ingress::AccountIndex> accounts; ///< null until a configuration is in effect
    quota::QuotaGate quota;
    std::function<void()> reportQuota; ///< sends a report of the use of quotas at once; may be empty
    ingress::UpstreamTable upstreamTable;
    ingress::Placement placement;
    ingress::MemberCount members; ///< instances in all failure domains
    ingress::MemberCount domainMembers; ///< instances in this failure domain
    ingress::PlannedStop stop;
    UpstreamConnections connections;
    std::shared_ptr<http::BodyBudget> responseBudget; ///< for responses that are being received or not yet written to the caller
    bool upstreamsKnown = false; ///< the table of upstreams has been read completely at least once
    std::size_t sessions{}; ///< open caller connections
    std::size_t requests{}; ///< requests in service
    ingress::RequestRate requestRate;
    ingress::MeasuredRequests measuredRequests; ///< advanced by `CapacityMeter`

private:
    void splitRegions(base::TimePoint now);
    void logSplits(base::TimePoint now);
    /// Sets the gauges of overload control, and logs when the price of a service starts and stops to bind.
    void reportOverload(base::TimePoint now);

    std::map<std::string, std::map<std::string, double, std::less<>>, std::less<>> m_loggedShares; ///< last logged shares, by service and region
    std::map<std::string, double, std::less<>> m_loggedPrices; ///< by service
    base::TimePoint m_nextSplit; ///< earliest time of the next update of the regional split
    std::map<std::string, ingress::RetryShare, std::less<>> m_retryShares; ///< by service
};

/// Options of the quotas that the settings ask for.
quota::QuotaOptions quotaOptions(const Settings &settings);

/// Quotas of the accounts of a configuration.
std::vector<quota::AccountQuota> accountQuotas(const ingress::Configuration &configuration);

} // namespace trefoilstile::proxy
