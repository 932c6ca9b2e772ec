// Parsing and formatting of `IP:port`.

#include "trefoilstile/daemon/endpoint.hpp"

#include <charconv>

#include <fmt/format.h>

#include "trefoilstile/base/error.hpp"

namespace trefoilstile::daemon
{

std::pair<boost::asio::ip::address, std::uint16_t> parseEndpoint(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    std::uint16_t port = 0;
    if (colon != std::string_view::npos) {
        boost::system::error_code error;
        const auto address = boost::asio::ip::make_address(std::string(text.substr(0, colon)), error);
        const char *end = text.data() + text.size();
        const auto [position, portError] = std::from_chars(text.data() + colon + 1, end, port);
        if (!error && portError == std::errc() && position == end) {
            return {address, port};
        }
    }
    throw base::Error(fmt::format("'{}' is not an IP address and a port", text));
}

std::string formatEndpoint(const boost::asio::ip::address &address, std::uint16_t port)
{
    return fmt::format("{}:{}", address.to_string(), port);
}

} // namespace trefoilstile::daemon
