// Decisions of one entry instance: takes events and issues commands. Uses no sockets, threads or clocks.
//
// At most once (P5 in docs/proofs.md): a request that is not idempotent has at most one attempt in progress, and another
// attempt follows only after a result that proves that the request did not run. For a request with a key, the state
// machine of the key table is consulted at each step. `not-run` (P4): a rejection carries it only if no attempt was
// started, or each attempt ended with such a proof.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "trefoilstile/base/ids.hpp"
#include "trefoilstile/base/random.hpp"
#include "trefoilstile/base/time.hpp"
#include "trefoilstile/engine/command.hpp"
#include "trefoilstile/engine/event.hpp"
#include "trefoilstile/engine/held_request.hpp"
#include "trefoilstile/engine/region_load.hpp"
#include "trefoilstile/engine/service_state.hpp"
#include "trefoilstile/engine/shift_limiter.hpp"
#include "trefoilstile/idempotency/key_table.hpp"
#include "trefoilstile/idempotency/sealed_tables.hpp"
#include "trefoilstile/routing/entry_choice.hpp"
#include "trefoilstile/routing/route_table.hpp"
#include "trefoilstile/shift/region_admission.hpp"

namespace trefoilstile::engine
{

/// Outcome of a request that is rejected before its key was looked up. An earlier attempt with the key may have run, at
/// this instance or another one, so it is `NotRun` only without a key or for the caller's first attempt.
Outcome outcomeBeforeKeyTable(const RequestArrived &event);

/// Members to which a stopping instance offers its key table, in order of preference, and to which other instances relay
/// its keys afterwards. Each side chooses from its own view of the members that stay; where the views differ, the outcome
/// is `unknown`.
std::vector<base::IncarnationId> keyHolders(base::IncarnationId issuer, std::span<const base::IncarnationId> staying);

struct EngineOptions {
    std::string name; ///< of this instance in the member list
    std::string environment; ///< selects the addresses of upstreams
    std::string region;
    std::string failureDomain;
    base::IncarnationId incarnation;
    std::uint64_t seed = 0; ///< for jitter and tie-breaking
    base::Duration claimTimeout = std::chrono::seconds(2); ///< for one claim in the table service
    idempotency::KeyTableOptions keys;
    shift::ShiftOptions shift;
};

/// Counts for status and metrics.
struct EngineStatistics {
    std::size_t held{}; ///< requests that have arrived and not ended
    base::PerClass<std::size_t> queued;
    base::PerClass<std::size_t> running;
    std::size_t keyRecords{};
    std::size_t keyBytes{};
};

/// The engine. All calls must come from one thread, and `now` must never decrease from one call to the next.
class Engine
{
public:
    Engine(EngineOptions options, base::TimePoint now);

    /// Takes one event and passes the resulting commands to the sink.
    template<CommandSink Sink>
    void handle(Event event, base::TimePoint now, Sink &&sink)
    {
        handleEvent(std::move(event), now);
        flush(sink);
    }

    /// Handles what is due without an event: expiry of deadlines, recovery of limits. Must be called at least every 50 ms.
    template<CommandSink Sink>
    void tick(base::TimePoint now, Sink &&sink)
    {
        advance(now);
        flush(sink);
    }

    /// Table for lookups, replaced when document, members or drains change; null until a document is in effect.
    std::shared_ptr<const routing::EntryTable> entryTable() const;

    /// Issues key prefixes; may be copied to other threads.
    const idempotency::KeyIssuer &keyIssuer() const;

    base::Generation generation() const;
    const std::string &documentHash() const; ///< of the document of `generation`
    base::Generation drainGeneration() const;
    EngineStatistics statistics() const;

    /// Grants of lookup responses that may name entry instances of another region; `grantsVersion` changes with them.
    const std::vector<PlacedGrant> &grants() const;
    std::uint64_t grantsVersion() const;

    /// Spare capacity of the own region in requests/s, 0 if it is overloaded; nothing while its load is unknown.
    std::optional<double> spareCapacity(base::TimePoint now) const;

    /// True if this instance is drained by name, failure domain or region, or is stopping.
    bool leaving() const;

    /// Second step of a planned stop: this instance begins no keyed request from now on.
    void sealKeys();

    /// Complete key table for a peer. Throws `idempotency::Error` unless sealed and no keyed request is in progress.
    std::vector<idempotency::SealedPart> exportKeys(base::TimePoint now) const;

    /// Imports a part of a stopped peer's key table.
    idempotency::SealedTables::Import importKeys(const idempotency::SealedPart &part, base::TimePoint now);

    /// True if every part of that peer's key table has been imported.
    bool holdsKeysOf(base::IncarnationId incarnation) const;

private:
    template<CommandSink Sink>
    void flush(Sink &sink)
    {
        std::vector<Command> commands;
        commands.swap(m_commands);
        for (Command &command : commands) {
            sink(std::move(command));
        }
    }

    void handleEvent(Event event, base::TimePoint now);
    void advance(base::TimePoint now);

    void on(RequestArrived &event, base::TimePoint now);
    void on(AttemptEnded &event, base::TimePoint now);
    void on(CallerDisconnected &event, base::TimePoint now);
    void on(LoadReported &event, base::TimePoint now);
    void on(DrainsUpdated &event, base::TimePoint now);
    void on(DocumentUpdated &event, base::TimePoint now);
    void on(UpstreamListedLeaving &event, base::TimePoint now);
    void on(ClaimEnded &event, base::TimePoint now);
    void on(RelayEnded &event, base::TimePoint now);
    void on(MembersUpdated &event, base::TimePoint now);
    void on(CapacityReported &event, base::TimePoint now);
    void on(GrantUsed &event, base::TimePoint now);
    void on(StopRequested &event, base::TimePoint now);

    // Keyed requests (keyed_requests.cpp).
    void beginKeyed(HeldRequest &request, base::TimePoint now);
    void relayToOwner(HeldRequest &request, base::IncarnationId owner, base::TimePoint now);
    const EntryMember *relayTarget(base::IncarnationId owner) const;
    void endKeyed(const idempotency::KeyResolution &ending, RejectReason reason, base::TimePoint now);
    void withdrawKey(HeldRequest &request, base::TimePoint now);

    // Queue and attempts (attempts.cpp).
    void admit(HeldRequest &request, base::TimePoint now);
    void dispatch(ServiceState &service, base::TimePoint now);
    bool startAttempt(ServiceState &service, const admission::StartedRequest &started, base::TimePoint now);
    std::optional<upstream::Choice> chooseUpstream(HeldRequest &request, bool beyondLimit, base::TimePoint now);
    bool canStart(const HeldRequest &request, base::TimePoint now);
    bool mayForward(const HeldRequest &request, const RemoteRegion &remote, base::TimePoint now);
    base::Duration firstByteTimeout(const HeldRequest &request, base::TimePoint now) const;
    void sendAttempt(HeldRequest &request, bool resume, base::TimePoint now);
    void endAttempt(HeldRequest &request, const AttemptEnded &event, base::TimePoint now);
    void applyDecision(HeldRequest &request, retry::RetryDecision decision, const AttemptEnded &event, base::TimePoint now);
    void truncate(HeldRequest &request, base::TimePoint now);
    void requeue(HeldRequest &request);
    void expireQueued(ServiceState &service, base::TimePoint now);
    void expireWaiting(base::TimePoint now);

    // Ends of requests (engine.cpp, attempts.cpp).
    HeldRequest *find(base::RequestId id);
    void rejectUnstarted(HeldRequest &request, RejectReason reason, base::TimePoint now);
    void reject(HeldRequest &request, std::uint16_t status, Outcome outcome, RejectReason reason, base::TimePoint now);
    void release(HeldRequest &request);

    // Regions (regions.cpp).
    std::size_t slots(ServiceState &service, base::TimePoint now);
    bool isOverflowing(const ServiceState &service, base::TimePoint now) const;
    bool admitsFrom(const base::IpAddress &client, base::PriorityClass priorityClass, base::TimePoint now);
    void updateRemotes(ServiceState &service);
    void updateRegions(base::TimePoint now);
    std::set<std::string> regionsWithoutEntries() const;
    void updateServices(base::TimePoint now);
    void updateMembers(ServiceState &service);
    void rebuildEntryTable();
    bool servesLookups(const EntryMember &member) const;
    bool isDrained(const EntryMember &member) const;

    EngineOptions m_options;
    base::SplitMix64 m_random;
    std::vector<Command> m_commands; // in the order in which they were decided

    std::shared_ptr<const document::SteeringDocument> m_document;
    std::shared_ptr<const routing::BlockTable> m_blocks;
    std::optional<routing::RouteTable> m_routes; // of m_document
    base::Generation m_generation; // never decreases
    std::string m_documentHash; // changes together with `m_generation`
    base::Generation m_drainGeneration; // never decreases
    std::vector<Drain> m_drains;
    std::vector<EntryMember> m_members;
    bool m_stopping = false;
    std::shared_ptr<const routing::EntryTable> m_entryTable;

    // Services by name. A service that is no longer in the document is kept until its last request has ended.
    std::map<std::string, std::unique_ptr<ServiceState>, std::less<>> m_services;
    // Each held request is in exactly one stage; those in `Queued` are in their service's scheduler under the same ID.
    std::unordered_map<base::RequestId, HeldRequest> m_requests;
    std::uint64_t m_lastAttempt = 0; // attempt IDs are never used twice

    ShiftLimiter m_shiftLimiter;
    std::uint64_t m_grantsVersion = 0; // increases with each change of the grants
    RegionLoad m_regionLoad;
    shift::RegionAdmission m_regionAdmission; // limits requests of callers from other regions

    idempotency::KeyTable m_keys;
    idempotency::SealedTables m_sealedKeys; // of stopped peers
};

} // namespace trefoilstile::engine
