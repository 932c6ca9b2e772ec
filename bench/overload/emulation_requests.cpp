// The life of a request: arrival, placement, attempts, and the return of its caller after a refusal.

#include <algorithm>
#include <cmath>

#include "emulation.hpp"

namespace trefoilstile::bench::overload
{

namespace
{

using ingress::AttemptVerdict;

constexpr std::size_t s_attempts = 2;
/// Longest time for which a rate counts as constant.
constexpr base::Duration s_rateStep = std::chrono::milliseconds(50);
/// `Retry-After` of the entry process if no upstream gave a reason for another one.
constexpr base::Duration s_defaultRetryAfter = std::chrono::milliseconds(100);
constexpr double s_retryAfterSpread = 0.5; // as in the entry process

/// Sets the reported speed where `ingress::ReportedLoad` has it.
template<typename Load>
void setSpeed(Load &load, double slowness)
{
    if constexpr (requires { load.speedPercent; }) {
        load.speedPercent = static_cast<decltype(load.speedPercent)>(100 * slowness);
    }
}

Refusal causeOf(const ingress::PlacementResult &placed)
{
    switch (placed.refusal) {
    case ingress::RefusalReason::Price:
        return Refusal::Price;
    case ingress::RefusalReason::Early:
        return Refusal::Early;
    case ingress::RefusalReason::None:
    case ingress::RefusalReason::NoRoom:
        break;
    }
    return Refusal::NoRoom;
}

} // namespace

void Emulation::arriveNext(Stream &stream)
{
    const base::TimePoint now = m_clock.now();
    if (now >= m_end) {
        return;
    }
    const double perSecond = rate(stream);
    const double pause = perSecond > 0 ? -std::log(1 - base::uniformUnit(stream.random)) / perSecond : 1.0;
    // Poisson arrivals have no memory, so a pause may be drawn anew when the rate changes.
    const bool arrives = base::fromSeconds(pause) < s_rateStep;
    m_clock.at(arrives ? now + base::fromSeconds(pause) : now + s_rateStep, [this, &stream, arrives] {
        if (arrives && m_clock.now() < m_end) {
            arrive(stream);
        }
        arriveNext(stream);
    });
}

void Emulation::arrive(Stream &stream)
{
    const Kind &kind = m_deployment.kinds[stream.kind];
    const auto request = std::make_shared<Request>();
    request->kind = stream.kind;
    request->region = stream.region;
    const auto &instances = m_instancesOfRegion[stream.region];
    request->instance = instances[base::uniformBelow(stream.random, instances.size())];
    const double point = std::pow(base::uniformUnit(stream.random), kind.skew);
    request->object = stream.kind * 1'000'000 + static_cast<std::uint64_t>(point * static_cast<double>(kind.objects));
    drawAccount(*request, stream.random);
    request->work = drawWork(kind, stream.random);
    request->impatient = base::uniformUnit(stream.random) < m_day.conduct.impatientPart;
    request->sentAt = m_clock.now();
    request->deadline = request->sentAt + kind.deadline;
    m_clock.at(m_clock.now() + m_deployment.callerLatency, [this, request] {
        place(request);
    });
}

void Emulation::drawAccount(Request &request, base::SplitMix64 &random) const
{
    if (m_accountShares.empty()) {
        return;
    }
    const double point = base::uniformUnit(random) * (1 + hotSurplus());
    const auto found = static_cast<std::size_t>(std::upper_bound(m_accountShares.begin(), m_accountShares.end(), point) - m_accountShares.begin());
    const std::size_t index = point >= 1 ? m_day.hot->account : std::min(found, m_accountShares.size() - 1);
    const std::size_t firstGroup = 1 + m_deployment.kinds.size();
    request.account = &m_configuration.accounts[index];
    request.accountGroup = firstGroup + (m_day.hot && index == m_day.hot->account ? 2 : index < m_deployment.accounts.largeShares.size() ? 0 : 1);
}

base::Duration Emulation::drawWork(const Kind &kind, base::SplitMix64 &random) const
{
    const LongWork &longWork = m_day.longWork;
    const double usual = (1 - longWork.part * longWork.factor) / (1 - longWork.part);
    const double factor = base::uniformUnit(random) < longWork.part ? longWork.factor : usual;
    return std::chrono::duration_cast<base::Duration>(factor * kind.coldWork);
}

void Emulation::place(const RequestPointer &request)
{
    const base::TimePoint now = m_clock.now();
    const base::Duration left = request->deadline - m_deployment.callerLatency - now;
    if (left <= base::Duration::zero()) {
        finish(*request, Outcome::Failed);
        return;
    }
    if (request->tried.size() >= s_attempts) {
        refuse(request, s_defaultRetryAfter, Refusal::Shed);
        return;
    }
    const Kind &kind = m_deployment.kinds[request->kind];
    const ingress::PlacementRequest question{
        m_configuration.routes[request->kind], kind.service, base::mixBits(request->object), request->tried, left, request->account};
    const ingress::PlacementResult placed = m_instances[request->instance].chooser->choose(question, m_configuration, now);
    if (placed.outcome == ingress::PlacementOutcome::Chosen) {
        send(request, placed);
    } else {
        const bool noRoom = placed.outcome == ingress::PlacementOutcome::NoRoom;
        refuse(request, noRoom ? base::jittered(placed.retryAfter, s_retryAfterSpread, m_random) : s_defaultRetryAfter, causeOf(placed));
    }
}

void Emulation::send(const RequestPointer &request, const ingress::PlacementResult &placed)
{
    Instance &instance = m_instances[request->instance];
    const auto upstream = placed.upstream;
    placement::EmulatedUpstream &emulated = *m_machines.at(upstream->hash).upstream;
    const base::TimePoint sent = m_clock.now();
    const bool local = upstream->region.back() == static_cast<char>('0' + instance.domain / 2);
    const base::Duration path = local ? m_deployment.withinRegion : m_deployment.betweenRegions;
    request->tried.push_back(upstream.get());
    instance.table->requestSent(*upstream, sent);
    const auto ended = [this, request, upstream, &emulated, path, sent, load = placed.load](AttemptVerdict verdict, ingress::ReportedLoad reported, bool cold) {
        if (verdict == AttemptVerdict::Served && request->sentAt >= m_countFrom) {
            ++m_result.served;
            m_result.cold += cold ? 1 : 0;
        }
        if (m_speedReported) {
            setSpeed(reported, emulated.slowness);
        }
        m_clock.at(m_clock.now() + path, [this, request, upstream, sent, load, verdict, reported] {
            m_instances[request->instance].table->applyReportedLoad(*upstream, reported, m_clock.now());
            take(request, upstream, m_clock.now() - sent, load, verdict);
        });
    };
    m_clock.at(sent + path, [this, request, &emulated, ended] {
        emulated.receive({request->object, request->work, request->deadline - m_deployment.callerLatency, ended});
    });
}

void Emulation::take(const RequestPointer &request, const ingress::UpstreamTable::Pointer &upstream, base::Duration took, double load, AttemptVerdict verdict)
{
    const base::TimePoint now = m_clock.now();
    if (verdict == AttemptVerdict::Served && base::uniformUnit(m_random) < m_day.brokenPart) {
        verdict = AttemptVerdict::Broken;
    }
    m_instances[request->instance].table->attemptEnded(*upstream, verdict, took, load, now);
    request->mayHaveRun = request->mayHaveRun || verdict != AttemptVerdict::Shed;
    if (verdict == AttemptVerdict::Served) {
        upstream->warmKeys.handled(base::mixBits(request->object), now);
        const base::Duration atCaller = now + m_deployment.callerLatency - request->sentAt;
        const Kind &kind = m_deployment.kinds[request->kind];
        finish(*request, atCaller <= kind.objective ? Outcome::InTime : atCaller <= kind.deadline ? Outcome::Late : Outcome::Failed);
    } else if (verdict == AttemptVerdict::Shed || (verdict == AttemptVerdict::Broken && m_deployment.kinds[request->kind].repeatable)) {
        place(request);
    } else {
        finish(*request, Outcome::Failed);
    }
}

void Emulation::refuse(const RequestPointer &request, base::Duration retryAfter, Refusal cause)
{
    forGroups(*request, [cause](Group &group) {
        ++group.refusedTries[static_cast<std::size_t>(cause)];
    });
    if (request->mayHaveRun) {
        finish(*request, Outcome::Failed); // 502: only a request that has not run may be refused
        return;
    }
    ++request->refusals;
    request->tried.clear();
    const CallerConduct &conduct = m_day.conduct;
    const base::TimePoint heard = m_clock.now() + m_deployment.callerLatency;
    const base::Duration left = request->deadline - heard;
    const bool returns = request->impatient
        ? request->refusals <= conduct.impatientTries && conduct.impatientPause < left
        : request->refusals <= conduct.returns && base::toSeconds(retryAfter) <= conduct.returnLimit * base::toSeconds(left);
    if (!returns) {
        finish(*request, request->refusals > 1 ? Outcome::RefusedAgain : Outcome::Refused);
        return;
    }
    if (request->impatient) {
        const auto &instances = m_instancesOfRegion[request->region];
        request->instance = instances[base::uniformBelow(m_random, instances.size())];
    }
    const base::Duration pause = request->impatient ? conduct.impatientPause : retryAfter;
    m_clock.at(heard + pause + m_deployment.callerLatency, [this, request] {
        place(request);
    });
}

void Emulation::finish(const Request &request, Outcome outcome)
{
    const auto second = static_cast<std::size_t>(base::toSeconds(request.sentAt - m_start));
    m_result.seconds.resize(std::max(m_result.seconds.size(), second + 1));
    m_result.seconds[second].add(outcome);
    forGroups(request, [outcome](Group &group) {
        group.tally.add(outcome);
    });
    if (request.account == nullptr || request.sentAt < m_countFrom) {
        return;
    }
    const auto account = static_cast<std::size_t>(request.account - m_configuration.accounts.data());
    if (!m_day.hot || account != m_day.hot->account) {
        m_result.accounts[account].add(outcome);
    }
}

} // namespace trefoilstile::bench::overload
