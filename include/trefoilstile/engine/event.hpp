// Events at one entry instance, which the embedder reports to the engine.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "trefoilstile/base/ids.hpp"
#include "trefoilstile/base/ip.hpp"
#include "trefoilstile/base/time.hpp"
#include "trefoilstile/document/steering_document.hpp"
#include "trefoilstile/idempotency/stored_response.hpp"
#include "trefoilstile/routing/block_table.hpp"
#include "trefoilstile/shift/capacity_advert.hpp"

namespace trefoilstile::engine
{

/// A caller's request has arrived completely, up to the end of its body.
struct RequestArrived {
    base::RequestId id; ///< chosen by the embedder, never used twice
    std::string host; ///< lower case, without port
    std::string path; ///< without query
    std::string method;
    std::string idempotencyKey; ///< empty if the caller gave none
    std::uint64_t fingerprint{}; ///< hash over method, target and body, see `idempotency::fingerprintOf`; needed with a key
    std::optional<std::uint32_t> repeat; ///< number that the caller gave to this attempt with the key, from 0
    base::IpAddress client;
    std::optional<base::Duration> timeLeft; ///< time until the caller's deadline
    std::uint64_t bodyBytes{};
    bool relayed = false; ///< received from another entry instance; is not relayed again
};

/// How an attempt at an upstream ended.
enum class AttemptResult : std::uint8_t {
    Completed, ///< the whole response has been forwarded
    RejectedNotRun, ///< the upstream stated explicitly that the request did not run
    NothingSent, ///< no byte of the request left this process (connect failed, or rejected locally)
    Failed, ///< failed after bytes were sent and before the first byte of the response
    TimedOut, ///< no first byte of the response within the time given
    Broken, ///< failed after part of the response was forwarded; see `AttemptEnded::resumable`
    ObjectChanged, ///< a resumption was rejected because the object has changed
};

/// Response stored for repeats with the same key.
using StoredResponse = idempotency::StoredResponse;

/// An attempt has ended. Reported exactly once for each `Forward` command, whatever the result.
struct AttemptEnded {
    base::RequestId id;
    base::AttemptId attemptId;
    AttemptResult result = AttemptResult::Failed;
    base::Duration latency{}; ///< from the command to the first byte of the response, or to the end without one
    std::uint64_t bytes{}; ///< body bytes transferred in both directions
    std::uint16_t status{}; ///< HTTP status of the response; 0 if none
    bool resumable = false; ///< for `Broken`: the rest can be requested with `Range` and `If-Match`
    bool upstreamLeaving = false; ///< the response stated that the upstream is leaving
    std::shared_ptr<const StoredResponse> response; ///< for completed keyed requests
};

/// The caller closed its connection before the response was complete.
struct CallerDisconnected {
    base::RequestId id;
};

/// State of an upstream as reported by its load endpoint.
enum class UpstreamState : std::uint8_t { Live, Cold, Leaving };

/// Reply of an upstream's load endpoint. Missing replies are not reported.
struct LoadReported {
    std::string upstream; ///< name in the document
    base::IncarnationId incarnation;
    UpstreamState state = UpstreamState::Live;
    std::uint32_t slots{};
    std::uint32_t busy{};
    std::uint32_t queued{};
};

/// What the name of a drain refers to.
enum class DrainKind : std::uint8_t { Upstream, Entry, FailureDomain, Region };

/// One planned drain.
struct Drain {
    DrainKind kind = DrainKind::Upstream;
    std::string name;

    // False positive: the check takes the 0 in rewritten comparisons such as a < b for a null pointer.
    friend auto operator<=>(const Drain &, const Drain &) = default; // NOLINT(modernize-use-nullptr)
};

/// A new drain list is in effect at this node. Lists that are not newer than the current one are ignored.
struct DrainsUpdated {
    base::Generation generation;
    std::vector<Drain> drains;
};

/// A new document is in effect at this node. Documents that are not newer than the current one are ignored.
struct DocumentUpdated {
    base::Generation generation;
    std::shared_ptr<const document::SteeringDocument> document;
    std::shared_ptr<const routing::BlockTable> blocks; ///< of the document; built by the sender, since building it takes long for many blocks
    std::string hash; ///< content hash of the document, for status pages; may be empty
};

/// The platform's list, which lags behind, shows that an upstream is leaving. It never shows that one has returned.
struct UpstreamListedLeaving {
    std::string upstream;
    base::IncarnationId incarnation;
};

/// Result of claiming a caller-generated key in the table service.
enum class ClaimResult : std::uint8_t {
    Won, ///< this instance owns the key
    Taken, ///< another claim holds the key
    Unavailable, ///< the store gave no definite reply in time; the claim may exist
};

struct ClaimEnded {
    base::RequestId id;
    ClaimResult result = ClaimResult::Unavailable;
};

/// How a relay to the issuer of a key, or to a holder of its key table, ended.
struct RelayEnded {
    base::RequestId id;
    bool responded = false; ///< the response of that instance has been forwarded; otherwise the engine rejects with `unknown`
};

/// One entry instance of the member list.
struct EntryMember {
    std::string name;
    base::IncarnationId incarnation;
    std::string callerAddress; ///< `IP:port`
    std::string region;
    std::string failureDomain;
    bool alive = true;
    bool leaving = false;
};

/// The member list has changed. Carries the whole list, this instance included.
struct MembersUpdated {
    std::vector<EntryMember> members;
};

/// A new measurement of another region's spare capacity has arrived.
struct CapacityReported {
    std::string region;
    shift::CapacityAdvert advert;
};

/// Lookup responses of a placed grant were sent (`spent`) or will not be sent (`returned`).
struct GrantUsed {
    std::uint64_t grantId{};
    std::uint32_t spent{};
    std::uint32_t returned{};
};

/// A planned stop has begun: lookup responses no longer name this instance; requests are served until none is left.
struct StopRequested {
};

using Event = std::variant<RequestArrived,
    AttemptEnded,
    CallerDisconnected,
    LoadReported,
    DrainsUpdated,
    DocumentUpdated,
    UpstreamListedLeaving,
    ClaimEnded,
    RelayEnded,
    MembersUpdated,
    CapacityReported,
    GrantUsed,
    StopRequested>;

} // namespace trefoilstile::engine
