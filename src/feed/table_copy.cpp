// Merging of rows by version, and the changes after a version.

#include "trefoilstile/feed/table_copy.hpp"

#include <algorithm>

namespace trefoilstile::feed
{

std::vector<Row> TableCopy::apply(std::vector<Row> rows, std::uint64_t version, bool completeRead)
{
    std::vector<Row> changed;
    std::set<std::string, std::less<>> present;
    for (Row &row : rows) {
        if (completeRead) {
            present.insert(row.key);
        }
        m_lastChange = std::max(m_lastChange, row.version);
        const auto found = m_rows.find(row.key);
        if (found != m_rows.end() && row.version <= found->second.version) {
            continue;
        }
        if (found == m_rows.end() && row.version <= m_forgottenUpTo && m_complete && !completeRead) {
            continue; // it may have been removed since, which is no longer known
        }
        const bool existed = found != m_rows.end() && !found->second.removed;
        const bool same = row.removed ? !existed : existed && found->second.value == row.value;
        store(row);
        if (!same) {
            changed.push_back(std::move(row));
        }
    }
    if (completeRead) {
        m_complete = true;
        std::vector<Row> missing;
        for (const auto &[key, entry] : m_rows) {
            if (!entry.removed && entry.version <= version && !present.contains(key)) {
                missing.push_back({key, {}, version, true});
            }
        }
        for (Row &row : missing) {
            store(row);
            changed.push_back(std::move(row));
        }
    }
    m_version = std::max(m_version, version);
    forgetTombstones();
    return changed;
}

void TableCopy::store(const Row &row)
{
    Entry &entry = m_rows[row.key];
    const std::pair<std::uint64_t, std::string> before(entry.version, row.key);
    m_byVersion.erase(before);
    m_tombstones.erase(before);
    entry = {row.removed ? std::string() : row.value, row.version, row.removed};
    m_byVersion.emplace(row.version, row.key);
    if (row.removed) {
        m_tombstones.emplace(row.version, row.key);
    }
}

void TableCopy::forgetTombstones()
{
    while (m_tombstones.size() > m_options.maximumTombstones) {
        const auto oldest = m_tombstones.begin();
        m_forgottenUpTo = std::max(m_forgottenUpTo, oldest->first);
        m_rows.erase(oldest->second);
        m_byVersion.erase(*oldest);
        m_tombstones.erase(oldest);
    }
}

Changes TableCopy::changesAfter(std::uint64_t after, bool completeRead) const
{
    Changes changes;
    changes.version = std::max(after, m_version);
    if (after < m_forgottenUpTo && !completeRead) {
        changes.historyLost = true;
        return changes;
    }
    std::size_t bytes = 0;
    for (auto next = m_byVersion.lower_bound({after + 1, {}}); next != m_byVersion.end(); ++next) {
        const auto &[version, key] = *next;
        const bool full = changes.rows.size() >= m_options.pageRows || bytes >= m_options.pageBytes;
        if (full && version != changes.rows.back().version) {
            changes.more = true;
            changes.version = changes.rows.back().version;
            break;
        }
        const Entry &entry = m_rows.find(key)->second;
        if (entry.removed && completeRead && after == 0) {
            continue;
        }
        bytes += key.size() + entry.value.size();
        changes.rows.push_back({key, entry.value, version, entry.removed});
    }
    return changes;
}

} // namespace trefoilstile::feed
