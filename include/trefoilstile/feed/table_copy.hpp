// Copy of one table of the store, which may be fed from several sources: the store and other instances.
//
// Sources can be at different positions. A row therefore only changes if the received one is newer, also after its removal, so that
// an older source neither takes a change back nor brings a removed row back.
//
// The store may come back from an older copy of its own and begin a new era. Its rows are then partly older than the ones known here,
// until their writers have written again. A row that the store's copy holds is recognized by what was known in the earlier eras: it
// equals a row that has been superseded since, or it is not newer than a row that the copy includes. The known row is then kept in its
// place until the writer has written again. A known row that the store's copy lacks is kept or removed as `TableCopyOptions` say.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "trefoilstile/feed/position.hpp"
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
    /// Superseded rows that are remembered to recognize them in an older copy of the store; 16 bytes each.
    std::size_t maximumSuperseded = 2'048;
    /// Whether a row that is missing at the start of an era, although it was known, is kept until `settle`. Otherwise it is removed at once.
    bool keepMissing = false;
    /// Whether a row that has returned at the start of an era, although its removal was known, stays removed until `settle`.
    bool keepRemoved = true;
    /// Whether each write of a row has another value. If not, a row that has not changed may have been written again, by chance with the
    /// same version, so that it does not show which rows are the store's copy's.
    bool distinctValues = true;
};

/// Rows for a receiver that has the table up to some position.
struct Changes {
    std::vector<Row> rows; ///< in the order of their positions
    Position position; ///< the receiver has the table up to this position once it has applied the rows
    bool more = false; ///< further changes are known; ask again from `position`
    bool historyLost = false; ///< removals since the given position are no longer known; read the table completely
};

class TableCopy
{
public:
    explicit TableCopy(TableCopyOptions options = {})
        : m_options(options)
    {
    }

    /// Applies rows from any source and returns those that changed the copy. A complete read of an earlier era changes nothing.
    /// @param position the source had the table up to this position
    /// @param completeRead the rows are the whole table; other rows known up to `position` have been removed
    std::vector<Row> apply(std::vector<Row> rows, Position position, bool completeRead);

    /// Ends the start of an era: rows that were kept and have not been written again become what the store has. Called when their
    /// writers have had the time to write. Returns the rows that changed the copy.
    std::vector<Row> settle();

    /// Number of rows that are kept although the store lacks them or has an older one.
    std::size_t kept() const;

    /// Changes after a position.
    /// @param completeRead for a receiver that reads the table completely: it needs no removals from before its first call, with `after` 0
    Changes changesAfter(Position after, bool completeRead) const;

    /// The table is known up to this position; never decreases.
    Position position() const
    {
        return m_position;
    }

    /// Position of the last change of a row, as reported by a source; at most `position`, and of the same era.
    Position lastChange() const
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
        Position position;
        bool removed = false;
    };

    /// A row that has been superseded by another one of its key.
    struct Superseded {
        std::uint64_t version{};
        std::uint64_t hash{}; ///< of key and value

        friend auto operator<=>(const Superseded &, const Superseded &) = default; // NOLINT(modernize-use-nullptr)
    };

    /// What is known of the last version of an earlier era that the copy from which the store came back includes.
    struct CopyLimits {
        std::uint64_t included{}; ///< the copy includes this version, since a row of it has not changed
        std::uint64_t excluded = ~0ULL; ///< and not this one, since its row is older now; above `included`
    };

    using PositionedKey = std::pair<Position, std::string>;

    void store(const Row &row);
    void remember(const std::string &key, const std::string &value, bool removed, std::uint64_t version);
    void beginEra(Position position, bool completeRead);
    void limitStoreCopy(const std::vector<Row> &rows);
    void keepNewerThanStore(std::vector<Row> &rows);
    bool isFromStoreCopy(const Row &row, const std::set<Superseded> &superseded) const;
    bool isCoveredByStoreCopy(const Entry &entry) const;
    void removeMissing(const std::set<std::string, std::less<>> &present, Position position, std::vector<Row> &changed);
    void forgetTombstones();

    TableCopyOptions m_options;
    std::map<std::string, Entry, std::less<>> m_rows; ///< by key, removed ones included
    std::set<PositionedKey> m_byPosition; ///< of all entries of `m_rows`
    std::set<PositionedKey> m_tombstones; ///< the removed entries of `m_byPosition`
    std::deque<Superseded> m_superseded; ///< the latest ones, oldest first
    std::map<std::uint64_t, CopyLimits> m_copyLimits; ///< by earlier era
    std::map<std::string, Row, std::less<>> m_withheld; ///< rows of the store's copy in whose place newer ones are kept
    Position m_position;
    Position m_lastChange;
    Position m_forgottenUpTo; ///< removals up to this position may have been forgotten
    Position m_eraReadAt; ///< of the complete read that began the era; removals before it within the era are not known
    bool m_complete = false;
};

} // namespace trefoilstile::feed
