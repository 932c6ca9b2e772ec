// Beliefs about upstreams and how reports and attempts change them.

#include "trefoilstile/ingress/upstream_table.hpp"

#include <algorithm>
#include <cmath>

#include "trefoilstile/base/ids.hpp"

namespace trefoilstile::ingress
{

void UpstreamTable::setServices(const Configuration &configuration)
{
    ++m_version;
    m_warmUp.clear();
    for (const auto &[name, service] : configuration.services) {
        m_warmUp.emplace(name, service.warmUp);
    }
    m_byAddress.clear();
    for (const auto &[id, upstream] : m_upstreams) {
        noteAddress(upstream);
    }
}

bool UpstreamTable::report(const UpstreamReport &report, base::TimePoint now)
{
    ++m_version;
    auto found = m_upstreams.find(report.id);
    const bool sameRun = found != m_upstreams.end() && found->second->report.startedAt == report.startedAt && found->second->report.service == report.service
        && found->second->report.address == report.address;
    if (found != m_upstreams.end() && !sameRun) {
        drop(report.id);
        found = m_upstreams.end();
    }
    if (found == m_upstreams.end()) {
        const auto upstream = std::make_shared<Upstream>();
        upstream->report = report;
        const auto region = m_regions.find(report.failureDomain);
        upstream->region = region == m_regions.end() ? std::string() : region->second;
        upstream->hash = base::stableHash(report.id);
        upstream->coldUntil = report.warmUpLeft > base::Duration::zero() ? now + report.warmUpLeft + m_options.warmUpMargin : base::TimePoint();
        noteAddress(upstream);
        m_upstreams.emplace(report.id, upstream);
        m_byHash.insert_or_assign(upstream->hash, upstream);
        m_services[report.service].push_back(upstream);
        return true;
    }
    Upstream &upstream = *found->second;
    const bool changed = upstream.report.draining != report.draining || upstream.removeAt.has_value() || report.warmUpLeft > base::Duration::zero();
    upstream.report = report;
    upstream.removeAt.reset();
    if (report.warmUpLeft > base::Duration::zero()) {
        upstream.coldUntil = now + report.warmUpLeft + m_options.warmUpMargin;
    }
    return changed;
}

void UpstreamTable::noteAddress(const Pointer &upstream)
{
    // An entry of a service that is not configured may be anybody's.
    if (!m_warmUp.contains(upstream->report.service)) {
        return;
    }
    Pointer &last = m_byAddress[upstream->report.address];
    if (!last || last->report.startedAt <= upstream->report.startedAt) {
        if (last) {
            last->superseded = true;
        }
        last = upstream;
    } else {
        upstream->superseded = true;
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
        drop(std::string(id));
        return;
    }
    // The entry of a live upstream lapses while the source is away, and returns soon after the source does.
    const bool outageNoticed = !m_available || now < m_availableSince + m_options.lapseHold;
    m_anyMissing = true;
    upstream.removeAt = outageNoticed ? std::max(now, m_availableSince) + m_options.lapseHold : now + m_options.unnoticedLapseHold;
}

void UpstreamTable::setSourceAvailable(bool available, base::TimePoint now)
{
    if (available && !m_available) {
        m_availableSince = now;
        for (const auto &[id, upstream] : m_upstreams) {
            if (upstream->removeAt) {
                upstream->removeAt = now + m_options.lapseHold;
            }
        }
    }
    m_available = available;
}

void UpstreamTable::setEvacuated(std::set<std::string, std::less<>> domains, base::TimePoint now)
{
    for (const std::string &domain : m_evacuated) {
        if (domains.contains(domain)) {
            continue;
        }
        // Upstreams may have become cold during the evacuation, before their reports say so.
        for (const auto &[id, upstream] : m_upstreams) {
            const auto warmUp = m_warmUp.find(upstream->report.service);
            if (upstream->report.failureDomain == domain && warmUp != m_warmUp.end()) {
                upstream->coldUntil = std::max(upstream->coldUntil, now + warmUp->second);
            }
        }
    }
    m_evacuated = std::move(domains);
    ++m_version;
}

void UpstreamTable::updateFailureLimits(base::TimePoint now)
{
    for (const auto &[service, upstreams] : m_services) {
        double attempts = 0;
        double failures = 0;
        for (const Pointer &upstream : upstreams) {
            const double kept = std::exp(-base::toSeconds(now - upstream->decayedAt) / base::toSeconds(m_options.failureMemory));
            attempts += kept * upstream->attempts;
            failures += kept * upstream->failures;
        }
        const double mean = attempts > 0 ? failures / attempts : 0.0;
        const double limit = std::clamp(m_options.failureLimitOfMean * mean, m_options.failureLimit, m_options.highestFailureLimit);
        for (const Pointer &upstream : upstreams) {
            upstream->failureLimit = limit;
        }
    }
}

void UpstreamTable::advance(base::TimePoint now)
{
    if (!m_available || !m_anyMissing) {
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
    const bool lapsed = static_cast<double>(missing.size()) > m_options.lapsedShare * static_cast<double>(m_upstreams.size());
    for (const std::string &id : lapsed ? due : missing) {
        drop(id);
    }
    m_anyMissing = lapsed && due.size() < missing.size();
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
    const double decayed = std::exp(-base::toSeconds(now - upstream.decayedAt) / base::toSeconds(m_options.failureMemory));
    const double limit = upstream.failureLimit.value_or(m_options.failureLimit);
    return upstream.attempts * decayed >= m_options.failureEvidence && upstream.failures > limit * upstream.attempts;
}

bool UpstreamTable::trialDue(const Upstream &upstream, base::TimePoint now) const
{
    return now >= upstream.avoidUntil && now >= upstream.lastTrial + m_options.probation;
}

double UpstreamTable::load(const Upstream &upstream, base::TimePoint now) const
{
    if (!loadKnown(upstream, now)) {
        return upstream.outstanding;
    }
    return upstream.othersLoad + upstream.outstanding;
}

bool UpstreamTable::loadKnown(const Upstream &upstream, base::TimePoint now) const
{
    return upstream.loadUpdatedAt != base::TimePoint() && now - upstream.loadUpdatedAt <= m_options.loadFigureLifetime;
}

void UpstreamTable::requestSent(Upstream &upstream, base::TimePoint now)
{
    ++upstream.outstanding;
    if (avoided(upstream, now)) {
        upstream.lastTrial = now;
    }
}

void UpstreamTable::applyReportedLoad(Upstream &upstream, const ReportedLoad &figure, base::TimePoint now) const
{
    // The response that states the figure has not been taken off `outstanding` yet, and the figure does not count it.
    const double own = upstream.outstanding > 0 ? upstream.outstanding - 1 : 0;
    averageLoad(upstream, std::max(0.0, figure.running + figure.waiting - own), now, now);
    upstream.load = figure;
    upstream.statedAt = now;
}

std::vector<LoadObservation> UpstreamTable::takeLoadObservations(std::size_t most, base::TimePoint now)
{
    std::vector<const Upstream *> stated;
    for (const auto &[id, upstream] : m_upstreams) {
        if (upstream->statedAt > m_newsTakenAt) {
            stated.push_back(upstream.get());
        }
    }
    std::sort(stated.begin(), stated.end(), [](const Upstream *left, const Upstream *right) {
        return left->statedAt > right->statedAt;
    });
    stated.resize(std::min(stated.size(), most));
    std::vector<LoadObservation> news;
    news.reserve(stated.size());
    for (const Upstream *upstream : stated) {
        news.push_back({upstream->hash, upstream->load.running + upstream->load.waiting, upstream->load.slots, now - upstream->statedAt});
    }
    m_newsTakenAt = now;
    return news;
}

void UpstreamTable::applyLoadObservation(const LoadObservation &news, base::TimePoint now)
{
    const auto found = m_byHash.find(news.upstream);
    if (found == m_byHash.end() || news.age < base::Duration::zero() || news.age > m_options.loadFigureLifetime) {
        return;
    }
    Upstream &upstream = *found->second;
    averageLoad(upstream, std::max(0.0, static_cast<double>(news.busy) - upstream.outstanding), now - news.age, now);
}

void UpstreamTable::averageLoad(Upstream &upstream, double others, base::TimePoint statedAt, base::TimePoint now) const
{
    if (!loadKnown(upstream, now)) {
        upstream.othersLoad = others;
        upstream.loadUpdatedAt = statedAt;
        return;
    }
    // The weight of a figure is that of the time since the one before; one that was overtaken on its way counts little.
    const base::Duration since = std::max<base::Duration>(statedAt - upstream.loadUpdatedAt, std::chrono::milliseconds(20));
    const double kept = std::exp(-base::toSeconds(since) / base::toSeconds(m_options.loadMemory));
    upstream.othersLoad = kept * upstream.othersLoad + (1 - kept) * others;
    upstream.loadUpdatedAt = std::max(upstream.loadUpdatedAt, statedAt);
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
        // What exceeds the slots waits, each for its turn.
        const double seconds = base::toSeconds(took) / std::max(1.0, (loadBefore + 1) / std::max(1U, upstream.report.slots));
        upstream.serviceSeconds =
            upstream.serviceSeconds == 0 ? seconds : upstream.serviceSeconds + m_options.serviceTimeWeight * (seconds - upstream.serviceSeconds);
        upstream.pause = {};
        return;
    }
    upstream.failures += 1;
    if (verdict == AttemptVerdict::Misdirected) {
        upstream.avoidUntil = now + m_options.misdirectedPause;
    } else if (verdict == AttemptVerdict::Unreachable) {
        upstream.pause = std::min(std::max(upstream.pause * 2, m_options.unreachablePause), m_options.longestPause);
        upstream.avoidUntil = now + upstream.pause;
    }
}

void UpstreamTable::drop(const std::string &id)
{
    const auto found = m_upstreams.find(id);
    const Pointer upstream = found->second;
    ++m_version;
    upstream->gone = true;
    m_upstreams.erase(found);
    m_byHash.erase(upstream->hash);
    if (const auto last = m_byAddress.find(upstream->report.address); last != m_byAddress.end() && last->second == upstream) {
        m_byAddress.erase(last);
    }
    std::erase(m_services[upstream->report.service], upstream);
}

void UpstreamTable::decay(Upstream &upstream, base::TimePoint now) const
{
    const double factor = std::exp(-base::toSeconds(now - upstream.decayedAt) / base::toSeconds(m_options.failureMemory));
    upstream.attempts *= factor;
    upstream.failures *= factor;
    upstream.decayedAt = now;
}

} // namespace trefoilstile::ingress
