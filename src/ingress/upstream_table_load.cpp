// Load and speed of upstreams, from their responses and from reports of other instances, and whether they accept connections.

#include <algorithm>
#include <cmath>
#include <limits>

#include "trefoilstile/base/ids.hpp"
#include "trefoilstile/ingress/upstream_table.hpp"

namespace trefoilstile::ingress
{

double UpstreamTable::load(const Upstream &upstream, base::TimePoint now) const
{
    if (!loadKnown(upstream, now)) {
        return upstream.outstanding;
    }
    return upstream.otherInstancesLoad + upstream.outstanding;
}

bool UpstreamTable::loadKnown(const Upstream &upstream, base::TimePoint now) const
{
    return upstream.loadUpdatedAt != base::TimePoint() && now - upstream.loadUpdatedAt <= m_options.reportedLoadLifetime;
}

void UpstreamTable::requestSent(Upstream &upstream, base::TimePoint now)
{
    ++upstream.outstanding;
    if (avoided(upstream, now)) {
        upstream.lastTrial = now;
    }
}

void UpstreamTable::applyReportedLoad(Upstream &upstream, const ReportedLoad &reported, base::TimePoint now)
{
    // `outstanding` still includes the request whose response carries the report, but the reported load does not.
    const double own = upstream.outstanding > 0 ? upstream.outstanding - 1 : 0;
    averageLoad(upstream, std::max(0.0, reported.running + reported.waiting - own), now, now);
    upstream.reportedLoad = reported;
    upstream.loadReportedAt = now;
    applySpeed(upstream, reported.speedPercent, now);
}

void UpstreamTable::applySpeed(Upstream &upstream, std::optional<std::uint32_t> percent, base::TimePoint reportedAt)
{
    if (percent) {
        upstream.speed.observe(*percent, reportedAt, *upstream.speedVariation);
        m_speedsReported = true;
    }
}

std::vector<LoadObservation> UpstreamTable::takeLoadObservations(std::size_t maximum, base::TimePoint now)
{
    std::vector<const Upstream *> reported;
    for (const auto &[id, upstream] : m_upstreams) {
        if (upstream->loadReportedAt > m_observationsTakenAt) {
            reported.push_back(upstream.get());
        }
    }
    std::sort(reported.begin(), reported.end(), [](const Upstream *left, const Upstream *right) {
        return left->loadReportedAt > right->loadReportedAt;
    });
    reported.resize(std::min(reported.size(), maximum));
    std::vector<LoadObservation> observations;
    observations.reserve(reported.size());
    for (const Upstream *upstream : reported) {
        const ReportedLoad &load = upstream->reportedLoad;
        observations.push_back({upstream->hash, load.running + load.waiting, load.slots, now - upstream->loadReportedAt, load.speedPercent});
    }
    m_observationsTakenAt = now;
    return observations;
}

void UpstreamTable::applyLoadObservation(const LoadObservation &observation, base::TimePoint now)
{
    const auto found = m_byHash.find(observation.upstream);
    if (found == m_byHash.end() || observation.age < base::Duration::zero() || observation.age > m_options.reportedLoadLifetime) {
        return;
    }
    Upstream &upstream = *found->second;
    averageLoad(upstream, std::max(0.0, static_cast<double>(observation.busy) - upstream.outstanding), now - observation.age, now);
    applySpeed(upstream, observation.speedPercent, now - observation.age);
}

void UpstreamTable::averageLoad(Upstream &upstream, double others, base::TimePoint reportedAt, base::TimePoint now) const
{
    if (!loadKnown(upstream, now)) {
        upstream.otherInstancesLoad = others;
        upstream.loadUpdatedAt = reportedAt;
        return;
    }
    // The weight of a report depends on the time since the previous one. A report that arrives out of order has little weight.
    const base::Duration since = std::max<base::Duration>(reportedAt - upstream.loadUpdatedAt, std::chrono::milliseconds(20));
    const double kept = std::exp(-base::toSeconds(since) / base::toSeconds(m_options.loadTimeConstant));
    upstream.otherInstancesLoad = kept * upstream.otherInstancesLoad + (1 - kept) * others;
    upstream.loadUpdatedAt = std::max(upstream.loadUpdatedAt, reportedAt);
}

void UpstreamTable::connectionReset(Upstream &upstream, base::Duration delay, base::TimePoint now) const
{
    upstream.connectionBackOff.connectionReset(now);
    upstream.connectionRestraint->connectionReset(load(upstream, now) / std::max(1U, upstream.report.slots), delay, now);
}

bool UpstreamTable::connectionRestrained(const Upstream &upstream, std::size_t connectionLimit, base::TimePoint now) const
{
    if (now < upstream.connectionBackOff.until) {
        return true;
    }
    const ConnectionRestraint &restraint = *upstream.connectionRestraint;
    const double limit = restraint.loadLimit(now);
    if (limit == std::numeric_limits<double>::infinity()) {
        return false;
    }
    const double slots = std::max(1U, upstream.report.slots);
    const double estimated = load(upstream, now);
    return estimated >= limit * slots || upstream.openConnections >= restraint.allowed(connectionLimit, estimated, slots, now);
}

std::vector<ConnectionLoadLimit> UpstreamTable::connectionLoadLimits(std::size_t maximum, base::TimePoint now) const
{
    std::vector<ConnectionLoadLimit> limits;
    for (const auto &[service, restraint] : m_connectionRestraints) {
        const double limit = restraint->loadLimit(now);
        if (limits.size() < maximum && std::isfinite(limit)) {
            limits.push_back({base::stableHash(service), limit});
        }
    }
    return limits;
}

void UpstreamTable::applyConnectionLoadLimit(const ConnectionLoadLimit &limit, base::TimePoint now)
{
    for (const auto &[service, restraint] : m_connectionRestraints) {
        if (base::stableHash(service) == limit.service) {
            restraint->learned(limit.loadPerSlot, now);
        }
    }
}

} // namespace trefoilstile::ingress
