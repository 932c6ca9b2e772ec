// Changes of an upstream set from outside: documents, instances, drains, lists and load reports.

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
    updateParts();
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
            member.limit.startSlow(now, m_config.warmUp);
        }
    }
    updateDomains();
    updateParts();
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
    updateParts();
}

void UpstreamSet::updateParts()
{
    const auto self = std::find_if(m_instances.begin(), m_instances.end(), [&](const SharingInstance &instance) {
        return instance.name == m_config.instance;
    });
    if (self == m_instances.end()) {
        // Before the member list is known, the instance assumes the most sharers that the document allows.
        for (Member &member : m_members) {
            member.sharers = std::max(1U, m_config.maximumEntryInstances);
            member.part = std::max(1U, member.entry.slots / member.sharers);
            member.near = true;
        }
    } else {
        updateRegionParts(self->region);
    }
    for (Member &member : m_members) {
        const double initial = m_options.splitSlots ? member.part : static_cast<double>(member.entry.slots) / member.sharers;
        member.limit.configure(initial, instanceCeiling(member.entry.connections, m_config.maximumEntryInstances));
    }
}

// Splits the slots of the upstreams in this instance's region between the instances there.
void UpstreamSet::updateRegionParts(std::string_view region)
{
    std::vector<std::string> sharing;
    for (const SharingInstance &instance : m_instances) {
        if (instance.region == region) {
            sharing.push_back(instance.name);
        }
    }
    std::vector<Member *> near;
    std::vector<SplitUpstream> upstreams;
    for (Member &member : m_members) {
        // Idle slots are divided between the instances of this region, also those in other regions: the usual reason
        // to use them is a loss in this region, which its instances share.
        member.sharers = static_cast<std::uint32_t>(sharing.size());
        member.part = 0;
        member.near = member.entry.region == region;
        if (member.present && member.near) {
            near.push_back(&member);
            upstreams.push_back({member.entry.name, member.entry.slots});
        }
    }
    const std::vector<std::uint32_t> parts = slotParts(upstreams, sharing, m_config.instance);
    for (std::size_t index = 0; index < near.size(); ++index) {
        near[index]->part = parts[index];
    }
    // With fewer slots than instances, each still gets one, so that it can serve its callers at all.
    if (!near.empty() && std::all_of(parts.begin(), parts.end(), [](std::uint32_t part) {
            return part == 0;
        })) {
        const auto nearest = std::min_element(near.begin(), near.end(), [&](const Member *left, const Member *right) {
            return slotRank(left->entry.name, sharing, m_config.instance) < slotRank(right->entry.name, sharing, m_config.instance);
        });
        (*nearest)->part = 1;
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
        settleReturn(member, wasLeaving, now);
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
    if (!member.leaving.reported(report.incarnation, report.state)) {
        return;
    }
    member.health.reported(report, now);
    const bool replaced = before && *before != report.incarnation;
    const bool cold = report.state == engine::UpstreamState::Cold && member.coldIncarnation != report.incarnation;
    if (cold) {
        member.coldIncarnation = report.incarnation;
    }
    if (replaced || cold) {
        member.limit.startSlow(now, m_config.warmUp);
    } else {
        settleReturn(member, wasLeaving, now);
    }
}

void UpstreamSet::settleReturn(Member &member, bool wasLeaving, base::TimePoint now)
{
    if (wasLeaving && !member.leaving.leaving()) {
        member.limit.startSlow(now, m_config.warmUp);
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
            const bool near = m_domainRegions[index] == region;
            const int ownRank = m_domains[index] == local ? 0 : (near ? 1 : 2);
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
