// Query strings of request targets.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace trefoilstile::http
{

/// Value of the first parameter with that name in `a=1&b=2`, percent-decoded; nothing if it is absent or malformed.
std::optional<std::string> queryParameter(std::string_view query, std::string_view name);

} // namespace trefoilstile::http
