// Merging of rows by position, the start of an era, and the changes after a position.

#include "trefoilstile/feed/table_copy.hpp"

#include <algorithm>

#include "trefoilstile/base/ids.hpp"

namespace trefoilstile::feed
{

namespace
{

std::uint64_t hashOf(const std::string &key, const std::string &value, bool removed)
{
    return base::stableHash(key + (removed ? "-" : "=") + value);
}

} // namespace

std::vector<Row> TableCopy::apply(std::vector<Row> rows, Position position, bool completeRead)
{
    std::vector<Row> changed;
    if (completeRead && position.era < m_position.era) {
        return changed;
    }
    if (position.era > m_position.era) {
        beginEra(position, completeRead);
    }
    limitStoreCopy(rows);
    keepNewerThanStore(rows);
    std::set<std::string, std::less<>> present;
    for (Row &row : rows) {
        if (completeRead) {
            present.insert(row.key);
        }
        m_lastChange = std::max(m_lastChange, row.position);
        const auto found = m_rows.find(row.key);
        if (found != m_rows.end() && row.position <= found->second.position) {
            continue;
        }
        if (found == m_rows.end() && row.position <= m_forgottenUpTo && m_complete && !completeRead) {
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
        removeMissing(present, position, changed);
    }
    m_position = std::max(m_position, position);
    forgetTombstones();
    return changed;
}

void TableCopy::beginEra(Position position, bool completeRead)
{
    m_copyLimits.clear();
    m_withheld.clear();
    // Other instances learn of the era also from a table without rows.
    m_lastChange = std::max(m_lastChange, Position{position.era, 0});
    if (completeRead && m_complete) {
        m_eraReadAt = position;
    }
}

/// Finds out how much of the earlier eras the store's copy includes.
void TableCopy::limitStoreCopy(const std::vector<Row> &rows)
{
    std::vector<Position> unchanged;
    for (const Row &row : rows) {
        const auto found = m_rows.find(row.key);
        if (found == m_rows.end() || found->second.position.era >= row.position.era) {
            continue;
        }
        const Entry &known = found->second;
        if (row.position.version < known.position.version) {
            CopyLimits &limits = m_copyLimits[known.position.era];
            limits.excluded = std::min(limits.excluded, known.position.version);
        } else if (row.position.version == known.position.version && row.removed == known.removed && row.value == known.value) {
            unchanged.push_back(known.position);
        }
    }
    for (const Position &position : unchanged) {
        CopyLimits &limits = m_copyLimits[position.era];
        if (position.version < limits.excluded) { // otherwise the row has been written again
            limits.included = std::max(limits.included, position.version);
        }
    }
    for (auto &[era, limits] : m_copyLimits) {
        if (limits.included >= limits.excluded) {
            limits.included = 0;
        }
    }
}

bool TableCopy::isCoveredByStoreCopy(const Entry &entry) const
{
    const auto limits = m_copyLimits.find(entry.position.era);
    return limits != m_copyLimits.end() && entry.position.version <= limits->second.included;
}

bool TableCopy::isFromStoreCopy(const Row &row, const std::set<Superseded> &superseded) const
{
    const bool included = m_options.distinctValues && std::any_of(m_copyLimits.begin(), m_copyLimits.end(), [&row](const auto &limits) {
        return row.position.version <= limits.second.included;
    });
    return included || superseded.contains({row.position.version, hashOf(row.key, row.value, row.removed)});
}

/// Replaces rows that the store's copy holds by newer ones that are known here, at the position of the replaced row.
void TableCopy::keepNewerThanStore(std::vector<Row> &rows)
{
    std::set<Superseded> superseded; // filled when the first row of a new era needs it
    for (Row &row : rows) {
        const auto found = m_rows.find(row.key);
        if (found == m_rows.end() || found->second.position.era >= row.position.era) {
            continue;
        }
        const Entry &known = found->second;
        if (isCoveredByStoreCopy(known) || (known.removed && !row.removed && !m_options.keepRemoved)) {
            continue;
        }
        if (superseded.empty()) {
            superseded.insert(m_superseded.begin(), m_superseded.end());
        }
        if (isFromStoreCopy(row, superseded)) {
            if (row.removed != known.removed || row.value != known.value) {
                m_withheld[row.key] = row;
                remember(row.key, row.value, row.removed, row.position.version);
            }
            row.value = known.value;
            row.removed = known.removed;
        }
    }
}

void TableCopy::removeMissing(const std::set<std::string, std::less<>> &present, Position position, std::vector<Row> &changed)
{
    std::vector<Row> missing;
    for (const auto &[key, entry] : m_rows) {
        if (entry.removed || entry.position > position || present.contains(key)) {
            continue;
        }
        const bool kept = m_options.keepMissing && entry.position.era < position.era && !isCoveredByStoreCopy(entry);
        if (!kept) {
            missing.push_back({key, {}, position, true});
        }
    }
    for (Row &row : missing) {
        store(row);
        changed.push_back(std::move(row));
    }
}

std::size_t TableCopy::kept() const
{
    std::size_t count = m_withheld.size();
    for (const auto &[position, key] : m_byPosition) {
        if (position.era == m_position.era) {
            break;
        }
        count += m_rows.find(key)->second.removed ? 0 : 1;
    }
    return count;
}

std::vector<Row> TableCopy::settle()
{
    std::vector<Row> changed;
    for (const auto &[position, key] : m_byPosition) {
        if (position.era == m_position.era) {
            break;
        }
        if (!m_rows.find(key)->second.removed) {
            changed.push_back({key, {}, m_position, true});
        }
    }
    for (const auto &[key, row] : m_withheld) {
        const auto found = m_rows.find(key);
        if (found != m_rows.end() && found->second.position == row.position) {
            changed.push_back({key, row.value, m_position, row.removed});
        }
    }
    m_withheld.clear();
    for (const Row &row : changed) {
        store(row);
    }
    forgetTombstones();
    return changed;
}

void TableCopy::store(const Row &row)
{
    Entry &entry = m_rows[row.key];
    const PositionedKey before(entry.position, row.key);
    if (m_byPosition.erase(before) > 0) {
        remember(row.key, entry.value, entry.removed, entry.position.version);
    }
    m_tombstones.erase(before);
    entry = {row.removed ? std::string() : row.value, row.position, row.removed};
    m_byPosition.emplace(row.position, row.key);
    if (row.removed) {
        m_tombstones.emplace(row.position, row.key);
    }
}

void TableCopy::remember(const std::string &key, const std::string &value, bool removed, std::uint64_t version)
{
    m_superseded.push_back({version, hashOf(key, value, removed)});
    if (m_superseded.size() > m_options.maximumSuperseded) {
        m_superseded.pop_front();
    }
}

void TableCopy::forgetTombstones()
{
    while (m_tombstones.size() > m_options.maximumTombstones) {
        const auto oldest = m_tombstones.begin();
        m_forgottenUpTo = std::max(m_forgottenUpTo, oldest->first);
        m_rows.erase(oldest->second);
        m_byPosition.erase(*oldest);
        m_tombstones.erase(oldest);
    }
}

Changes TableCopy::changesAfter(Position after, bool completeRead) const
{
    Changes changes;
    changes.position = std::max(after, m_position);
    const bool beforeEraRead = after.era == m_eraReadAt.era && after < m_eraReadAt;
    if ((after < m_forgottenUpTo || beforeEraRead) && !completeRead) {
        changes.historyLost = true;
        return changes;
    }
    std::size_t bytes = 0;
    for (auto next = m_byPosition.lower_bound({{after.era, after.version + 1}, {}}); next != m_byPosition.end(); ++next) {
        const auto &[position, key] = *next;
        const bool full = changes.rows.size() >= m_options.pageRows || bytes >= m_options.pageBytes;
        if (full && position != changes.rows.back().position) {
            changes.more = true;
            changes.position = changes.rows.back().position;
            break;
        }
        const Entry &entry = m_rows.find(key)->second;
        if (entry.removed && completeRead && after == Position()) {
            continue;
        }
        bytes += key.size() + entry.value.size();
        changes.rows.push_back({key, entry.value, position, entry.removed});
    }
    return changes;
}

} // namespace trefoilstile::feed
