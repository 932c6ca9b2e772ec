// Messages that the daemon's threads exchange through ring buffers.
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

/// Open connections, requests and attempts at the caller port; sent periodically after it stopped accepting connections.
struct CallerPortWork {
    std::size_t connections{};
    std::size_t requests{};
    std::size_t attempts{};
};

/// SIGTERM or SIGINT was received.
struct StopSignal {
};

/// A stopping peer hands over one part of its key table.
struct KeysOffered {
    std::uint64_t ticket{}; ///< assigned by the peer thread; the reply `KeysImported` carries it
    std::shared_ptr<const idempotency::SealedPart> part;
};

/// The handoff of the key table of this instance has ended.
struct KeysHandedOff {
    bool complete = false; ///< a peer holds the complete table
};

/// From the caller I/O thread, the peer thread, the platform thread or the main thread (signals).
using DecisionInput = std::variant<engine::Event, CallerPortWork, StopSignal, KeysOffered, KeysHandedOff>;

// To the caller I/O thread.

/// Table that answers lookups; each message replaces the previous table.
struct LookupTable {
    std::shared_ptr<const routing::EntryTable> entries;
};

/// Upstreams whose load is polled and the size limit of request bodies in bytes, from the document in effect.
struct DocumentSettings {
    std::vector<http::LoadTarget> loadTargets;
    std::uint64_t bodyLimit{};
};

/// Grants of lookup responses that name entries of another region; each message replaces the previous list.
struct PlacedGrants {
    std::vector<engine::PlacedGrant> grants;
};

/// Planned stop: responses carry `Connection: close` from now on.
struct AnnounceStop {
};

/// Planned stop: no new connections are accepted.
struct StopAccepting {
};

using CallerInput = std::variant<engine::Command, LookupTable, PlacedGrants, DocumentSettings, AnnounceStop, StopAccepting>;

// To the peer thread, which selects the document and the drain list to apply.

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

/// A document was parsed and its tables were built.
struct DocumentParsed {
    steering::DocumentVersion version;
    std::shared_ptr<const document::SteeringDocument> document;
    std::shared_ptr<const routing::BlockTable> blocks;
    std::shared_ptr<const std::string> bytes;
};

/// The document cannot be parsed by this build.
struct DocumentRefused {
    steering::DocumentVersion version;
};

/// Instances of this system and its upstreams from the platform's instance list.
struct InstanceList {
    std::vector<tablestore::ListedInstance> instances;
};

/// Versions that the decision thread has applied, and the state that peers are notified of.
struct EffectiveState {
    base::Generation generation;
    base::Generation drainGeneration;
    bool stopping = false; ///< a planned stop is in progress; not set by a drain, which can be revoked
    std::optional<std::uint32_t> spareCapacity; ///< of the region, requests/s

    friend bool operator==(const EffectiveState &, const EffectiveState &) = default;
};

/// The decision thread has stored or rejected one part of a peer's key table.
struct KeysImported {
    std::uint64_t ticket{};
    bool stored = false;
    bool complete = false; ///< all parts of the table are stored
};

/// Hand over the key table of this instance to a peer.
struct HandOffKeys {
    std::shared_ptr<const std::vector<idempotency::SealedPart>> parts;
};

using PeerInput = std::variant<RowsRead, RowsFailed, ObjectFetched, DocumentParsed, DocumentRefused, InstanceList, EffectiveState, KeysImported, HandOffKeys>;

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

/// Parse a document and build its tables.
struct ParseDocument {
    steering::DocumentVersion version;
    std::shared_ptr<const std::string> bytes;
};

/// Read the instance list.
struct PollInstances {
};

using PlatformInput = std::variant<engine::ClaimKey, PollRows, FetchObject, ParseDocument, PollInstances>;

// To the reporting thread.

/// One latency observation; `name` is the metric.
struct LatencySample {
    const char *name = ""; ///< has static storage duration
    std::string service;
    base::PriorityClass priorityClass = base::PriorityClass::Interactive;
    base::Duration latency{};
};

/// Increments the counter `name` by one.
struct CountSample {
    const char *name = ""; ///< has static storage duration
    std::string label; ///< value of the label `reason`; empty for a counter without labels
};

struct DecisionStatus {
    base::Generation generation;
    std::string hash; ///< of the document of `generation`
    base::Generation drainGeneration;
    bool leaving = false;
    engine::EngineStatistics figures;
    std::shared_ptr<const routing::EntryTable> entries;
};

/// One member as shown on `/v1/status`.
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
    std::string notReadyReason; ///< empty once a document is in effect
    std::vector<MemberStatusLine> members;
    std::vector<steering::Alarm> alarms;
};

struct PlatformStatus {
    tablestore::BreakerState breaker = tablestore::BreakerState::Closed;
};

using ReportInput = std::variant<LatencySample, CountSample, DecisionStatus, PeerStatus, PlatformStatus>;

} // namespace trefoilstile::daemon
