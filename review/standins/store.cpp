// HTTP interface of the stand-in store.

#include "store.hpp"

#include <nlohmann/json.hpp>

namespace review
{

namespace
{

using Json = nlohmann::json;

constexpr auto s_connectionLifetime = std::chrono::minutes(3); ///< longer than any case

} // namespace

Store::Store()
    : m_acceptor([this] {
        while (auto connection = m_listener.accept()) {
            std::thread([this, accepted = std::move(*connection)]() mutable {
                serve(std::move(accepted));
            }).detach();
        }
    })
{
}

Store::~Store()
{
    m_listener.stop();
    m_acceptor.join();
}

void Store::put(const std::string &table, const std::string &key, const std::string &value)
{
    const std::lock_guard lock(m_mutex);
    apply({table, key, value, ++m_version, false});
}

void Store::apply(Row row)
{
    if (row.removed) {
        m_tables[row.table].erase(row.key);
    } else {
        m_tables[row.table][row.key] = row;
    }
    m_history.push_back(std::move(row));
    m_changed.notify_all();
}

void Store::beginSilence()
{
    const std::lock_guard lock(m_mutex);
    ++m_silences;
    m_silent = true;
}

void Store::endSilence()
{
    const std::lock_guard lock(m_mutex);
    m_silent = false;
}

void Store::serve(Socket connection)
{
    const auto end = Clock::now() + s_connectionLifetime;
    Message call;
    while (connection.read(call, end) == ReadResult::Complete) {
        bool lost = false;
        std::uint64_t silences = 0;
        {
            const std::lock_guard lock(m_mutex);
            lost = m_silent;
            silences = m_silences;
        }
        const Reply reply = lost ? Reply() : handle(call);
        {
            const std::lock_guard lock(m_mutex);
            lost = lost || silences != m_silences;
        }
        if (lost) {
            connection.discardUntilClosed(end);
            return;
        }
        const std::string text = "HTTP/1.1 " + std::to_string(reply.status)
            + " Status\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(reply.body.size()) + "\r\n\r\n" + reply.body;
        if (!connection.write(text)) {
            return;
        }
    }
}

Store::Reply Store::handle(const Message &call)
{
    const std::string target = call.target();
    const std::string path = target.substr(0, target.find('?'));
    if (path == "/rows-tx") {
        return transact(call.body);
    }
    if (path == "/rows-feed") {
        return changes(call);
    }
    if (path != "/rows-get") {
        return {404, "{}"};
    }
    const std::string from = queryParameter(target, "from");
    const std::lock_guard lock(m_mutex);
    std::vector<Row> rows;
    for (const auto &[key, row] : m_tables[queryParameter(target, "table_name")]) {
        if (key >= from) {
            rows.push_back(row);
        }
    }
    return {200, encode(rows)};
}

Store::Reply Store::changes(const Message &call)
{
    const std::string target = call.target();
    const std::string table = queryParameter(target, "table_name");
    const std::uint64_t after = std::stoull("0" + queryParameter(target, "after"));
    const auto end = Clock::now() + milliseconds(std::stoull("0" + queryParameter(target, "wait_ms")));
    std::unique_lock lock(m_mutex);
    while (true) {
        std::vector<Row> rows;
        for (const Row &row : m_history) {
            if (row.table == table && row.version > after) {
                rows.push_back(row);
            }
        }
        if (!rows.empty() || Clock::now() >= end) {
            return {200, encode(rows)};
        }
        m_changed.wait_until(lock, end);
    }
}

Store::Reply Store::transact(const std::string &body)
{
    const Json json = Json::parse(body, nullptr, false);
    if (!json.is_object()) {
        return {400, "{}"};
    }
    const std::lock_guard lock(m_mutex);
    for (const Json &condition : json.value("precondition", Json::array())) {
        const auto &rows = m_tables[condition.at("table_name").get<std::string>()];
        const auto row = rows.find(condition.at("key").get<std::string>());
        if ((row == rows.end() ? 0 : row->second.version) != condition.at("object_version").get<std::uint64_t>()) {
            return {412, "{}"};
        }
    }
    ++m_version;
    for (const Json &put : json.value("puts", Json::array())) {
        apply({put.at("table_name"), put.at("key"), decodeBase64(put.at("value").get<std::string>()), m_version, false});
    }
    for (const Json &drop : json.value("drop", Json::array())) {
        apply({drop.at("table_name"), drop.at("key"), {}, m_version, true});
    }
    return {200, Json{{"object_version", m_version}, {"now", "0ms"}}.dump()};
}

std::string Store::encode(const std::vector<Row> &rows) const
{
    Json body{{"rows", Json::array()}, {"object_version", m_version}, {"now", std::to_string(static_cast<int>(elapsed() * 1000)) + "ms"}, {"has_more", false}};
    for (const Row &row : rows) {
        Json item{{"table_name", row.table}, {"part", ""}, {"key", row.key}, {"object_version", row.version}};
        if (row.removed) {
            item["tombstone"] = true;
        } else {
            item["value"] = encodeBase64(row.value);
        }
        body["rows"].push_back(std::move(item));
    }
    return body.dump();
}

} // namespace review
