// Shared state of the entry process: configuration changes, regional split, retry and connection limits.

#include "trefoilstile/proxy/entry_core.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include "trefoilstile/base/ids.hpp"

namespace trefoilstile::proxy
{

namespace
{

/// A changed regional split is logged if a region's share differs by more than this from the last logged one; a gradual shift
/// then writes a few events.
constexpr double s_minimumLoggedChange = 0.05;

/// Fraction of the memory used for bodies of responses. Growing a body needs up to half as much again for a moment, and request
/// bodies, connections and the tables need the rest.
constexpr double s_responseMemoryShare = 0.25;

ingress::PlacementOptions placementOptions(const Settings &settings)
{
    ingress::PlacementOptions options = ingress::placementOptions(settings.shiftLimit);
    options.overloadMode = settings.overloadControl;
    return options;
}

} // namespace

quota::QuotaOptions quotaOptions(const Settings &settings)
{
    quota::QuotaOptions options;
    options.window = settings.quotaWindow;
    options.overshoot = settings.quotaOvershoot;
    options.slack = settings.quotaSlack;
    return options;
}

std::vector<quota::AccountQuota> accountQuotas(const ingress::Configuration &configuration)
{
    std::vector<quota::AccountQuota> quotas;
    for (const ingress::Account &account : configuration.accounts) {
        quotas.push_back({account.name, account.requestsPerSecond, account.burst});
    }
    return quotas;
}

EntryCore::EntryCore(boost::asio::io_context &ioContext, Settings processSettings, HeaderNames headerNames, std::uint64_t seed)
    : context(ioContext)
    , settings(std::move(processSettings))
    , names(std::move(headerNames))
    , random(seed)
    , quota(quotaOptions(settings), random.next())
    , upstreamTable(ingress::upstreamTableOptions(settings.leavingBound))
    , placement(upstreamTable, settings.region, settings.failureDomain, base::stableHash(settings.name), placementOptions(settings))
    , measuredRequests(settings.resources)
{
    responseBudget = std::make_shared<http::BodyBudget>();
    responseBudget->limit = static_cast<std::uint64_t>(settings.memoryMegabytes * 1e6 * s_responseMemoryShare);
    responseBudget->fair = true;
    upstreamTable.setRegions(settings.regions);
    // Without other information, all failure domains are assumed to have the same number of callers.
    std::map<std::string, double, std::less<>> demand;
    for (const auto &[domain, region] : settings.regions) {
        demand[region] += 1;
    }
    placement.setDemand(std::move(demand));
}

bool EntryCore::applyConfiguration(ingress::Configuration newer, base::TimePoint now)
{
    if (newer.version <= configuration.version) {
        return false;
    }
    configuration = std::move(newer);
    routes = std::make_unique<ingress::RouteIndex>(configuration);
    accounts = std::make_unique<ingress::AccountIndex>(configuration);
    quota.setAccounts(accountQuotas(configuration));
    upstreamTable.setServices(configuration);
    splitRegions(now);
    return true;
}

void EntryCore::splitRegions(base::TimePoint now)
{
    // A split computed from an incomplete set of upstreams would be corrected only slowly.
    if (routes && upstreamsKnown) {
        placement.advance(configuration, now);
        logSplits(now);
        reportOverload(now);
    }
}

void EntryCore::reportOverload(base::TimePoint now)
{
    for (const auto &[service, description] : configuration.services) {
        const ingress::OverloadControl *control = placement.overload(service);
        const double price = control == nullptr ? 0 : control->price();
        double &logged = m_loggedPrices[service];
        // A price that binds for a moment only is not reported.
        constexpr double reportedFraction = 0.02;
        if (logged == 0 && (price == 0 || control->refusedFraction() < reportedFraction)) {
            continue;
        }
        metrics.set("trefoilstile_overload_price", {{"service", service}}, price);
        metrics.set("trefoilstile_overload_refused_fraction", {{"service", service}}, control->refusedFraction());
        if ((price > 0) != (logged > 0)) {
            LogLine line("overload");
            line.text("service", service).flag("binding", price > 0).real("price", price).real("refused_fraction", control->refusedFraction());
            log.write(line, now);
        }
        logged = price;
    }
}

void EntryCore::logSplits(base::TimePoint now)
{
    for (const auto &[service, description] : configuration.services) {
        const auto shares = placement.shares(service);
        auto &logged = m_loggedShares[service];
        const bool changed = std::any_of(shares.begin(), shares.end(), [&logged](const auto &share) {
            const auto before = logged.find(share.first);
            return std::abs(share.second - (before == logged.end() ? 0.0 : before->second)) > s_minimumLoggedChange;
        });
        if (!changed) {
            continue;
        }
        logged = shares;
        LogLine line("region_split");
        line.text("service", service).number("configuration", static_cast<std::int64_t>(configuration.version));
        for (const auto &[region, share] : shares) {
            line.real("share_" + region, share);
        }
        log.write(line, now);
    }
}

void EntryCore::logHealth(ingress::Upstream &upstream, base::TimePoint now)
{
    const bool avoided = upstreamTable.avoided(upstream, now);
    if (avoided == upstream.loggedAsAvoided) {
        return;
    }
    upstream.loggedAsAvoided = avoided;
    LogLine line("upstream_health");
    line.text("upstream", upstream.report.id)
        .flag("avoided", avoided)
        .real("attempts", upstream.attempts)
        .real("failures", upstream.failures)
        .real("limit", upstream.failureLimit.value_or(0))
        .milliseconds("pause_ms", std::max<base::Duration>(upstream.avoidUntil - now, base::Duration::zero()));
    log.write(line, now);
}

ingress::RetryShare &EntryCore::retryShare(std::string_view service)
{
    auto found = m_retryShares.find(service);
    if (found == m_retryShares.end()) {
        const ingress::RetryShareOptions options{settings.retryRatio, settings.retryWindow, settings.retrySlack};
        found = m_retryShares.emplace(std::string(service), ingress::RetryShare(options)).first;
    }
    return found->second;
}

bool EntryCore::takeRetry(std::string_view service, base::TimePoint now)
{
    return retryShare(service).tryTake(members.value(), now);
}

std::size_t EntryCore::connectionLimit(std::string_view service) const
{
    // With many instances each one still needs one connection in use and one that is being established.
    constexpr std::size_t minimum = 2;
    const auto description = configuration.services.find(service);
    if (description == configuration.services.end()) {
        return minimum;
    }
    return std::max<std::size_t>(minimum, description->second.maximumConnections / std::max<std::size_t>(1, members.value()));
}

std::uint64_t EntryCore::upstreamBodyLimit() const
{
    const std::uint64_t limit = settings.upstreamBodyBytes;
    return limit == 0 ? 0 : std::max<std::uint64_t>(1, limit / std::max<std::size_t>(1, members.value()));
}

void EntryCore::setGauges()
{
    metrics.set("trefoilstile_configuration_version", {}, static_cast<double>(configuration.version));
    metrics.set("trefoilstile_upstreams", {}, static_cast<double>(upstreamTable.size()));
    metrics.set("trefoilstile_members", {}, static_cast<double>(members.value()));
    metrics.set("trefoilstile_caller_connections", {}, static_cast<double>(sessions));
    metrics.set("trefoilstile_requests_in_service", {}, static_cast<double>(requests));
    metrics.set("trefoilstile_response_bytes_held", {}, static_cast<double>(responseBudget->held));
    metrics.set("trefoilstile_log_lines_dropped", {}, static_cast<double>(log.dropped()));
}

void EntryCore::advance(base::TimePoint now)
{
    upstreamTable.advance(now);
    if (now >= m_nextSplit) {
        // Updating the split takes 0.17 us per upstream, so this interval keeps it below 0.2% of a processor.
        m_nextSplit = now + std::max<base::Duration>(std::chrono::milliseconds(100), upstreamTable.size() * std::chrono::microseconds(100));
        splitRegions(now);
    }
    connections.sweep(now);
    requestRate.advance(now);
    log.flush();
}

} // namespace trefoilstile::proxy
