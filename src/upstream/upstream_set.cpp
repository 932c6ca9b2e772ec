// Choice of upstreams, limits on their concurrency, and processing of attempt results.

#include "trefoilstile/upstream/upstream_set.hpp"

#include <algorithm>

#include "trefoilstile/upstream/slot_split.hpp"

namespace trefoilstile::upstream
{

namespace
{

// Period in which the rounding of slot numbers does not change. It is about the lag of measurements: a shorter period would
// move load before its effect has been measured.
constexpr base::Duration s_roundingPeriod = std::chrono::seconds(5);

// Fraction of the slots of a remote upstream that is assumed to be idle without reports.
constexpr double s_assumedIdleShare = 0.25;

std::uint64_t roundingPeriod(base::TimePoint now)
{
    return static_cast<std::uint64_t>(now.time_since_epoch() / s_roundingPeriod);
}

LimitSignal limitSignal(const AttemptReport &report)
{
    using engine::AttemptResult;
    if (report.abandoned) {
        return LimitSignal::None;
    }
    switch (report.result) {
    case AttemptResult::Completed:
    case AttemptResult::ObjectChanged:
        return LimitSignal::Good;
    case AttemptResult::RejectedNotRun:
    case AttemptResult::Failed:
    case AttemptResult::TimedOut:
        return LimitSignal::Overloaded;
    case AttemptResult::NothingSent:
    case AttemptResult::Broken:
        break;
    }
    return LimitSignal::None;
}

} // namespace

std::optional<Candidate> UpstreamSet::candidate(
    const Member &member, std::size_t index, const ChoiceRequest &request, bool ignoreHealth, base::TimePoint now) const
{
    if (!acceptsWork(member, ignoreHealth) || std::find(request.excluded.begin(), request.excluded.end(), index) != request.excluded.end()) {
        return std::nullopt;
    }
    std::uint32_t maximum = allowedOf(member, request.priorityClass, now);
    if (request.beyondLimit) {
        maximum = std::min(maximum + 1, member.limit.ceiling());
    }
    if (member.inFlight >= maximum) {
        return std::nullopt;
    }
    Candidate result{index, member.inFlight, maximum, member.entry.weight * member.limit.ramp(now), 0.0, 0.0};
    if (ignoreHealth) {
        result.weight *= member.health.connectFailed() ? m_options.connectFailurePenalty : 1.0;
    } else {
        result.weight *= 1.0 - 0.9 * member.health.failureRate(now);
        result.reportedLoad = member.health.reportedLoad(member.inFlight);
        result.reportWeight = member.health.reportWeight(now);
    }
    return result;
}

bool UpstreamSet::acceptsWork(const Member &member, bool ignoreHealth) const
{
    return member.present && !member.leaving.leaving() && (ignoreHealth || !member.health.ejected());
}

bool UpstreamSet::healthIgnored() const
{
    std::size_t usable = 0;
    std::size_t unhealthy = 0;
    for (const Member &member : m_members) {
        if (member.present && !member.leaving.leaving()) {
            ++usable;
            unhealthy += member.health.ejected() ? 1 : 0;
        }
    }
    return 2 * unhealthy > usable;
}

std::optional<std::size_t> UpstreamSet::probeTarget(const ChoiceRequest &request, base::TimePoint now) const
{
    // A probe may fail, so urgent requests are not used as probes; few of them are idempotent.
    if (!request.idempotent || request.priorityClass == base::PriorityClass::Urgent) {
        return std::nullopt;
    }
    for (std::size_t index = 0; index < m_members.size(); ++index) {
        const Member &member = m_members[index];
        const bool wanted = std::find(request.domains.begin(), request.domains.end(), member.domain) != request.domains.end();
        const bool tried = std::find(request.excluded.begin(), request.excluded.end(), index) != request.excluded.end();
        if (wanted && !tried && member.present && !member.leaving.leaving() && member.inFlight == 0 && member.health.probeDue(now)) {
            return index;
        }
    }
    return std::nullopt;
}

Choice UpstreamSet::acquire(std::size_t index, bool probe)
{
    Member &member = m_members[index];
    ++member.inFlight;
    member.health.attemptStarted();
    return {index, probe, member.leaving.incarnation()};
}

void UpstreamSet::release(const Choice &choice, base::PriorityClass priorityClass, const AttemptReport &report, base::TimePoint now)
{
    Member &member = m_members[choice.index];
    member.limit.observe(limitSignal(report), priorityClass, report.latency, member.inFlight, now);
    member.inFlight -= member.inFlight > 0 ? 1 : 0;
    if (report.upstreamLeaving) {
        member.leaving.leavingResponseReceived(choice.incarnation);
    }
    if (member.health.takeRecovered()) {
        member.limit.startRamp(now, m_config.warmUp);
    }
    member.unused = !member.present && member.inFlight == 0;
}

std::uint32_t UpstreamSet::allowed(std::size_t index, base::TimePoint now) const
{
    const Member &member = m_members.at(index);
    return acceptsWork(member, healthIgnored()) ? allowedOf(member, base::PriorityClass::Urgent, now) : 0;
}

std::uint32_t UpstreamSet::allowedOf(const Member &member, base::PriorityClass priorityClass, base::TimePoint now) const
{
    const std::uint32_t limit = member.limit.allowed(now);
    if (!m_options.splitSlots) {
        return limit;
    }
    const double ramp = std::max(member.limit.ramp(now), m_options.minimumColdShare);
    const std::uint32_t assigned =
        ramp < 1.0 ? roundByHash(ramp * member.assignedSlots, member.entry.name, m_config.instance, roundingPeriod(now)) : member.assignedSlots;
    const bool assignedOnly = member.sameRegion && priorityClass == base::PriorityClass::Bulk;
    return std::min(limit, assigned + (assignedOnly ? 0 : borrowableSlots(member, now)));
}

// Number of slots beyond the assigned ones that this instance may use because they are reported or assumed to be idle.
std::uint32_t UpstreamSet::borrowableSlots(const Member &member, base::TimePoint now) const
{
    const double slots = member.entry.slots;
    const double weight = member.health.reportWeight(now);
    const double reserved = member.sameRegion ? m_options.idleReserve : 0.0;
    const double idle = std::max(0.0, 1.0 - reserved - member.health.reportedLoad(member.inFlight)) * slots;
    const double assumed = member.assignedSlots == 0 ? s_assumedIdleShare * slots : 0.0;
    const double factor = member.limit.ramp(now) * (member.assignedSlots == 0 ? m_options.remoteIdleFactor : 1.0);
    const double share = (weight * idle + (1.0 - weight) * assumed) * factor / static_cast<double>(member.sharingInstances);
    return roundByHash(share, member.entry.name, m_config.instance, roundingPeriod(now));
}

std::uint32_t UpstreamSet::concurrency(std::span<const DomainIndex> domains, base::TimePoint now) const
{
    const bool ignoreHealth = healthIgnored();
    std::uint32_t total = 0;
    for (const Member &member : m_members) {
        const bool wanted = std::find(domains.begin(), domains.end(), member.domain) != domains.end();
        total += wanted && acceptsWork(member, ignoreHealth) ? std::max(allowedOf(member, base::PriorityClass::Urgent, now), member.inFlight) : member.inFlight;
    }
    return total;
}

bool UpstreamSet::canChoose(const ChoiceRequest &request, base::TimePoint now) const
{
    const bool ignoreHealth = healthIgnored();
    for (std::size_t index = 0; index < m_members.size(); ++index) {
        const Member &member = m_members[index];
        const bool wanted = std::find(request.domains.begin(), request.domains.end(), member.domain) != request.domains.end();
        if (wanted && candidate(member, index, request, ignoreHealth, now)) {
            return true;
        }
    }
    return false;
}

std::uint32_t UpstreamSet::inFlight() const
{
    std::uint32_t total = 0;
    for (const Member &member : m_members) {
        total += member.inFlight;
    }
    return total;
}

} // namespace trefoilstile::upstream
