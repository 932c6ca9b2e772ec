// State machine of one keyed request. The table changes a record only through `checkTransition`.
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

/// What is known about a key.
enum class KeyState : std::uint8_t {
    NotRun, ///< proved: never ran; a repeat may run
    Claiming, ///< the claim of a caller-generated key is under way
    Queued, ///< one request may be sent; nothing has been sent
    Sent, ///< from now on it may have run
    Completed, ///< ran; the response is stored
    Unknown, ///< may have run, and nothing is stored; never runs again
};

std::string_view toString(KeyState state);

/// True for states in which one request holds the key.
constexpr bool inProgress(KeyState state)
{
    return state == KeyState::Claiming || state == KeyState::Queued || state == KeyState::Sent;
}

/// True if the state machine has the transition. `Completed` and `Unknown` are final. `Queued` leads to `Sent` or to
/// `NotRun` but `Sent` leads back only by proof of the upstream, so the sender and the expiry of the queue cannot both
/// win: whichever comes second finds a state from which its transition does not exist.
bool hasTransition(KeyState from, KeyState to);

/// Throws `Error` unless the state machine has the transition.
void checkTransition(KeyState from, KeyState to, std::string_view key);

/// A request that waits for the outcome of the one in progress.
struct Waiter {
    base::RequestId id;
    std::optional<std::uint32_t> repeat;
};

/// Everything that is kept about one key.
struct KeyRecord {
    KeyState state = KeyState::NotRun;
    Fingerprint fingerprint{};
    base::RequestId holder{}; ///< the request that may run; valid while in progress
    std::optional<std::uint32_t> holderRepeat{};
    std::optional<std::uint32_t> refusedUpTo{}; ///< highest repeat number that was told not-run
    std::uint64_t claim{}; ///< number of the claim ID; 0 for issued keys
    bool claimWon = false; ///< the claim is ours; a repeat after not-run needs no second one
    StoredResponsePointer response{}; ///< set in `Completed`
    std::vector<Waiter> waiters{}; ///< in order of arrival; empty unless in progress
};

} // namespace trefoilstile::idempotency
