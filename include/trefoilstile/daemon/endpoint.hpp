// `IP:port` texts to and from Asio addresses.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include <boost/asio/ip/address.hpp>

namespace trefoilstile::daemon
{

/// @throws base::Error if the text is not an IP address and a port
std::pair<boost::asio::ip::address, std::uint16_t> parseEndpoint(std::string_view text);

std::string formatEndpoint(const boost::asio::ip::address &address, std::uint16_t port);

} // namespace trefoilstile::daemon
