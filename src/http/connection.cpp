#include "trefoilstile/http/connection.hpp"

#include <algorithm>
#include <array>
#include <cerrno>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>
#include <poll.h>

#include "trefoilstile/http/error.hpp"
#include "trefoilstile/http/message.hpp"

namespace trefoilstile::http
{

namespace
{

// Bounds what a peer can make this process read after the response, and for how long.
constexpr std::size_t s_lingerBytes = 256U * 1024U;
constexpr base::Duration s_lingerTime = std::chrono::seconds(2);

// First read of a connection; grows with what is pending.
constexpr std::size_t s_firstRead = 2048;

} // namespace

Deadline::Deadline(asio::io_context &context, Connection &connection)
    : m_connection(connection)
    , m_timer(context)
{
}

void Deadline::set(base::Duration fromNow)
{
    // Bounded so that a huge span does not overflow the time point.
    m_expiry = Clock::now() + std::min<base::Duration>(fromNow, std::chrono::hours(24));
    if (m_waitsUntil > m_expiry) {
        wait(m_expiry);
    }
}

void Deadline::clear()
{
    m_expiry = Clock::time_point::max();
}

void Deadline::wait(Clock::time_point until)
{
    m_waitsUntil = until;
    m_timer.expires_at(until);
    m_timer.async_wait([this, weak = m_connection.weak_from_this()](ErrorCode error) {
        const auto connection = weak.lock();
        if (error || !connection) {
            return;
        }
        m_waitsUntil = Clock::time_point::max();
        if (m_expiry <= Clock::now()) {
            m_expired = true;
            connection->close();
        } else if (m_expiry != Clock::time_point::max()) {
            wait(m_expiry);
        }
    });
}

Connection::Connection(asio::io_context &context)
    : Connection(context, tcp::socket(context))
{
}

Connection::Connection(asio::io_context &context, tcp::socket accepted)
    : socket(std::move(accepted))
    , input(s_inputLimit)
    , readDeadline(context, *this)
    , writeDeadline(context, *this)
{
    ErrorCode ignored;
    if (socket.is_open()) {
        socket.set_option(tcp::no_delay(true), ignored);
    }
}

asio::awaitable<ErrorCode> Connection::connect(tcp::endpoint endpoint)
{
    const auto self = shared_from_this();
    ErrorCode error;
    co_await socket.async_connect(endpoint, asio::redirect_error(asio::use_awaitable, error));
    if (!error) {
        ErrorCode ignored;
        socket.set_option(tcp::no_delay(true), ignored);
    }
    co_return error;
}

asio::awaitable<ErrorCode> Connection::readSome()
{
    const auto self = shared_from_this();
    const std::size_t room = input.max_size() - input.size();
    if (room == 0) {
        co_return ErrorCode(asio::error::no_buffer_space);
    }
    ErrorCode error;
    const auto space = input.prepare(std::min(room, std::max(s_firstRead, input.capacity() - input.size())));
    const std::size_t count = co_await socket.async_read_some(space, asio::redirect_error(asio::use_awaitable, error));
    input.commit(count);
    co_return error;
}

asio::awaitable<ErrorCode> Connection::write(std::vector<asio::const_buffer> buffers, base::Duration idle, std::uint64_t &written)
{
    const auto self = shared_from_this();
    ErrorCode error;
    std::size_t first = 0;
    while (first < buffers.size()) {
        if (buffers[first].size() == 0) {
            ++first;
            continue;
        }
        if (idle > base::Duration::zero()) {
            writeDeadline.set(idle);
        }
        const std::size_t count = co_await socket.async_write_some(buffers, asio::redirect_error(asio::use_awaitable, error));
        written += count;
        if (error) {
            break;
        }
        for (std::size_t rest = count; rest > 0;) {
            const std::size_t part = std::min(rest, buffers[first].size());
            buffers[first] += part;
            rest -= part;
            first += buffers[first].size() == 0 ? 1 : 0;
        }
    }
    writeDeadline.clear();
    co_return error;
}

asio::awaitable<ErrorCode> Connection::write(std::string_view text, base::Duration idle)
{
    std::uint64_t written = 0;
    std::vector<asio::const_buffer> buffers(1, asio::buffer(text.data(), text.size()));
    co_return co_await write(std::move(buffers), idle, written);
}

asio::awaitable<void> Connection::lingeringClose()
{
    const auto self = shared_from_this();
    ErrorCode error;
    socket.shutdown(tcp::socket::shutdown_send, error);
    readDeadline.set(s_lingerTime);
    std::array<char, 4096> discarded{};
    for (std::size_t total = 0; !error && total < s_lingerBytes;) {
        total += co_await socket.async_read_some(asio::buffer(discarded), asio::redirect_error(asio::use_awaitable, error));
    }
    close();
}

void Connection::close()
{
    ErrorCode ignored;
    socket.close(ignored);
}

void Connection::cancelRead()
{
    ErrorCode ignored;
    socket.cancel(ignored);
}

void Connection::reset()
{
    ErrorCode ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

bool Connection::peerClosed()
{
    if (!socket.is_open()) {
        return true;
    }
    pollfd state{socket.native_handle(), POLLRDHUP, 0};
    return ::poll(&state, 1, 0) > 0 && (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

bool Connection::quiet()
{
    if (!socket.is_open() || input.size() > 0) {
        return false;
    }
    pollfd state{socket.native_handle(), POLLIN | POLLRDHUP, 0};
    return ::poll(&state, 1, 0) == 0;
}

tcp::endpoint parseEndpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    const auto port = colon == std::string_view::npos ? std::nullopt : parseNumber(text.substr(colon + 1));
    std::string host(text.substr(0, std::min(colon, text.size())));
    if (host.starts_with('[') && host.ends_with(']')) {
        host = host.substr(1, host.size() - 2);
    }
    ErrorCode error;
    const auto address = asio::ip::make_address(host, error);
    if (error || !port || *port > 65535) {
        throw Error(fmt::format("'{}' is not an address of the form IP:port", text));
    }
    return {address, static_cast<std::uint16_t>(*port)};
}

std::string toString(const tcp::endpoint &endpoint)
{
    const bool v4 = endpoint.address().is_v4();
    return fmt::format("{}{}{}:{}", v4 ? "" : "[", endpoint.address().to_string(), v4 ? "" : "]", endpoint.port());
}

} // namespace trefoilstile::http
