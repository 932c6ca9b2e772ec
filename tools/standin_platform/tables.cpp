// Conditional writes over ordered maps.

#include "tables.hpp"

namespace trefoilstile::standin
{

std::optional<StoredRow> Tables::read(std::string_view table, std::string_view key)
{
    ++countersOf(table).reads;
    StoredRow row = current(table, key);
    if (row.version == 0) {
        return std::nullopt;
    }
    return row;
}

std::vector<KeyedRow> Tables::list(std::string_view table, std::string_view prefix)
{
    ++countersOf(table).reads;
    std::vector<KeyedRow> found;
    const auto rows = m_tables.find(table);
    if (rows == m_tables.end()) {
        return found;
    }
    for (auto row = rows->second.lower_bound(prefix); row != rows->second.end() && row->first.starts_with(prefix); ++row) {
        found.push_back({row->first, row->second});
    }
    return found;
}

std::optional<std::uint64_t> Tables::write(std::string_view table, std::string_view key, std::uint64_t ifVersion, std::string value)
{
    TableCounters &counted = countersOf(table);
    ++counted.writes;
    if (current(table, key).version != ifVersion) {
        ++counted.conflicts;
        return std::nullopt;
    }
    m_tables[std::string(table)][std::string(key)] = StoredRow{++m_lastVersion, std::move(value)};
    return m_lastVersion;
}

bool Tables::remove(std::string_view table, std::string_view key, std::uint64_t ifVersion)
{
    TableCounters &counted = countersOf(table);
    ++counted.writes;
    if (ifVersion == 0 || current(table, key).version != ifVersion) {
        ++counted.conflicts;
        return false;
    }
    m_tables[std::string(table)].erase(std::string(key));
    return true;
}

StoredRow Tables::current(std::string_view table, std::string_view key) const
{
    const auto rows = m_tables.find(table);
    if (rows == m_tables.end()) {
        return {};
    }
    const auto row = rows->second.find(key);
    return row == rows->second.end() ? StoredRow{} : row->second;
}

const std::map<std::string, TableCounters, std::less<>> &Tables::counters() const
{
    return m_counters;
}

TableCounters &Tables::countersOf(std::string_view table)
{
    return m_counters[std::string(table)];
}

} // namespace trefoilstile::standin
