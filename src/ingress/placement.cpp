// The choice among the ranked upstreams of a request: regions, warm-up, queues and overload control.

#include "trefoilstile/ingress/placement.hpp"

#include <algorithm>
#include <utility>

#include "trefoilstile/base/random.hpp"

namespace trefoilstile::ingress
{

namespace
{

/// Position of a key in [0, 1) for the region split; independent of the ranking within a region.
double splitPoint(std::uint64_t key)
{
    constexpr double scale = 1.0 / static_cast<double>(1ULL << 53U);
    return static_cast<double>(base::mixBits(key ^ 0x5bd1e995c1a4f36bULL) >> 11U) * scale;
}

bool isHome(std::span<const std::string> homeRegions, std::string_view region)
{
    return homeRegions.empty() || std::find(homeRegions.begin(), homeRegions.end(), region) != homeRegions.end();
}

/// Minimum of a function over the items, which must not be empty.
template<typename Items, typename Value>
auto minimumOf(const Items &items, Value value)
{
    auto minimum = value(items.front());
    for (const auto &item : items) {
        minimum = std::min(minimum, value(item));
    }
    return minimum;
}

} // namespace

bool mayServe(const PlacementRequest &request, std::string_view region)
{
    return isHome(request.route.homeRegions, region) && (request.account == nullptr || isHome(request.account->homeRegions, region));
}

bool fitsBody(const PlacementRequest &request, const Upstream &upstream)
{
    return request.bodyBytes == 0 || upstream.bodyBytes == 0 || upstream.bodyBytes + request.bodyBytes <= request.bodyLimit;
}

Placement::ServiceState &Placement::state(std::string_view service)
{
    auto found = m_services.find(service);
    if (found == m_services.end()) {
        ServiceState created;
        created.split = RegionSplit(m_options.split);
        created.spill = SpillLimit(m_options.spillShare);
        created.overload = OverloadControl(m_options.overload);
        found = m_services.emplace(std::string(service), std::move(created)).first;
    }
    return found->second;
}

std::map<std::string, double, std::less<>> Placement::shares(std::string_view service) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? std::map<std::string, double, std::less<>>() : found->second.split.shares();
}

const OverloadControl *Placement::overload(std::string_view service) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? nullptr : &found->second.overload;
}

void Placement::advance(const Configuration &configuration, base::TimePoint now)
{
    m_upstreams.updateFailureLimits(now);
    for (const auto &described : configuration.services) {
        const std::string &name = described.first;
        RegionCapacities regions;
        for (const auto &[region, demand] : m_demand) {
            regions[region].demand = demand;
        }
        bool known = false;
        const std::vector<UpstreamTable::Pointer> &upstreams = m_upstreams.ofService(name);
        for (const UpstreamTable::Pointer &upstream : upstreams) {
            if (m_upstreams.usable(*upstream) && !m_upstreams.avoided(*upstream, now)) {
                regions[upstream->region].capacity += upstream->report.slots;
                known = true;
            }
        }
        ServiceState &serviceState = state(name);
        updateDivertedShare(name, serviceState, now);
        serviceState.overload.advance(now);
        serviceState.reportsSpeed = std::any_of(upstreams.begin(), upstreams.end(), [](const UpstreamTable::Pointer &upstream) {
            return upstream->speed.known();
        });
        if (const auto own = regions.find(m_ownRegion); own != regions.end()) {
            own->second.demand /= 1 - serviceState.divertedShare;
        }
        if (known) {
            serviceState.split.update(m_ownRegion, regions, serviceState.spill.hasRecentRequests(now), now);
        }
        std::erase_if(serviceState.warmUp, [&](const auto &entry) {
            return std::none_of(upstreams.begin(), upstreams.end(), [&](const UpstreamTable::Pointer &upstream) {
                return upstream.get() == entry.first;
            });
        });
    }
}

void Placement::updateDivertedShare(std::string_view service, ServiceState &serviceState, base::TimePoint now)
{
    struct Load {
        double load{};
        double slots{};
    };
    std::map<std::string_view, Load> loads;
    for (const UpstreamTable::Pointer &upstream : m_upstreams.ofService(service)) {
        if (m_upstreams.usable(*upstream) && !m_upstreams.avoided(*upstream, now) && m_upstreams.loadKnown(*upstream, now)) {
            Load &load = loads[upstream->region];
            load.load += m_upstreams.load(*upstream, now);
            load.slots += std::max(1U, upstream->report.slots);
        }
    }
    const base::Duration elapsed = serviceState.divertedShareUpdatedAt ? now - *serviceState.divertedShareUpdatedAt : base::Duration::zero();
    serviceState.divertedShareUpdatedAt = now;
    const auto own = loads.find(m_ownRegion);
    if (own == loads.end()) {
        return;
    }
    const double ownLoad = own->second.load / own->second.slots;
    bool otherRegionLess = false;
    for (const auto &[region, load] : loads) {
        otherRegionLess = otherRegionLess || load.load / load.slots + m_options.imbalance < ownLoad;
    }
    const double change = m_options.divertedSharePerSecond * base::toSeconds(elapsed);
    if (ownLoad > m_options.highLoad && otherRegionLess) {
        serviceState.divertedShare = std::min(m_options.maximumDivertedShare, serviceState.divertedShare + change);
    } else if (ownLoad < m_options.lowLoad) {
        serviceState.divertedShare = std::max(0.0, serviceState.divertedShare - change);
    }
}

bool Placement::admitsDuringWarmUp(ServiceState &service, const Upstream &upstream, const Configuration &configuration, base::TimePoint now)
{
    if (upstream.warmingUpUntil <= now) {
        return true;
    }
    const auto description = configuration.services.find(upstream.report.service);
    if (description == configuration.services.end() || upstream.report.failureDomain != m_ownDomain) {
        return false;
    }
    const std::uint64_t own = base::mixBits(m_instanceHash ^ upstream.hash);
    const auto rank = std::count_if(m_others.begin(), m_others.end(), [&](std::uint64_t other) {
        return base::mixBits(other ^ upstream.hash) > own;
    });
    return service.warmUp[&upstream].tryTake(description->second.warmUpRequestsPerSecond, m_members, static_cast<std::size_t>(rank), now);
}

bool Placement::hasRoom(const Candidate &candidate, const PlacementRequest &request, const ControlledRequest &controlled) const
{
    if (!fitsBody(request, **candidate.upstream)) {
        return false;
    }
    const bool cold = candidate.rank != 0 && !candidate.warm;
    const double coldLimit = controlled.control == nullptr ? m_options.coldUtilizationLimit : m_options.overload.coldUtilizationLimit;
    if (cold && candidate.load + 1 > candidate.slots * coldLimit) {
        return false;
    }
    if (controlled.control != nullptr && controlled.control->price() > 0) {
        return controlled.control->queueLimit(controlled.request->cost, cold).allows(candidate.load, candidate.slots, candidate.wait);
    }
    const double queuePerSlot = std::max(m_options.minimumQueuePerSlot, m_options.queuePerSlot - m_options.queuePerSlotStep * request.route.priority);
    const auto maximumWait = std::chrono::duration_cast<base::Duration>(request.timeLeft * m_options.deadlineShare);
    return (cold || candidate.load + 1 <= candidate.slots * (1 + queuePerSlot)) && candidate.wait <= maximumWait;
}

bool Placement::take(Decision &decision, const Candidate &candidate, PlacementReason reason)
{
    const bool headOnly = decision.request.stage == RequestStage::Head;
    if (!headOnly && !admitsDuringWarmUp(decision.service, **candidate.upstream, decision.configuration, decision.now)) {
        return false;
    }
    decision.result.outcome = PlacementOutcome::Chosen;
    decision.result.reason = reason;
    decision.result.upstream = *candidate.upstream;
    decision.result.load = candidate.load;
    decision.result.wait = candidate.wait;
    return true;
}

bool Placement::spill(Decision &decision, std::span<const RegionGroup *const> others)
{
    const Candidate &local = decision.local.front();
    const auto threshold = std::chrono::duration_cast<base::Duration>(m_options.spillThreshold * decision.request.route.latencyObjective);
    if (local.cost <= threshold) {
        return false;
    }
    const Ranking ranking = ranked(decision.request, others, m_options.candidateLimit, decision.now);
    const std::vector<Candidate> remote = candidates(decision.request, ranking.inUse, decision.now);
    const auto best = std::min_element(remote.begin(), remote.end(), lowerCost);
    const bool free = best != remote.end() && best->load + 1 <= best->slots && fitsBody(decision.request, **best->upstream);
    const bool allowed = free && best->cost < local.cost && (decision.request.stage == RequestStage::Head || decision.service.spill.tryTake(decision.now));
    return allowed && take(decision, *best, PlacementReason::Spill);
}

void Placement::admit(Decision &decision)
{
    const PlacementRequest &request = decision.request;
    const bool automatic = !decision.configuration.accounts.empty() || decision.service.reportsSpeed;
    if (m_options.overloadMode != OverloadMode::On && (m_options.overloadMode != OverloadMode::Auto || !automatic)) {
        return;
    }
    ControlledRequest &controlled = decision.controlled;
    controlled.control = &decision.service.overload;
    const RequestCost cost = requestCost(request.route, request.account, request.timeLeft, m_options.overload.cost);
    controlled.request.emplace(OverloadControl::Request{request.route, request.account, request.key, cost});
    controlled.counted = request.excluded.empty() && request.stage != RequestStage::Body;
    if (!controlled.counted) {
        return;
    }
    double loadPerSlot = 0;
    for (const Candidate &candidate : decision.local) {
        loadPerSlot += candidate.load / candidate.slots;
    }
    controlled.admission = controlled.control->arrived(*controlled.request, loadPerSlot / static_cast<double>(decision.local.size()), decision.now);
    decision.result.refusal = controlled.admission.refusal;
    decision.result.counted = true;
}

bool Placement::takeLocal(Decision &decision)
{
    const PlacementRequest &request = decision.request;
    const auto accept = [&](const Candidate &candidate) {
        const PlacementReason reason = candidate.rank == 0 ? PlacementReason::First : candidate.warm ? PlacementReason::Warm : PlacementReason::Cold;
        if (!take(decision, candidate, reason)) {
            return false;
        }
        if (decision.controlled.counted) {
            decision.controlled.control->placed(*decision.controlled.request, decision.controlled.admission);
        }
        return true;
    };
    const auto restrained = [&](const Candidate &candidate) {
        const Upstream &upstream = **candidate.upstream;
        return m_upstreams.connectionRestrained(upstream, request.connectionLimit, decision.now) && !(request.reusable && request.reusable(upstream));
    };
    const auto connectionCost = std::chrono::duration_cast<base::Duration>(m_options.connectionCost * request.route.latencyObjective);
    std::vector<const Candidate *> needConnections; // have room, but a new connection would probably be reset
    for (const Candidate &candidate : decision.local) {
        if (!needConnections.empty() && candidate.cost > needConnections.front()->cost + connectionCost) {
            break;
        }
        if (!hasRoom(candidate, request, decision.controlled)) {
            continue;
        }
        if (restrained(candidate)) {
            needConnections.push_back(&candidate);
        } else if (accept(candidate)) {
            return true;
        }
    }
    return std::any_of(needConnections.begin(), needConnections.end(), [&](const Candidate *candidate) {
        return accept(*candidate);
    });
}

void Placement::refuse(Decision &decision) const
{
    PlacementResult &result = decision.result;
    result.outcome = PlacementOutcome::NoRoom;
    const ControlledRequest &controlled = decision.controlled;
    if (controlled.counted) {
        if (result.refusal == RefusalReason::None) {
            result.refusal = RefusalReason::NoRoom;
        }
        result.retryAfter = controlled.control->refused(*controlled.request, controlled.admission, decision.now);
    } else {
        result.retryAfter = std::max(m_options.minimumRetryAfter, minimumOf(decision.local, [](const Candidate &candidate) {
            return candidate.wait;
        }));
    }
}

PlacementResult Placement::choose(const PlacementRequest &request, const Configuration &configuration, base::TimePoint now)
{
    ServiceState &service = state(request.service);
    refreshGroups(request.service, service);
    Decision decision{request, configuration, now, service, {}, {}, {}};
    PlacementResult &result = decision.result;
    const std::string_view planned = service.split.regionOf(splitPoint(request.key));
    const RankedRegions regions = rankRegions(request, service, planned, now);
    if (regions.ranking.inUse.empty()) {
        if (regions.ranking.quietUntil != base::TimePoint::max()) {
            // Those that could serve the request have all asked for a pause, so no upstream has room before the first pause ends.
            result.outcome = PlacementOutcome::NoRoom;
            result.retryAfter = std::max<base::Duration>(m_options.minimumRetryAfter, regions.ranking.quietUntil - now);
        }
        return result;
    }
    if (request.stage != RequestStage::Head) {
        service.spill.requestPlaced(now);
    }
    decision.local = candidates(request, regions.ranking.inUse, now);
    std::stable_sort(decision.local.begin(), decision.local.end(), lowerCost);
    result.plannedRegion = planned;
    result.candidates = decision.local.size();
    result.leastLoadPerSlot = minimumOf(decision.local, [](const Candidate &candidate) {
        return candidate.load / candidate.slots;
    });
    if (spill(decision, regions.others)) {
        return result;
    }
    admit(decision);
    if (result.refusal != RefusalReason::None || !takeLocal(decision)) {
        refuse(decision);
    }
    return result;
}

} // namespace trefoilstile::ingress
