// Record and state machine of one idempotency key. `KeyTable` checks every transition before it changes a record.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "trefoilstile/base/ids.hpp"
#include "trefoilstile/idempotency/issued_key.hpp"
#include "trefoilstile/idempotency/stored_response.hpp"

namespace trefoilstile::idempotency
{

/// State of a key.
enum class KeyState : std::uint8_t {
    NotRun, ///< proved not to have run; a repeat may run
    Claiming, ///< the claim of a caller-generated key is in progress
    Queued, ///< one request may be sent; no attempt so far has run
    Sent, ///< a request was sent and may have run
    Completed, ///< ran; the response is stored
    Unknown, ///< may have run, no response is stored; never runs again
};

std::string_view toString(KeyState state);

/// True for the states in which one request holds the key.
constexpr bool inProgress(KeyState state)
{
    return state == KeyState::Claiming || state == KeyState::Queued || state == KeyState::Sent;
}

/// True if the state machine has the transition. `Completed` and `Unknown` are final. `Queued` leads to `Sent` or
/// `NotRun`, and `Sent` leads back to them only with proof from the upstream. The sender and the expiry of the queue
/// therefore cannot both succeed: the second one finds a state from which its transition does not exist.
bool hasTransition(KeyState from, KeyState to);

/// Throws `Error` unless the state machine has the transition.
void checkTransition(KeyState from, KeyState to, std::string_view key);

/// Request that waits for the outcome of the request in progress.
struct Waiter {
    base::RequestId id;
    std::optional<std::uint32_t> repeat; ///< attempt number given by the caller, from 0
};

/// Data stored for one key.
struct KeyRecord {
    KeyState state = KeyState::NotRun;
    Fingerprint fingerprint{};
    base::RequestId holder{}; ///< request that may run; valid only while in progress
    std::optional<std::uint32_t> holderRepeat{};
    std::optional<std::uint32_t> refusedUpTo{}; ///< highest attempt number that was answered not-run
    std::uint64_t claim{}; ///< number of the claim ID; 0 for issued keys
    bool claimWon = false; ///< this instance holds the claim; a repeat after not-run needs no second one
    StoredResponsePointer response{}; ///< set in `Completed`
    std::vector<Waiter> waiters{}; ///< in order of arrival; empty unless in progress
};

} // namespace trefoilstile::idempotency
