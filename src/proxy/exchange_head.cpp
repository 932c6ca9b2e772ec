// What is decided about a request before its first attempt: at its head, and again when its body has arrived.

#include <algorithm>
#include <utility>

#include "trefoilstile/http/clock.hpp"
#include "trefoilstile/proxy/exchange.hpp"

namespace trefoilstile::proxy
{

namespace
{

/// The response is sent this long before the caller's deadline, so that it reaches the caller in time.
constexpr base::Duration s_responseMargin = std::chrono::milliseconds(20);

/// Maximum waiting time accepted from a caller; longer times are reduced to it.
constexpr std::uint64_t s_maximumWaitMilliseconds = 3'600'000;

} // namespace

std::optional<CallerResponse> Exchange::resolve()
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
    if (auto refusal = identify()) {
        return refusal;
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
    return std::nullopt;
}

void Exchange::chooseService()
{
    m_service = m_route->route.shares[m_route->rotation.next()].service;
}

std::optional<CallerResponse> Exchange::prepare()
{
    m_core.requestRate.requestArrived();
    if (auto refusal = resolve()) {
        return refusal;
    }
    const std::string *objectKey = http::findHeader(m_request.headers, m_core.names.objectKey);
    m_key = objectKey == nullptr ? m_core.random.next() : ingress::objectHash(m_route->route, *objectKey);
    chooseService();
    m_core.retryShare(m_service).requestArrived(m_arrivedAt);
    return takeQuota();
}

std::optional<CallerResponse> Exchange::prepareAgain()
{
    const std::shared_ptr<ingress::IndexedRoute> earlier = m_route;
    m_account.reset(); // the route may need none now
    if (auto refusal = resolve()) {
        return refusal;
    }
    if (m_route != earlier) {
        chooseService(); // another configuration is in effect
    }
    return renewQuota();
}

std::optional<CallerResponse> Exchange::refuseAtHead(std::uint64_t bodyBytes)
{
    m_bodyBytes = bodyBytes;
    m_stage = ingress::RequestStage::Head;
    std::optional<CallerResponse> response = prepare();
    if (!response) {
        m_lastPlacement = place(http::now());
        if (m_lastPlacement.outcome != ingress::PlacementOutcome::Chosen) {
            response = refusePlacement();
        }
    }
    if (response) {
        returnQuota();
        m_core.metrics.increment("trefoilstile_requests_refused_at_head_total", {{"outcome", m_outcome}});
        logEnd(response, http::now());
        return response;
    }
    m_preparedAtHead = true;
    m_stage = m_lastPlacement.counted ? ingress::RequestStage::Body : ingress::RequestStage::Whole;
    return std::nullopt;
}

void Exchange::bodyArrived(std::string body, base::TimePoint now)
{
    m_request.body = std::move(body);
    m_bodyBytes = m_request.body.size();
    m_arrivedAt = now;
}

bool Exchange::keyWithdrawn() const
{
    return m_account && !m_core.accounts->find(m_keyDigest);
}

} // namespace trefoilstile::proxy
