// Conversion between `IP:port` strings and Asio addresses.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include <boost/asio/ip/address.hpp>

namespace trefoilstile::daemon
{

/// @throws base::Error if `text` is not an IP address followed by `:` and a port
std::pair<boost::asio::ip::address, std::uint16_t> parseEndpoint(std::string_view text);

std::string formatEndpoint(const boost::asio::ip::address &address, std::uint16_t port);

} // namespace trefoilstile::daemon
