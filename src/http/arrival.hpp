// What the engine is told of a request.
#pragma once

#include <optional>

#include "message.hpp"
#include "trefoilstile/engine/event.hpp"

namespace trefoilstile::http
{

/// The event for a request, without its id; nothing if one of the fields it is made from is malformed or repeated.
std::optional<engine::RequestArrived> describe(const Request &request, const base::IpAddress &peer);

} // namespace trefoilstile::http
