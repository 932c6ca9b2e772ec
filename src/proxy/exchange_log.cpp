// Log lines and metrics about the requests of callers.

#include <algorithm>

#include <fmt/format.h>

#include "trefoilstile/http/clock.hpp"
#include "trefoilstile/proxy/exchange.hpp"

namespace trefoilstile::proxy
{

namespace
{

using ingress::AttemptVerdict;

std::string_view verdictName(AttemptVerdict verdict)
{
    switch (verdict) {
    case AttemptVerdict::Served:
        return "served";
    case AttemptVerdict::Shed:
        return "shed";
    case AttemptVerdict::Unreachable:
        return "unreachable";
    case AttemptVerdict::Broken:
        return "broken";
    case AttemptVerdict::TimedOut:
        return "silent";
    case AttemptVerdict::Cancelled:
        return "cancelled";
    case AttemptVerdict::Misdirected:
        return "misdirected";
    }
    return "unknown";
}

std::string_view reasonName(ingress::PlacementReason reason)
{
    switch (reason) {
    case ingress::PlacementReason::First:
        return "first";
    case ingress::PlacementReason::Warm:
        return "warm";
    case ingress::PlacementReason::Cold:
        return "cold";
    case ingress::PlacementReason::Spill:
        return "spill";
    case ingress::PlacementReason::None:
        break;
    }
    return "none";
}

std::string_view refusalName(ingress::RefusalReason reason)
{
    switch (reason) {
    case ingress::RefusalReason::Price:
        return "price";
    case ingress::RefusalReason::Early:
        return "early";
    case ingress::RefusalReason::NoRoom:
        return "no_room";
    case ingress::RefusalReason::None:
        break;
    }
    return "none";
}

} // namespace

void Exchange::logStrayResponse(const Attempt &attempt, const http::ResponseHead &head) const
{
    m_core.metrics.increment("trefoilstile_stray_responses_total", {{"service", m_service}});
    const std::string *id = http::findHeader(head.headers, m_core.names.requestId);
    LogLine line("stray_response");
    line.text("upstream", attempt.upstream->report.id).text("id", m_id).number("status", head.status).text("answers", id == nullptr ? "" : *id);
    m_core.log.write(line, http::now());
}

void Exchange::logGivenUp(const Attempt &attempt, std::uint64_t bytes) const
{
    m_core.metrics.increment("trefoilstile_responses_given_up_total", {{"service", m_service}});
    LogLine line("response_given_up");
    line.text("upstream", attempt.upstream->report.id)
        .text("id", m_id)
        .number("bytes", static_cast<std::int64_t>(bytes))
        .number("bytes_held", static_cast<std::int64_t>(m_core.responseBudget->held))
        .text("why", "the body exceeds the limit or the memory for responses");
    m_core.log.write(line, http::now());
}

void Exchange::logEnd(const std::optional<CallerResponse> &response, base::TimePoint now)
{
    const std::string status = response ? std::to_string(response->status) : "none";
    const std::string priority = m_route ? std::to_string(m_route->route.priority) : "none";
    m_core.metrics.increment("trefoilstile_requests_total", {{"priority", priority}, {"outcome", m_outcome}, {"status", status}});
    if (m_outcome == "served") {
        m_core.metrics.observe("trefoilstile_request_seconds", {{"priority", priority}}, now - m_arrivedAt);
    }
    LogLine line("request");
    line.text("id", m_id).text("outcome", m_outcome).text("status", status).milliseconds("ms", now - m_arrivedAt);
    line.number("configuration", static_cast<std::int64_t>(m_core.configuration.version));
    line.number("members", static_cast<std::int64_t>(m_core.members.value()));
    if (m_route) {
        line.text("route", m_route->route.name).text("service", m_service).milliseconds("time_allowed_ms", m_deadline - m_arrivedAt);
        line.text("planned_region", m_lastPlacement.plannedRegion).number("candidates", static_cast<std::int64_t>(m_lastPlacement.candidates));
        line.real("least_load_per_slot", m_lastPlacement.leastLoadPerSlot);
    }
    if (m_lastPlacement.refusal != ingress::RefusalReason::None) {
        const std::string refusal(refusalName(m_lastPlacement.refusal));
        line.text("refusal", refusal);
        m_core.metrics.increment("trefoilstile_overload_refused_total", {{"service", m_service}, {"reason", refusal}});
    }
    for (std::size_t i = 0; i < m_attempts.size(); ++i) {
        const Attempt &attempt = *m_attempts[i];
        const std::string prefix = i == 0 ? "" : fmt::format("retry{}_", i);
        const auto took = (attempt.ended ? attempt.endedAt : now) - attempt.startedAt;
        line.text(prefix + "upstream", attempt.upstream->report.id)
            .text(prefix + "placed", reasonName(attempt.reason))
            .real(prefix + "load", attempt.load)
            .milliseconds(prefix + "load_age_ms", attempt.loadAge);
        if (attempt.upstream->speed.known()) {
            line.real(prefix + "speed", attempt.speed);
        }
        line.text(prefix + "verdict", attempt.ended ? verdictName(attempt.end.verdict) : "unfinished").milliseconds(prefix + "took_ms", took);
    }
    m_core.log.write(line, now);
}

} // namespace trefoilstile::proxy
