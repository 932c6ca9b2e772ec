// Forwards events to the decision thread, executes its commands and answers lookups locally.

#include "caller_actor.hpp"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "trefoilstile/http/clock.hpp"

namespace trefoilstile::daemon
{

namespace
{

constexpr base::Duration s_workReportPeriod = std::chrono::milliseconds(50);
constexpr base::Duration s_lookupRetry = std::chrono::seconds(2); // before jitter; short, since a document may arrive at any time
constexpr double s_lookupRetrySpread = 0.5;
constexpr base::Duration s_grantReportPeriod = std::chrono::milliseconds(100);

/// Delay before a body requests link capacity again: 1/200 of the window in which the capacity is replenished.
constexpr base::Duration s_linkWait = std::chrono::milliseconds(5);

http::LookupResponse errorResponse(std::uint16_t status, std::string_view message, base::Duration retryAfter)
{
    return {status, nlohmann::json{{"error", message}}.dump(), retryAfter};
}

} // namespace

CallerActor::CallerActor(
    boost::asio::io_context &context, const Settings &settings, idempotency::KeyIssuer keyIssuer, std::uint64_t seed, Ring<DecisionInput> &toDecisions)
    : m_workTimer(context)
    , m_grantTimer(context)
    , m_region(settings.region)
    , m_keyIssuer(keyIssuer)
    , m_random(seed)
    , m_toDecisions(toDecisions)
    , m_grants([this](engine::GrantUsed used) {
        m_toDecisions.push(engine::Event(used));
    })
    , m_linkBytes(keyIssuer.incarnation(), http::now())
    , m_upstreams(context,
          {.pacer =
                  [this](std::string_view region, std::uint64_t bytes, base::PriorityClass priorityClass) {
                      return paceLink(region, bytes, priorityClass);
                  }})
    , m_server(context,
          m_upstreams,
          {.listenAddress = settings.callerAddress, .maximumRequests = s_maximumRequests},
          {[this](engine::Event event) {
               onEvent(std::move(event));
           },
              [this](const http::LookupRequest &request) {
                  return lookup(request);
              }})
    , m_loadPoller(context, {.seed = seed + 1}, [this](engine::LoadReported report) {
        m_toDecisions.tryPush(engine::Event(std::move(report))); // a report dropped on a full ring is superseded by the next one
    })
{
    reportGrants();
}

std::string CallerActor::address() const
{
    return m_server.address();
}

void CallerActor::onEvent(engine::Event event)
{
    const auto *arrival = std::get_if<engine::RequestArrived>(&event);
    if (arrival != nullptr && m_toDecisions.freeSlots() <= s_maximumRequests * s_entriesPerRequest) {
        const base::Duration retryAfter = base::jittered(s_lookupRetry, s_lookupRetrySpread, m_random);
        m_server.execute(engine::Reject{arrival->id, 503, engine::outcomeBeforeKeyTable(*arrival), engine::RejectReason::QueueFull, retryAfter, {}, {}});
        return;
    }
    m_toDecisions.push(std::move(event));
}

void CallerActor::handle(CallerInput input)
{
    if (auto *command = std::get_if<engine::Command>(&input)) {
        m_server.execute(std::move(*command));
    } else if (auto *table = std::get_if<LookupTable>(&input)) {
        replaceLookupTable(std::move(*table));
    } else if (const auto *placed = std::get_if<PlacedGrants>(&input)) {
        m_grants.replace(placed->grants);
    } else if (auto *settings = std::get_if<DocumentSettings>(&input)) {
        m_loadPoller.setTargets(std::move(settings->loadTargets));
        m_server.setBodyLimit(settings->bodyLimit);
    } else if (std::holds_alternative<AnnounceStop>(input)) {
        m_server.announceStop();
    } else {
        m_server.stopAccepting();
        reportWork();
    }
}

http::LookupResponse CallerActor::lookup(const http::LookupRequest &request)
{
    const base::Duration retryAfter = base::jittered(s_lookupRetry, s_lookupRetrySpread, m_random);
    if (!m_entries) {
        return errorResponse(503, "no document is in effect yet", retryAfter);
    }
    const document::SteeringDocument &document = m_entries->document();
    if (document.findService(request.service) == nullptr) {
        return errorResponse(404, "unknown service", {});
    }
    const routing::EntryChoice choice = m_entries->choose(request.client, m_grants);
    if (choice.entries.empty()) {
        return errorResponse(503, "no entry instance may take this caller now", retryAfter);
    }
    nlohmann::json entries = nlohmann::json::array();
    for (const routing::EntryCandidate *entry : choice.entries) {
        entries.push_back({{"address", entry->address}, {"name", entry->name}, {"region", entry->region}, {"failure_domain", entry->failureDomain}});
    }
    const base::Duration ttl = base::jittered(document.lookup.ttl, document.lookup.jitter, m_random);
    const nlohmann::json body{{"service", request.service},
        {"generation", m_entries->generation().value},
        {"ttl_ms", base::toMilliseconds(ttl)},
        {"entries", std::move(entries)},
        {"key_prefix", m_keyIssuer.prefix(http::now(), m_random)}};
    return {200, body.dump(), {}};
}

void CallerActor::replaceLookupTable(LookupTable table)
{
    const bool newDocument = !m_entries || table.entries->generation() != m_entries->generation();
    m_entries = std::move(table.entries);
    if (newDocument) {
        m_linkBytes.adopt(m_entries->generation(), m_entries->document());
    }
}

base::Duration CallerActor::paceLink(std::string_view region, std::uint64_t bytes, base::PriorityClass priorityClass)
{
    const base::TimePoint now = http::now();
    const shift::RegionPair link{m_region, std::string(region)};
    if (m_linkBytes.available(link, shift::Resource::Bytes, priorityClass, now) < bytes) {
        return s_linkWait;
    }
    m_linkBytes.takeBytes(link, priorityClass, bytes, now);
    return {};
}

void CallerActor::reportGrants()
{
    m_grants.flush();
    m_grantTimer.expires_after(s_grantReportPeriod);
    m_grantTimer.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            reportGrants();
        }
    });
}

void CallerActor::reportWork()
{
    m_toDecisions.tryPush(
        CallerPortWork{m_server.connections(), m_server.requests(), m_server.attempts()}); // dropped on a full ring; the next period repeats it
    m_workTimer.expires_after(s_workReportPeriod);
    m_workTimer.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            reportWork();
        }
    });
}

} // namespace trefoilstile::daemon
