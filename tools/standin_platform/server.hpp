// HTTP/1.1 side of the stand-in platform.
#pragma once

#include <cstdint>
#include <string>

#include "service.hpp"

namespace trefoilstile::standin
{

/// Serves until SIGTERM or SIGINT, after a line `listening IP:port` on standard output.
/// @throws std::exception if the address is malformed or cannot be bound.
void serve(const std::string &address, std::uint16_t port, PlatformService &service);

} // namespace trefoilstile::standin
