// Interface to the platform's store: versioned rows in tables, with full reads, long polls for changes, and unconditional and
// conditional writes.
#pragma once

#include <concepts>
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
    HistoryLost, ///< the store has discarded changes after the given version; read the table again
    Conflict, ///< the row does not have the expected version; nothing was written
    Refused, ///< the store rejected the operation without executing it
    Failed, ///< no valid response; a write may have been executed or may still be executed
};

struct StoreResult {
    StoreStatus status = StoreStatus::Failed;
    std::vector<StoreRow> rows;
    std::uint64_t version{}; ///< newest table version that the result covers
    std::string detail; ///< description of a failure, for logs
    bool sourceAvailable = true; ///< false if another instance gave the result and does not reach the store
    bool coalesced = false; ///< the source has combined changes in quick succession, so the next call needs no pause
};

// clang-format off
template<typename T>
concept RowReader = requires(T store, std::string table, std::uint64_t version, base::Duration wait)
{
    /// All rows of a table.
    { store.readAll(table) } -> std::same_as<boost::asio::awaitable<StoreResult>>;
    /// Rows changed after the version. Returns as soon as there is a change, or without rows after `wait`.
    { store.readChanges(table, version, wait) } -> std::same_as<boost::asio::awaitable<StoreResult>>;
};

template<typename T>
concept RowStore = RowReader<T> && requires(T store, std::string table, std::string key, std::string value, std::uint64_t version)
{
    /// Writes a row if its version equals `version`; 0 means that the row must not exist.
    { store.writeIf(table, key, value, version) } -> std::same_as<boost::asio::awaitable<StoreResult>>;
    /// Writes a row unconditionally.
    { store.write(table, key, value) } -> std::same_as<boost::asio::awaitable<StoreResult>>;
};
// clang-format on

} // namespace trefoilstile::proxy
