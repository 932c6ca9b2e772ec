// JSON form of a drain list, which is transferred between peers.
#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "trefoilstile/base/error.hpp"
#include "trefoilstile/engine/event.hpp"

namespace trefoilstile::daemon
{

/// The text is not a valid drain list.
class MalformedDrains : public base::Error
{
public:
    using base::Error::Error;
};

/// JSON array of objects with `kind` and `name`.
std::string drainsToText(std::span<const engine::Drain> drains);

/// @throws MalformedDrains
std::vector<engine::Drain> drainsFromText(std::string_view text);

} // namespace trefoilstile::daemon
