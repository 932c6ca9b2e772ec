// The explanation of a request as JSON.

#include "trefoilstile/proxy/request_explainer.hpp"

#include <algorithm>
#include <charconv>

#include <nlohmann/json.hpp>

#include "trefoilstile/http/message.hpp"
#include "trefoilstile/http/query.hpp"

namespace trefoilstile::proxy
{

namespace
{

using Json = nlohmann::ordered_json;

/// Candidates shown for each region. The first ranks take nearly all requests of an object.
constexpr std::size_t s_candidatesPerRegion = 5;

std::optional<ingress::KeyDigest> parseDigest(std::string_view hex)
{
    ingress::KeyDigest digest{};
    if (hex.size() != 2 * digest.size()) {
        return std::nullopt;
    }
    for (std::size_t i = 0; i < digest.size(); ++i) {
        const char *first = hex.data() + 2 * i;
        const auto [end, error] = std::from_chars(first, first + 2, digest[i], 16);
        if (error != std::errc() || end != first + 2) {
            return std::nullopt;
        }
    }
    return digest;
}

Json describe(const ingress::CandidateDescription &candidate, base::TimePoint now)
{
    const ingress::Upstream &upstream = *candidate.upstream;
    return {{"upstream", upstream.report.id},
        {"region", upstream.region},
        {"failure_domain", upstream.report.failureDomain},
        {"rank", candidate.rank},
        {"load", candidate.load},
        {"load_age_ms", upstream.loadUpdatedAt == base::TimePoint() ? -1 : base::toMilliseconds(now - upstream.loadUpdatedAt)},
        {"slots", upstream.report.slots},
        {"wait_ms", base::toMilliseconds(candidate.wait)},
        {"cost_ms", base::toMilliseconds(candidate.cost)},
        {"object_warm", candidate.warm},
        {"warming_up", upstream.warmingUpUntil > now},
        {"avoided", candidate.avoided},
        {"paused", candidate.quiet}};
}

const char *reasonText(ingress::PlacementReason reason)
{
    switch (reason) {
    case ingress::PlacementReason::First:
        return "ranked first for the object";
    case ingress::PlacementReason::Warm:
        return "has processed the object recently";
    case ingress::PlacementReason::Cold:
        return "has room, although the object is not known to be warm there";
    case ingress::PlacementReason::Spill:
        return "the planned region is full and this upstream of another region has a free slot";
    case ingress::PlacementReason::None:
        break;
    }
    return "";
}

Json place(ingress::Placement &placement, const EntryCore &core, const ingress::PlacementRequest &request, base::TimePoint now)
{
    const ingress::PlacementResult result = placement.choose(request, core.configuration, now);
    Json json{{"service", request.service}, {"planned_region", result.plannedRegion}};
    switch (result.outcome) {
    case ingress::PlacementOutcome::Chosen:
        json["decision"] = "send";
        json["upstream"] = result.upstream->report.id;
        json["why"] = reasonText(result.reason);
        break;
    case ingress::PlacementOutcome::NoRoom:
        json["decision"] = "refuse";
        json["status"] = 503;
        json["retry_after_ms"] = base::toMilliseconds(result.retryAfter);
        json["why"] = "no candidate can answer before the deadline";
        break;
    case ingress::PlacementOutcome::NoUpstream:
        json["decision"] = "refuse";
        json["status"] = 503;
        json["why"] = "no usable upstream of the service is known";
        break;
    }
    json["candidates"] = Json::array();
    for (const ingress::CandidateDescription &candidate : placement.describe(request, s_candidatesPerRegion, now)) {
        json["candidates"].push_back(describe(candidate, now));
    }
    return json;
}

/// Account of the request; `known` is false if it names one that the configuration does not hold.
std::shared_ptr<const ingress::Account> accountOf(const EntryCore &core, const ExplainedRequest &request, bool &known)
{
    known = true;
    if (request.keyDigest) {
        auto account = core.accounts->find(*request.keyDigest);
        known = account != nullptr;
        return account;
    }
    const auto &accounts = core.configuration.accounts;
    const auto found = std::find_if(accounts.begin(), accounts.end(), [&request](const ingress::Account &account) {
        return account.name == request.account;
    });
    known = request.account.empty() || found != accounts.end();
    return found == accounts.end() ? nullptr : std::make_shared<const ingress::Account>(*found);
}

std::string text(const Json &json)
{
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Json refusal(Json json, int status, const char *why)
{
    json["decision"] = "refuse";
    json["status"] = status;
    json["why"] = why;
    return json;
}

} // namespace

std::optional<ExplainedRequest> parseExplainedRequest(std::string_view query)
{
    ExplainedRequest request;
    request.host = http::lowerCase(http::queryParameter(query, "host").value_or(""));
    request.path = http::queryParameter(query, "path").value_or("");
    request.objectKey = http::queryParameter(query, "object").value_or("");
    request.account = http::queryParameter(query, "account").value_or("");
    if (request.host.empty() || !request.path.starts_with('/')) {
        return std::nullopt;
    }
    if (const auto digest = http::queryParameter(query, "key_digest")) {
        request.keyDigest = parseDigest(*digest);
        if (!request.keyDigest) {
            return std::nullopt;
        }
    }
    if (const auto deadline = http::queryParameter(query, "deadline_ms")) {
        constexpr std::uint64_t maximum = 3'600'000;
        const auto milliseconds = http::parseNumber(*deadline);
        if (!milliseconds || *milliseconds == 0 || *milliseconds > maximum) {
            return std::nullopt;
        }
        request.timeLeft = std::chrono::milliseconds(*milliseconds);
    }
    return request;
}

std::string explainRequest(const EntryCore &core, const ExplainedRequest &request, base::TimePoint now)
{
    Json json{{"instance", core.settings.name}, {"configuration", core.configuration.version}};
    if (!core.routes || !core.upstreamsKnown) {
        return text(refusal(std::move(json), 503, "this instance has no configuration or does not know the upstreams yet"));
    }
    if (core.stop.begun()) {
        json["stopping"] = true;
    }
    const auto route = core.routes->find(request.host, std::string_view(request.path).substr(0, request.path.find('?')));
    if (!route) {
        return text(refusal(std::move(json), 404, "no route of the host matches the path"));
    }
    json["route"] = route->route.name;
    json["priority"] = route->route.priority;
    json["may_repeat"] = route->route.idempotent;
    bool known = false;
    std::shared_ptr<const ingress::Account> account = accountOf(core, request, known);
    const bool needed = core.accounts->requiresAccount(route->route);
    if (needed && !account) {
        return text(
            refusal(std::move(json), 401, known ? "the route needs the key of an account" : "no account of the configuration holds the key or has the name"));
    }
    if (!needed) {
        account = nullptr; // a public route does not look at the caller's account
    }
    if (account) {
        json["account"] = {{"name", account->name}, {"priority", account->priority}};
    }
    const base::Duration timeLeft = std::min(route->route.timeout, request.timeLeft.value_or(route->route.timeout));
    json["time_allowed_ms"] = base::toMilliseconds(timeLeft);
    json["services"] = Json::array();
    for (const ingress::ServiceShare &share : route->route.shares) {
        ingress::Placement placement = core.placement;
        const std::uint64_t key = ingress::objectHash(route->route, request.objectKey);
        Json service = place(placement, core, {route->route, share.service, key, {}, timeLeft, account.get()}, now);
        service["weight"] = share.weight;
        json["services"].push_back(std::move(service));
    }
    return text(json);
}

} // namespace trefoilstile::proxy
