// The platform's store as the entry process uses it: rows in tables, read at once, by waiting for changes, and written
// under a condition.
#pragma once

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "trefoilstile/base/time.hpp"

namespace trefoilstile::proxy
{

struct StoreRow {
    std::string key;
    std::string value;
    std::uint64_t version{};
    bool removed = false; ///< the row does not exist any more
};

enum class StoreStatus : std::uint8_t {
    Ok,
    HistoryLost, ///< changes since the given version are not to be had; read all rows
    Conflict, ///< a condition does not hold; nothing was written
    Refused, ///< the store answered that it did nothing
    Failed, ///< no usable answer; a write may have happened, or may still happen
};

struct StoreResult {
    StoreStatus status = StoreStatus::Failed;
    std::vector<StoreRow> rows;
    std::uint64_t version{}; ///< newest one that the answer covers
    std::string detail; ///< for logs
};

// clang-format off
template<typename T>
concept RowStore = requires(T store, std::string table, std::string key, std::string value, std::uint64_t version, base::Duration wait)
{
    /// All rows of a table.
    { store.readAll(table) } -> std::same_as<boost::asio::awaitable<StoreResult>>;
    /// Rows changed after the version, as soon as there is one; none if there is none within `wait`.
    { store.readChanges(table, version, wait) } -> std::same_as<boost::asio::awaitable<StoreResult>>;
    /// Writes a row if it has the version; 0: if it does not exist.
    { store.writeIf(table, key, value, version) } -> std::same_as<boost::asio::awaitable<StoreResult>>;
    /// Writes a row whatever it holds.
    { store.write(table, key, value) } -> std::same_as<boost::asio::awaitable<StoreResult>>;
};
// clang-format on

} // namespace trefoilstile::proxy
