// One TCP connection with deadlines; used towards callers and upstreams.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include "trefoilstile/base/time.hpp"

namespace trefoilstile::http
{

namespace asio = boost::asio;
using asio::ip::tcp;
using ErrorCode = boost::system::error_code;

class Connection;

/// Greatest size of a request or response head. 16 KiB holds the cookies and tokens of usual callers.
inline constexpr std::size_t s_headLimit = 16U * 1024U;

/// Unread input held for one connection: a head and as much of what follows it.
inline constexpr std::size_t s_inputLimit = 2 * s_headLimit;

/// Size of the buffer in which a body is passed on.
inline constexpr std::size_t s_bodyChunk = 16U * 1024U;

/// Closes the connection when it is not moved or cleared in time. Moving it forward costs no timer operation: the
/// pending wait finds the new time when it ends.
class Deadline
{
public:
    Deadline(asio::io_context &context, Connection &connection);

    void set(base::Duration fromNow);
    void clear();

    /// True once the connection has been closed by this deadline.
    bool expired() const
    {
        return m_expired;
    }

private:
    using Clock = std::chrono::steady_clock;
    void wait(Clock::time_point until);

    Connection &m_connection;
    asio::steady_timer m_timer;
    Clock::time_point m_expiry = Clock::time_point::max();
    Clock::time_point m_waitsUntil = Clock::time_point::max(); ///< max: no wait is pending
    bool m_expired = false;
};

class Connection : public std::enable_shared_from_this<Connection>
{
public:
    explicit Connection(asio::io_context &context);
    Connection(asio::io_context &context, tcp::socket accepted);

    /// Connects; `readDeadline` bounds the time.
    asio::awaitable<ErrorCode> connect(tcp::endpoint endpoint);

    /// Appends what arrives next to `input`; `no_buffer_space` if `input` is full.
    asio::awaitable<ErrorCode> readSome();

    /// Writes everything; each step of progress moves `writeDeadline` if `idle` is not zero. `written` grows with each
    /// step, so that it is exact after an error too.
    asio::awaitable<ErrorCode> write(std::vector<asio::const_buffer> buffers, base::Duration idle, std::uint64_t &written);

    /// As above, for one text.
    asio::awaitable<ErrorCode> write(std::string_view text, base::Duration idle);

    /// Ends the sending side and discards input for a short time, so that the peer reads the response before it sees a
    /// reset for what it sent after it.
    asio::awaitable<void> lingeringClose();

    void close();

    /// Ends a pending read with an error, unless it has taken input already. Requires that no write is pending.
    void cancelRead();

    /// Closes so that the peer sees a reset, never a clean end.
    void reset();

    /// True if the peer has closed its sending side or the connection has failed, even if unread input is pending.
    bool peerClosed();

    /// True if nothing is pending on an idle connection: neither input nor an end.
    bool quiet();

    tcp::socket socket;
    boost::beast::flat_buffer input; ///< read and not yet parsed
    Deadline readDeadline; ///< for connecting and reading
    Deadline writeDeadline;
    std::shared_ptr<void> countToken; ///< keeps the connection counted while it exists
};

/// Endpoint read from `IP:port` or `[IP]:port`. Throws `Error` if the text is malformed.
tcp::endpoint parseEndpoint(std::string_view text);

std::string toString(const tcp::endpoint &endpoint);

} // namespace trefoilstile::http
