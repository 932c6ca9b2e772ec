// All upstreams of one service as one instance sees them: which may take a request, and how many at the same time.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "trefoilstile/base/ids.hpp"
#include "trefoilstile/base/priority_class.hpp"
#include "trefoilstile/base/random.hpp"
#include "trefoilstile/base/time.hpp"
#include "trefoilstile/document/steering_document.hpp"
#include "trefoilstile/engine/event.hpp"
#include "trefoilstile/upstream/concurrency_limit.hpp"
#include "trefoilstile/upstream/leaving_state.hpp"
#include "trefoilstile/upstream/selection_policy.hpp"
#include "trefoilstile/upstream/upstream_health.hpp"

namespace trefoilstile::upstream
{

/// Number of a failure domain within one set; valid until the next document update.
using DomainIndex = std::uint16_t;

/// What a set takes from the document and the settings.
struct UpstreamSetConfig {
    struct Entry {
        std::string name;
        std::string address; ///< `IP:port` in this environment
        std::string failureDomain;
        std::string region;
        std::uint32_t slots = 1;
        std::uint32_t connections = 1;
        double weight = 1.0;
    };

    std::string instance; ///< name of this instance in the member list
    std::uint32_t maximumEntryInstances = 1;
    base::Duration warmUp = std::chrono::seconds(30);
    std::vector<Entry> upstreams;
};

/// Configuration of a service's set. Upstreams without an address in the environment are left out.
UpstreamSetConfig upstreamSetConfig(
    const document::SteeringDocument &document, const document::Service &service, std::string_view environment, std::string_view instance);

/// Behaviour of a set. The numbers that were varied are in docs/measurements/policy.md.
struct UpstreamSetOptions {
    LimitOptions limit;
    HealthOptions health;
    /// Each instance uses its own part of an upstream's slots, and others' parts as far as reports show them idle.
    /// Otherwise each instance's adaptive limit alone bounds its use.
    bool splitSlots = true;
    /// Part of an upstream's slots in the own region that is left to the other instances even if reports show it idle.
    /// Without it, the slots that their schedulers keep free for urgent work would be lent. Bulk work borrows none in its
    /// own region: it holds a slot for so long that the owner's urgent work would time out behind it at the upstream.
    double idleReserve = 0.5;
    /// Least part of its own slots that an instance uses while an upstream is cold. Its weight is lower still, so that it
    /// is used for what the others cannot take.
    double coldSlots = 0.5;
    /// Factor on the idle slots of upstreams in other regions. Attempts there are on the way for longer than they hold a
    /// slot, so that a slot serves more than one of them at a time.
    double remoteIdleFactor = 4.0;
    double connectFailurePenalty = 0.5; ///< factor on the weight after own connect failures while signals are distrusted
};

/// An entry instance that takes part in the split of slots.
struct SharingInstance {
    std::string name;
    std::string region;
};

/// Request as the choice of an upstream sees it.
struct ChoiceRequest {
    base::PriorityClass priorityClass = base::PriorityClass::Interactive;
    bool idempotent = false; ///< only idempotent requests probe ejected upstreams
    std::span<const std::size_t> excluded; ///< indices already tried for this request
    std::span<const DomainIndex> domains; ///< failure domains that may serve it, in order of preference
    bool beyondLimit = false; ///< may take one unit above the limit, within the ceiling; see `StartedRequest::beyondSlots`
};

/// One unit of an upstream's concurrency, held until `finished`.
struct Choice {
    std::size_t index{}; ///< of the upstream; stable while the unit is held
    bool probe = false; ///< tests an ejected upstream
    std::optional<base::IncarnationId> incarnation; ///< that the upstream was known to have at the choice
};

/// How the attempt of a choice ended.
struct AttemptReport {
    engine::AttemptResult result = engine::AttemptResult::Completed;
    base::Duration latency{}; ///< to the first byte of the response, or to the end without one
    bool upstreamLeaving = false; ///< the response said that the upstream is leaving
    bool abandoned = false; ///< ended by the caller or this instance; says nothing about the upstream
};

/// The upstreams of one service.
class UpstreamSet
{
public:
    explicit UpstreamSet(const UpstreamSetConfig &config, UpstreamSetOptions options = {});

    /// Takes a new document. Upstreams with the same name and address keep their state; new ones start slowly. Removed
    /// ones get no new work and keep their index until their last attempt has ended.
    void update(const UpstreamSetConfig &config, base::TimePoint now);

    /// Takes the entry instances that share the upstreams: those that serve requests, this one included.
    void updateInstances(std::span<const SharingInstance> members);

    /// Takes a drain list. Lists that are not newer are ignored; entry drains do not concern the set.
    void drainsUpdated(base::Generation generation, std::span<const engine::Drain> drains, base::TimePoint now);

    /// The platform's list says that the upstream is leaving.
    void listedLeaving(std::string_view upstream, base::IncarnationId incarnation);

    void loadReported(const engine::LoadReported &report, base::TimePoint now);

    /// Chooses an upstream by the policy and takes one unit of its concurrency. The first failure domain in the
    /// request's order that has a free unit is used. Nothing if no upstream may take the request.
    template<typename Policy, base::RandomSource R>
    requires SelectionPolicy<Policy, R> std::optional<Choice> choose(const ChoiceRequest &request, base::TimePoint now, R &random, Policy &policy);

    /// Gives the unit back.
    template<base::RandomSource R>
    void finished(const Choice &choice, base::PriorityClass priorityClass, const AttemptReport &report, base::TimePoint now, R &random);

    /// Attempts that may run at the same time in these failure domains now, running ones included, also those on
    /// upstreams that take no new work. The number of slots for `ClassScheduler`.
    std::uint32_t concurrency(std::span<const DomainIndex> domains, base::TimePoint now) const;

    /// True if `choose` would find an upstream for the request by its limit; probes are not considered. For the predicate
    /// of `ClassScheduler::next`.
    bool canChoose(const ChoiceRequest &request, base::TimePoint now) const;

    std::optional<DomainIndex> domain(std::string_view failureDomain) const;

    /// All failure domains: `local` first, then the others of its region, then those of other regions if `otherRegions`.
    std::vector<DomainIndex> domainsFrom(std::string_view local, std::string_view region, bool otherRegions) const;

    /// Index of a present upstream by name.
    std::optional<std::size_t> find(std::string_view upstream) const;

    /// Number of indices; some may belong to removed upstreams.
    std::size_t size() const
    {
        return m_members.size();
    }

    const UpstreamSetConfig::Entry &upstream(std::size_t index) const
    {
        return m_members.at(index).entry;
    }

    std::uint32_t inFlight(std::size_t index) const
    {
        return m_members.at(index).inFlight;
    }

    std::uint32_t inFlight() const;

    /// Attempts allowed at this upstream now for urgent and interactive work; 0 if it takes no new work.
    std::uint32_t allowed(std::size_t index, base::TimePoint now) const;

    bool leaving(std::size_t index) const
    {
        return m_members.at(index).leaving.leaving();
    }

    bool ejected(std::size_t index) const
    {
        return m_members.at(index).health.ejected();
    }

    /// True if the upstream belongs to the present document.
    bool present(std::size_t index) const
    {
        return m_members.at(index).present;
    }

    const ConcurrencyLimit &limit(std::size_t index) const
    {
        return m_members.at(index).limit;
    }

    /// True while more than half of the upstreams look unhealthy, so that the signal is not believed.
    bool distrusted() const;

private:
    struct Member {
        UpstreamSetConfig::Entry entry;
        DomainIndex domain{};
        std::uint32_t part{}; // own part of the slots; 0 if the upstream is in another region
        bool near = true; // in this instance's region, or that is not known yet
        std::uint32_t sharers = 1; // instances that idle slots are divided between
        bool present = true; // false: removed from the document, kept until inFlight is 0
        bool unused = false; // the index is free for another upstream; implies !present and inFlight == 0
        std::uint32_t inFlight{}; // <= limit.ceiling()
        ConcurrencyLimit limit;
        UpstreamHealth health;
        LeavingState leaving;
        std::optional<base::IncarnationId> coldIncarnation; // whose cold state has started a ramp already
    };

    bool takesWork(const Member &member, bool distrust) const;
    std::uint32_t allowedOf(const Member &member, base::PriorityClass priorityClass, base::TimePoint now) const;
    std::uint32_t idleShare(const Member &member, base::TimePoint now) const;
    std::optional<Candidate> candidate(const Member &member, std::size_t index, const ChoiceRequest &request, bool distrust, base::TimePoint now) const;
    std::optional<std::size_t> probeTarget(const ChoiceRequest &request, base::TimePoint now) const;
    Choice take(std::size_t index, bool probe);
    void giveBack(const Choice &choice, base::PriorityClass priorityClass, const AttemptReport &report, base::TimePoint now);
    void settleReturn(Member &member, bool wasLeaving, base::TimePoint now);
    std::size_t addMember(const UpstreamSetConfig::Entry &entry);
    void updateDomains();
    void updateParts();
    void updateRegionParts(std::string_view region);
    bool isDrained(const Member &member) const;

    UpstreamSetConfig m_config;
    UpstreamSetOptions m_options;
    std::vector<Member> m_members; // at most one present member of each name
    std::vector<std::string> m_domains; // index is DomainIndex
    std::vector<std::string> m_domainRegions; // of the domain at the same index
    std::vector<SharingInstance> m_instances;
    std::vector<engine::Drain> m_drains;
    base::Generation m_drainGeneration; // never decreases
    std::vector<Candidate> m_candidates; // reused between calls to avoid allocation
};

template<typename Policy, base::RandomSource R>
requires SelectionPolicy<Policy, R> std::optional<Choice> UpstreamSet::choose(const ChoiceRequest &request, base::TimePoint now, R &random, Policy &policy)
{
    if (const std::optional<std::size_t> target = probeTarget(request, now)) {
        m_members[*target].health.claimProbe(now, random);
        return take(*target, true);
    }
    const bool distrust = distrusted();
    for (const DomainIndex wanted : request.domains) {
        m_candidates.clear();
        for (std::size_t index = 0; index < m_members.size(); ++index) {
            const Member &member = m_members[index];
            if (member.domain == wanted) {
                if (const std::optional<Candidate> found = candidate(member, index, request, distrust, now)) {
                    m_candidates.push_back(*found);
                }
            }
        }
        if (!m_candidates.empty()) {
            const std::size_t position = policy.select(std::span<const Candidate>(m_candidates), random);
            return take(m_candidates[position].index, false);
        }
    }
    return std::nullopt;
}

template<base::RandomSource R>
void UpstreamSet::finished(const Choice &choice, base::PriorityClass priorityClass, const AttemptReport &report, base::TimePoint now, R &random)
{
    Member &member = m_members.at(choice.index);
    if (!report.abandoned) {
        member.health.observe(report.result, now, random);
    }
    giveBack(choice, priorityClass, report, now);
}

} // namespace trefoilstile::upstream
