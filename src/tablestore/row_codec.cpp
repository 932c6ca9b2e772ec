// Parsing and serialization of row values with nlohmann-json.

#include "row_codec.hpp"

#include <algorithm>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "trefoilstile/tablestore/error.hpp"

namespace trefoilstile::tablestore
{

namespace
{

using nlohmann::json;

json parseObject(const Row &row)
{
    json value = json::parse(row.value, nullptr, false);
    if (!value.is_object()) {
        throw MalformedData("the row is not a JSON object");
    }
    return value;
}

std::string parseString(const json &object, const char *field, bool required = true)
{
    const auto found = object.find(field);
    if (found == object.end() && !required) {
        return {};
    }
    if (found == object.end() || !found->is_string()) {
        throw MalformedData(fmt::format("the row's field {} is not a string", field));
    }
    return found->get<std::string>();
}

base::Generation parseGeneration(const json &object)
{
    const auto found = object.find("generation");
    if (found == object.end() || !found->is_number_unsigned() || found->get<std::uint64_t>() == 0) {
        throw MalformedData("the row's generation is not a positive integer");
    }
    return {found->get<std::uint64_t>()};
}

HistoryEntry parseEntry(const json &object)
{
    if (!object.is_object()) {
        throw MalformedData("an element of the row's history is not an object");
    }
    return {parseGeneration(object), parseString(object, "submission"), parseString(object, "hash", false), parseString(object, "accepted_at", false)};
}

/// Parses the history. If the row has no history, the result has the submission in effect as its only element.
std::vector<HistoryEntry> parseHistoryField(const json &object)
{
    std::vector<HistoryEntry> entries;
    const HistoryEntry current = parseEntry(object);
    const auto found = object.find("history");
    if (found == object.end()) {
        return {current};
    }
    if (!found->is_array()) {
        throw MalformedData("the row's history is not an array");
    }
    for (const json &element : *found) {
        entries.push_back(parseEntry(element));
    }
    if (entries.empty() || entries.back().generation != current.generation || entries.back().submission != current.submission) {
        throw MalformedData("the row's history does not end with the submission in effect");
    }
    return entries;
}

json toJson(const HistoryEntry &entry)
{
    json object{{"generation", entry.generation.value}, {"submission", entry.submission}};
    if (!entry.hash.empty()) {
        object["hash"] = entry.hash;
    }
    if (!entry.acceptedAt.empty()) {
        object["accepted_at"] = entry.acceptedAt;
    }
    return object;
}

json rowObject(const std::vector<HistoryEntry> &entries)
{
    json object = toJson(entries.back());
    object["history"] = json::array();
    for (const HistoryEntry &element : entries) {
        object["history"].push_back(toJson(element));
    }
    return object;
}

engine::Drain parseDrain(const json &object)
{
    if (!object.is_object()) {
        throw MalformedData("an element of the drain list is not an object");
    }
    const std::string kindName = parseString(object, "kind");
    const auto kind = drainKindFromString(kindName);
    if (!kind) {
        throw MalformedData(fmt::format("the drain list has an element of unknown kind {}", kindName));
    }
    return {*kind, parseString(object, "name")};
}

} // namespace

DocumentRow parseDocumentRow(const Row &row)
{
    const json object = parseObject(row);
    DocumentRow result{row.version,
        parseGeneration(object),
        parseString(object, "hash"),
        parseString(object, "submission"),
        parseString(object, "accepted_at", false),
        parseHistoryField(object)};
    const bool isHash = result.hash.size() == 64 && result.hash.find_first_not_of("0123456789abcdef") == std::string::npos;
    if (!isHash) {
        throw MalformedData("the row's hash is not 64 hexadecimal digits");
    }
    return result;
}

DrainRow parseDrainRow(const Row &row)
{
    if (row.version == 0) {
        return {};
    }
    const json object = parseObject(row);
    DrainRow result{row.version, parseGeneration(object), parseString(object, "submission"), {}, parseHistoryField(object)};
    const auto drains = object.find("drains");
    if (drains == object.end() || !drains->is_array()) {
        throw MalformedData("the row's field drains is not an array");
    }
    for (const json &element : *drains) {
        result.drains.push_back(parseDrain(element));
    }
    std::sort(result.drains.begin(), result.drains.end());
    result.drains.erase(std::unique(result.drains.begin(), result.drains.end()), result.drains.end());
    return result;
}

std::vector<HistoryEntry> parseHistory(const Row &row)
{
    return row.version == 0 ? std::vector<HistoryEntry>{} : parseHistoryField(parseObject(row));
}

bool hasCompleteHistory(const Row &row)
{
    const json object = json::parse(row.value, nullptr, false);
    const auto found = object.find("history");
    return found != object.end() && found->is_array() && !found->empty() && found->size() < s_historyLength;
}

std::string documentRowText(const std::vector<HistoryEntry> &entries)
{
    return rowObject(entries).dump();
}

std::string drainRowText(const std::vector<HistoryEntry> &entries, const std::vector<engine::Drain> &drains)
{
    json object = rowObject(entries);
    object["drains"] = json::array();
    for (const engine::Drain &listed : drains) {
        object["drains"].push_back({{"kind", toString(listed.kind)}, {"name", listed.name}});
    }
    return object.dump();
}

std::vector<HistoryEntry> appended(std::vector<HistoryEntry> entries, HistoryEntry added)
{
    entries.push_back(std::move(added));
    if (entries.size() > s_historyLength) {
        entries.erase(entries.begin(), entries.end() - static_cast<std::ptrdiff_t>(s_historyLength));
    }
    return entries;
}

std::string claimRowText(std::string_view claimId, std::int64_t expiresAtMs)
{
    return json{{"claim", claimId}, {"expires_at_ms", expiresAtMs}}.dump();
}

std::optional<ClaimRow> parseClaimRow(const Row &row)
{
    const json object = json::parse(row.value, nullptr, false);
    if (!object.is_object() || !object.contains("claim") || !object["claim"].is_string() || !object.contains("expires_at_ms")
        || !object["expires_at_ms"].is_number_integer()) {
        return std::nullopt;
    }
    return ClaimRow{object["claim"].get<std::string>(), object["expires_at_ms"].get<std::int64_t>()};
}

} // namespace trefoilstile::tablestore
