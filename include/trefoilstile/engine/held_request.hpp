// A request between its arrival and its end.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "trefoilstile/base/ids.hpp"
#include "trefoilstile/base/priority_class.hpp"
#include "trefoilstile/base/time.hpp"
#include "trefoilstile/upstream/upstream_set.hpp"

namespace trefoilstile::engine
{

struct ServiceState;

/// Where a held request is.
enum class RequestStage : std::uint8_t {
    Arrived, ///< being decided upon
    Waiting, ///< another request with its key is in progress
    Claiming, ///< its key is being claimed in the table service
    Relaying, ///< passed to the issuer of its key
    Queued, ///< in the scheduler of its service
    Attempting, ///< sent to an upstream
};

/// What the engine knows of one request.
struct HeldRequest {
    base::RequestId id;
    RequestStage stage = RequestStage::Arrived;
    ServiceState *service = nullptr; ///< outlives the request
    base::PriorityClass priorityClass = base::PriorityClass::Interactive;
    bool idempotent = false;
    std::string key; ///< empty unless the key table is to be asked
    std::uint64_t fingerprint{};
    std::optional<std::uint32_t> repeat;
    bool relayed = false;
    bool callerGone = false;
    base::TimePoint arrival;
    base::TimePoint deadline; ///< of the first byte of the response; for a resumption, of its start

    std::uint32_t attempts{}; ///< started, resumptions excluded
    std::uint32_t resumptions{};
    bool mayHaveRun = false; ///< an attempt ended without proof that it did not run
    bool responseStarted = false;
    bool resumable = false; ///< the response that broke can be resumed
    std::vector<std::size_t> tried; ///< upstream indices of earlier attempts
    base::AttemptId attempt; ///< valid while `Attempting`
    upstream::Choice choice; ///< valid while `Attempting`
    std::string remote; ///< region of the upstream while `Attempting`, if it is not the own one
    base::TimePoint attemptStart;
};

} // namespace trefoilstile::engine
