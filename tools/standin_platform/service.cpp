// Routing of requests, faults and counters.

#include "service.hpp"

#include <algorithm>
#include <charconv>
#include <stdexcept>
#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace trefoilstile::standin
{

namespace
{

using nlohmann::json;

Response failure(unsigned status, std::string_view message)
{
    return {.status = status, .body = json{{"error", message}}.dump()};
}

json toJson(const StoredRow &row)
{
    return {{"version", row.version}, {"value", row.version == 0 ? json() : json::parse(row.value)}};
}

json toJson(const TableCounters &counted)
{
    return {{"reads", counted.reads}, {"writes", counted.writes}, {"conflicts", counted.conflicts}};
}

int hexDigit(char digit)
{
    constexpr std::string_view digits = "0123456789abcdef";
    const auto place = digits.find(static_cast<char>(digit >= 'A' && digit <= 'F' ? digit - 'A' + 'a' : digit));
    return place == std::string_view::npos ? -1 : static_cast<int>(place);
}

/// Text with `%XX` replaced; malformed sequences stay as they are.
std::string percentDecoded(std::string_view text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const bool coded = text[i] == '%' && i + 2 < text.size() && hexDigit(text[i + 1]) >= 0 && hexDigit(text[i + 2]) >= 0;
        decoded += coded ? static_cast<char>(hexDigit(text[i + 1]) * 16 + hexDigit(text[i + 2])) : text[i];
        i += coded ? 2 : 0;
    }
    return decoded;
}

/// Value of the query parameter, or empty.
std::string queryParameter(std::string_view query, std::string_view name)
{
    while (!query.empty()) {
        const std::string_view pair = query.substr(0, query.find('&'));
        query.remove_prefix(std::min(query.size(), pair.size() + 1));
        const auto equals = pair.find('=');
        if (equals != std::string_view::npos && pair.substr(0, equals) == name) {
            return percentDecoded(pair.substr(equals + 1));
        }
    }
    return {};
}

std::optional<std::uint64_t> parseVersion(std::string_view text)
{
    std::uint64_t version{};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), version);
    if (error != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return version;
}

double nonNegative(const json &value, const std::string &field)
{
    if (!value.is_number() || value.get<double>() < 0) {
        throw std::invalid_argument(field + " must be a number that is not negative");
    }
    return value.get<double>();
}

base::Duration milliseconds(const json &value, const std::string &field)
{
    return std::chrono::duration_cast<base::Duration>(std::chrono::duration<double, std::milli>(nonNegative(value, field)));
}

std::optional<Delivery> unreachableMode(const json &value)
{
    if (value == json(false) || value == json("no")) {
        return std::nullopt;
    }
    if (value == json(true) || value == json("hang")) {
        return Delivery::NeverRespond;
    }
    if (value == json("reset")) {
        return Delivery::Reset;
    }
    throw std::invalid_argument("unreachable must be false, true, \"hang\" or \"reset\"");
}

void setFault(Faults &faults, const std::string &field, const json &value)
{
    if (field == "latency_ms") {
        faults.latency = milliseconds(value, field);
    } else if (field == "unreachable") {
        faults.unreachable = unreachableMode(value);
    } else if (field == "lose_write_answers") {
        faults.loseWriteAnswers = static_cast<std::uint64_t>(nonNegative(value, field));
    } else if (field == "lose_object_answers") {
        faults.loseObjectAnswers = static_cast<std::uint64_t>(nonNegative(value, field));
    } else if (field == "instances_lag_ms") {
        faults.instancesLag = milliseconds(value, field);
    } else if (field == "reads_per_s") {
        faults.readsPerSecond = nonNegative(value, field);
    } else if (field == "writes_per_s") {
        faults.writesPerSecond = nonNegative(value, field);
    } else {
        throw std::invalid_argument("unknown field " + field);
    }
}

} // namespace

bool RateLimit::take(double perSecond, base::TimePoint now)
{
    if (perSecond <= 0) {
        m_last.reset();
        return true;
    }
    const double capacity = std::max(1.0, perSecond);
    m_tokens = m_last ? std::min(capacity, m_tokens + base::toSeconds(now - *m_last) * perSecond) : capacity;
    m_last = now;
    if (m_tokens < 1.0) {
        return false;
    }
    m_tokens -= 1.0;
    return true;
}

Response PlatformService::handle(const Request &request, base::TimePoint now)
{
    if (request.target.starts_with("/_")) {
        return admin(request);
    }
    if (m_faults.unreachable) {
        return {.delivery = *m_faults.unreachable};
    }
    const std::string_view target = request.target;
    const std::string_view path = target.substr(0, target.find('?'));
    const std::string_view query = path.size() == target.size() ? std::string_view() : target.substr(path.size() + 1);
    // Setting the instance list is a means of the tests, so it is neither limited nor delayed.
    const bool isTestSetup = request.method == "PUT" && path == "/instances";
    const bool isRead = request.method == "GET";
    const bool allowed = isTestSetup || (isRead ? m_readLimit.take(m_faults.readsPerSecond, now) : m_writeLimit.take(m_faults.writesPerSecond, now));
    Response response;
    if (allowed) {
        response = route(request, path, query, now);
    } else {
        ++m_limited;
        response = failure(429, "rate limit");
    }
    response.delay = isTestSetup ? base::Duration::zero() : m_faults.latency;
    return response;
}

Response PlatformService::admin(const Request &request)
{
    if (request.target == "/_faults" && request.method == "POST") {
        return setFaults(request.body);
    }
    if (request.target == "/_counters" && request.method == "GET") {
        return counters();
    }
    return failure(404, "no such resource");
}

Response PlatformService::setFaults(const std::string &body)
{
    const json fields = json::parse(body, nullptr, false);
    if (!fields.is_object()) {
        return failure(400, "the body must be a JSON object");
    }
    Faults changed = m_faults;
    try {
        for (const auto &[field, value] : fields.items()) {
            setFault(changed, field, value);
        }
    } catch (const std::invalid_argument &error) {
        return failure(400, error.what());
    }
    m_faults = changed;
    return {.body = "{}"};
}

Response PlatformService::counters() const
{
    json tables = json::object();
    for (const auto &[table, counted] : m_tables.counters()) {
        tables[table] = toJson(counted);
    }
    const json all{{"tables", tables},
        {"objects", toJson(m_objectCounters)},
        {"instances", {{"reads", m_instanceReads}}},
        {"limited", m_limited},
        {"answers_lost", m_answersLost}};
    return {.body = all.dump()};
}

Response PlatformService::route(const Request &request, std::string_view path, std::string_view query, base::TimePoint now)
{
    constexpr std::string_view tablesRoot = "/tables/";
    constexpr std::string_view objectsRoot = "/objects/";
    constexpr std::string_view rowsPart = "/rows";
    if (path == "/instances") {
        return instances(request, now);
    }
    if (path.starts_with(objectsRoot) && path.size() > objectsRoot.size()) {
        return objects(request, path.substr(objectsRoot.size()));
    }
    if (path.starts_with(tablesRoot)) {
        const std::string_view rest = path.substr(tablesRoot.size());
        const std::string_view table = rest.substr(0, rest.find('/'));
        std::string_view tail = rest.substr(table.size());
        if (!table.empty() && tail.starts_with(rowsPart)) {
            tail.remove_prefix(rowsPart.size());
            if (tail.empty() || (tail.size() > 1 && tail.front() == '/')) {
                return rows(request, table, tail.empty() ? tail : tail.substr(1), query);
            }
        }
    }
    return failure(404, "no such resource");
}

Response PlatformService::rows(const Request &request, std::string_view table, std::string_view codedKey, std::string_view query)
{
    const std::string key = percentDecoded(codedKey);
    if (key.empty() && request.method == "GET") {
        json listed = json::array();
        for (const KeyedRow &found : m_tables.list(table, queryParameter(query, "prefix"))) {
            json row = toJson(found.row);
            row["key"] = found.key;
            listed.push_back(std::move(row));
        }
        return {.body = listed.dump()};
    }
    if (!key.empty() && request.method == "GET") {
        const std::optional<StoredRow> row = m_tables.read(table, key);
        return row ? Response{.body = toJson(*row).dump()} : failure(404, "no such row");
    }
    if (!key.empty() && (request.method == "PUT" || request.method == "DELETE")) {
        return writeRow(request, table, key);
    }
    return failure(405, "method not allowed");
}

Response PlatformService::writeRow(const Request &request, std::string_view table, std::string_view key)
{
    const std::optional<std::uint64_t> ifVersion = parseVersion(request.ifVersion);
    if (!ifVersion) {
        return failure(400, "the header If-Version must hold a version");
    }
    std::optional<std::uint64_t> version;
    if (request.method == "PUT") {
        const json value = json::parse(request.body, nullptr, false);
        if (value.is_discarded()) {
            return failure(400, "the body must be JSON");
        }
        version = m_tables.write(table, key, *ifVersion, request.body);
    } else if (m_tables.remove(table, key, *ifVersion)) {
        version = 0;
    }
    if (!version) {
        return {.status = 409, .body = toJson(m_tables.current(table, key)).dump()};
    }
    Response response{.body = json{{"version", *version}}.dump()};
    if (m_faults.loseWriteAnswers > 0) {
        --m_faults.loseWriteAnswers;
        ++m_answersLost;
        response.delivery = Delivery::CloseWithoutResponse;
    }
    return response;
}

Response PlatformService::objects(const Request &request, std::string_view hash)
{
    if (request.method == "GET") {
        ++m_objectCounters.reads;
        const auto object = m_objects.find(hash);
        return object == m_objects.end() ? failure(404, "no such object") : Response{.body = object->second};
    }
    if (request.method != "PUT") {
        return failure(405, "method not allowed");
    }
    ++m_objectCounters.writes;
    // The bytes are not checked against the name: tests store damaged objects.
    m_objects[std::string(hash)] = request.body;
    Response response{.body = "{}"};
    if (m_faults.loseObjectAnswers > 0) {
        --m_faults.loseObjectAnswers;
        ++m_answersLost;
        response.delivery = Delivery::CloseWithoutResponse;
    }
    return response;
}

Response PlatformService::instances(const Request &request, base::TimePoint now)
{
    if (request.method == "PUT") {
        const json list = json::parse(request.body, nullptr, false);
        if (!list.is_array()) {
            return failure(400, "the body must be a JSON array");
        }
        m_instances.push_back({now, list.dump()});
        return {.body = "{}"};
    }
    if (request.method != "GET") {
        return failure(405, "method not allowed");
    }
    ++m_instanceReads;
    const auto visible = [&](const InstanceList &list) {
        return list.setAt + m_faults.instancesLag <= now;
    };
    while (m_instances.size() > 1 && visible(m_instances[1])) {
        m_instances.pop_front();
    }
    return {.body = !m_instances.empty() && visible(m_instances.front()) ? m_instances.front().body : "[]"};
}

} // namespace trefoilstile::standin
