// Rows that count up generations: `documents` and `drains`. Each generation has exactly one submission, and the row
// keeps the last ones, so that the outcome of a write whose answer was lost can be read back.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "trefoilstile/base/ids.hpp"
#include "trefoilstile/tablestore/store.hpp"

namespace trefoilstile::tablestore
{

/// Generations that a row keeps, the one in effect included. At 1,800 changes a day they cover 25 minutes on average,
/// far longer than any request to the platform lasts.
inline constexpr std::size_t s_historyLength = 32;

/// One accepted submission.
struct HistoryEntry {
    base::Generation generation;
    std::string submission; ///< ID chosen by the submitter, never used twice
    std::string hash; ///< content hash; empty for drains
    std::string acceptedAt; ///< wall clock of the submitter, RFC 3339; for people only

    friend bool operator==(const HistoryEntry &, const HistoryEntry &) = default;
};

/// A conditional write whose outcome may have to be settled later.
struct PendingWrite {
    std::string table;
    std::string key;
    std::uint64_t ifVersion{}; ///< the write can take effect only on this version
    std::string value;
    base::Generation previous; ///< of the row that the write replaces; 0 if there is none
    base::Generation generation; ///< that the write makes; above `previous`, not always by one
    std::string submission;
};

/// The submission has become the given generation.
struct Accepted {
    base::Generation generation;
    base::Generation previous; ///< of the row that it replaced; 0 if there was none
};

/// The submission did not and will not take effect.
struct LostRace {
    HistoryEntry winner; ///< what became the generation that was wanted, or else what replaced the row first
    Row row; ///< the row as it stood
};

/// Whether the submission took effect is not known.
struct Unsettled {
    PendingWrite pending; ///< to be passed to `settle`
    std::string reason;
};

using SubmitResult = std::variant<Accepted, LostRace, Unsettled>;

/// Generation of a new submission: above the row's and above the highest one known to be in effect on instances, which
/// ignore everything that is not higher. Normally that is the one after the row's; only a store that lost data or was
/// restored from a backup has a row below the instances.
/// @throws MalformedData if there is no higher generation
base::Generation nextGeneration(base::Generation row, base::Generation highestInEffect);

/// Makes the write and settles it if the answer is lost.
/// @throws Unavailable if the write certainly did not and will not take effect.
SubmitResult submitWrite(Store &store, PendingWrite pending, const Call &call);

/// Settles a write whose outcome is not known. Reads the row back; while the row still has the version that the write
/// needs, the write itself may arrive late, so it is made again: only one of the two can take effect. Throws nothing of
/// this module.
SubmitResult settle(Store &store, PendingWrite pending, const Call &call);

} // namespace trefoilstile::tablestore
