// Copy of one table of the store, which may be fed from several sources: the store and other instances.
//
// Sources can be at different versions. A row therefore only changes if the received one is newer, also after its removal, so that
// an older source neither takes a change back nor brings a removed row back.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "trefoilstile/feed/row.hpp"

namespace trefoilstile::feed
{

struct TableCopyOptions {
    /// Removed rows that are remembered. A source that is behind by more removals than this can bring a row back; it then reads the
    /// table completely.
    std::size_t maximumTombstones = 8'192;
    /// Size of one answer. The rows of one version are not split; one transaction of the store has at most 100 rows, and at most 1 MB
    /// in the store's encoding, three quarters of that in ours. An answer then stays below 1 MiB, the limit of a message between
    /// instances.
    std::size_t pageRows = 2'000;
    std::size_t pageBytes = 192U * 1024U; ///< of keys and values
};

/// Rows for a receiver that has the table up to some version.
struct Changes {
    std::vector<Row> rows; ///< in the order of their versions
    std::uint64_t version{}; ///< the receiver has the table up to this version once it has applied the rows
    bool more = false; ///< further changes are known; ask again from `version`
    bool historyLost = false; ///< removals since the given version are no longer known; read the table completely
};

class TableCopy
{
public:
    explicit TableCopy(TableCopyOptions options = {})
        : m_options(options)
    {
    }

    /// Applies rows from any source and returns those that changed the copy.
    /// @param version the source had the table up to this version
    /// @param completeRead the rows are the whole table; other rows known up to `version` have been removed
    std::vector<Row> apply(std::vector<Row> rows, std::uint64_t version, bool completeRead);

    /// Changes after a version.
    /// @param completeRead for a receiver that reads the table completely: it needs no removals from before its first call, with `after` 0
    Changes changesAfter(std::uint64_t after, bool completeRead) const;

    /// The table is known up to this version; never decreases.
    std::uint64_t version() const
    {
        return m_version;
    }

    /// Version of the last change of a row, as reported by a source; at most `version`.
    std::uint64_t lastChange() const
    {
        return m_lastChange;
    }

    /// True once the table has been read completely.
    bool complete() const
    {
        return m_complete;
    }

    /// Number of rows that exist.
    std::size_t size() const
    {
        return m_rows.size() - m_tombstones.size();
    }

private:
    struct Entry {
        std::string value;
        std::uint64_t version{};
        bool removed = false;
    };

    void store(const Row &row);
    void forgetTombstones();

    TableCopyOptions m_options;
    std::map<std::string, Entry, std::less<>> m_rows; ///< by key, removed ones included
    std::set<std::pair<std::uint64_t, std::string>> m_byVersion; ///< version and key of all entries of `m_rows`
    std::set<std::pair<std::uint64_t, std::string>> m_tombstones; ///< the removed entries of `m_byVersion`
    std::uint64_t m_version{};
    std::uint64_t m_lastChange{};
    std::uint64_t m_forgottenUpTo{}; ///< removals up to this version may have been forgotten
    bool m_complete = false;
};

} // namespace trefoilstile::feed
