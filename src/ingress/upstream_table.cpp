// Updates of the upstream table from discovery reports, load reports and attempts.

#include "trefoilstile/ingress/upstream_table.hpp"

#include <algorithm>
#include <cmath>

#include "trefoilstile/base/ids.hpp"
#include "trefoilstile/base/random.hpp"

namespace trefoilstile::ingress
{

namespace
{

std::uint64_t runOf(const UpstreamReport &report)
{
    return base::mixBits(base::stableHash(report.id) ^ base::mixBits(static_cast<std::uint64_t>(report.startedAt)));
}

/// The object that the upstreams of a service share; created at the first call.
template<typename Shared>
std::shared_ptr<Shared> sharedOf(std::map<std::string, std::shared_ptr<Shared>, std::less<>> &byService, const std::string &service)
{
    std::shared_ptr<Shared> &shared = byService[service];
    if (!shared) {
        shared = std::make_shared<Shared>();
    }
    return shared;
}

} // namespace

void UpstreamTable::setServices(const Configuration &configuration)
{
    ++m_version;
    m_warmUp.clear();
    for (const auto &[name, service] : configuration.services) {
        m_warmUp.emplace(name, service.warmUp);
    }
    m_byAddress.clear();
    for (const auto &[id, upstream] : m_upstreams) {
        registerAddress(upstream);
    }
}

bool UpstreamTable::report(const UpstreamReport &report, base::TimePoint now)
{
    ++m_version;
    auto found = m_upstreams.find(report.id);
    const bool sameRun = found != m_upstreams.end() && found->second->report.startedAt == report.startedAt && found->second->report.service == report.service
        && found->second->report.address == report.address;
    if (found != m_upstreams.end() && !sameRun) {
        erase(report.id);
        found = m_upstreams.end();
    }
    if (found == m_upstreams.end()) {
        const auto upstream = std::make_shared<Upstream>();
        upstream->report = report;
        const auto region = m_regions.find(report.failureDomain);
        upstream->region = region == m_regions.end() ? std::string() : region->second;
        upstream->hash = base::stableHash(report.id);
        upstream->run = runOf(report);
        upstream->speedVariation = sharedOf(m_speedVariations, report.service);
        upstream->connectionRestraint = sharedOf(m_connectionRestraints, report.service);
        if (const auto quiet = m_quietRuns.find(upstream->run); quiet != m_quietRuns.end()) {
            upstream->quietUntil = quiet->second;
        }
        upstream->outOfService.set(OutOfServiceReason::Draining, report.draining);
        upstream->outOfService.set(OutOfServiceReason::Leaving, m_leavingRuns.contains(upstream->run));
        upstream->outOfService.set(OutOfServiceReason::Evacuated, m_evacuated.contains(report.failureDomain));
        upstream->warmingUpUntil = report.warmUpLeft > base::Duration::zero() ? now + report.warmUpLeft + m_options.warmUpMargin : base::TimePoint();
        registerAddress(upstream);
        m_upstreams.emplace(report.id, upstream);
        m_byHash.insert_or_assign(upstream->hash, upstream);
        m_byRun.insert_or_assign(upstream->run, upstream);
        m_services[report.service].push_back(upstream);
        return true;
    }
    Upstream &upstream = *found->second;
    const bool changed = upstream.report.draining != report.draining || upstream.removeAt.has_value() || report.warmUpLeft > base::Duration::zero();
    upstream.report = report;
    upstream.outOfService.set(OutOfServiceReason::Draining, report.draining);
    upstream.outOfService.set(OutOfServiceReason::Evacuated, m_evacuated.contains(report.failureDomain));
    upstream.removeAt.reset();
    if (report.warmUpLeft > base::Duration::zero()) {
        upstream.warmingUpUntil = now + report.warmUpLeft + m_options.warmUpMargin;
    }
    return changed;
}

void UpstreamTable::registerAddress(const Pointer &upstream)
{
    // The entry of a service that is not configured may have been registered by any process.
    if (!m_warmUp.contains(upstream->report.service)) {
        return;
    }
    Pointer &last = m_byAddress[upstream->report.address];
    if (!last || last->report.startedAt <= upstream->report.startedAt) {
        if (last) {
            last->outOfService.set(OutOfServiceReason::Superseded);
        }
        last = upstream;
    } else {
        upstream->outOfService.set(OutOfServiceReason::Superseded);
    }
}

void UpstreamTable::remove(std::string_view id, base::TimePoint now)
{
    const auto found = m_upstreams.find(id);
    if (found == m_upstreams.end()) {
        return;
    }
    Upstream &upstream = *found->second;
    if (upstream.report.draining) {
        erase(std::string(id));
        return;
    }
    // The entry of a running upstream lapses during an outage of the source and is registered again soon after it.
    const bool outageDetected = !m_sourceAvailable || now < m_sourceAvailableSince + m_options.lapseHold;
    m_removalsPending = true;
    upstream.removeAt = outageDetected ? std::max(now, m_sourceAvailableSince) + m_options.lapseHold : now + m_options.undetectedLapseHold;
}

void UpstreamTable::setSourceAvailable(bool available, base::TimePoint now)
{
    if (available && !m_sourceAvailable) {
        m_sourceAvailableSince = now;
        for (const auto &[id, upstream] : m_upstreams) {
            if (upstream->removeAt) {
                upstream->removeAt = now + m_options.lapseHold;
            }
        }
    }
    m_sourceAvailable = available;
}

void UpstreamTable::setEvacuated(std::set<std::string, std::less<>> domains, base::TimePoint now)
{
    for (const std::string &domain : m_evacuated) {
        if (domains.contains(domain)) {
            continue;
        }
        // Upstreams may have become cold during the evacuation without a report of it yet.
        for (const auto &[id, upstream] : m_upstreams) {
            const auto warmUp = m_warmUp.find(upstream->report.service);
            if (upstream->report.failureDomain == domain && warmUp != m_warmUp.end()) {
                upstream->warmingUpUntil = std::max(upstream->warmingUpUntil, now + warmUp->second);
            }
        }
    }
    m_evacuated = std::move(domains);
    for (const auto &[id, upstream] : m_upstreams) {
        upstream->outOfService.set(OutOfServiceReason::Evacuated, m_evacuated.contains(upstream->report.failureDomain));
    }
    ++m_version;
}

void UpstreamTable::leavingAnnounced(Upstream &upstream, base::TimePoint now)
{
    rememberLeaving(upstream.run, now);
    if (upstream.outOfService.set(OutOfServiceReason::Leaving)) {
        ++m_version;
    }
}

void UpstreamTable::applyLeavingNotice(std::uint64_t run, base::TimePoint now)
{
    if (!rememberLeaving(run, now)) {
        return;
    }
    const auto found = m_byRun.find(run);
    if (found != m_byRun.end() && found->second->outOfService.set(OutOfServiceReason::Leaving)) {
        ++m_version;
    }
}

bool UpstreamTable::rememberLeaving(std::uint64_t run, base::TimePoint now)
{
    if (!m_leavingRuns.emplace(run, now).second) {
        return false;
    }
    m_leavingOrder.push_back(run);
    while (m_leavingOrder.size() > m_options.maximumLeavingRuns || m_leavingRuns[m_leavingOrder.front()] + m_options.leavingMemory < now) {
        m_leavingRuns.erase(m_leavingOrder.front());
        m_leavingOrder.pop_front();
    }
    return true;
}

std::vector<std::uint64_t> UpstreamTable::leavingNotices(std::size_t maximum, base::TimePoint now) const
{
    std::vector<std::uint64_t> runs;
    for (auto run = m_leavingOrder.rbegin(); run != m_leavingOrder.rend() && runs.size() < maximum; ++run) {
        if (m_leavingRuns.at(*run) + m_options.leavingNoticePeriod < now) {
            break;
        }
        runs.push_back(*run);
    }
    return runs;
}

void UpstreamTable::quietRequested(Upstream &upstream, base::Duration duration, base::TimePoint now)
{
    upstream.quietUntil = std::max(upstream.quietUntil, now + std::min(duration, m_options.maximumQuiet));
    std::erase_if(m_quietRuns, [now](const auto &quiet) {
        return quiet.second <= now;
    });
    m_quietRuns[upstream.run] = upstream.quietUntil;
}

void UpstreamTable::updateFailureLimits(base::TimePoint now)
{
    for (const auto &[service, upstreams] : m_services) {
        double attempts = 0;
        double failures = 0;
        for (const Pointer &upstream : upstreams) {
            const double kept = std::exp(-base::toSeconds(now - upstream->decayedAt) / base::toSeconds(m_options.failureTimeConstant));
            attempts += kept * upstream->attempts;
            failures += kept * upstream->failures;
        }
        const double mean = attempts > 0 ? failures / attempts : 0.0;
        const double limit = std::clamp(m_options.failureLimitMeanFactor * mean, m_options.failureLimit, m_options.maximumFailureLimit);
        for (const Pointer &upstream : upstreams) {
            upstream->failureLimit = limit;
        }
    }
}

void UpstreamTable::advance(base::TimePoint now)
{
    if (!m_sourceAvailable || !m_removalsPending) {
        return;
    }
    std::vector<std::string> missing;
    std::vector<std::string> due;
    for (const auto &[id, upstream] : m_upstreams) {
        if (upstream->removeAt) {
            missing.push_back(id);
            if (*upstream->removeAt <= now) {
                due.push_back(id);
            }
        }
    }
    const bool lapsed = static_cast<double>(missing.size()) > m_options.lapseThreshold * static_cast<double>(m_upstreams.size());
    for (const std::string &id : lapsed ? due : missing) {
        erase(id);
    }
    m_removalsPending = lapsed && due.size() < missing.size();
}

const std::vector<UpstreamTable::Pointer> &UpstreamTable::ofService(std::string_view service) const
{
    static const std::vector<Pointer> none;
    const auto found = m_services.find(service);
    return found == m_services.end() ? none : found->second;
}

bool UpstreamTable::avoided(const Upstream &upstream, base::TimePoint now) const
{
    if (now < upstream.avoidUntil) {
        return true;
    }
    const double decayed = std::exp(-base::toSeconds(now - upstream.decayedAt) / base::toSeconds(m_options.failureTimeConstant));
    const double limit = upstream.failureLimit.value_or(m_options.failureLimit);
    return upstream.attempts * decayed >= m_options.minimumAttempts && upstream.failures > limit * upstream.attempts;
}

bool UpstreamTable::trialDue(const Upstream &upstream, base::TimePoint now) const
{
    return now >= upstream.avoidUntil && now >= upstream.lastTrial + m_options.trialInterval;
}

void UpstreamTable::attemptEnded(Upstream &upstream, AttemptVerdict verdict, base::Duration took, double loadBefore, base::TimePoint now) const
{
    upstream.outstanding -= upstream.outstanding > 0 ? 1 : 0;
    if (verdict == AttemptVerdict::Cancelled) {
        return;
    }
    decay(upstream, now);
    upstream.attempts += 1;
    if (verdict == AttemptVerdict::Served) {
        // Requests that exceed the slots wait for one, so the duration spans several service times.
        // The speed in the middle of the attempt is taken out, because placement multiplies by the speed in force later.
        const double slotTimes = std::max(1.0, (loadBefore + 1) / std::max(1U, upstream.report.slots));
        const double seconds = base::toSeconds(took) / slotTimes / speedFactor(upstream, now - took / 2);
        upstream.serviceSeconds =
            upstream.serviceSeconds == 0 ? seconds : upstream.serviceSeconds + m_options.serviceTimeWeight * (seconds - upstream.serviceSeconds);
        upstream.pause = {};
        return;
    }
    upstream.failures += 1;
    if (verdict == AttemptVerdict::Misdirected) {
        upstream.avoidUntil = now + m_options.misdirectedPause;
    } else if (verdict == AttemptVerdict::Unreachable) {
        upstream.pause = std::min(std::max(upstream.pause * 2, m_options.unreachablePause), m_options.maximumPause);
        upstream.avoidUntil = now + upstream.pause;
    }
}

void UpstreamTable::erase(const std::string &id)
{
    const auto found = m_upstreams.find(id);
    const Pointer upstream = found->second;
    ++m_version;
    upstream->outOfService.set(OutOfServiceReason::Removed);
    m_upstreams.erase(found);
    m_byHash.erase(upstream->hash);
    m_byRun.erase(upstream->run);
    if (const auto last = m_byAddress.find(upstream->report.address); last != m_byAddress.end() && last->second == upstream) {
        m_byAddress.erase(last);
    }
    std::erase(m_services[upstream->report.service], upstream);
}

void UpstreamTable::decay(Upstream &upstream, base::TimePoint now) const
{
    const double factor = std::exp(-base::toSeconds(now - upstream.decayedAt) / base::toSeconds(m_options.failureTimeConstant));
    upstream.attempts *= factor;
    upstream.failures *= factor;
    upstream.decayedAt = now;
}

} // namespace trefoilstile::ingress
