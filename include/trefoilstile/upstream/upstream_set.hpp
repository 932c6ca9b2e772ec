// Upstreams of one service as seen by one instance: selects the upstream of a request and limits concurrent attempts.
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

/// Index of a failure domain within one set; valid until the next document update.
using DomainIndex = std::uint16_t;

/// Configuration of a set, from the steering document and the settings.
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

/// Builds the configuration of the set of one service. Upstreams without an address in the environment are omitted.
UpstreamSetConfig upstreamSetConfig(
    const document::SteeringDocument &document, const document::Service &service, std::string_view environment, std::string_view instance);

/// Parameters of a set. docs/measurements/policy.md lists the values that were varied.
struct UpstreamSetOptions {
    LimitOptions limit;
    HealthOptions health;
    /// If true, each instance uses the slots assigned to it, and slots of other instances as far as load reports show them
    /// idle. If false, only the adaptive limit of each instance bounds its use.
    bool splitSlots = true;
    /// Fraction of the slots of an upstream in the same region that is not borrowed from other instances even if load
    /// reports show it idle. Without it, the slots that their schedulers keep free for urgent work would be borrowed. Bulk
    /// work borrows none in its own region: it holds a slot for so long that urgent work of the instance to which the slot
    /// is assigned would time out while queued behind it at the upstream.
    double idleReserve = 0.5;
    /// Minimum fraction of its assigned slots that an instance uses while an upstream is cold. The weight of the upstream
    /// is reduced further, so that it mainly serves what the other upstreams cannot take.
    double minimumColdShare = 0.5;
    /// Factor on the idle slots of upstreams in other regions. Attempts there spend more time in transit than in a slot, so
    /// that one slot serves more than one concurrent attempt.
    double remoteIdleFactor = 4.0;
    double connectFailurePenalty = 0.5; ///< factor on the weight after own connect failures while `healthIgnored`
};

/// Entry instance that shares the slots of the upstreams.
struct SharingInstance {
    std::string name;
    std::string region;
};

/// Properties of a request that determine the choice of an upstream.
struct ChoiceRequest {
    base::PriorityClass priorityClass = base::PriorityClass::Interactive;
    bool idempotent = false; ///< only idempotent requests probe ejected upstreams
    std::span<const std::size_t> excluded; ///< indices of upstreams already tried for this request
    std::span<const DomainIndex> domains; ///< failure domains that may serve the request, in order of preference
    bool beyondLimit = false; ///< may use one unit above the limit, within the ceiling; see `StartedRequest::beyondSlots`
};

/// Chosen upstream and one unit of its concurrency, held until `UpstreamSet::finished`.
struct Choice {
    std::size_t index{}; ///< of the upstream; stable while the unit is held
    bool probe = false; ///< the attempt probes an ejected upstream
    std::optional<base::IncarnationId> incarnation; ///< of the upstream as known at the time of the choice
};

/// Result of the attempt made for a choice.
struct AttemptReport {
    engine::AttemptResult result = engine::AttemptResult::Completed;
    base::Duration latency{}; ///< until the first byte of the response, or until the end if there was none
    bool upstreamLeaving = false; ///< the response stated that the upstream is leaving
    bool abandoned = false; ///< ended by the caller or this instance; not a signal about the upstream
};

/// The upstreams of one service.
class UpstreamSet
{
public:
    explicit UpstreamSet(const UpstreamSetConfig &config, UpstreamSetOptions options = {});

    /// Applies a new document. Upstreams with the same name and address keep their state; new ones start with a ramp.
    /// Removed ones get no new attempts and keep their index until their last attempt has ended.
    void update(const UpstreamSetConfig &config, base::TimePoint now);

    /// Replaces the entry instances that share the upstreams: those that serve requests, this one included.
    void updateInstances(std::span<const SharingInstance> members);

    /// Applies a drain list. A list that is not newer than the last is ignored; drains of entry instances have no effect.
    void drainsUpdated(base::Generation generation, std::span<const engine::Drain> drains, base::TimePoint now);

    /// Records that the platform's instance list marks this incarnation of the upstream as leaving.
    void listedLeaving(std::string_view upstream, base::IncarnationId incarnation);

    /// Applies a load report. Reports of unknown upstreams and of replaced incarnations are ignored.
    void loadReported(const engine::LoadReported &report, base::TimePoint now);

    /// Chooses an upstream by the policy and acquires one unit of its concurrency. Uses the first failure domain in
    /// `request.domains` that has a free unit; a due probe takes precedence. Nothing if no upstream can take the request.
    template<typename Policy, base::RandomSource R>
    requires SelectionPolicy<Policy, R> std::optional<Choice> choose(const ChoiceRequest &request, base::TimePoint now, R &random, Policy &policy);

    /// Releases the unit and records the result of the attempt.
    template<base::RandomSource R>
    void finished(const Choice &choice, base::PriorityClass priorityClass, const AttemptReport &report, base::TimePoint now, R &random);

    /// Number of slots for `ClassScheduler`: concurrent attempts that these failure domains allow now. Running attempts on
    /// other upstreams, such as those that accept no new attempts, are included.
    std::uint32_t concurrency(std::span<const DomainIndex> domains, base::TimePoint now) const;

    /// True if `choose` would find an upstream with a free unit for the request; probes are not considered. Serves as the
    /// predicate of `ClassScheduler::next`.
    bool canChoose(const ChoiceRequest &request, base::TimePoint now) const;

    std::optional<DomainIndex> domain(std::string_view failureDomain) const;

    /// Failure domains in order of preference: `local`, the others of `region`, then those of other regions if `otherRegions`.
    std::vector<DomainIndex> domainsFrom(std::string_view local, std::string_view region, bool otherRegions) const;

    /// Index of a present upstream by name.
    std::optional<std::size_t> find(std::string_view upstream) const;

    /// Number of indices, including those of removed upstreams.
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

    /// Concurrent urgent or interactive attempts allowed at this upstream now; 0 if it accepts no new attempts.
    std::uint32_t allowed(std::size_t index, base::TimePoint now) const;

    bool leaving(std::size_t index) const
    {
        return m_members.at(index).leaving.leaving();
    }

    bool ejected(std::size_t index) const
    {
        return m_members.at(index).health.ejected();
    }

    /// True if the upstream belongs to the current document.
    bool present(std::size_t index) const
    {
        return m_members.at(index).present;
    }

    const ConcurrencyLimit &limit(std::size_t index) const
    {
        return m_members.at(index).limit;
    }

    /// True while more than half of the upstreams that are present and not leaving are ejected. Health is then ignored: the
    /// fault is more likely on the side of this instance, and ejecting all upstreams would leave none to serve requests.
    bool healthIgnored() const;

private:
    struct Member {
        UpstreamSetConfig::Entry entry;
        DomainIndex domain{};
        std::uint32_t assignedSlots{}; // to this instance; 0 if the upstream is in another region
        bool sameRegion = true; // as this instance; also true while the region of this instance is unknown
        std::uint32_t sharingInstances = 1; // number of instances that divide the idle slots
        bool present = true; // false: removed from the document, kept until inFlight is 0
        bool unused = false; // the index can be reused; implies !present and inFlight == 0
        std::uint32_t inFlight{}; // <= limit.ceiling()
        ConcurrencyLimit limit;
        UpstreamHealth health;
        LeavingState leaving;
        std::optional<base::IncarnationId> coldIncarnation; // incarnation whose cold state has already started a ramp
    };

    bool acceptsWork(const Member &member, bool ignoreHealth) const;
    std::uint32_t allowedOf(const Member &member, base::PriorityClass priorityClass, base::TimePoint now) const;
    std::uint32_t borrowableSlots(const Member &member, base::TimePoint now) const;
    std::optional<Candidate> candidate(const Member &member, std::size_t index, const ChoiceRequest &request, bool ignoreHealth, base::TimePoint now) const;
    std::optional<std::size_t> probeTarget(const ChoiceRequest &request, base::TimePoint now) const;
    Choice acquire(std::size_t index, bool probe);
    void release(const Choice &choice, base::PriorityClass priorityClass, const AttemptReport &report, base::TimePoint now);
    void startRampIfReturned(Member &member, bool wasLeaving, base::TimePoint now);
    std::size_t addMember(const UpstreamSetConfig::Entry &entry);
    void updateDomains();
    void updateAssignedSlots();
    void assignRegionSlots(std::string_view region);
    bool isDrained(const Member &member) const;

    UpstreamSetConfig m_config;
    UpstreamSetOptions m_options;
    std::vector<Member> m_members; // at most one present member of each name
    std::vector<std::string> m_domains; // index is DomainIndex
    std::vector<std::string> m_domainRegions; // region of the domain at the same index
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
        return acquire(*target, true);
    }
    const bool ignoreHealth = healthIgnored();
    for (const DomainIndex wanted : request.domains) {
        m_candidates.clear();
        for (std::size_t index = 0; index < m_members.size(); ++index) {
            const Member &member = m_members[index];
            if (member.domain == wanted) {
                if (const std::optional<Candidate> found = candidate(member, index, request, ignoreHealth, now)) {
                    m_candidates.push_back(*found);
                }
            }
        }
        if (!m_candidates.empty()) {
            const std::size_t position = policy.select(std::span<const Candidate>(m_candidates), random);
            return acquire(m_candidates[position].index, false);
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
    release(choice, priorityClass, report, now);
}

} // namespace trefoilstile::upstream
