// One request to an upstream or another entry instance: connection, request, response. Knows nothing of callers.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "connection_pool.hpp"
#include "trefoilstile/http/response_reader.hpp"

namespace trefoilstile::http
{

/// Link that the body bytes of a call are paced on; an empty region means no pacing.
struct PacedLink {
    std::string region;
    base::PriorityClass priorityClass = base::PriorityClass::Interactive;
};

class UpstreamCall
{
public:
    UpstreamCall(std::shared_ptr<ConnectionPool> pool, std::string address, PacedLink link);
    UpstreamCall(const UpstreamCall &) = delete;
    UpstreamCall &operator=(const UpstreamCall &) = delete;
    ~UpstreamCall();

    /// Takes an idle connection unless `fresh`, else connects. False if there is no connection; nothing was sent then.
    asio::awaitable<bool> open(bool fresh, base::Duration timeout);

    /// Sets the time from now by which the head of the response must be there.
    void expectHeadWithin(base::Duration timeout);

    /// Sends head and body. False on failure; the response may be readable all the same if the upstream responded early.
    asio::awaitable<bool> send(std::string_view head, std::string_view body);

    /// False on failure; see `timedOut`.
    asio::awaitable<bool> readHead(bool toHeadRequest, ResponseHead &head);

    /// Waits at most `idle` for bytes.
    asio::awaitable<BodyRead> readBody(std::span<char> buffer, std::size_t &count, base::Duration idle);

    /// Waits until `bytes` may cross the link. False if cancelled, or not allowed within `limit`.
    asio::awaitable<bool> pace(std::uint64_t bytes, base::Duration limit);

    /// Puts the connection back into the pool if the response ended cleanly, else closes it. Ends the call.
    void finish();

    /// Closes the connection; pending operations fail.
    void cancel();

    /// True if a byte of the request was handed to the network; exact once `send` has returned.
    bool sentAnything() const
    {
        return m_sentBytes > 0;
    }
    /// True from the first attempt to hand a byte to the network.
    bool sendStarted() const
    {
        return m_sendStarted;
    }
    /// Body bytes moved both ways.
    std::uint64_t bodyBytes() const
    {
        return m_bodyBytes;
    }
    bool timedOut() const
    {
        return m_connection && m_connection->readDeadline.expired();
    }

private:
    std::shared_ptr<ConnectionPool> m_pool;
    std::string m_address;
    PacedLink m_link;
    std::shared_ptr<Connection> m_connection;
    std::optional<ResponseReader> m_reader;
    asio::steady_timer m_pause;
    std::uint64_t m_sentBytes{};
    std::uint64_t m_bodyBytes{};
    bool m_sendStarted = false;
    bool m_sendFailed = false; ///< the connection is out of step and must not be reused
    bool m_cancelled = false;
};

} // namespace trefoilstile::http
