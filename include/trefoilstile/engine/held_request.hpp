// A request between its arrival and its end.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "trefoilstile/base/ids.hpp"
#include "trefoilstile/base/ip.hpp"
#include "trefoilstile/base/priority_class.hpp"
#include "trefoilstile/base/time.hpp"
#include "trefoilstile/upstream/upstream_set.hpp"

namespace trefoilstile::engine
{

struct ServiceState;

/// Stage of a held request.
enum class RequestStage : std::uint8_t {
    Arrived, ///< being evaluated
    Waiting, ///< another request with its key is in progress
    Claiming, ///< its key is being claimed in the table service
    Relaying, ///< relayed to the issuer of its key
    Queued, ///< in the scheduler of its service
    Attempting, ///< sent to an upstream
};

/// State of one request in the engine.
struct HeldRequest {
    base::RequestId id;
    RequestStage stage = RequestStage::Arrived;
    ServiceState *service = nullptr; ///< outlives the request
    base::PriorityClass priorityClass = base::PriorityClass::Interactive;
    bool idempotent = false;
    std::string key; ///< empty unless the key table has to be consulted
    std::uint64_t fingerprint{};
    std::optional<std::uint32_t> repeat;
    bool relayed = false;
    base::IpAddress client;
    bool callerDisconnected = false;
    base::TimePoint arrival;
    base::TimePoint deadline; ///< of the first byte of the response; for a resumption, of its start

    std::uint32_t attempts{}; ///< started, resumptions excluded
    std::uint32_t resumptions{};
    bool mayHaveRun = false; ///< an attempt ended without proof that the request did not run
    bool responseStarted = false;
    bool resumable = false; ///< the interrupted response can be resumed
    std::vector<std::size_t> tried; ///< indices of the upstreams of all attempts so far
    base::AttemptId attempt; ///< valid while `Attempting`
    upstream::Choice choice; ///< valid while `Attempting`
    std::string remoteRegion; ///< region of the upstream while `Attempting`, if it is not the own region
    base::TimePoint attemptStart;
};

} // namespace trefoilstile::engine
