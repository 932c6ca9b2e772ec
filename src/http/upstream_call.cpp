#include "upstream_call.hpp"

#include <algorithm>
#include <utility>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "trefoilstile/http/error.hpp"

namespace trefoilstile::http
{

namespace
{

// A paced transfer looks this often whether it was cancelled or has become too late.
constexpr base::Duration s_longestPause = std::chrono::milliseconds(200);

std::optional<tcp::endpoint> endpointOf(const std::string &address)
{
    try {
        return parseEndpoint(address);
    } catch (const Error &) {
        return std::nullopt;
    }
}

} // namespace

UpstreamCall::UpstreamCall(std::shared_ptr<ConnectionPool> pool, std::string address, PacedLink link)
    : m_pool(std::move(pool))
    , m_address(std::move(address))
    , m_link(std::move(link))
    , m_pause(m_pool->context())
{
}

UpstreamCall::~UpstreamCall()
{
    if (m_connection) {
        m_connection->close();
    }
}

asio::awaitable<bool> UpstreamCall::open(bool fresh, base::Duration timeout)
{
    if (m_cancelled) {
        co_return false;
    }
    if (!fresh) {
        m_connection = m_pool->takeIdle(m_address);
        if (m_connection) {
            co_return true;
        }
    }
    const auto endpoint = endpointOf(m_address);
    if (!endpoint) {
        co_return false;
    }
    m_connection = m_pool->create();
    if (!m_connection) {
        co_return false;
    }
    m_connection->readDeadline.set(timeout);
    const ErrorCode error = co_await m_connection->connect(*endpoint);
    m_connection->readDeadline.clear();
    co_return !error && !m_cancelled;
}

void UpstreamCall::expectHeadWithin(base::Duration timeout)
{
    m_connection->readDeadline.set(timeout);
}

asio::awaitable<bool> UpstreamCall::send(std::string_view head, std::string_view body)
{
    std::size_t position = 0;
    do {
        const std::string_view piece = body.substr(position, s_bodyChunk);
        // The deadline for the response head closes the connection and so bounds the pacing.
        if (!co_await pace(piece.size(), std::chrono::hours(1))) {
            m_sendFailed = true;
            co_return false;
        }
        std::vector<asio::const_buffer> buffers;
        if (position == 0) {
            buffers.emplace_back(head.data(), head.size());
        }
        buffers.emplace_back(piece.data(), piece.size());
        m_sendStarted = true;
        const ErrorCode error = co_await m_connection->write(std::move(buffers), base::Duration::zero(), m_sentBytes);
        if (error) {
            m_sendFailed = true;
            co_return false;
        }
        m_bodyBytes += piece.size();
        position += piece.size();
    } while (position < body.size());
    co_return true;
}

asio::awaitable<bool> UpstreamCall::readHead(bool toHeadRequest, ResponseHead &head)
{
    m_reader.emplace(m_connection, toHeadRequest);
    const bool read = co_await m_reader->readHead(head);
    m_connection->readDeadline.clear();
    co_return read && !m_cancelled;
}

asio::awaitable<BodyRead> UpstreamCall::readBody(std::span<char> buffer, std::size_t &count, base::Duration idle)
{
    m_connection->readDeadline.set(idle);
    const BodyRead result = co_await m_reader->readBody(buffer, count);
    m_connection->readDeadline.clear();
    m_bodyBytes += count;
    co_return m_cancelled ? BodyRead::Failed : result;
}

asio::awaitable<bool> UpstreamCall::pace(std::uint64_t bytes, base::Duration limit)
{
    const auto &pacer = m_pool->options().pacer;
    if (m_link.region.empty() || !pacer || bytes == 0) {
        co_return !m_cancelled;
    }
    base::Duration waited{};
    while (!m_cancelled && !timedOut() && waited <= limit) {
        const base::Duration wait = pacer(m_link.region, bytes, m_link.priorityClass);
        if (wait <= base::Duration::zero()) {
            co_return true;
        }
        const base::Duration pause = std::min(wait, s_longestPause);
        ErrorCode ignored;
        m_pause.expires_after(pause);
        co_await m_pause.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        waited += pause;
    }
    co_return false;
}

void UpstreamCall::finish()
{
    if (!m_connection) {
        return;
    }
    if (!m_cancelled && !m_sendFailed && !timedOut() && m_reader && m_reader->reusable()) {
        m_pool->putBack(m_address, std::move(m_connection));
    } else {
        m_connection->close();
    }
    m_connection.reset();
    m_reader.reset();
}

void UpstreamCall::cancel()
{
    m_cancelled = true;
    m_pause.cancel();
    if (m_connection) {
        m_connection->close();
    }
}

} // namespace trefoilstile::http
