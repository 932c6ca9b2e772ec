// Placement, attempts, retries and the response of one request.

#include "trefoilstile/proxy/exchange.hpp"

#include <algorithm>
#include <utility>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>

#include "trefoilstile/base/ids.hpp"
#include "trefoilstile/http/clock.hpp"
#include "trefoilstile/http/response_reader.hpp"
#include "trefoilstile/proxy/activity.hpp"

namespace trefoilstile::proxy
{

namespace
{

using ingress::AttemptVerdict;

/// Connecting to a running upstream takes one round trip, at most 70 ms between regions; after a lost packet it would take a
/// second.
constexpr base::Duration s_connectTimeout = std::chrono::milliseconds(500);

/// Maximum number of placements of one request, including refused connections; bounds the work for a request while upstreams
/// disappear.
constexpr std::size_t s_maximumPlacements = 6;

/// Maximum number of responses to earlier requests that are skipped on one connection.
constexpr int s_maximumStrayResponses = 3;

/// No further attempt is started with less time than this: it could not end in time on any path, and the response needs time
/// to reach the caller.
constexpr base::Duration s_minimumAttemptTime = std::chrono::milliseconds(120);

/// The response is sent this long before the caller's deadline, so that it reaches the caller in time.
constexpr base::Duration s_responseMargin = std::chrono::milliseconds(20);

/// A second attempt of an idempotent request is started beside the first when the first has taken this many times the expected
/// time, and longer than the latency objective. The factor is above the four times that cold work takes. Nothing else detects
/// upstreams that stop responding.
constexpr int s_hedgeFactor = 6;

/// Maximum waiting time accepted from a caller; longer times are reduced to it.
constexpr std::uint64_t s_maximumWaitMilliseconds = 3'600'000;

bool sendsLength(const http::Request &request)
{
    return !request.body.empty() || request.method == "POST" || request.method == "PUT" || request.method == "PATCH";
}

/// Parses the three numbers of the load header field.
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
    return ingress::ReportedLoad{static_cast<std::uint32_t>(figures[0]), static_cast<std::uint32_t>(figures[1]), static_cast<std::uint32_t>(figures[2])};
}

} // namespace

CallerResponse localResponse(std::uint16_t status, base::Duration retryAfter)
{
    CallerResponse response;
    response.status = status;
    switch (status) {
    case 400:
        response.reason = "Bad Request";
        break;
    case 404:
        response.reason = "Not Found";
        break;
    case 413:
        response.reason = "Payload Too Large";
        break;
    case 431:
        response.reason = "Request Header Fields Too Large";
        break;
    case 502:
        response.reason = "Bad Gateway";
        break;
    case 503:
        response.reason = "Service Unavailable";
        break;
    case 504:
        response.reason = "Gateway Timeout";
        break;
    default:
        break;
    }
    if (retryAfter > base::Duration::zero()) {
        response.headers.push_back({"Retry-After", fmt::format("{:.3f}", base::toSeconds(retryAfter))});
    }
    return response;
}

Exchange::Exchange(EntryCore &core, http::Request request, base::TimePoint arrivedAt)
    : m_core(core)
    , m_request(std::move(request))
    , m_arrivedAt(arrivedAt)
    , m_wakeUpTimer(core.context)
{
    if (const std::string *id = http::findHeader(m_request.headers, m_core.names.requestId)) {
        m_id = *id;
    }
}

std::optional<CallerResponse> Exchange::prepare()
{
    if (!m_core.routes || !m_core.upstreamsKnown) {
        m_outcome = "not_ready";
        // After a start, reading the store takes a few round trips.
        return localResponse(503, std::chrono::milliseconds(200));
    }
    const std::string *hostField = http::findHeader(m_request.headers, "Host");
    const auto host = hostField == nullptr ? std::nullopt : http::hostWithoutPort(*hostField);
    if (!host) {
        m_outcome = "bad_host";
        return localResponse(400);
    }
    const std::string_view target = m_request.target;
    m_route = m_core.routes->find(*host, target.substr(0, target.find('?')));
    if (!m_route) {
        m_outcome = "no_route";
        return localResponse(404);
    }
    base::Duration timeAllowed = m_route->route.timeout;
    if (const std::string *timeLeft = http::findHeader(m_request.headers, m_core.names.timeLeft)) {
        if (const auto milliseconds = http::parseNumber(*timeLeft)) {
            const base::Duration callerLimit = std::chrono::milliseconds(std::min(*milliseconds, s_maximumWaitMilliseconds));
            timeAllowed = std::min(timeAllowed, std::max(callerLimit - s_responseMargin, callerLimit / 2));
        }
    }
    m_deadline = m_arrivedAt + timeAllowed;
    if (!m_core.stop.accepts(timeAllowed, m_arrivedAt)) {
        m_outcome = "stopping";
        return localResponse(503, std::chrono::milliseconds(1));
    }
    const std::string *objectKey = http::findHeader(m_request.headers, m_core.names.objectKey);
    m_key = objectKey == nullptr ? m_core.random.next() : base::stableHash(*objectKey, base::stableHash(m_route->route.prefix));
    m_service = m_route->route.shares[m_route->rotation.next()].service;
    m_core.retryShare(m_service).requestArrived(m_arrivedAt);
    return std::nullopt;
}

boost::asio::awaitable<std::optional<CallerResponse>> Exchange::run()
{
    const auto self = shared_from_this();
    ++m_core.requests;
    const std::shared_ptr<void> counted(nullptr, [this](void *) { // also on an exception
        --m_core.requests;
    });
    m_core.requestRate.requestArrived();
    std::optional<CallerResponse> response = prepare();
    if (!response) {
        response = startAttempt(true);
    }
    while (!response && !m_cancelled) {
        const bool anyEnded = std::any_of(m_attempts.begin(), m_attempts.end(), [](const auto &attempt) {
            return attempt->ended && !attempt->processed;
        });
        if (!anyEnded) {
            const auto left = m_deadline - http::now();
            if (left <= base::Duration::zero()) {
                m_mayHaveRun = m_mayHaveRun || running() > 0;
                abortAttempts();
                response = failRequest("deadline");
                break;
            }
            const base::Duration untilHedge = m_hedgeAt - http::now();
            if (untilHedge <= base::Duration::zero()) {
                hedge();
                continue;
            }
            http::ErrorCode ignored; // cancelled by the end of an attempt
            m_wakeUpTimer.expires_after(std::min(left, untilHedge));
            co_await m_wakeUpTimer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
            continue;
        }
        response = processEndedAttempts();
        if (!response && running() == 0) {
            response = startAttempt(false);
        }
    }
    abortAttempts();
    logEnd(response, http::now());
    if (m_cancelled) {
        co_return std::nullopt;
    }
    co_return response;
}

void Exchange::cancel()
{
    if (!m_cancelled) {
        m_cancelled = true;
        m_outcome = "caller_gone";
        abortAttempts();
        m_wakeUpTimer.cancel();
    }
}

std::optional<CallerResponse> Exchange::processEndedAttempts()
{
    for (const auto &attempt : m_attempts) {
        if (!attempt->ended || attempt->processed) {
            continue;
        }
        attempt->processed = true;
        AttemptEnd &end = attempt->end;
        m_sentAttempts += end.reached ? 1 : 0;
        if (!end.response) {
            m_mayHaveRun = m_mayHaveRun || !end.provedNotRun;
            continue;
        }
        const bool failure = end.response->status >= 500;
        if (!failure || !m_route->route.idempotent) {
            m_outcome = failure ? "upstream_failure" : "served";
            return std::move(end.response);
        }
        m_failureResponse = std::move(end.response);
    }
    return std::nullopt;
}

bool Exchange::mayRetry(base::TimePoint now)
{
    if (m_mayHaveRun && !m_route->route.idempotent) {
        return false;
    }
    const std::size_t sends = m_sentAttempts + running();
    if (sends >= m_route->route.maximumAttempts || m_attempts.size() >= s_maximumPlacements || m_deadline - now < s_minimumAttemptTime) {
        return false;
    }
    // If no attempt has reached an upstream yet, this one does not count as a retry.
    return sends == 0 || m_core.takeRetry(m_service, now);
}

void Exchange::hedge()
{
    m_hedgeAt = base::TimePoint::max();
    const base::TimePoint now = http::now();
    const ingress::PlacementResult placed = place(now);
    // An upstream without a free slot would not respond sooner.
    const bool free = placed.outcome == ingress::PlacementOutcome::Chosen && placed.load + 1 <= placed.upstream->report.slots;
    if (free && mayRetry(now)) {
        launch(placed, now);
    }
}

ingress::PlacementResult Exchange::place(base::TimePoint now)
{
    std::vector<const ingress::Upstream *> tried;
    for (const auto &attempt : m_attempts) {
        tried.push_back(attempt->upstream.get());
    }
    const ingress::PlacementRequest request{m_route->route, m_service, m_key, tried, m_deadline - now};
    return m_core.placement.choose(request, m_core.configuration, now);
}

std::optional<CallerResponse> Exchange::startAttempt(bool first)
{
    const base::TimePoint now = http::now();
    if (!first && !mayRetry(now)) {
        return failRequest("no_retry");
    }
    m_lastPlacement = place(now);
    const ingress::PlacementResult &placed = m_lastPlacement;
    if (placed.outcome == ingress::PlacementOutcome::Chosen) {
        launch(placed, now);
        return std::nullopt;
    }
    if (placed.outcome == ingress::PlacementOutcome::NoRoom && !m_mayHaveRun && !m_failureResponse) {
        m_outcome = "no_room";
        // Jitter prevents the callers of one burst from retrying at the same time.
        constexpr double spread = 0.5;
        return localResponse(503, base::jittered(placed.retryAfter, spread, m_core.random));
    }
    return failRequest(placed.outcome == ingress::PlacementOutcome::NoRoom ? "no_room" : "no_upstream");
}

std::optional<CallerResponse> Exchange::failRequest(std::string_view outcome)
{
    m_outcome = outcome;
    if (m_failureResponse) {
        return std::move(m_failureResponse);
    }
    if (!m_mayHaveRun) {
        // Gives the caller or this instance time to find another instance or upstream.
        return localResponse(503, std::chrono::milliseconds(100));
    }
    return localResponse(http::now() >= m_deadline ? 504 : 502);
}

std::size_t Exchange::running() const
{
    return static_cast<std::size_t>(std::count_if(m_attempts.begin(), m_attempts.end(), [](const auto &attempt) {
        return !attempt->ended;
    }));
}

void Exchange::abortAttempts()
{
    for (const auto &attempt : m_attempts) {
        if (!attempt->ended) {
            attempt->aborted = true;
            if (attempt->connection) {
                attempt->connection->close();
            }
        }
    }
}

void Exchange::launch(const ingress::PlacementResult &placed, base::TimePoint now)
{
    const auto attempt = std::make_shared<Attempt>();
    attempt->upstream = placed.upstream;
    attempt->reason = placed.reason;
    attempt->load = placed.load;
    attempt->loadAge = placed.upstream->loadUpdatedAt == base::TimePoint() ? base::Duration(-1) : now - placed.upstream->loadUpdatedAt;
    attempt->startedAt = now;
    m_attempts.push_back(attempt);
    if (m_attempts.size() == 1 && m_route->route.idempotent) {
        const auto expected = base::fromSeconds(placed.upstream->serviceSeconds) + placed.wait;
        m_hedgeAt = now + std::max(m_route->route.latencyObjective, s_hedgeFactor * expected);
    }
    m_core.upstreamTable.requestSent(*attempt->upstream, now);
    spawnOnce(
        m_core,
        "attempt",
        [self = shared_from_this(), attempt]() {
            return self->attempt(attempt);
        },
        [self = shared_from_this(), attempt]() {
            if (attempt->connection) {
                attempt->connection->close();
            }
            // Whether the upstream received the request is unknown.
            self->endAttempt(*attempt, AttemptEnd{AttemptVerdict::Broken, true, false, std::nullopt});
        });
}

boost::asio::awaitable<void> Exchange::attempt(std::shared_ptr<Attempt> attempt)
{
    const auto self = shared_from_this();
    endAttempt(*attempt, co_await exchangeWith(attempt));
}

void Exchange::endAttempt(Attempt &attempt, AttemptEnd end)
{
    attempt.endedAt = http::now();
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

boost::asio::awaitable<AttemptEnd> Exchange::exchangeWith(std::shared_ptr<Attempt> attempt)
{
    const ingress::UpstreamReport &upstream = attempt->upstream->report;
    attempt->connection = m_core.connections.take(upstream.id, !m_route->route.idempotent, http::now());
    if (!attempt->connection) {
        if (attempt->upstream->openConnections >= m_core.connectionLimit(m_service)) {
            co_return AttemptEnd{AttemptVerdict::Cancelled, false, true, std::nullopt};
        }
        attempt->connection = std::make_shared<http::Connection>(m_core.context);
        ++attempt->upstream->openConnections;
        attempt->connection->countToken = std::shared_ptr<void>(nullptr, [upstream = attempt->upstream](void *) {
            --upstream->openConnections;
        });
        attempt->connection->readDeadline.set(std::min<base::Duration>(s_connectTimeout, m_deadline - http::now()));
        const auto endpoint = http::parseEndpoint(upstream.address);
        const http::ErrorCode error = co_await attempt->connection->connect(endpoint);
        if (error || attempt->aborted) {
            attempt->connection->close();
            co_return AttemptEnd{AttemptVerdict::Unreachable, false, true, std::nullopt};
        }
        enableDeadPeerDetection(*attempt->connection, m_core.connections.options().unacknowledgedTimeout, m_core.connections.options().keepAliveSeconds);
        m_core.metrics.increment("trefoilstile_upstream_connections_opened_total", {{"service", m_service}});
    }
    // The state of the upstream may have changed while the connection was established.
    const base::TimePoint now = http::now();
    if (!m_core.upstreamTable.usable(*attempt->upstream) || m_core.upstreamTable.quiet(*attempt->upstream, now) || m_deadline <= now) {
        attempt->connection->close();
        co_return AttemptEnd{AttemptVerdict::Cancelled, false, true, std::nullopt};
    }
    attempt->connection->readDeadline.set(m_deadline - now);
    const std::string head = requestHead(*attempt, now);
    std::vector<boost::asio::const_buffer> buffers;
    buffers.push_back(boost::asio::buffer(head));
    buffers.push_back(boost::asio::buffer(m_request.body));
    std::uint64_t written = 0;
    const http::ErrorCode error = co_await attempt->connection->write(std::move(buffers), m_deadline - now, written);
    if (error) {
        attempt->connection->close();
        co_return AttemptEnd{AttemptVerdict::Broken, written > 0, written == 0, std::nullopt};
    }
    AttemptEnd end = co_await readResponse(attempt);
    end.reached = true;
    co_return end;
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
        applyUpstreamFields(*attempt, head);
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
            fits = body.append({chunk, count});
        }
        if (!fits) {
            logGivenUp(*attempt, body.size());
        }
        if (state != http::BodyRead::End || !fits) {
            break;
        }
        const std::string *id = http::findHeader(head.headers, m_core.names.requestId);
        if (id != nullptr && *id != m_id) {
            continue; // a late response to an earlier request on this connection: skip it
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
    if (http::findHeader(head.headers, m_core.names.notRun) != nullptr || head.status == 421) {
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
    http::appendFields(head, headers);
    http::appendField(head, m_core.names.timeLeft, std::to_string(std::max<std::int64_t>(1, base::toMilliseconds(m_deadline - now))));
    http::appendField(head, m_core.names.expectedUpstream, attempt.upstream->report.id);
    if (sendsLength(m_request)) {
        http::appendField(head, "Content-Length", std::to_string(m_request.body.size()));
    }
    head += "\r\n";
    return head;
}

} // namespace trefoilstile::proxy
