// Planned drains in the platform: the table `drains`.
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

/// Name of the kind as it stands in rows: `upstream`, `entry`, `failure_domain` or `region`.
std::string_view toString(engine::DrainKind kind);

/// Kind with that name; the separator may be `-` as well.
std::optional<engine::DrainKind> drainKindFromString(std::string_view name);

/// Row `drains/<environment>`. A row that does not exist is generation 0 without drains.
struct DrainRow {
    std::uint64_t version{}; ///< of the row
    base::Generation generation;
    std::string submission;
    std::vector<engine::Drain> drains; ///< sorted, each once
    std::vector<HistoryEntry> history; ///< oldest first; without hashes
};

/// A change of the drain list.
struct DrainChange {
    enum class Action : std::uint8_t { Add, Remove };

    Action action = Action::Add;
    engine::Drain drain;
};

/// The change is in the list.
struct DrainApplied {
    base::Generation generation; ///< first known generation that has it
    bool changed = true; ///< false if the list was already so and no generation was made
    base::Generation previous{}; ///< of the row that was replaced, if one was
};

using DrainResult = std::variant<DrainApplied, Unsettled>;

/// Operations on drain lists; keeps no state.
class DrainStore
{
public:
    explicit DrainStore(Store &store);

    /// @throws MalformedData, Unavailable
    DrainRow row(std::string_view environment, const Call &call = {});

    /// Reads the list, changes it and writes it if it has not been changed meanwhile; starts anew if it has. Changes of
    /// other operators are kept. The generation is the one after the row's, or after `highestInEffect` (the highest one
    /// known to be in effect on instances) if that is higher. A list that is already so is written again only if the
    /// row's generation is below `highestInEffect`, since the instances ignore such a row.
    /// @throws MalformedData, Unavailable; in both cases the change was not and will not be made
    DrainResult change(
        std::string_view environment, const DrainChange &change, std::string_view submission, base::Generation highestInEffect = {}, const Call &call = {});

private:
    Store *m_store;
};

} // namespace trefoilstile::tablestore
