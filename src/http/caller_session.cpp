#include "caller_session.hpp"

#include <algorithm>
#include <array>
#include <utility>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>

#include "arrival.hpp"
#include "server_core.hpp"
#include "trefoilstile/http/query.hpp"

namespace trefoilstile::http
{

namespace
{

constexpr std::string_view s_lookupPath = "/v1/entries";
const std::string s_noBody;

// While pipelined requests fill the input buffer, a disconnect can only be seen by looking at the socket's state.
constexpr base::Duration s_lookPeriod = std::chrono::milliseconds(250);

bool hasNoBody(const Request &request, std::uint16_t status)
{
    return request.method == "HEAD" || status == 204 || status == 304;
}

} // namespace

CallerSession::CallerSession(std::shared_ptr<ServerCore> core, std::shared_ptr<Connection> connection, base::IpAddress peer)
    : m_core(std::move(core))
    , m_connection(std::move(connection))
    , m_peer(peer)
    , m_pause(m_core->context)
{
}

CallerSession::~CallerSession()
{
    m_core->sessionEnded(this);
}

asio::awaitable<void> CallerSession::run()
{
    const auto self = shared_from_this();
    bool more = true;
    while (more) {
        more = co_await serveOne();
    }
    if (!m_gone) {
        co_await m_connection->lingeringClose();
    }
    m_connection->close();
    m_core->sessionEnded(this);
}

asio::awaitable<bool> CallerSession::serveOne()
{
    if (!co_await waitForInput()) {
        co_return false;
    }
    m_finished = false;
    m_closeAfter = false;
    Request request;
    BodyShare share(m_core->bodyBudget);
    const RequestLimits limits{m_core->options.bodyLimit, m_core->options.headTimeout, m_core->options.bodyTimeout};
    const ReadOutcome outcome = co_await readRequest(m_connection, limits, request, share);
    if (outcome.closed) {
        co_return false;
    }
    if (outcome.rejectStatus != 0) {
        m_closeAfter = true;
        const base::Duration retryAfter = std::chrono::seconds(outcome.rejectStatus == 503 ? 1 : 0);
        const ResponseHead head = rejectionHead(outcome.rejectStatus, outcomeBeforeEngine(request), retryAfter);
        co_await respond(request, head, s_noBody, m_core->options.writeTimeout);
        co_return false;
    }
    const std::string_view target = request.target;
    if (request.method == "GET" && target.substr(0, target.find('?')) == s_lookupPath) {
        co_return co_await serveLookup(request);
    }
    co_return co_await serveRouted(request, share);
}

asio::awaitable<bool> CallerSession::waitForInput()
{
    if (m_connection->input.size() > 0) {
        co_return true;
    }
    if (!m_core->accepting) {
        co_return false;
    }
    m_connection->input.shrink_to_fit();
    m_connection->readDeadline.set(m_core->options.idleTimeout);
    m_idle = true;
    const ErrorCode error = co_await m_connection->readSome();
    m_idle = false;
    co_return !error;
}

asio::awaitable<bool> CallerSession::serveLookup(const Request &request)
{
    const std::string_view target = request.target;
    const std::string_view query = target.substr(std::min(target.find('?'), target.size() - 1) + 1);
    LookupRequest lookup;
    lookup.service = queryParameter(query, "service").value_or("");
    const auto client = queryParameter(query, "client");
    const auto address = client ? base::parseIpAddress(*client) : std::optional(m_peer);
    LookupResponse response;
    if (lookup.service.empty() || !address) {
        response.status = 400;
        response.body = R"({"error":"service must be given, and client must be an IP address"})";
    } else {
        lookup.client = *address;
        response = m_core->handlers.lookup(lookup);
    }
    ResponseHead head;
    if (response.status == 200) {
        head.status = 200;
        head.reason = "OK";
    } else {
        head = rejectionHead(response.status, engine::Outcome::NotRun, response.retryAfter);
    }
    head.headers.push_back({"Content-Type", "application/json"});
    co_return co_await respond(request, head, response.body, m_core->options.writeTimeout) && !m_closeAfter;
}

asio::awaitable<bool> CallerSession::serveRouted(Request &request, BodyShare &share)
{
    auto arrived = describe(request, m_peer);
    if (!arrived) {
        m_closeAfter = true;
        const ResponseHead head = rejectionHead(400, outcomeBeforeEngine(request), {});
        co_await respond(request, head, s_noBody, m_core->options.writeTimeout);
        co_return false;
    }
    if (m_core->exchanges.size() >= m_core->options.maximumRequests) {
        const ResponseHead head = rejectionHead(503, outcomeBeforeEngine(request), std::chrono::seconds(1));
        co_return co_await respond(request, head, s_noBody, m_core->options.writeTimeout) && !m_closeAfter;
    }
    const auto exchange = m_core->admit(std::move(request), std::move(share));
    exchange->caller = shared_from_this();
    m_exchange = exchange;
    arrived->id = exchange->id;
    m_core->handlers.event(std::move(*arrived));
    co_await watch();
    co_return !m_gone && !m_closeAfter;
}

asio::awaitable<void> CallerSession::watch()
{
    while (!m_finished && !m_gone) {
        ErrorCode error = co_await m_connection->readSome();
        if (error == asio::error::no_buffer_space) {
            m_pause.expires_after(s_lookPeriod);
            co_await m_pause.async_wait(asio::redirect_error(asio::use_awaitable, error));
            error = m_connection->peerClosed() ? ErrorCode(asio::error::eof) : ErrorCode();
        }
        if (error && !m_finished && !m_gone) {
            lost();
        }
    }
}

void CallerSession::lost()
{
    m_gone = true;
    m_connection->close();
    if (const auto exchange = m_exchange.lock()) {
        m_exchange.reset();
        m_core->callerLost(exchange);
    }
}

void CallerSession::finish()
{
    m_finished = true;
    m_exchange.reset();
    // Ends the read of `watch`; what it has read by now stays in the input.
    ErrorCode ignored;
    m_connection->socket.cancel(ignored);
    m_pause.cancel();
}

void CallerSession::truncate()
{
    m_gone = true;
    m_exchange.reset();
    m_pause.cancel();
    if (m_framing == Framing::UntilClose) {
        m_connection->reset();
    } else {
        m_connection->close();
    }
}

void CallerSession::closeIfIdle()
{
    if (m_idle) {
        m_connection->close();
    }
}

std::string CallerSession::headText(const Request &request, ResponseHead head)
{
    m_closeAfter = m_closeAfter || !request.keepAlive || m_core->stopping;
    removeHopByHop(head.headers);
    std::string text = fmt::format("HTTP/1.1 {} {}\r\n", head.status, head.reason);
    appendFields(text, head.headers);
    if (head.contentLength && head.status != 204) {
        appendField(text, "Content-Length", std::to_string(*head.contentLength));
    }
    if (hasNoBody(request, head.status)) {
        m_framing = Framing::None;
    } else if (head.contentLength) {
        m_framing = Framing::Length;
    } else if (request.http11) {
        m_framing = Framing::Chunked;
        appendField(text, "Transfer-Encoding", "chunked");
    } else {
        m_framing = Framing::UntilClose;
        m_closeAfter = true;
    }
    if (m_closeAfter) {
        appendField(text, "Connection", "close");
    }
    text += "\r\n";
    return text;
}

asio::awaitable<bool> CallerSession::send(std::vector<asio::const_buffer> buffers, base::Duration idle)
{
    if (m_gone) {
        co_return false;
    }
    const auto self = shared_from_this();
    std::uint64_t written = 0;
    const ErrorCode error = co_await m_connection->write(std::move(buffers), idle, written);
    if (error && !m_gone) {
        lost();
    }
    co_return !m_gone;
}

asio::awaitable<bool> CallerSession::sendHead(const Request &request, const ResponseHead &head, base::Duration idle)
{
    const std::string text = headText(request, head);
    std::vector<asio::const_buffer> buffers(1, asio::buffer(text));
    co_return co_await send(std::move(buffers), idle);
}

asio::awaitable<bool> CallerSession::sendBody(std::span<const char> bytes, base::Duration idle)
{
    if (bytes.empty() || m_framing == Framing::None) {
        co_return !m_gone;
    }
    const bool chunked = m_framing == Framing::Chunked;
    const std::string size = chunked ? fmt::format("{:x}\r\n", bytes.size()) : std::string();
    std::vector<asio::const_buffer> buffers;
    buffers.emplace_back(size.data(), size.size());
    buffers.emplace_back(bytes.data(), bytes.size());
    buffers.emplace_back("\r\n", chunked ? 2 : 0);
    co_return co_await send(std::move(buffers), idle);
}

asio::awaitable<bool> CallerSession::sendEnd(base::Duration idle)
{
    if (m_framing != Framing::Chunked) {
        co_return !m_gone;
    }
    std::vector<asio::const_buffer> buffers;
    buffers.emplace_back("0\r\n\r\n", 5);
    co_return co_await send(std::move(buffers), idle);
}

asio::awaitable<bool> CallerSession::respond(const Request &request, const ResponseHead &head, const std::string &body, base::Duration idle)
{
    ResponseHead sized = head;
    sized.contentLength = body.size();
    const std::string text = headText(request, std::move(sized));
    std::vector<asio::const_buffer> buffers(1, asio::buffer(text));
    if (m_framing == Framing::Length) {
        buffers.emplace_back(body.data(), body.size());
    }
    co_return co_await send(std::move(buffers), idle);
}

} // namespace trefoilstile::http
