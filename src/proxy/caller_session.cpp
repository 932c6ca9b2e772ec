// Reads, serves and answers the requests of one caller connection.

#include "trefoilstile/proxy/caller_session.hpp"

#include <algorithm>
#include <exception>
#include <utility>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>

#include "trefoilstile/http/clock.hpp"
#include "trefoilstile/proxy/activity.hpp"

namespace trefoilstile::proxy
{

namespace
{

/// Maximum number of requests of one connection in service at the same time; further ones stay in the socket.
constexpr std::size_t s_maximumPipelined = 16;

/// A caller that accepts no bytes for this long is considered stalled.
constexpr base::Duration s_writeTimeout = std::chrono::seconds(10);

/// While a caller waits to send a body, nothing is read from it. At this interval it is checked whether it has disconnected.
constexpr base::Duration s_turnCheck = std::chrono::milliseconds(100);

} // namespace

CallerSession::CallerSession(EntryCore &core, boost::asio::ip::tcp::socket socket, std::shared_ptr<http::BodyBudget> bodyBudget)
    : m_core(core)
    , m_connection(std::make_shared<http::Connection>(core.context, std::move(socket)))
    , m_bodyBudget(std::move(bodyBudget))
    , m_responseReady(core.context)
    , m_roomForRequest(core.context)
{
    ++m_core.sessions;
}

CallerSession::~CallerSession()
{
    --m_core.sessions;
}

void CallerSession::start()
{
    const auto self = shared_from_this();
    const auto end = [self]() {
        self->handleDisconnect();
    };
    spawnOnce(
        m_core,
        "read_requests",
        [self]() {
            return self->readRequests();
        },
        end);
    spawnOnce(
        m_core,
        "write_responses",
        [self]() {
            return self->writeResponses();
        },
        end);
}

void CallerSession::closeIfIdle()
{
    if (m_pending.empty() && !m_readingBody && m_connection->quiet()) {
        // Ends the wait for a request. If input has already been read from the socket, that request is still served.
        m_connection->cancelRead();
    }
}

void CallerSession::handleDisconnect()
{
    m_ended = true;
    m_reading = false;
    for (const auto &pending : m_pending) {
        if (pending->exchange) {
            pending->exchange->cancel();
        }
    }
    m_connection->close();
    m_responseReady.cancel();
}

http::RequestLimits CallerSession::requestLimits() const
{
    base::Duration longestTimeout{}; // added to the limits, because a connection with requests in service is not idle
    for (const ingress::Route &route : m_core.configuration.routes) {
        longestTimeout = std::max(longestTimeout, route.timeout);
    }
    const ingress::CallerLimits &limits = m_core.configuration.limits;
    return {limits.bodyBytes, limits.idleTimeout + longestTimeout, limits.headTimeout + longestTimeout};
}

boost::asio::awaitable<void> CallerSession::readRequests()
{
    const auto self = shared_from_this();
    const http::AwaitTurn turn = [this]() {
        return awaitTurn();
    };
    while (m_reading) {
        if (m_pending.size() >= s_maximumPipelined) {
            http::ErrorCode ignored; // cancelled after a response has been written
            m_roomForRequest.expires_after(s_writeTimeout);
            co_await m_roomForRequest.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
            continue;
        }
        http::RequestReader reader(m_connection, requestLimits());
        http::Request request;
        http::BodyShare share(m_bodyBudget);
        http::ReadOutcome outcome = co_await reader.readHead(request);
        const bool keepAlive = request.keepAlive;
        std::shared_ptr<Exchange> exchange;
        if (outcome.complete() && !m_ended && m_reading) {
            m_readingBody = true;
            exchange = std::make_shared<Exchange>(m_core, std::move(request), http::now());
            if (reader.largeBody() && m_core.configuration.expectsLargeBodies()) {
                std::optional<CallerResponse> refusal = refuseAtHead(*exchange, std::max(reader.declaredLength(), http::s_smallBody + 1));
                if (!refusal && !share.growTo(reader.declaredLength())) {
                    refusal = localResponse(503);
                    logRejection(503, "no memory for the body");
                }
                if (refusal) {
                    co_await answerAndDiscard(reader, std::move(*refusal), keepAlive);
                    continue;
                }
            }
            if (reader.largeBody() || reader.declaredLength() > 0) {
                std::string body;
                outcome = co_await reader.readBody(body, share, turn);
                exchange->bodyArrived(std::move(body), http::now());
            }
            m_readingBody = false;
        }
        if (m_ended) {
            break;
        }
        if (outcome.closed && m_reading) {
            handleDisconnect();
            break;
        }
        if (!m_reading) {
            break; // arrived after a response that closes the connection was started: treated as not received, and not forwarded
        }
        if (outcome.rejectStatus != 0) {
            reject(outcome.rejectStatus);
            break;
        }
        const auto pending = std::make_shared<Pending>();
        pending->bodyShare = std::move(share);
        pending->closeAfter = !keepAlive;
        m_reading = keepAlive;
        m_pending.push_back(pending);
        pending->exchange = std::move(exchange);
        spawnOnce(
            m_core,
            "request",
            [self, pending]() {
                return self->serve(pending);
            },
            [self, pending]() {
                pending->exchange->cancel();
                pending->response = localResponse(502); // the request may have run
                self->m_responseReady.cancel();
            });
    }
    while (!m_ended && m_connection->socket.is_open()) {
        // No further requests are accepted; input is read and discarded only to detect that the caller disconnects.
        m_connection->input.consume(m_connection->input.size());
        const http::ErrorCode error = co_await m_connection->readSome();
        if (error && !m_ended) {
            handleDisconnect();
        }
    }
}

std::optional<CallerResponse> CallerSession::refuseAtHead(Exchange &exchange, std::uint64_t bodyBytes)
{
    try {
        return exchange.refuseAtHead(bodyBytes);
    } catch (...) {
        logActivityFailure(m_core, "request_head", describe(std::current_exception()));
        return localResponse(503); // nothing of the request has been sent
    }
}

boost::asio::awaitable<void> CallerSession::answerAndDiscard(http::RequestReader &reader, CallerResponse response, bool keepAlive)
{
    // A caller that waits for an interim response may leave out the body, so it is unknown what its next bytes would be. A caller that
    // has begun to send the body goes on with it.
    const bool mayOmitBody = reader.awaitsContinue();
    const auto pending = std::make_shared<Pending>();
    pending->response = std::move(response);
    pending->closeAfter = !keepAlive || mayOmitBody;
    m_reading = !pending->closeAfter;
    m_pending.push_back(pending);
    m_responseReady.cancel();
    m_readingBody = !mayOmitBody;
    if (mayOmitBody) {
        m_connection->readDeadline.clear();
        co_return;
    }
    m_discarding = true;
    const http::ReadOutcome outcome = co_await reader.discardBody();
    m_discarding = false;
    m_readingBody = false;
    m_responseReady.cancel();
    if (m_ended) {
        co_return;
    }
    if (outcome.closed) {
        handleDisconnect();
    } else if (outcome.rejectStatus != 0) {
        // The request has its response already; where the next one begins is unknown.
        logRejection(outcome.rejectStatus, "malformed or over a limit, in a body that is discarded");
        m_reading = false;
        m_closeAfterLast = true;
    } else if (m_core.stop.begun() && m_pending.empty() && m_connection->quiet()) {
        m_reading = false; // `closeIfIdle` has spared the connection
        m_closeAfterLast = true;
    }
}

void CallerSession::reject(std::uint16_t status)
{
    const auto pending = std::make_shared<Pending>();
    pending->closeAfter = true;
    pending->response = localResponse(status);
    m_reading = false;
    m_pending.push_back(pending);
    logRejection(status, "malformed or over a limit");
    m_responseReady.cancel();
}

void CallerSession::logRejection(std::uint16_t status, std::string_view why)
{
    LogLine line("request_rejected");
    line.number("status", status).text("why", why);
    m_core.log.write(line, http::now());
}

boost::asio::awaitable<bool> CallerSession::awaitTurn()
{
    while (!m_ended && m_reading && !m_pending.empty()) {
        http::ErrorCode ignored; // cancelled after a response has been written
        m_roomForRequest.expires_after(s_turnCheck);
        co_await m_roomForRequest.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
        if (!m_ended && m_connection->peerClosed()) {
            co_return false;
        }
    }
    co_return !m_ended && m_reading;
}

boost::asio::awaitable<void> CallerSession::serve(std::shared_ptr<Pending> pending)
{
    const auto self = shared_from_this();
    pending->response = co_await pending->exchange->run();
    m_responseReady.cancel();
}

boost::asio::awaitable<void> CallerSession::writeResponses()
{
    const auto self = shared_from_this();
    while (!m_ended) {
        if (m_pending.empty() || !m_pending.front()->response) {
            if (m_pending.empty() && !m_connection->socket.is_open()) {
                break;
            }
            if (m_pending.empty() && m_closeAfterLast) {
                m_ended = true;
                co_await m_connection->lingeringClose();
                break;
            }
            http::ErrorCode ignored; // cancelled when a response is ready or the connection ends
            m_responseReady.expires_at(std::chrono::steady_clock::time_point::max());
            co_await m_responseReady.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
            continue;
        }
        const std::shared_ptr<Pending> pending = m_pending.front();
        CallerResponse &response = *pending->response;
        // Requests after a response that closes the connection are treated as not received, so only the response to the last
        // request may close it while the instance stops.
        const bool last = m_pending.size() == 1 && (m_discarding || m_closeAfterLast || m_connection->input.size() == 0);
        const bool close = pending->closeAfter || ((m_core.stop.begun() || m_closeAfterLast) && last);
        if (close) {
            m_reading = false;
        }
        std::string head = fmt::format("HTTP/1.1 {} {}\r\n", response.status, response.reason);
        http::appendFields(head, response.headers);
        if (response.status != 204 && response.status != 304) {
            http::appendField(head, "Content-Length", std::to_string(response.body.size()));
        }
        if (close) {
            http::appendField(head, "Connection", "close");
        }
        head += "\r\n";
        std::vector<boost::asio::const_buffer> buffers;
        buffers.push_back(boost::asio::buffer(head));
        buffers.push_back(boost::asio::buffer(response.body));
        std::uint64_t written = 0;
        const http::ErrorCode error = co_await m_connection->write(std::move(buffers), s_writeTimeout, written);
        if (error) {
            handleDisconnect();
            break;
        }
        if (m_ended) {
            break;
        }
        m_pending.pop_front();
        m_roomForRequest.cancel();
        if (close) {
            for (const auto &unanswered : m_pending) {
                if (unanswered->exchange) {
                    unanswered->exchange->cancel();
                }
            }
            while (m_discarding && !m_ended) { // a caller may read its response only after it has sent the whole body
                http::ErrorCode ignored; // cancelled when the body has been discarded
                m_responseReady.expires_at(std::chrono::steady_clock::time_point::max());
                co_await m_responseReady.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
            }
            m_ended = true;
            co_await m_connection->lingeringClose();
            break;
        }
    }
}

} // namespace trefoilstile::proxy
