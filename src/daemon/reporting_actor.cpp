// Renders the pages of the operator port from the latest state received from the other threads.

#include "reporting_actor.hpp"

#include <nlohmann/json.hpp>

#include "trefoilstile/http/query.hpp"

namespace trefoilstile::daemon
{

namespace
{

/// Grants every shift, so that an explanation shows the entries that a caller would get if the shift limit allowed it.
struct AssumedCommitments : routing::CommitmentSource {
    bool take(std::string_view, std::string_view) override
    {
        return true;
    }
};

const char *breakerName(tablestore::BreakerState state)
{
    switch (state) {
    case tablestore::BreakerState::Closed:
        return "closed";
    case tablestore::BreakerState::Open:
        return "open";
    case tablestore::BreakerState::HalfOpen:
        return "half_open";
    }
    return "unknown";
}

http::OperatorResponse jsonResponse(std::uint16_t status, const nlohmann::json &body)
{
    return {status, "application/json", body.dump() + "\n"};
}

} // namespace

ReportingActor::ReportingActor(boost::asio::io_context &context, const Settings &settings, base::IncarnationId incarnation)
    : m_settings(settings)
    , m_incarnation(incarnation)
    , m_server(context, {.listenAddress = settings.operatorAddress})
{
    m_peers.notReadyReason = "starting";
    m_server.handle("/healthz", [](std::string_view) {
        return http::OperatorResponse{200, "text/plain", "ok\n"};
    });
    m_server.handle("/readyz", [this](std::string_view) {
        return ready();
    });
    m_server.handle("/metrics", [this](std::string_view) {
        return http::OperatorResponse{200, "text/plain; version=0.0.4", m_registry.prometheusText()};
    });
    m_server.handle("/v1/status", [this](std::string_view) {
        return status();
    });
    m_server.handle("/v1/explain", [this](std::string_view query) {
        return explain(query);
    });
}

std::string ReportingActor::address() const
{
    return m_server.address();
}

void ReportingActor::handle(ReportInput input)
{
    std::visit(
        [this](const auto &alternative) {
            record(alternative);
        },
        input);
}

void ReportingActor::record(const LatencySample &sample)
{
    m_registry.observe(sample.name, {{"service", sample.service}, {"class", std::string(base::toString(sample.priorityClass))}}, sample.latency);
}

void ReportingActor::record(const CountSample &sample)
{
    m_registry.increment(sample.name, sample.label.empty() ? metrics::Labels{} : metrics::Labels{{"reason", sample.label}});
}

void ReportingActor::record(const DecisionStatus &status)
{
    m_decisions = status;
    m_registry.set("trefoilstile_document_generation", {}, static_cast<double>(status.generation.value));
    m_registry.set("trefoilstile_drain_generation", {}, static_cast<double>(status.drainGeneration.value));
    m_registry.set("trefoilstile_leaving", {}, status.leaving ? 1 : 0);
    m_registry.set("trefoilstile_requests_held", {}, static_cast<double>(status.figures.held));
    m_registry.set("trefoilstile_key_records", {}, static_cast<double>(status.figures.keyRecords));
    m_registry.set("trefoilstile_key_bytes", {}, static_cast<double>(status.figures.keyBytes));
    for (const base::PriorityClass priorityClass : base::s_priorityClasses) {
        const metrics::Labels labels{{"class", std::string(base::toString(priorityClass))}};
        m_registry.set("trefoilstile_requests_queued", labels, static_cast<double>(status.figures.queued[priorityClass]));
        m_registry.set("trefoilstile_requests_running", labels, static_cast<double>(status.figures.running[priorityClass]));
    }
}

void ReportingActor::record(const PeerStatus &status)
{
    m_peers = status;
    m_registry.set("trefoilstile_members", {}, static_cast<double>(status.members.size()));
    m_registry.set("trefoilstile_alarms", {}, static_cast<double>(status.alarms.size()));
}

void ReportingActor::record(const PlatformStatus &status)
{
    m_platform = status;
    for (const tablestore::BreakerState state : {tablestore::BreakerState::Closed, tablestore::BreakerState::Open, tablestore::BreakerState::HalfOpen}) {
        m_registry.set("trefoilstile_platform_breaker", {{"state", breakerName(state)}}, state == status.breaker ? 1 : 0);
    }
}

http::OperatorResponse ReportingActor::ready() const
{
    if (m_decisions.generation.value != 0) {
        return {200, "text/plain", "ready\n"};
    }
    return {503, "text/plain", "not ready: " + m_peers.notReadyReason + "\n"};
}

http::OperatorResponse ReportingActor::status() const
{
    nlohmann::json members = nlohmann::json::array();
    for (const MemberStatusLine &member : m_peers.members) {
        members.push_back({{"name", member.name},
            {"region", member.region},
            {"failure_domain", member.failureDomain},
            {"incarnation", base::toHex(member.incarnation)},
            {"alive", member.alive},
            {"leaving", member.leaving},
            {"generation", member.generation.value},
            {"drain_generation", member.drainGeneration.value}});
    }
    nlohmann::json alarms = nlohmann::json::array();
    for (const steering::Alarm &alarm : m_peers.alarms) {
        alarms.push_back({{"name", alarm.name}, {"detail", "seen generation " + std::to_string(alarm.seen.generation.value) + " hash " + alarm.seen.hash}});
    }
    return jsonResponse(200,
        {{"name", m_settings.name},
            {"environment", m_settings.environment},
            {"region", m_settings.region},
            {"failure_domain", m_settings.failureDomain},
            {"incarnation", base::toHex(m_incarnation)},
            {"generation", m_decisions.generation.value},
            {"hash", m_decisions.hash},
            {"drain_generation", m_decisions.drainGeneration.value},
            {"leaving", m_decisions.leaving},
            {"alarms", std::move(alarms)},
            {"platform", {{"breaker", breakerName(m_platform.breaker)}}},
            {"members", std::move(members)}});
}

http::OperatorResponse ReportingActor::explain(std::string_view query) const
{
    const std::optional<std::string> service = http::queryParameter(query, "service");
    const std::optional<std::string> clientText = http::queryParameter(query, "client");
    const std::optional<base::IpAddress> client = clientText ? base::parseIpAddress(*clientText) : std::nullopt;
    if (!service || !client) {
        return jsonResponse(400, {{"error", "the parameters 'service' and 'client' (an IP address) are needed"}});
    }
    if (!m_decisions.entries) {
        return jsonResponse(503, {{"error", "no document is in effect yet"}});
    }
    const routing::EntryTable &table = *m_decisions.entries;
    if (table.document().findService(*service) == nullptr) {
        return jsonResponse(404, {{"error", "unknown service"}});
    }
    AssumedCommitments commitments;
    const routing::EntryChoice choice = table.choose(*client, commitments);
    const document::Site &site = table.document().sites[table.blocks().site(*client)];
    nlohmann::json entries = nlohmann::json::array();
    for (const routing::EntryCandidate *entry : choice.entries) {
        entries.push_back({{"name", entry->name}, {"address", entry->address}, {"region", entry->region}, {"failure_domain", entry->failureDomain}});
    }
    return jsonResponse(200,
        {{"service", *service},
            {"client", *clientText},
            {"generation", table.generation().value},
            {"site", site.name},
            {"home_region", choice.homeRegion},
            {"home_failure_domain", site.failureDomain},
            {"needs_shift", choice.committed},
            {"entries", std::move(entries)}});
}

} // namespace trefoilstile::daemon
