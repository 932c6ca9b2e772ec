// Decisions about one request: route, placement, retries and the response.

#include "trefoilstile/proxy/exchange.hpp"

#include <algorithm>
#include <utility>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>

#include "trefoilstile/base/ids.hpp"
#include "trefoilstile/http/clock.hpp"
#include "trefoilstile/proxy/activity.hpp"

namespace trefoilstile::proxy
{

namespace
{

using ingress::AttemptVerdict;

/// Maximum number of placements of one request, including refused connections; bounds the work for a request while upstreams
/// disappear.
constexpr std::size_t s_maximumPlacements = 6;

/// No further attempt is started with less time than this: it could not end in time on any path, and the response needs time
/// to reach the caller.
constexpr base::Duration s_minimumAttemptTime = std::chrono::milliseconds(120);

/// Interval between two looks at whether a second attempt should start, where upstreams report their speed. Reports arrive every
/// 300 ms.
constexpr base::Duration s_hedgeCheck = std::chrono::milliseconds(100);

/// Maximum speed factor of the upstream of a second attempt, as a fraction of that of a slow first one. The second starts anew.
constexpr double s_fasterShare = 0.7;

} // namespace

CallerResponse localResponse(std::uint16_t status, base::Duration retryAfter)
{
    CallerResponse response;
    response.status = status;
    switch (status) {
    case 400:
        response.reason = "Bad Request";
        break;
    case 401:
        response.reason = "Unauthorized";
        response.headers.push_back({"WWW-Authenticate", "Bearer"});
        break;
    case 404:
        response.reason = "Not Found";
        break;
    case 413:
        response.reason = "Payload Too Large";
        break;
    case 429:
        response.reason = "Too Many Requests";
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
    , m_bodyBytes(m_request.body.size())
    , m_wakeUpTimer(core.context)
{
    if (const std::string *id = http::findHeader(m_request.headers, m_core.names.requestId)) {
        m_id = *id;
    }
}

Exchange::~Exchange()
{
    returnQuota(); // of a request whose body has not arrived
}

boost::asio::awaitable<std::optional<CallerResponse>> Exchange::run()
{
    const auto self = shared_from_this();
    ++m_core.requests;
    const std::shared_ptr<void> counted(nullptr, [this](void *) { // also on an exception
        --m_core.requests;
        returnQuota();
    });
    std::optional<CallerResponse> response = m_preparedAtHead ? prepareAgain() : prepare();
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
    recordBytes(response);
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
        if (end.provedNotRun && attempt->quotaTakenAt) {
            m_unusedQuota.push_back(*attempt->quotaTakenAt);
        }
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
    return holdsQuota(now) && (sends == 0 || m_core.takeRetry(m_service, now));
}

ingress::FirstAttempt Exchange::firstAttempt(base::TimePoint now) const
{
    const Attempt &attempt = *m_attempts.front();
    const ingress::Upstream &upstream = *attempt.upstream;
    return {m_route->route.latencyObjective,
        attempt.service,
        attempt.wait,
        upstream.speed.known(),
        upstream.loadUpdatedAt > attempt.startedAt,
        m_core.upstreamTable.speedFactor(upstream, now)};
}

void Exchange::hedge()
{
    m_hedgeAt = base::TimePoint::max();
    const base::TimePoint now = http::now();
    if (keyWithdrawn()) {
        return;
    }
    const ingress::FirstAttempt first = firstAttempt(now);
    if (const base::TimePoint due = m_attempts.front()->startedAt + ingress::secondAttemptDelay(first); due > now) {
        m_hedgeAt = std::min(due, now + s_hedgeCheck); // the machine may become slow until then
        return;
    }
    const ingress::PlacementResult placed = place(now);
    // An upstream without a free slot would not respond sooner.
    const bool free = placed.outcome == ingress::PlacementOutcome::Chosen && placed.load + 1 <= placed.upstream->report.slots;
    const bool faster = !ingress::slowMachine(first) || (free && m_core.upstreamTable.speedFactor(*placed.upstream, now) < s_fasterShare * first.speedFactor);
    if (!free || !faster) {
        m_hedgeAt = first.speedReported ? now + s_hedgeCheck : m_hedgeAt;
    } else if (mayRetry(now)) {
        launch(placed, now);
    }
}

ingress::PlacementResult Exchange::place(base::TimePoint now)
{
    std::vector<const ingress::Upstream *> tried;
    for (const auto &attempt : m_attempts) {
        tried.push_back(attempt->upstream.get());
    }
    ingress::PlacementRequest request{m_route->route, m_service, m_key, tried, m_deadline - now, m_account.get(), m_core.connectionLimit(m_service)};
    request.stage = m_stage;
    if (const std::uint64_t limit = m_core.upstreamBodyLimit(); limit > 0 && m_bodyBytes > http::s_smallBody) {
        request.bodyBytes = m_bodyBytes;
        request.bodyLimit = limit;
    }
    request.reusable = [this, now](const ingress::Upstream &upstream) {
        return m_core.connections.has(upstream.report.id, now);
    };
    return m_core.placement.choose(request, m_core.configuration, now);
}

std::optional<CallerResponse> Exchange::startAttempt(bool first)
{
    const base::TimePoint now = http::now();
    if (keyWithdrawn()) {
        m_outcome = "withdrawn_key";
        return m_mayHaveRun ? failRequest(m_outcome) : localResponse(401);
    }
    if (!first && !m_core.stop.accepts(m_deadline - now, now)) {
        return failRequest("stopping"); // the end of the process could cut the attempt off
    }
    if (!first && !mayRetry(now)) {
        return failRequest("no_retry");
    }
    m_lastPlacement = place(now);
    if (m_lastPlacement.outcome == ingress::PlacementOutcome::Chosen) {
        launch(m_lastPlacement, now);
        return std::nullopt;
    }
    return refusePlacement();
}

std::optional<CallerResponse> Exchange::refusePlacement()
{
    const ingress::PlacementResult &placed = m_lastPlacement;
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
    attempt->speed = m_core.upstreamTable.speedFactor(*placed.upstream, now);
    attempt->loadAge = placed.upstream->loadUpdatedAt == base::TimePoint() ? base::Duration(-1) : now - placed.upstream->loadUpdatedAt;
    attempt->startedAt = now;
    attempt->bodyBytes = m_request.body.size();
    placed.upstream->bodyBytes += attempt->bodyBytes;
    if (!m_unusedQuota.empty()) {
        attempt->quotaTakenAt = m_unusedQuota.back();
        m_unusedQuota.pop_back();
    }
    m_attempts.push_back(attempt);
    if (m_attempts.size() == 1 && m_route->route.idempotent) {
        attempt->wait = placed.wait;
        attempt->service = base::fromSeconds(placed.upstream->serviceSeconds);
        const base::Duration delay = ingress::secondAttemptDelay(firstAttempt(now));
        m_hedgeAt = now + (placed.upstream->speed.known() ? std::min(delay, s_hedgeCheck) : delay);
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

} // namespace trefoilstile::proxy
