// Storage of planned drains: the table `drains`.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "trefoilstile/engine/event.hpp"
#include "trefoilstile/tablestore/store.hpp"
#include "trefoilstile/tablestore/submission.hpp"

namespace trefoilstile::tablestore
{

/// Name of the kind as stored in rows: `upstream`, `entry`, `failure_domain` or `region`.
std::string_view toString(engine::DrainKind kind);

/// Kind with that name, or nothing if it is unknown; `-` is accepted in place of `_`.
std::optional<engine::DrainKind> drainKindFromString(std::string_view name);

/// Row `drains/<environment>`. A missing row is represented by generation 0 without drains.
struct DrainRow {
    std::uint64_t version{}; ///< of the row
    base::Generation generation;
    std::string submission;
    std::vector<engine::Drain> drains; ///< sorted, without duplicates
    std::vector<HistoryEntry> history; ///< oldest first; without hashes
};

/// A change of the drain list.
struct DrainChange {
    enum class Action : std::uint8_t { Add, Remove };

    Action action = Action::Add;
    engine::Drain drain;
};

/// The drain list contains the change.
struct DrainApplied {
    base::Generation generation; ///< lowest generation known to contain the change
    bool changed = true; ///< false if the list already contained the change and no new generation was written
    base::Generation previous{}; ///< of the row that was replaced, if one was
};

using DrainResult = std::variant<DrainApplied, Unsettled>;

/// Stateless operations on drain lists.
class DrainStore
{
public:
    explicit DrainStore(Store &store);

    /// @throws MalformedData, Unavailable
    DrainRow row(std::string_view environment, const Call &call = {});

    /// Reads the list, applies the change and writes the row if its version is unchanged; retries with the new row after a
    /// conflict, so that concurrent changes of other operators are kept. The new generation follows the row's generation
    /// or `highestInEffect` (the highest generation known to be in effect on instances), whichever is higher. A list that
    /// already contains the change is written again only if the row's generation is below `highestInEffect`, since the
    /// instances ignore such a row.
    /// @throws MalformedData, Unavailable; in both cases the change was not and will not be made
    DrainResult change(
        std::string_view environment, const DrainChange &change, std::string_view submission, base::Generation highestInEffect = {}, const Call &call = {});

private:
    Store *m_store;
};

} // namespace trefoilstile::tablestore
