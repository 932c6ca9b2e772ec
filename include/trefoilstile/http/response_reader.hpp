// Reads one response from an upstream: the head, then the body in pieces.
#pragma once

#include <cstddef>
#include <memory>
#include <span>

#include "trefoilstile/http/connection.hpp"
#include "trefoilstile/http/message.hpp"

namespace trefoilstile::http
{

enum class BodyRead : std::uint8_t {
    Data,
    End, ///< the body is complete by its own framing
    Failed, ///< the connection ended, failed or timed out before that, or the framing is malformed
};

class ResponseReader
{
public:
    /// `toHead`: the response is to a HEAD request and has no body.
    ResponseReader(std::shared_ptr<Connection> connection, bool toHead);
    ~ResponseReader();
    ResponseReader(const ResponseReader &) = delete;
    ResponseReader &operator=(const ResponseReader &) = delete;

    /// Reads the final head; interim responses are passed over. False on failure.
    asio::awaitable<bool> readHead(ResponseHead &head);

    /// Reads some of the body. `count` is the number of bytes put into `buffer`, which must not be empty.
    asio::awaitable<BodyRead> readBody(std::span<char> buffer, std::size_t &count);

    /// True if the response is complete, the upstream keeps the connection and nothing has arrived after the response.
    bool reusable() const;

private:
    struct State;
    asio::awaitable<bool> readOneHead();

    std::shared_ptr<Connection> m_connection;
    std::unique_ptr<State> m_state;
    bool m_toHead;
};

} // namespace trefoilstile::http
