// Updates of an upstream set by documents, member lists, drain lists, platform lists and load reports.

#include <algorithm>
#include <utility>

#include "trefoilstile/upstream/slot_split.hpp"
#include "trefoilstile/upstream/upstream_set.hpp"

namespace trefoilstile::upstream
{

namespace
{

std::string regionName(const document::SteeringDocument &document, std::string_view failureDomain)
{
    for (const document::Region &region : document.regions) {
        for (const document::FailureDomain &domain : region.failureDomains) {
            if (domain.name == failureDomain) {
                return region.name;
            }
        }
    }
    return {};
}

} // namespace

UpstreamSetConfig upstreamSetConfig(
    const document::SteeringDocument &document, const document::Service &service, std::string_view environment, std::string_view instance)
{
    UpstreamSetConfig config;
    config.instance = instance;
    config.maximumEntryInstances = document.maximumEntryInstances;
    config.warmUp = service.warmUp;
    for (const document::Upstream &upstream : service.upstreams) {
        if (const std::string *address = document::addressIn(upstream, environment)) {
            config.upstreams.push_back({upstream.name,
                *address,
                upstream.failureDomain,
                regionName(document, upstream.failureDomain),
                upstream.slots,
                upstream.connections,
                upstream.weight});
        }
    }
    return config;
}

UpstreamSet::UpstreamSet(const UpstreamSetConfig &config, UpstreamSetOptions options)
    : m_config(config)
    , m_options(options)
{
    for (const UpstreamSetConfig::Entry &entry : config.upstreams) {
        addMember(entry);
    }
    updateDomains();
    updateAssignedSlots();
}

void UpstreamSet::update(const UpstreamSetConfig &config, base::TimePoint now)
{
    m_config = config;
    for (Member &member : m_members) {
        const auto same = std::find_if(config.upstreams.begin(), config.upstreams.end(), [&](const UpstreamSetConfig::Entry &entry) {
            return entry.name == member.entry.name && entry.address == member.entry.address;
        });
        member.present = member.present && same != config.upstreams.end();
        member.unused = !member.present && member.inFlight == 0;
        if (member.present) {
            member.entry = *same;
        }
    }
    for (const UpstreamSetConfig::Entry &entry : config.upstreams) {
        if (!find(entry.name)) {
            Member &member = m_members[addMember(entry)];
            member.leaving.drainListed(m_drainGeneration, isDrained(member));
            member.limit.startRamp(now, m_config.warmUp);
        }
    }
    updateDomains();
    updateAssignedSlots();
}

std::size_t UpstreamSet::addMember(const UpstreamSetConfig::Entry &entry)
{
    Member member{.entry = entry,
        .limit = ConcurrencyLimit(1.0, instanceCeiling(entry.connections, m_config.maximumEntryInstances), m_options.limit),
        .health = UpstreamHealth(m_options.health),
        .leaving = {},
        .coldIncarnation = {}};
    const auto unused = std::find_if(m_members.begin(), m_members.end(), [](const Member &present) {
        return present.unused;
    });
    if (unused == m_members.end()) {
        m_members.push_back(std::move(member));
        return m_members.size() - 1;
    }
    *unused = std::move(member);
    return static_cast<std::size_t>(unused - m_members.begin());
}

void UpstreamSet::updateDomains()
{
    m_domains.clear();
    m_domainRegions.clear();
    for (Member &member : m_members) {
        const auto found = std::find(m_domains.begin(), m_domains.end(), member.entry.failureDomain);
        member.domain = static_cast<DomainIndex>(found - m_domains.begin());
        if (found == m_domains.end()) {
            m_domains.push_back(member.entry.failureDomain);
            m_domainRegions.push_back(member.entry.region);
        }
    }
}

void UpstreamSet::updateInstances(std::span<const SharingInstance> members)
{
    m_instances.assign(members.begin(), members.end());
    updateAssignedSlots();
}

void UpstreamSet::updateAssignedSlots()
{
    const auto self = std::find_if(m_instances.begin(), m_instances.end(), [&](const SharingInstance &instance) {
        return instance.name == m_config.instance;
    });
    if (self == m_instances.end()) {
        // Before the member list is known, assume as many sharing instances as the document allows.
        for (Member &member : m_members) {
            member.sharingInstances = std::max(1U, m_config.maximumEntryInstances);
            member.assignedSlots = std::max(1U, member.entry.slots / member.sharingInstances);
            member.sameRegion = true;
        }
    } else {
        assignRegionSlots(self->region);
    }
    for (Member &member : m_members) {
        const double initial = m_options.splitSlots ? member.assignedSlots : static_cast<double>(member.entry.slots) / member.sharingInstances;
        member.limit.configure(initial, instanceCeiling(member.entry.connections, m_config.maximumEntryInstances));
    }
}

// Assigns the slots of the upstreams in the region of this instance to the instances of that region.
void UpstreamSet::assignRegionSlots(std::string_view region)
{
    std::vector<std::string> sharing;
    for (const SharingInstance &instance : m_instances) {
        if (instance.region == region) {
            sharing.push_back(instance.name);
        }
    }
    std::vector<Member *> regionMembers;
    std::vector<SplitUpstream> upstreams;
    for (Member &member : m_members) {
        // Idle slots of upstreams in other regions are also divided between the instances of this region only: the usual
        // reason to use them is a loss of upstreams in this region, which affects all its instances.
        member.sharingInstances = static_cast<std::uint32_t>(sharing.size());
        member.assignedSlots = 0;
        member.sameRegion = member.entry.region == region;
        if (member.present && member.sameRegion) {
            regionMembers.push_back(&member);
            upstreams.push_back({member.entry.name, member.entry.slots});
        }
    }
    const std::vector<std::uint32_t> assigned = assignedSlots(upstreams, sharing, m_config.instance);
    for (std::size_t index = 0; index < regionMembers.size(); ++index) {
        regionMembers[index]->assignedSlots = assigned[index];
    }
    // An instance that would get no slot because there are fewer slots than instances gets one, so that it can serve its
    // callers.
    if (!regionMembers.empty() && std::all_of(assigned.begin(), assigned.end(), [](std::uint32_t slots) {
            return slots == 0;
        })) {
        const auto firstRanked = std::min_element(regionMembers.begin(), regionMembers.end(), [&](const Member *left, const Member *right) {
            return slotRank(left->entry.name, sharing, m_config.instance) < slotRank(right->entry.name, sharing, m_config.instance);
        });
        (*firstRanked)->assignedSlots = 1;
    }
}

bool UpstreamSet::isDrained(const Member &member) const
{
    return std::any_of(m_drains.begin(), m_drains.end(), [&](const engine::Drain &drain) {
        switch (drain.kind) {
        case engine::DrainKind::Upstream:
            return drain.name == member.entry.name;
        case engine::DrainKind::FailureDomain:
            return drain.name == member.entry.failureDomain;
        case engine::DrainKind::Region:
            return drain.name == member.entry.region;
        case engine::DrainKind::Entry:
            break;
        }
        return false;
    });
}

void UpstreamSet::drainsUpdated(base::Generation generation, std::span<const engine::Drain> drains, base::TimePoint now)
{
    if (generation.value <= m_drainGeneration.value) {
        return;
    }
    m_drainGeneration = generation;
    m_drains.assign(drains.begin(), drains.end());
    for (Member &member : m_members) {
        const bool wasLeaving = member.leaving.leaving();
        member.leaving.drainListed(generation, isDrained(member));
        startRampIfReturned(member, wasLeaving, now);
    }
}

void UpstreamSet::listedLeaving(std::string_view upstream, base::IncarnationId incarnation)
{
    if (const std::optional<std::size_t> index = find(upstream)) {
        m_members[*index].leaving.platformListed(incarnation);
    }
}

void UpstreamSet::loadReported(const engine::LoadReported &report, base::TimePoint now)
{
    const std::optional<std::size_t> index = find(report.upstream);
    if (!index) {
        return;
    }
    Member &member = m_members[*index];
    const bool wasLeaving = member.leaving.leaving();
    const std::optional<base::IncarnationId> before = member.leaving.incarnation();
    if (!member.leaving.loadReported(report.incarnation, report.state)) {
        return;
    }
    member.health.loadReported(report, now);
    const bool replaced = before && *before != report.incarnation;
    const bool cold = report.state == engine::UpstreamState::Cold && member.coldIncarnation != report.incarnation;
    if (cold) {
        member.coldIncarnation = report.incarnation;
    }
    if (replaced || cold) {
        member.limit.startRamp(now, m_config.warmUp);
    } else {
        startRampIfReturned(member, wasLeaving, now);
    }
}

void UpstreamSet::startRampIfReturned(Member &member, bool wasLeaving, base::TimePoint now)
{
    if (wasLeaving && !member.leaving.leaving()) {
        member.limit.startRamp(now, m_config.warmUp);
    }
}

std::optional<DomainIndex> UpstreamSet::domain(std::string_view failureDomain) const
{
    const auto found = std::find(m_domains.begin(), m_domains.end(), failureDomain);
    return found == m_domains.end() ? std::nullopt : std::optional(static_cast<DomainIndex>(found - m_domains.begin()));
}

std::vector<DomainIndex> UpstreamSet::domainsFrom(std::string_view local, std::string_view region, bool otherRegions) const
{
    std::vector<DomainIndex> result;
    for (const int rank : {0, 1, 2}) {
        for (std::size_t index = 0; index < m_domains.size(); ++index) {
            const bool sameRegion = m_domainRegions[index] == region;
            const int ownRank = m_domains[index] == local ? 0 : (sameRegion ? 1 : 2);
            if (ownRank == rank && (rank < 2 || otherRegions)) {
                result.push_back(static_cast<DomainIndex>(index));
            }
        }
    }
    return result;
}

std::optional<std::size_t> UpstreamSet::find(std::string_view upstream) const
{
    for (std::size_t index = 0; index < m_members.size(); ++index) {
        if (m_members[index].present && m_members[index].entry.name == upstream) {
            return index;
        }
    }
    return std::nullopt;
}

} // namespace trefoilstile::upstream
