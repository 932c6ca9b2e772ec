// What the engine wants done.
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
    bool freshConnection = false; ///< set for requests that are not idempotent: an idle connection would make the outcome ambiguous
    bool keepResponse = false; ///< the response is wanted in `AttemptEnded::response`
    bool resume = false; ///< ask only for the rest of a body that broke, with `Range` and `If-Match`
    base::Duration connectTimeout{};
    base::Duration firstByteTimeout{}; ///< from the command to the first byte of the response
    base::Duration idleTimeout{}; ///< between bytes of the body
    std::string remoteRegion; ///< region of the upstream if it is not this instance's own; bytes are then counted against the shift cap
};

/// What is known about a rejected request.
enum class Outcome : std::uint8_t {
    NotRun, ///< proved: the request did not run and will not
    Unknown, ///< it may have run
};

/// Why a request was rejected; for logs and metrics.
enum class RejectReason : std::uint8_t {
    NotReady, ///< no document is in effect
    NoRoute,
    QueueFull,
    DeadlineTooShort, ///< the request could not have been served in time
    DeadlinePassed,
    NoUpstream, ///< no upstream may take it, within caps and capacity
    ShiftCap,
    RetriesExhausted,
    UpstreamFailed,
    IssuerUnreachable, ///< the key belongs to another instance that could not be asked
    ClaimUnavailable, ///< the store could not be asked about a caller-generated key
    ClaimTaken,
    OutcomeLost, ///< an earlier request with the key may have run and its response is not held
    KeyMismatch, ///< the key was used for another request
    KeyInvalid,
    PathNotCanonical, ///< the path has a second reading, see `routing::isCanonicalPath`
    Stopping, ///< the key table is sealed
    RecordsFull, ///< the key table has no room
    CallerDisconnected,
};

/// Name of the reason as it stands in metrics.
std::string_view toString(RejectReason reason);

/// Respond to the caller with a rejection; no part of a response has been passed on yet.
struct Reject {
    base::RequestId id;
    std::uint16_t status = 503; ///< HTTP status
    Outcome outcome = Outcome::Unknown;
    RejectReason reason = RejectReason::NoUpstream;
    base::Duration retryAfter{}; ///< jittered; 0 if a retry has no use
    std::string service; ///< empty if no route matched
    base::PriorityClass priorityClass = base::PriorityClass::Interactive;
};

/// Respond to the caller with the kept response of an earlier request with the same key.
struct Replay {
    base::RequestId id;
    std::shared_ptr<const StoredResponse> response;
};

/// Pass the request to the entry instance that issued its key. The embedder replies with one `RelayEnded`.
struct Relay {
    base::RequestId id;
    std::string address; ///< caller address of the issuer
    base::Duration timeout{};
};

/// Claim a caller-generated key in the table service. The embedder replies with one `ClaimEnded`.
struct ClaimKey {
    base::RequestId id;
    std::string key;
    std::string claimId; ///< value to write; a lost reply is resolved by it
    base::Duration timeout{};
};

/// End a response that is only partly passed on, visibly: the connection is closed without a proper end of the body.
struct Truncate {
    base::RequestId id;
};

/// Discard a request: its caller is gone and nothing more will be asked for it.
struct Discard {
    base::RequestId id;
};

using Command = std::variant<Forward, Reject, Replay, Relay, ClaimKey, Truncate, Discard>;

/// Takes the engine's commands; may not call the engine back.
template<typename T>
concept CommandSink = requires(T sink, Command command)
{
    sink(std::move(command));
};

} // namespace trefoilstile::engine
