// Interface to the platform's store: versioned rows in tables, with full reads, long polls for changes, and writes.
//
// No write depends on the version of a row: the store may give out a version again, so an equal one would not show that the row is the
// one that was read. Rows are written unconditionally, or only if they do not exist.
#pragma once

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "trefoilstile/base/time.hpp"
#include "trefoilstile/feed/row.hpp"

namespace trefoilstile::proxy
{

using StoreRow = feed::Row;

enum class StoreStatus : std::uint8_t {
    Ok,
    HistoryLost, ///< the store no longer has all changes after the given position; read the table again
    Conflict, ///< a row that must not exist exists; nothing was written
    Refused, ///< the store rejected the operation without executing it
    Failed, ///< no valid response; a write may have been executed or may still be executed
};

struct StoreResult {
    StoreStatus status = StoreStatus::Failed;
    std::vector<StoreRow> rows;
    feed::Position position; ///< newest position of the table that the result covers
    std::string detail; ///< description of a failure, for logs
    bool sourceAvailable = true; ///< false if another instance gave the result and does not reach the store
    bool coalesced = false; ///< the source has combined changes in quick succession, so the next call needs no pause
};

/// Row to be created.
struct NewRow {
    std::string key;
    std::string value;
};

inline constexpr std::size_t s_maximumNewRows = 50; ///< of one call; each takes two entries of a transaction, of which it may have 100

/// The result of a read of changes after a position. Changes since an earlier era are not complete, so the table must be read again;
/// a result of an era before that of the position is a late one and says nothing.
inline StoreResult checkedEra(StoreResult result, feed::Position after)
{
    if (result.status != StoreStatus::Ok || result.position.era == after.era) {
        return result;
    }
    const bool newer = result.position.era > after.era;
    StoreResult rejected;
    rejected.status = newer ? StoreStatus::HistoryLost : StoreStatus::Failed;
    rejected.position = result.position;
    rejected.detail = newer ? "the store has begun a new era" : "the response is of an earlier era of the store";
    return rejected;
}

// clang-format off
template<typename T>
concept RowReader = requires(T store, std::string table, feed::Position after, base::Duration wait)
{
    /// All rows of a table.
    { store.readAll(table) } -> std::same_as<boost::asio::awaitable<StoreResult>>;
    /// Rows changed after the position. Returns as soon as there is a change, or without rows after `wait`.
    { store.readChanges(table, after, wait) } -> std::same_as<boost::asio::awaitable<StoreResult>>;
};

template<typename T>
concept RowStore = RowReader<T> && requires(T store, std::string table, std::string key, std::string value, std::vector<NewRow> rows)
{
    /// Writes the rows, at most `s_maximumNewRows`, if none of their keys exists in the table.
    { store.create(table, rows) } -> std::same_as<boost::asio::awaitable<StoreResult>>;
    /// Writes a row unconditionally.
    { store.write(table, key, value) } -> std::same_as<boost::asio::awaitable<StoreResult>>;
};
// clang-format on

} // namespace trefoilstile::proxy
