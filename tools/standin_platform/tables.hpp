// Rows and objects of the stand-in platform, held in memory, with counters of what was asked of them.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace trefoilstile::standin
{

/// Row of a table. `value` is JSON text.
struct StoredRow {
    std::uint64_t version{}; ///< 0 stands for a row that does not exist
    std::string value;
};

struct KeyedRow {
    std::string key;
    StoredRow row;
};

/// Requests counted for one table.
struct TableCounters {
    std::uint64_t reads{};
    std::uint64_t writes{}; ///< conflicts included
    std::uint64_t conflicts{};
};

/// Tables with conditional writes. Versions come from one counter, so that a row that was deleted and made anew never
/// shows a version it had before.
class Tables
{
public:
    std::optional<StoredRow> read(std::string_view table, std::string_view key);
    std::vector<KeyedRow> list(std::string_view table, std::string_view prefix);

    /// Writes the row if it has version `ifVersion` (0: does not exist). Returns the new version, or nothing on conflict.
    std::optional<std::uint64_t> write(std::string_view table, std::string_view key, std::uint64_t ifVersion, std::string value);

    /// Removes the row if it has version `ifVersion`; false on conflict.
    bool remove(std::string_view table, std::string_view key, std::uint64_t ifVersion);

    /// Row as it stands, without counting a read; version 0 if it does not exist.
    StoredRow current(std::string_view table, std::string_view key) const;

    const std::map<std::string, TableCounters, std::less<>> &counters() const;

private:
    using Rows = std::map<std::string, StoredRow, std::less<>>;

    TableCounters &countersOf(std::string_view table);

    std::map<std::string, Rows, std::less<>> m_tables;
    std::map<std::string, TableCounters, std::less<>> m_counters;
    std::uint64_t m_lastVersion{};
};

} // namespace trefoilstile::standin
