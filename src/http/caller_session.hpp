// One connection of a caller: reads requests one after another and writes their responses in the same order.
//
// No co_await stands in an operand that may be skipped (||, &&, ?:): g++ 12 evaluated it all the same, which ended the
// process when a caller left during a relay.
// Coroutines of this module take no strings, nor types that hold strings, by value: g++ 12 copies such arguments
// bitwise into the frame of the awaiting coroutine, which breaks short strings, since those point into themselves.
#pragma once

#include <cstdint>
#include <memory>
#include <span>
#include <string>

#include "exchange.hpp"
#include "trefoilstile/base/ip.hpp"
#include "trefoilstile/http/caller_server.hpp"
#include "trefoilstile/http/connection.hpp"
#include "trefoilstile/http/message.hpp"

namespace trefoilstile::http
{

class ServerCore;

class CallerSession : public std::enable_shared_from_this<CallerSession>
{
public:
    CallerSession(std::shared_ptr<ServerCore> core, std::shared_ptr<Connection> connection, base::IpAddress peer);
    ~CallerSession();
    CallerSession(const CallerSession &) = delete;
    CallerSession &operator=(const CallerSession &) = delete;

    /// Serves the connection until it ends.
    asio::awaitable<void> run();

    /// Sends the head of a response. These three return false once the caller is gone; `idle` bounds the time without
    /// progress, so that a slow caller cannot hold an upstream for longer.
    asio::awaitable<bool> sendHead(const Request &request, const ResponseHead &head, base::Duration idle);
    asio::awaitable<bool> sendBody(std::span<const char> bytes, base::Duration idle);
    asio::awaitable<bool> sendEnd(base::Duration idle);

    /// Sends a whole response.
    asio::awaitable<bool> respond(const Request &request, const ResponseHead &head, const std::string &body, base::Duration idle);

    /// The response is complete; the next request may be read.
    void finish();

    /// Ends an incomplete response visibly: the connection is closed without the end that the head announced.
    void truncate();

    /// Closes the connection if no request is being read or served.
    void closeIfIdle();

private:
    enum class Framing : std::uint8_t { None, Length, Chunked, UntilClose };

    asio::awaitable<bool> serveOne();
    asio::awaitable<bool> waitForInput();
    asio::awaitable<bool> serveLookup(const Request &request);
    asio::awaitable<bool> serveRouted(Request &request, BodyShare &share);
    asio::awaitable<void> watch();
    asio::awaitable<bool> send(std::vector<asio::const_buffer> buffers, base::Duration idle);
    std::string headText(const Request &request, ResponseHead head);
    void lost();

    std::shared_ptr<ServerCore> m_core;
    std::shared_ptr<Connection> m_connection;
    base::IpAddress m_peer;
    std::weak_ptr<Exchange> m_exchange; ///< the request being served
    asio::steady_timer m_pause; ///< between looks at a connection whose input is full
    Framing m_framing = Framing::None;
    bool m_idle = false; ///< waits for the first byte of a request
    bool m_finished = false; ///< the present response is complete
    bool m_closeAfter = false; ///< the connection ends with the present response
    bool m_gone = false; ///< the caller has disconnected, or the response was truncated
};

} // namespace trefoilstile::http
