// What the daemon's threads tell each other through rings.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "trefoilstile/base/ids.hpp"
#include "trefoilstile/base/priority_class.hpp"
#include "trefoilstile/base/time.hpp"
#include "trefoilstile/engine/command.hpp"
#include "trefoilstile/engine/engine.hpp"
#include "trefoilstile/engine/event.hpp"
#include "trefoilstile/http/load_poller.hpp"
#include "trefoilstile/idempotency/issued_key.hpp"
#include "trefoilstile/idempotency/sealed_tables.hpp"
#include "trefoilstile/routing/entry_choice.hpp"
#include "trefoilstile/steering/dissemination.hpp"
#include "trefoilstile/steering/generation_holder.hpp"
#include "trefoilstile/steering/version.hpp"
#include "trefoilstile/tablestore/circuit_breaker.hpp"
#include "trefoilstile/tablestore/store.hpp"

namespace trefoilstile::daemon
{

// To the decision thread.

/// Work left at the caller port; sent while a planned stop is under way.
struct CallerWork {
    std::size_t connections{};
    std::size_t requests{};
    std::size_t attempts{};
};

/// SIGTERM has arrived.
struct StopSignal {
};

/// A peer that stops hands over a part of its key table.
struct KeysOffered {
    std::uint64_t ticket{}; ///< of the peer thread, for the reply
    std::shared_ptr<const idempotency::SealedPart> part;
};

/// The handoff of the own key table has ended.
struct KeysHandedOff {
    bool complete = false; ///< a peer holds the whole table
};

/// From the caller I/O thread, the peer thread or the platform thread.
using DecisionInput = std::variant<engine::Event, CallerWork, StopSignal, KeysOffered, KeysHandedOff>;

// To the caller I/O thread.

/// Everything that lookups need, replaced as a whole.
struct LookupTable {
    std::shared_ptr<const routing::EntryTable> entries;
};

/// Upstreams to poll and the limit of request bodies, from the document in effect.
struct DocumentSettings {
    std::vector<http::LoadTarget> loadTargets;
    std::uint64_t bodyLimit{};
};

/// Lookup responses that may be given out for another region; replaces the grants told before.
struct PlacedGrants {
    std::vector<engine::PlacedGrant> grants;
};

/// Steps of a planned stop.
struct AnnounceStop {
};
struct StopAccepting {
};

using CallerInput = std::variant<engine::Command, LookupTable, PlacedGrants, DocumentSettings, AnnounceStop, StopAccepting>;

// To the peer thread, which decides what comes into effect.

/// The store answered a poll.
struct RowsRead {
    std::uint64_t poll{};
    steering::StoreRows rows;
};

/// The store did not answer a poll.
struct RowsFailed {
    std::uint64_t poll{};
};

/// The store answered a fetch of a document's bytes.
struct ObjectFetched {
    std::uint64_t fetch{};
    steering::FetchResult result = steering::FetchResult::Failed;
    std::string bytes;
};

/// A document was read and its tables were built.
struct DocumentParsed {
    steering::DocumentVersion version;
    std::shared_ptr<const document::SteeringDocument> document;
    std::shared_ptr<const routing::BlockTable> blocks;
    std::shared_ptr<const std::string> bytes;
};

/// This build cannot read the document.
struct DocumentRefused {
    steering::DocumentVersion version;
};

/// The platform's instance list, as far as it concerns this system.
struct InstanceList {
    std::vector<tablestore::ListedInstance> instances;
};

/// What the decision thread has in effect.
struct InEffect {
    base::Generation generation;
    base::Generation drainGeneration;
    bool stopping = false; ///< a planned stop is under way; a drain alone can be taken back
    std::optional<std::uint32_t> spareCapacity; ///< of the region, requests/s

    friend bool operator==(const InEffect &, const InEffect &) = default;
};

/// The decision thread has taken a part of a peer's key table, or refused it.
struct KeysImported {
    std::uint64_t ticket{};
    bool stored = false;
    bool complete = false; ///< the whole table is held
};

/// Hand the own key table to a peer.
struct HandOffKeys {
    std::shared_ptr<const std::vector<idempotency::SealedPart>> parts;
};

using PeerInput = std::variant<RowsRead, RowsFailed, ObjectFetched, DocumentParsed, DocumentRefused, InstanceList, InEffect, KeysImported, HandOffKeys>;

// To the platform thread.

/// Read the rows of the documents and drains.
struct PollRows {
    std::uint64_t poll{};
};

/// Fetch a document's bytes from the object store.
struct FetchObject {
    std::uint64_t fetch{};
    std::string hash;
};

/// Read a document and build its tables.
struct ParseDocument {
    steering::DocumentVersion version;
    std::shared_ptr<const std::string> bytes;
};

/// Read the instance list.
struct PollInstances {
};

using PlatformInput = std::variant<engine::ClaimKey, PollRows, FetchObject, ParseDocument, PollInstances>;

// To the reporting thread.

/// Time that one request spent; `name` is the metric.
struct LatencySample {
    const char *name = ""; ///< with static storage
    std::string service;
    base::PriorityClass priorityClass = base::PriorityClass::Interactive;
    base::Duration latency{};
};

/// One more of something.
struct CountSample {
    const char *name = ""; ///< with static storage
    std::string label; ///< value of the label `kind`
};

struct DecisionStatus {
    base::Generation generation;
    base::Generation drainGeneration;
    bool leaving = false;
    engine::EngineStatistics figures;
    std::shared_ptr<const routing::EntryTable> entries;
};

/// One member as status shows it.
struct MemberStatusLine {
    std::string name;
    std::string region;
    std::string failureDomain;
    base::IncarnationId incarnation;
    bool alive = true;
    bool leaving = false;
    base::Generation generation;
    base::Generation drainGeneration;
};

struct PeerStatus {
    std::string hash; ///< of the document in effect
    std::string notReadyReason; ///< empty once a document is in effect
    std::vector<MemberStatusLine> members;
    std::vector<steering::Alarm> alarms;
};

struct PlatformStatus {
    tablestore::BreakerState breaker = tablestore::BreakerState::Closed;
};

using ReportInput = std::variant<LatencySample, CountSample, DecisionStatus, PeerStatus, PlatformStatus>;

} // namespace trefoilstile::daemon
