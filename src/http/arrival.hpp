// What the engine is told of a request.
#pragma once

#include <optional>

#include "trefoilstile/engine/command.hpp"
#include "trefoilstile/engine/event.hpp"
#include "trefoilstile/http/message.hpp"

namespace trefoilstile::http
{

/// Header with the caller's number of this attempt with the key, from 0.
inline constexpr const char *s_repeatHeader = "Trefoilstile-Repeat";

/// The event for a request, without its id; nothing if one of the fields it is made from is malformed or repeated.
std::optional<engine::RequestArrived> describe(const Request &request, const base::IpAddress &peer);

/// What can be said of a request that is rejected before the engine sees it. An earlier attempt with the same key may have
/// run, so `not-run` is told only if the head was read and has no key, or the caller numbers it as its first attempt.
engine::Outcome outcomeBeforeEngine(const Request &request);

} // namespace trefoilstile::http
