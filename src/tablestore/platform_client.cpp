// Request paths, JSON parsing and error mapping of the platform client.

#include "trefoilstile/tablestore/platform_client.hpp"

#include <algorithm>
#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "trefoilstile/tablestore/error.hpp"

namespace trefoilstile::tablestore
{

namespace
{

using nlohmann::json;

constexpr unsigned s_notFound = 404;
constexpr unsigned s_conflict = 409;
constexpr unsigned s_tooManyRequests = 429;

bool isSuccess(unsigned status)
{
    return status >= 200 && status < 300;
}

std::string rowTarget(std::string_view table, std::string_view key)
{
    return fmt::format("/tables/{}/rows/{}", percentEncoded(table), percentEncoded(key));
}

std::string objectTarget(std::string_view hash)
{
    return fmt::format("/objects/{}", percentEncoded(hash));
}

/// Parses a row from `{"version","value"}`; nothing if the object has another format.
std::optional<Row> parseRow(const json &object)
{
    if (!object.is_object() || !object.contains("version") || !object["version"].is_number_unsigned()) {
        return std::nullopt;
    }
    Row row{object["version"].get<std::uint64_t>(), {}};
    if (row.version != 0 && object.contains("value")) {
        row.value = object["value"].dump();
    }
    return row;
}

std::optional<Row> parseRow(const std::string &body)
{
    return parseRow(json::parse(body, nullptr, false));
}

json parseArray(const std::string &body)
{
    json array = json::parse(body, nullptr, false);
    if (!array.is_array()) {
        throw MalformedData("platform: the response is not a JSON array");
    }
    return array;
}

std::string stringField(const json &object, const char *field)
{
    return object.contains(field) && object[field].is_string() ? object[field].get<std::string>() : std::string();
}

/// Parses an element of the instance list; nothing if it has another format. The list only supplements other sources, so
/// an element that cannot be parsed is skipped.
std::optional<ListedInstance> parseInstance(const json &object)
{
    if (!object.is_object()) {
        return std::nullopt;
    }
    const std::string kind = stringField(object, "kind");
    const auto incarnation = base::incarnationFromHex(stringField(object, "incarnation"));
    if ((kind != "entry" && kind != "upstream") || !incarnation) {
        return std::nullopt;
    }
    return ListedInstance{stringField(object, "name"),
        kind == "entry" ? ListedInstance::Kind::Entry : ListedInstance::Kind::Upstream,
        stringField(object, "failure_domain"),
        stringField(object, "address"),
        *incarnation,
        stringField(object, "state") == "leaving"};
}

} // namespace

PlatformClient::PlatformClient(PlatformClientOptions options, Clock clock, std::uint64_t seed)
    : m_options(std::move(options))
    , m_clock(std::move(clock))
    , m_random(seed)
    , m_breaker(m_options.breaker)
    , m_budgets(m_options.budgets)
    , m_connection(m_options.endpoint, m_options.http)
{
}

Row PlatformClient::readRow(std::string_view table, std::string_view key, const Call &call)
{
    const HttpResponse response = read(rowTarget(table, key), call);
    if (response.status == s_notFound) {
        return {};
    }
    std::optional<Row> row = parseRow(response.body);
    if (!row) {
        throw MalformedData(fmt::format("platform: the response for {}/{} is not a row", table, key));
    }
    return std::move(*row);
}

std::vector<KeyedRow> PlatformClient::listRows(std::string_view table, std::string_view prefix, const Call &call)
{
    const HttpResponse response = read(fmt::format("/tables/{}/rows?prefix={}", percentEncoded(table), percentEncoded(prefix)), call);
    std::vector<KeyedRow> rows;
    for (const json &element : parseArray(response.body)) {
        std::optional<Row> row = parseRow(element);
        if (!row || !element.contains("key") || !element["key"].is_string()) {
            throw MalformedData(fmt::format("platform: the list of {} has an element that is not a row", table));
        }
        rows.push_back({element["key"].get<std::string>(), std::move(*row)});
    }
    return rows;
}

WriteResult PlatformClient::writeRow(std::string_view table, std::string_view key, std::uint64_t ifVersion, std::string_view value, const Call &call)
{
    return conditionalWrite({"PUT", rowTarget(table, key), {{"If-Version", std::to_string(ifVersion)}, {"Content-Type", "application/json"}}, value}, call);
}

WriteResult PlatformClient::removeRow(std::string_view table, std::string_view key, std::uint64_t ifVersion, const Call &call)
{
    return conditionalWrite({"DELETE", rowTarget(table, key), {{"If-Version", std::to_string(ifVersion)}}, {}}, call);
}

std::optional<std::string> PlatformClient::readObject(std::string_view hash, const Call &call)
{
    HttpResponse response = read(objectTarget(hash), call);
    if (response.status == s_notFound) {
        return std::nullopt;
    }
    return std::move(response.body);
}

void PlatformClient::writeObject(std::string_view hash, std::string_view bytes, const Call &call)
{
    const HttpResponse response = exchange({"PUT", objectTarget(hash), {{"Content-Type", "application/octet-stream"}}, bytes, true}, Access::Write, call);
    if (!isSuccess(response.status)) {
        rejected(response, Access::Write);
    }
}

std::vector<ListedInstance> PlatformClient::instances(const Call &call)
{
    const HttpResponse response = read("/instances", call);
    std::vector<ListedInstance> listed;
    for (const json &element : parseArray(response.body)) {
        if (std::optional<ListedInstance> instance = parseInstance(element)) {
            listed.push_back(std::move(*instance));
        }
    }
    return listed;
}

BreakerState PlatformClient::breakerState() const
{
    return m_breakerState.load(std::memory_order_relaxed);
}

HttpResponse PlatformClient::read(std::string target, const Call &call)
{
    HttpResponse response = exchange({"GET", std::move(target), {}, {}, true}, Access::Read, call);
    if (!isSuccess(response.status) && response.status != s_notFound) {
        rejected(response, Access::Read);
    }
    return response;
}

WriteResult PlatformClient::conditionalWrite(const HttpRequest &request, const Call &call)
{
    const HttpResponse response = exchange(request, Access::Write, call);
    const bool conflict = response.status == s_conflict;
    if (!isSuccess(response.status) && !conflict) {
        rejected(response, Access::Write);
    }
    std::optional<Row> row = parseRow(response.body);
    if (!row) {
        throw OutcomeUnknown("platform: the response to a write is malformed");
    }
    return {!conflict, std::move(*row)};
}

void PlatformClient::rejected(const HttpResponse &response, Access access) const
{
    const std::string message = fmt::format("platform: status {}", response.status);
    if (response.status == s_tooManyRequests) {
        throw Throttled(message);
    }
    if (access == Access::Write && (response.status < 400 || response.status >= 500)) {
        throw OutcomeUnknown(message);
    }
    throw Unavailable(message);
}

HttpResponse PlatformClient::exchange(const HttpRequest &request, Access access, const Call &call)
{
    const base::TimePoint start = m_clock();
    if (call.deadline <= start) {
        throw Unavailable("platform: the deadline has passed");
    }
    const auto permit = m_breaker.tryAcquire(start);
    m_breakerState = m_breaker.state();
    if (!permit) {
        throw Throttled("platform: the circuit breaker is open");
    }
    if (!m_budgets.tryTake(access, call.purpose, start)) {
        m_breaker.recordAbandoned(*permit);
        throw Throttled("platform: the request budget is used up");
    }

    // A time-out of a request with a shorter time limit than usual is not evidence of a platform failure, so it is not
    // counted. A probe is always counted; otherwise probes could be made more often than the backoff allows.
    const base::Duration limit = call.deadline - start;
    const bool shortened = limit < m_options.http.connectTimeout + m_options.http.readTimeout && m_breaker.state() == BreakerState::Closed;
    try {
        HttpResponse response = m_connection.exchange(request, limit);
        if (response.status >= 500) {
            m_breaker.recordFailure(*permit, m_clock(), m_random);
        } else {
            m_breaker.recordSuccess(*permit);
        }
        m_breakerState = m_breaker.state();
        return response;
    } catch (const HttpError &error) {
        if (error.timedOut() && shortened) {
            m_breaker.recordAbandoned(*permit);
        } else {
            m_breaker.recordFailure(*permit, m_clock(), m_random);
        }
        m_breakerState = m_breaker.state();
        if (access == Access::Write && !error.nothingSent()) {
            throw OutcomeUnknown(fmt::format("platform: {}", error.what()));
        }
        throw Unavailable(fmt::format("platform: {}", error.what()));
    } catch (...) {
        m_breaker.recordAbandoned(*permit);
        throw;
    }
}

} // namespace trefoilstile::tablestore
