// Choice between upstreams of the own region and of other regions, and the load, spare capacity and grants of regions.

#include <algorithm>
#include <set>

#include "trefoilstile/engine/engine.hpp"

namespace trefoilstile::engine
{

namespace
{

/// Requests are forwarded to another region only if the estimated wait exceeds this, which is longer than the round trip to
/// another region (35 ms at most).
constexpr base::Duration s_overflowWait = std::chrono::milliseconds(50);

/// Fraction of a region's capacity up to which shifted requests may use it; the rest is headroom for bursts of its own callers.
constexpr double s_targetUtilization = 0.8;

upstream::ChoiceRequest choiceRequest(const HeldRequest &request, std::span<const upstream::DomainIndex> domains, bool beyondLimit)
{
    return {request.priorityClass, request.idempotent, request.tried, domains, beyondLimit};
}

} // namespace

std::size_t Engine::slots(ServiceState &service, base::TimePoint now)
{
    std::size_t total = service.upstreams.concurrency(service.domains, now);
    if (service.remotes.empty() || !isOverflowing(service, now)) {
        return total;
    }
    for (const RemoteRegion &remote : service.remotes) {
        const std::uint32_t allowed = remote.running + m_shiftLimiter.available(remote.name, base::PriorityClass::Urgent, now);
        total += std::min(service.upstreams.concurrency(remote.domains, now), allowed);
    }
    return total;
}

bool Engine::isOverflowing(const ServiceState &service, base::TimePoint now) const
{
    const std::size_t local = service.upstreams.concurrency(service.domains, now);
    if (local == 0) {
        return true;
    }
    return std::any_of(base::s_priorityClasses.begin(), base::s_priorityClasses.end(), [&](base::PriorityClass priorityClass) {
        return service.scheduler.queued(priorityClass) > 0
            && service.scheduler.estimatedWait(priorityClass, base::TimePoint::max(), now, local) > s_overflowWait;
    });
}

bool Engine::mayForward(const HeldRequest &request, const RemoteRegion &remote, base::TimePoint now)
{
    return m_shiftLimiter.available(remote.name, request.priorityClass, now) > 0
        && request.service->upstreams.canChoose(choiceRequest(request, remote.domains, false), now);
}

bool Engine::canStart(const HeldRequest &request, base::TimePoint now)
{
    ServiceState &service = *request.service;
    const bool beyondLimit = request.priorityClass == base::PriorityClass::Urgent; // the scheduler may start it above the number of slots
    if (service.upstreams.canChoose(choiceRequest(request, service.domains, beyondLimit), now)) {
        return true;
    }
    return std::any_of(service.remotes.begin(), service.remotes.end(), [&](const RemoteRegion &remote) {
        return mayForward(request, remote, now);
    });
}

std::optional<upstream::Choice> Engine::chooseUpstream(HeldRequest &request, bool beyondLimit, base::TimePoint now)
{
    ServiceState &service = *request.service;
    request.remoteRegion.clear();
    if (auto choice = service.upstreams.choose(choiceRequest(request, service.domains, beyondLimit), now, m_random, service.selection)) {
        return choice;
    }
    for (RemoteRegion &remote : service.remotes) {
        if (!mayForward(request, remote, now)) {
            continue;
        }
        auto choice = service.upstreams.choose(choiceRequest(request, remote.domains, false), now, m_random, service.selection);
        if (choice && m_shiftLimiter.tryTake(remote.name, request.priorityClass, now)) {
            ++remote.running;
            request.remoteRegion = remote.name;
            return choice;
        }
        if (choice) {
            service.upstreams.finished(*choice, request.priorityClass, {AttemptResult::NothingSent, {}, false, true}, now, m_random);
        }
    }
    return std::nullopt;
}

bool Engine::admitsFrom(const base::IpAddress &client, base::PriorityClass priorityClass, base::TimePoint now)
{
    const document::Site &site = m_document->sites[m_blocks->site(client)];
    return m_document->regionOf(site.failureDomain).name == m_options.region || m_regionAdmission.tryAdmit(priorityClass, now);
}

void Engine::updateRemotes(ServiceState &service)
{
    std::vector<RemoteRegion> remotes;
    for (const std::string &target : m_shiftLimiter.targets()) {
        RemoteRegion remote{target, {}, 0};
        for (const document::Region &region : m_document->regions) {
            for (const document::FailureDomain &domain : region.failureDomains) {
                const auto index = service.upstreams.domain(domain.name);
                if (region.name == target && index) {
                    remote.domains.push_back(*index);
                }
            }
        }
        const auto known = std::find_if(service.remotes.begin(), service.remotes.end(), [&target](const RemoteRegion &other) {
            return other.name == target;
        });
        remote.running = known == service.remotes.end() ? 0 : known->running;
        if (!remote.domains.empty()) {
            remotes.push_back(std::move(remote));
        }
    }
    service.remotes = std::move(remotes);
}

void Engine::updateRegions(base::TimePoint now)
{
    if (!m_document) {
        return;
    }
    const auto instances = std::count_if(m_members.begin(), m_members.end(), [this](const EntryMember &member) {
        return member.alive && member.region == m_options.region;
    });
    const double load = m_regionLoad.utilization(now).value_or(0) * m_regionLoad.capacity();
    m_regionAdmission.setCapacity(m_regionLoad.capacity(), std::min(load, m_regionLoad.capacity()), static_cast<std::uint32_t>(instances));
    if (m_shiftLimiter.placeGrants(regionsWithoutEntries(), now)) {
        ++m_grantsVersion;
    }
}

std::set<std::string> Engine::regionsWithoutEntries() const
{
    std::set<std::string> regions;
    for (const document::Region &region : m_document->regions) {
        regions.insert(region.name);
    }
    for (const EntryMember &member : m_members) {
        if (servesLookups(member)) {
            regions.erase(member.region);
        }
    }
    return regions;
}

const std::vector<PlacedGrant> &Engine::grants() const
{
    return m_shiftLimiter.grants();
}

std::uint64_t Engine::grantsVersion() const
{
    return m_grantsVersion;
}

std::optional<double> Engine::spareCapacity(base::TimePoint now) const
{
    const std::optional<double> utilization = m_regionLoad.utilization(now);
    if (!utilization) {
        return std::nullopt;
    }
    return std::max(0.0, s_targetUtilization - *utilization) * m_regionLoad.capacity();
}

void Engine::on(CapacityReported &event, base::TimePoint now)
{
    m_shiftLimiter.onAdvert(event.region, event.advert, now);
}

void Engine::on(GrantUsed &event, base::TimePoint now)
{
    if (event.spent > 0) {
        m_shiftLimiter.grantSpent(event.grantId, event.spent, now);
    }
    if (event.returned > 0) {
        m_shiftLimiter.grantReturned(event.grantId, event.returned);
    }
}

} // namespace trefoilstile::engine
