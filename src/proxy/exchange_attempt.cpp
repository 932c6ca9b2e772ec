// One attempt of a request at an upstream: connection, request head, response.

#include <algorithm>
#include <utility>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>

#include "trefoilstile/http/clock.hpp"
#include "trefoilstile/http/response_reader.hpp"
#include "trefoilstile/proxy/exchange.hpp"

namespace trefoilstile::proxy
{

namespace
{

using ingress::AttemptVerdict;

/// Connecting to a running upstream takes one round trip, at most 70 ms between regions; after a lost packet it would take a
/// second.
constexpr base::Duration s_connectTimeout = std::chrono::milliseconds(500);

/// A connection that ends within this time after it was established, before any response, was not accepted. Resets take one round
/// trip, at most 70 ms between regions.
constexpr base::Duration s_resetAfterConnect = std::chrono::milliseconds(100);

/// Added to the observed time after which a new connection is reset, for the variation of the path.
constexpr base::Duration s_resetMargin = std::chrono::milliseconds(2);

/// Maximum number of responses to earlier requests that are skipped on one connection.
constexpr int s_maximumStrayResponses = 3;

bool sendsLength(const http::Request &request)
{
    return !request.body.empty() || request.method == "POST" || request.method == "PUT" || request.method == "PATCH";
}

/// Parses the three numbers of the load header field and the fourth, the speed, if there is one. A fourth that is no speed is ignored.
std::optional<ingress::ReportedLoad> parseLoad(std::string_view text)
{
    std::uint64_t figures[3]{};
    for (std::uint64_t &figure : figures) {
        const auto comma = std::min(text.find(','), text.size());
        const auto number = http::parseNumber(text.substr(0, comma));
        if (!number || *number > 1'000'000) {
            return std::nullopt;
        }
        figure = *number;
        text.remove_prefix(std::min(comma + 1, text.size()));
    }
    ingress::ReportedLoad load{static_cast<std::uint32_t>(figures[0]), static_cast<std::uint32_t>(figures[1]), static_cast<std::uint32_t>(figures[2])};
    if (const auto percent = http::parseNumber(text.substr(0, text.find(',')))) {
        load.speedPercent = ingress::boundedSpeedPercent(*percent);
    }
    return load;
}

} // namespace

boost::asio::awaitable<void> Exchange::attempt(std::shared_ptr<Attempt> attempt)
{
    const auto self = shared_from_this();
    endAttempt(*attempt, co_await exchangeWith(attempt));
}

void Exchange::endAttempt(Attempt &attempt, AttemptEnd end)
{
    attempt.endedAt = http::now();
    attempt.upstream->bodyBytes -= std::exchange(attempt.bodyBytes, 0);
    if (attempt.aborted && !end.response) {
        end.verdict = m_cancelled ? AttemptVerdict::Cancelled : AttemptVerdict::TimedOut;
    }
    m_core.upstreamTable.attemptEnded(*attempt.upstream, end.verdict, attempt.endedAt - attempt.startedAt, attempt.load, attempt.endedAt);
    m_core.logHealth(*attempt.upstream, attempt.endedAt);
    if (end.verdict == AttemptVerdict::Served) {
        attempt.upstream->warmKeys.handled(m_key, attempt.endedAt);
    }
    attempt.end = std::move(end);
    attempt.ended = true;
    m_wakeUpTimer.cancel();
}

boost::asio::awaitable<std::optional<AttemptEnd>> Exchange::connect(std::shared_ptr<Attempt> attempt)
{
    ingress::Upstream &upstream = *attempt->upstream;
    // Where a new connection would probably be reset after the request was written, a kept one is the safer of the two.
    const bool restrained = m_core.upstreamTable.connectionRestrained(upstream, m_core.connectionLimit(m_service), http::now());
    attempt->connection = m_core.connections.take(upstream.report.id, !m_route->route.idempotent && !restrained, http::now());
    if (attempt->connection) {
        co_return std::nullopt;
    }
    if (upstream.openConnections >= m_core.connectionLimit(m_service)) {
        co_return AttemptEnd{AttemptVerdict::Cancelled, false, true, std::nullopt};
    }
    if (upstream.connectionRestraint->known(http::now()) && m_core.upstreamTable.load(upstream, http::now()) > upstream.report.slots) {
        m_core.connections.closeOldest(upstream.report.id); // the upstream accepts fewer connections now; kept ones count too
    }
    attempt->connection = std::make_shared<http::Connection>(m_core.context);
    ++upstream.openConnections;
    attempt->connection->countToken = std::shared_ptr<void>(nullptr, [pointer = attempt->upstream](void *) {
        --pointer->openConnections;
    });
    attempt->connection->readDeadline.set(std::min<base::Duration>(s_connectTimeout, m_deadline - http::now()));
    const base::TimePoint start = http::now();
    const auto endpoint = http::parseEndpoint(upstream.report.address);
    const http::ErrorCode error = co_await attempt->connection->connect(endpoint);
    if (error || attempt->aborted) {
        attempt->connection->close();
        co_return AttemptEnd{AttemptVerdict::Unreachable, false, true, std::nullopt};
    }
    attempt->connectedAt = http::now();
    enableDeadPeerDetection(*attempt->connection, m_core.connections.options().unacknowledgedTimeout, m_core.connections.options().keepAliveSeconds);
    m_core.metrics.increment("trefoilstile_upstream_connections_opened_total", {{"service", m_service}});
    if (co_await resetBeforeWriting(attempt, *attempt->connectedAt - start)) {
        attempt->connection->close();
        co_return AttemptEnd{AttemptVerdict::Cancelled, false, true, std::nullopt};
    }
    co_return std::nullopt;
}

boost::asio::awaitable<bool> Exchange::resetBeforeWriting(std::shared_ptr<Attempt> attempt, base::Duration roundTrip)
{
    const base::TimePoint now = http::now();
    if (!m_core.upstreamTable.connectionRestrained(*attempt->upstream, m_core.connectionLimit(m_service), now)) {
        co_return false;
    }
    boost::asio::steady_timer timer(m_core.context, std::max(attempt->upstream->connectionRestraint->resetDelay(), roundTrip) + s_resetMargin);
    http::ErrorCode ignored; // the timer is not cancelled
    co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    if (!attempt->connection->peerClosed() || attempt->aborted) {
        co_return false;
    }
    noteConnectionReset(*attempt, false, http::now());
    co_return true;
}

void Exchange::noteConnectionReset(const Attempt &attempt, bool written, base::TimePoint now)
{
    if (!attempt.connectedAt || attempt.answered || attempt.aborted || now - *attempt.connectedAt > s_resetAfterConnect) {
        return;
    }
    // The wait before writing shows that it was reset, but not when.
    const base::Duration delay = written ? now - *attempt.connectedAt : base::Duration::zero();
    m_core.upstreamTable.connectionReset(*attempt.upstream, delay, now);
    m_core.metrics.increment("trefoilstile_upstream_connections_reset_total", {{"service", m_service}, {"request", written ? "written" : "not_written"}});
    LogLine line("connection_reset");
    line.text("upstream", attempt.upstream->report.id)
        .real("load", m_core.upstreamTable.load(*attempt.upstream, now))
        .number("open", attempt.upstream->openConnections)
        .flag("written", written)
        .milliseconds("pause_ms", attempt.upstream->connectionBackOff.pause);
    m_core.log.write(line, now);
}

boost::asio::awaitable<AttemptEnd> Exchange::exchangeWith(std::shared_ptr<Attempt> attempt)
{
    if (auto end = co_await connect(attempt)) {
        co_return std::move(*end);
    }
    const base::TimePoint now = http::now();
    if (const std::string_view obstacle = writeObstacle(*attempt, now); !obstacle.empty()) {
        m_core.metrics.increment("trefoilstile_attempts_not_written_total", {{"why", std::string(obstacle)}});
        attempt->connection->close();
        co_return AttemptEnd{AttemptVerdict::Cancelled, false, true, std::nullopt};
    }
    attempt->connection->readDeadline.set(m_deadline - now);
    const std::string head = requestHead(*attempt, now);
    std::vector<boost::asio::const_buffer> buffers;
    buffers.push_back(boost::asio::buffer(head));
    buffers.push_back(boost::asio::buffer(m_request.body));
    std::uint64_t &written = attempt->bytes.sent;
    const http::ErrorCode error = co_await attempt->connection->write(std::move(buffers), m_deadline - now, written);
    if (error) {
        attempt->connection->close();
        noteConnectionReset(*attempt, written > 0, http::now());
        co_return AttemptEnd{AttemptVerdict::Broken, written > 0, written == 0, std::nullopt};
    }
    AttemptEnd end = co_await readResponse(attempt);
    end.reached = true;
    if (end.response && attempt->connectedAt) {
        m_core.upstreamTable.connectionServed(*attempt->upstream);
    } else if (end.verdict == AttemptVerdict::Broken) {
        noteConnectionReset(*attempt, true, http::now()); // proves nothing about the request: it was written
    }
    co_return end;
}

std::string_view Exchange::writeObstacle(const Attempt &attempt, base::TimePoint now) const
{
    if (m_cancelled || attempt.aborted) {
        return "cancelled";
    }
    if (m_deadline <= now) {
        return "deadline";
    }
    if (!m_core.upstreamTable.usable(*attempt.upstream) || m_core.upstreamTable.quiet(*attempt.upstream, now)) {
        return "upstream";
    }
    return keyWithdrawn() ? "withdrawn_key" : "";
}

boost::asio::awaitable<AttemptEnd> Exchange::readResponse(std::shared_ptr<Attempt> attempt)
{
    for (int stray = 0; stray <= s_maximumStrayResponses; ++stray) {
        http::ResponseReader reader(attempt->connection, m_request.method == "HEAD");
        http::ResponseHead head;
        const bool headRead = co_await reader.readHead(head);
        if (!headRead) {
            break;
        }
        attempt->answered = true;
        attempt->bytes.received += http::fieldBytes(head.headers);
        const bool connectionIsNew = attempt->connectedAt && stray == 0;
        const bool own = answersRequest(head, connectionIsNew);
        if (own) {
            applyUpstreamFields(*attempt, head);
        }
        ResponseBody body(m_core.responseBudget);
        if (!body.reserve(m_request.method == "HEAD" ? 0 : head.contentLength.value_or(0))) {
            logGivenUp(*attempt, head.contentLength.value_or(0));
            break;
        }
        char chunk[http::s_bodyChunk];
        http::BodyRead state = http::BodyRead::Data;
        bool fits = true;
        while (state == http::BodyRead::Data && fits) {
            std::size_t count = 0;
            state = co_await reader.readBody(chunk, count);
            attempt->bytes.received += count;
            fits = body.append({chunk, count});
        }
        if (!fits) {
            logGivenUp(*attempt, body.size());
        }
        if (state != http::BodyRead::End || !fits) {
            break;
        }
        if (!own) {
            logStrayResponse(*attempt, head);
            continue;
        }
        if (reader.reusable()) {
            const std::string *keepAlive = http::findHeader(head.headers, "Keep-Alive");
            attempt->connection->readDeadline.clear();
            m_core.connections.keep(attempt->upstream->report.id, attempt->connection, keepAlive, http::now());
        } else {
            attempt->connection->close();
        }
        co_return interpret(std::move(head), std::move(body));
    }
    attempt->connection->close();
    co_return AttemptEnd{AttemptVerdict::Broken, true, false, std::nullopt};
}

bool Exchange::answersRequest(const http::ResponseHead &head, bool connectionIsNew) const
{
    if (const std::string *id = http::findHeader(head.headers, m_core.names.requestId)) {
        return *id == m_id;
    }
    return connectionIsNew || !isRefusal(head);
}

bool Exchange::isRefusal(const http::ResponseHead &head) const
{
    return http::findHeader(head.headers, m_core.names.notRun) != nullptr || head.status == 421;
}

void Exchange::applyUpstreamFields(Attempt &attempt, const http::ResponseHead &head) const
{
    if (head.status == 421) {
        return; // sent by another upstream at the address
    }
    const base::TimePoint now = http::now();
    ingress::Upstream &upstream = *attempt.upstream;
    if (const std::string *load = http::findHeader(head.headers, m_core.names.load)) {
        if (const auto figure = parseLoad(*load)) {
            m_core.upstreamTable.applyReportedLoad(upstream, *figure, now);
        }
    }
    const std::string *leaving = http::findHeader(head.headers, m_core.names.leaving);
    if (leaving != nullptr && *leaving == "1" && !upstream.outOfService.has(ingress::OutOfServiceReason::Leaving)) {
        m_core.upstreamTable.leavingAnnounced(upstream, now);
        LogLine line("upstream");
        line.text("upstream", upstream.report.id).text("state", "leaving");
        m_core.log.write(line, now);
    }
    const std::string *pause = head.status == 503 ? http::findHeader(head.headers, "Retry-After") : nullptr;
    if (const auto duration = pause == nullptr ? std::nullopt : http::parseRetryAfter(*pause)) {
        m_core.upstreamTable.quietRequested(upstream, *duration, now);
        m_core.metrics.increment("trefoilstile_upstream_pauses_total", {{"service", m_service}});
    }
}

AttemptEnd Exchange::interpret(http::ResponseHead head, ResponseBody body) const
{
    AttemptEnd end{AttemptVerdict::Broken, true, false, std::nullopt};
    if (isRefusal(head)) {
        end.verdict = head.status == 421 ? AttemptVerdict::Misdirected : AttemptVerdict::Shed;
        end.provedNotRun = true;
        return end;
    }
    const bool genuine = http::findHeader(head.headers, m_core.names.signature) != nullptr && http::findHeader(head.headers, m_core.names.requestId) != nullptr;
    if (!genuine || http::findHeader(head.headers, "Content-Encoding") != nullptr) {
        return end;
    }
    end.verdict = head.status >= 500 ? AttemptVerdict::Broken : AttemptVerdict::Served;
    CallerResponse response;
    response.status = head.status;
    response.reason = std::move(head.reason);
    response.headers = std::move(head.headers);
    http::removeHopByHop(response.headers);
    response.body = body.takeText();
    response.memory = body.takeShare();
    end.response = std::move(response);
    return end;
}

std::string Exchange::requestHead(const Attempt &attempt, base::TimePoint now) const
{
    std::string head = fmt::format("{} {} HTTP/1.1\r\n", m_request.method, m_request.target);
    http::Headers headers = m_request.headers;
    http::removeHopByHop(headers);
    http::removeHeader(headers, m_core.names.timeLeft);
    http::removeHeader(headers, m_core.names.expectedUpstream);
    if (m_core.accounts->inUse()) {
        http::removeHeader(headers, m_core.names.credentials);
        http::removeHeader(headers, m_core.names.account);
    }
    http::appendFields(head, headers);
    http::appendField(head, m_core.names.timeLeft, std::to_string(std::max<std::int64_t>(1, base::toMilliseconds(m_deadline - now))));
    http::appendField(head, m_core.names.expectedUpstream, attempt.upstream->report.id);
    if (m_account) {
        http::appendField(head, m_core.names.account, m_account->name);
    }
    if (sendsLength(m_request)) {
        http::appendField(head, "Content-Length", std::to_string(m_request.body.size()));
    }
    head += "\r\n";
    return head;
}

} // namespace trefoilstile::proxy
