// Ranking of upstreams by key, and the choice among them by estimated load.

#include "trefoilstile/ingress/placement.hpp"

#include <algorithm>
#include <cmath>
#include <optional>
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

Placement::Candidate Placement::candidate(const PlacementRequest &request, const UpstreamTable::Pointer &upstream, std::size_t rank, base::TimePoint now) const
{
    Candidate result;
    result.upstream = &upstream;
    result.rank = rank;
    result.load = m_upstreams.load(*upstream, now);
    result.slots = static_cast<double>(std::max(1U, upstream->report.slots));
    result.warm = upstream->warmKeys.contains(request.key, now);
    // The actual load varies around the estimate like Poisson arrivals, with a variance equal to the mean. The expected excess
    // over the slots is approximated by a smooth function that is exact far from the slots and at them.
    const double excess = result.load + 1 - result.slots;
    constexpr double spread = 0.64; // gives 0.4 standard deviations where the load equals the slots
    const double waiting = 0.5 * (excess + std::sqrt(excess * excess + spread * result.load));
    const double service = upstream->serviceSeconds > 0 ? upstream->serviceSeconds : base::toSeconds(m_options.assumedServiceTime);
    const double speed = m_upstreams.speedFactor(*upstream, now);
    result.wait = base::fromSeconds(waiting / result.slots * service * speed);
    const double cold = rank == 0 || result.warm ? 0.0 : rank < m_options.coldProbability.size() ? m_options.coldProbability[rank] : 1.0;
    const auto coldWork = std::chrono::duration_cast<base::Duration>(cold * m_options.coldCost * speed * request.route.latencyObjective);
    result.cost = result.wait + coldWork + base::fromSeconds(service * (speed - 1));
    return result;
}

void Placement::refreshGroups(std::string_view service, ServiceState &serviceState)
{
    if (serviceState.groupsVersion == m_upstreams.version()) {
        return;
    }
    serviceState.groupsVersion = m_upstreams.version();
    serviceState.groups.clear();
    for (const UpstreamTable::Pointer &upstream : m_upstreams.ofService(service)) {
        if (m_upstreams.usable(*upstream)) {
            RegionGroup &group = serviceState.groups[upstream->region];
            group.hashes.push_back(upstream->hash);
            group.upstreams.push_back(upstream);
        }
    }
}

Placement::Ranking Placement::ranked(const PlacementRequest &request, std::span<const RegionGroup *const> groups, std::size_t limit, base::TimePoint now) const
{
    std::vector<std::pair<std::uint64_t, const UpstreamTable::Pointer *>> weighted;
    for (const RegionGroup *group : groups) {
        for (std::size_t i = 0; i < group->hashes.size(); ++i) {
            weighted.emplace_back(base::mixBits(request.key ^ group->hashes[i]), &group->upstreams[i]);
        }
    }
    const std::size_t total = weighted.size();
    const auto kept = weighted.begin() + static_cast<std::ptrdiff_t>(std::min(limit, total));
    std::partial_sort(weighted.begin(), kept, weighted.end(), [](const auto &left, const auto &right) {
        return left.first > right.first;
    });
    weighted.erase(kept, weighted.end());
    Ranking ranking;
    for (const auto &[weight, upstream] : weighted) {
        if (m_upstreams.quiet(**upstream, now)) {
            ranking.quietUntil = std::min(ranking.quietUntil, (*upstream)->quietUntil);
        } else if (std::find(request.excluded.begin(), request.excluded.end(), upstream->get()) == request.excluded.end()) {
            const bool avoided = m_upstreams.avoided(**upstream, now) && !m_upstreams.trialDue(**upstream, now);
            (avoided ? ranking.avoided : ranking.inUse).push_back(upstream);
        }
    }
    const bool sufficient = ranking.inUse.size() >= m_options.minimumCandidates || total <= limit;
    return sufficient ? ranking : ranked(request, groups, total, now);
}

std::vector<Placement::Candidate> Placement::candidates(
    const PlacementRequest &request, std::span<const UpstreamTable::Pointer *const> upstreams, base::TimePoint now) const
{
    std::vector<Candidate> result;
    result.reserve(upstreams.size());
    for (const UpstreamTable::Pointer *upstream : upstreams) {
        result.push_back(candidate(request, *upstream, result.size(), now));
    }
    return result;
}

Placement::ControlledRequest Placement::underControl(ServiceState &service, const PlacementRequest &request, const Configuration &configuration)
{
    const bool automatic = !configuration.accounts.empty() || service.reportsSpeed;
    const bool controlled = m_options.overloadMode == OverloadMode::On || (m_options.overloadMode == OverloadMode::Auto && automatic);
    const bool counted = request.excluded.empty() && request.stage != RequestStage::Body;
    ControlledRequest result{nullptr, {request.route, request.account, request.key, {}}, {}, counted};
    if (controlled) {
        result.control = &service.overload;
        result.request.cost = requestCost(request.route, request.account, request.timeLeft, m_options.overload.cost);
    }
    return result;
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
        return controlled.control->queueLimit(controlled.request.cost, cold).allows(candidate.load, candidate.slots, candidate.wait);
    }
    const double queuePerSlot = std::max(m_options.minimumQueuePerSlot, m_options.queuePerSlot - m_options.queuePerSlotStep * request.route.priority);
    const auto maximumWait = std::chrono::duration_cast<base::Duration>(request.timeLeft * m_options.deadlineShare);
    return (cold || candidate.load + 1 <= candidate.slots * (1 + queuePerSlot)) && candidate.wait <= maximumWait;
}

PlacementResult Placement::choose(const PlacementRequest &request, const Configuration &configuration, base::TimePoint now)
{
    PlacementResult result;
    ServiceState &service = state(request.service);
    refreshGroups(request.service, service);
    const std::string_view planned = service.split.regionOf(splitPoint(request.key));
    std::vector<const RegionGroup *> plannedGroups; // at most one
    std::vector<const RegionGroup *> otherGroups;
    for (const auto &[region, group] : service.groups) {
        if (mayServe(request, region)) {
            (region == planned ? plannedGroups : otherGroups).push_back(&group);
        }
    }
    Ranking ranking = ranked(request, plannedGroups, m_options.candidateLimit, now);
    if (ranking.inUse.empty()) {
        // If the planned region has no upstream in use, all regions are treated as one group. If all upstreams are avoided, an
        // avoided one is better than none.
        plannedGroups.insert(plannedGroups.end(), otherGroups.begin(), otherGroups.end());
        otherGroups.clear();
        ranking = ranked(request, plannedGroups, m_options.candidateLimit, now);
        if (ranking.inUse.empty()) {
            ranking.inUse = std::move(ranking.avoided);
        }
    }
    if (ranking.inUse.empty()) {
        if (ranking.quietUntil != base::TimePoint::max()) {
            // Those that could serve the request have all asked for a pause, so no upstream has room before the first pause ends.
            result.outcome = PlacementOutcome::NoRoom;
            result.retryAfter = std::max<base::Duration>(m_options.minimumRetryAfter, ranking.quietUntil - now);
        }
        return result;
    }
    const bool headOnly = request.stage == RequestStage::Head;
    if (!headOnly) {
        service.spill.requestPlaced(now);
    }
    std::vector<Candidate> local = candidates(request, ranking.inUse, now);
    const auto lowerCost = [](const Candidate &left, const Candidate &right) {
        return left.cost < right.cost;
    };
    std::stable_sort(local.begin(), local.end(), lowerCost);
    result.plannedRegion = planned;
    result.candidates = local.size();
    result.leastLoadPerSlot = minimumOf(local, [](const Candidate &candidate) {
        return candidate.load / candidate.slots;
    });
    const auto tryChoose = [&](const Candidate &candidate, PlacementReason reason) {
        if (!headOnly && !admitsDuringWarmUp(service, **candidate.upstream, configuration, now)) {
            return false;
        }
        result.outcome = PlacementOutcome::Chosen;
        result.reason = reason;
        result.upstream = *candidate.upstream;
        result.load = candidate.load;
        result.wait = candidate.wait;
        return true;
    };
    const auto spillThreshold = std::chrono::duration_cast<base::Duration>(m_options.spillThreshold * request.route.latencyObjective);
    if (local.front().cost > spillThreshold) {
        const std::vector<Candidate> remote = candidates(request, ranked(request, otherGroups, m_options.candidateLimit, now).inUse, now);
        const auto best = std::min_element(remote.begin(), remote.end(), lowerCost);
        const bool free = best != remote.end() && best->load + 1 <= best->slots && fitsBody(request, **best->upstream);
        const bool better = free && best->cost < local.front().cost;
        if (better && (headOnly || service.spill.tryTake(now)) && tryChoose(*best, PlacementReason::Spill)) {
            return result;
        }
    }
    ControlledRequest controlled = underControl(service, request, configuration);
    const bool counted = controlled.control != nullptr && controlled.counted;
    if (counted) {
        double loadPerSlot = 0;
        for (const Candidate &candidate : local) {
            loadPerSlot += candidate.load / candidate.slots;
        }
        controlled.admission = controlled.control->arrived(controlled.request, loadPerSlot / static_cast<double>(local.size()), now);
        result.refusal = controlled.admission.refusal;
        result.counted = true;
    }
    const auto restrained = [&](const Candidate &candidate) {
        const Upstream &upstream = **candidate.upstream;
        return m_upstreams.connectionRestrained(upstream, request.connectionLimit, now) && !(request.reusable && request.reusable(upstream));
    };
    const auto connectionCost = std::chrono::duration_cast<base::Duration>(m_options.connectionCost * request.route.latencyObjective);
    const auto accept = [&](const Candidate &candidate) {
        const PlacementReason reason = candidate.rank == 0 ? PlacementReason::First : candidate.warm ? PlacementReason::Warm : PlacementReason::Cold;
        if (!tryChoose(candidate, reason)) {
            return false;
        }
        if (counted) {
            controlled.control->placed(controlled.request, controlled.admission);
        }
        return true;
    };
    std::vector<const Candidate *> needConnections; // have room, but a new connection would probably be reset
    for (const Candidate &candidate : local) {
        const bool dearer = !needConnections.empty() && candidate.cost > needConnections.front()->cost + connectionCost;
        if (result.refusal != RefusalReason::None || dearer) {
            break;
        }
        if (!hasRoom(candidate, request, controlled)) {
            continue;
        }
        if (restrained(candidate)) {
            needConnections.push_back(&candidate);
        } else if (accept(candidate)) {
            return result;
        }
    }
    for (const Candidate *candidate : needConnections) {
        if (accept(*candidate)) {
            return result;
        }
    }
    result.outcome = PlacementOutcome::NoRoom;
    result.retryAfter = std::max(m_options.minimumRetryAfter, minimumOf(local, [](const Candidate &candidate) {
        return candidate.wait;
    }));
    if (counted) {
        if (result.refusal == RefusalReason::None) {
            result.refusal = RefusalReason::NoRoom;
        }
        result.retryAfter = controlled.control->refused(controlled.request, controlled.admission, now);
    }
    return result;
}

} // namespace trefoilstile::ingress
