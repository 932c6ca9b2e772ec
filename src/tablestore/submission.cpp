// Conditional writes of generations, and determining the outcome of writes whose answer was lost.

#include "trefoilstile/tablestore/submission.hpp"

#include <algorithm>
#include <limits>

#include <fmt/format.h>

#include "row_codec.hpp"
#include "trefoilstile/tablestore/error.hpp"

namespace trefoilstile::tablestore
{

namespace
{

/// Attempts of one `settle` call. A read and a write may each fail once because of a broken connection; longer failures
/// are an outage, and the code that calls `settle` decides how long to retry.
constexpr int s_settleAttempts = 4;

const HistoryEntry *find(const std::vector<HistoryEntry> &history, base::Generation generation)
{
    const auto found = std::find_if(history.begin(), history.end(), [&](const HistoryEntry &entry) {
        return entry.generation == generation;
    });
    return found == history.end() ? nullptr : &*found;
}

/// The first submission after generation `previous`, which the write replaces; null if there is none. A row that is not
/// above `previous` did not replace it but was restored from a backup.
const HistoryEntry *firstAfter(const std::vector<HistoryEntry> &history, base::Generation previous)
{
    const auto found = std::find_if(history.begin(), history.end(), [&](const HistoryEntry &entry) {
        return entry.generation > previous;
    });
    return found == history.end() ? nullptr : &*found;
}

/// True if the history would contain the write, had it taken effect. Entries are removed only from the front.
bool wouldContain(const std::vector<HistoryEntry> &history, const PendingWrite &pending, const Row &row)
{
    return !history.empty() && (history.front().generation < pending.generation || hasCompleteHistory(row));
}

/// Outcome, according to the row's history, of a write whose version condition no longer holds.
SubmitResult outcomeFromHistory(PendingWrite pending, const Row &row)
{
    std::vector<HistoryEntry> history;
    try {
        history = parseHistory(row);
    } catch (const MalformedData &error) {
        return Unsettled{std::move(pending), error.what()};
    }
    const HistoryEntry *entry = find(history, pending.generation);
    if (entry == nullptr && wouldContain(history, pending, row)) {
        // Generations may be skipped, so possibly no submission has the requested one.
        entry = firstAfter(history, pending.previous);
    }
    if (entry == nullptr) {
        return Unsettled{
            pending, fmt::format("the history of {}/{} does not reach back to generation {}", pending.table, pending.key, pending.generation.value)};
    }
    if (entry->submission == pending.submission) {
        return Accepted{pending.generation, pending.previous};
    }
    return LostRace{*entry, row};
}

/// Outcome of a write that was sent only once and answered with a conflict: it did not take effect, even if the history
/// does not show what replaced the row.
SubmitResult outcomeOfConflict(PendingWrite pending, const Row &row)
{
    SubmitResult outcome = outcomeFromHistory(std::move(pending), row);
    if (std::holds_alternative<Unsettled>(outcome)) {
        return LostRace{{}, row};
    }
    return outcome;
}

} // namespace

base::Generation nextGeneration(base::Generation row, base::Generation highestInEffect)
{
    const base::Generation highest = std::max(row, highestInEffect);
    if (highest.value == std::numeric_limits<decltype(highest.value)>::max()) {
        throw MalformedData(fmt::format("generation {} is the maximum and cannot be incremented", highest.value));
    }
    return {highest.value + 1};
}

SubmitResult submitWrite(Store &store, PendingWrite pending, const Call &call)
{
    try {
        const WriteResult result = store.writeRow(pending.table, pending.key, pending.ifVersion, pending.value, call);
        return result.applied ? Accepted{pending.generation, pending.previous} : outcomeOfConflict(std::move(pending), result.row);
    } catch (const OutcomeUnknown &) {
        return settle(store, std::move(pending), call);
    }
}

SubmitResult settle(Store &store, PendingWrite pending, const Call &call)
{
    std::string reason;
    for (int attempt = 0; attempt < s_settleAttempts; ++attempt) {
        try {
            const Row row = store.readRow(pending.table, pending.key, call);
            if (row.version != pending.ifVersion) {
                return outcomeFromHistory(std::move(pending), row);
            }
            const WriteResult result = store.writeRow(pending.table, pending.key, pending.ifVersion, pending.value, call);
            return result.applied ? Accepted{pending.generation, pending.previous} : outcomeFromHistory(std::move(pending), result.row);
        } catch (const PlatformError &error) {
            reason = error.what();
        }
    }
    return Unsettled{std::move(pending), reason};
}

} // namespace trefoilstile::tablestore
