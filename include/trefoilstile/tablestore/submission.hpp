// Conditional writes of rows with increasing generations (`documents` and `drains`). Each generation has exactly one
// submission. The row keeps the most recent ones, so that the outcome of a write whose answer was lost can be read back.
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

/// Number of generations that a row keeps, including the one in effect. At 1,800 changes a day they cover 25 minutes on
/// average, far longer than the duration of any request to the platform.
inline constexpr std::size_t s_historyLength = 32;

/// One accepted submission.
struct HistoryEntry {
    base::Generation generation;
    std::string submission; ///< unique ID chosen by the submitter
    std::string hash; ///< content hash; empty for drains
    std::string acceptedAt; ///< wall clock of the submitter, RFC 3339; informational only

    friend bool operator==(const HistoryEntry &, const HistoryEntry &) = default;
};

/// A conditional write whose outcome may have to be determined later by `settle`.
struct PendingWrite {
    std::string table;
    std::string key;
    std::uint64_t ifVersion{}; ///< the write takes effect only if the row has this version
    std::string value;
    base::Generation previous; ///< of the row that the write replaces; 0 if there is none
    base::Generation generation; ///< generation that the write creates; higher than `previous`, not always by 1
    std::string submission;
};

/// The submission was accepted as the given generation.
struct Accepted {
    base::Generation generation;
    base::Generation previous; ///< of the row that it replaced; 0 if there was none
};

/// The submission did not and will not take effect because another one replaced the row first.
struct LostRace {
    HistoryEntry winner; ///< accepted submission of the requested generation, or else the first one that replaced the row
    Row row; ///< the row that was read instead
};

/// It is not known whether the submission took effect.
struct Unsettled {
    PendingWrite pending; ///< to be passed to `settle`
    std::string reason;
};

using SubmitResult = std::variant<Accepted, LostRace, Unsettled>;

/// Generation of a new submission: one above the higher of the row's generation and the highest one known to be in
/// effect on instances, since instances ignore generations that are not higher than theirs. A row's generation is below that of the instances
/// only if the store lost data or was restored from a backup.
/// @throws MalformedData if there is no higher generation
base::Generation nextGeneration(base::Generation row, base::Generation highestInEffect);

/// Sends the write and calls `settle` if the answer is lost.
/// @throws Unavailable if the write did not and will not take effect
SubmitResult submitWrite(Store &store, PendingWrite pending, const Call &call);

/// Determines the outcome of a write whose answer was lost. Reads the row back. While the row still has the version that
/// the write requires, the first write may still arrive late, so the write is sent again; only one of the two can take
/// effect. Throws no `PlatformError`.
SubmitResult settle(Store &store, PendingWrite pending, const Call &call);

} // namespace trefoilstile::tablestore
