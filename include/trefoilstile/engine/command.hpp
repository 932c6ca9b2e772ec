// Commands of the engine, which the embedder carries out.
#pragma once

#include <concepts>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

#include "trefoilstile/base/ids.hpp"
#include "trefoilstile/base/priority_class.hpp"
#include "trefoilstile/base/time.hpp"
#include "trefoilstile/engine/event.hpp" // StoredResponse

namespace trefoilstile::engine
{

/// Send the request to an upstream. The embedder replies with one `AttemptEnded`.
struct Forward {
    base::RequestId id;
    base::AttemptId attemptId;
    std::string service;
    std::string upstream; ///< name in the document
    std::string address; ///< `IP:port`
    base::PriorityClass priorityClass = base::PriorityClass::Interactive;
    bool freshConnection = false; ///< set for requests that are not idempotent: a failure on a reused idle connection would leave the outcome ambiguous
    bool keepResponse = false; ///< return the response in `AttemptEnded::response`
    bool resume = false; ///< request only the rest of an interrupted body, with `Range` and `If-Match`
    base::Duration connectTimeout{};
    base::Duration firstByteTimeout{}; ///< from the command to the first byte of the response
    base::Duration idleTimeout{}; ///< between bytes of the body
    std::string remoteRegion; ///< region of the upstream if not this instance's region, else empty; bytes then count against the shift cap
};

/// Whether a rejected request may have run.
enum class Outcome : std::uint8_t {
    NotRun, ///< proven: the request did not run and will not run
    Unknown, ///< it may have run
};

/// Why a request was rejected; for logs and metrics.
enum class RejectReason : std::uint8_t {
    NotReady, ///< no document is in effect
    NoRoute,
    QueueFull,
    DeadlineTooShort, ///< the request could not have been served in time
    DeadlinePassed,
    NoUpstream, ///< no upstream may take the request within caps and capacity
    ShiftCap,
    RetriesExhausted,
    UpstreamFailed,
    IssuerUnreachable, ///< the key belongs to another instance, which could not be reached
    ClaimUnavailable, ///< the store gave no definite reply to the claim of a caller-generated key
    ClaimTaken, ///< another claim holds the caller-generated key
    OutcomeLost, ///< an earlier request with the key may have run and its response is not stored
    KeyMismatch, ///< the key was used for another request
    KeyInvalid,
    PathNotCanonical, ///< the path can be interpreted in more than one way, see `routing::isCanonicalPath`
    Stopping, ///< the key table is sealed
    RecordsFull, ///< the key table has no room
    CallerDisconnected,
};

/// Name of the reason in metrics.
std::string_view toString(RejectReason reason);

/// Respond to the caller with a rejection; no part of a response has been forwarded yet.
struct Reject {
    base::RequestId id;
    std::uint16_t status = 503; ///< HTTP status
    Outcome outcome = Outcome::Unknown;
    RejectReason reason = RejectReason::NoUpstream;
    base::Duration retryAfter{}; ///< jittered; 0 if a retry would not help
    std::string service; ///< empty if no route matched
    base::PriorityClass priorityClass = base::PriorityClass::Interactive;
};

/// Respond to the caller with the stored response of an earlier request with the same key.
struct Replay {
    base::RequestId id;
    std::shared_ptr<const StoredResponse> response;
};

/// Pass the request to the entry instance that issued its key, or to one that holds its key table. The embedder replies with one `RelayEnded`.
struct Relay {
    base::RequestId id;
    std::string address; ///< caller address of that instance
    base::Duration timeout{};
};

/// Claim a caller-generated key in the table service. The embedder replies with one `ClaimEnded`.
struct ClaimKey {
    base::RequestId id;
    std::string key;
    std::string claimId; ///< value to write; shows whose claim was written if the reply is lost
    base::Duration timeout{};
};

/// Abort a partly forwarded response. The connection is closed before the end of the body, so that the caller can detect it.
struct Truncate {
    base::RequestId id;
};

/// Discard a request without a response: its caller has disconnected. No further command follows for it.
struct Discard {
    base::RequestId id;
};

using Command = std::variant<Forward, Reject, Replay, Relay, ClaimKey, Truncate, Discard>;

/// Receives the engine's commands; must not call the engine.
template<typename T>
concept CommandSink = requires(T sink, Command command)
{
    sink(std::move(command));
};

} // namespace trefoilstile::engine
