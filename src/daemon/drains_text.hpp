// Text form of a drain list, in which peers pass it on.
#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "trefoilstile/base/error.hpp"
#include "trefoilstile/engine/event.hpp"

namespace trefoilstile::daemon
{

/// Text that is no drain list.
class MalformedDrains : public base::Error
{
public:
    using base::Error::Error;
};

/// JSON list of objects with `kind` and `name`.
std::string drainsToText(std::span<const engine::Drain> drains);

/// @throws MalformedDrains
std::vector<engine::Drain> drainsFromText(std::string_view text);

} // namespace trefoilstile::daemon
