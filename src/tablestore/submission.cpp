// Conditional writes of generations and the settling of lost answers.

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

/// Attempts to settle before giving up for now. A read and a write may each fail once with the connection; failures
/// that last longer are an outage, and the caller decides how long to go on.
constexpr int s_settleAttempts = 4;

const HistoryEntry *find(const std::vector<HistoryEntry> &history, base::Generation generation)
{
    const auto found = std::find_if(history.begin(), history.end(), [&](const HistoryEntry &entry) {
        return entry.generation == generation;
    });
    return found == history.end() ? nullptr : &*found;
}

/// The first submission after the row that the write needs, or null if there is none. A row that is not above that one
/// did not replace it but came back from a backup.
const HistoryEntry *firstAfter(const std::vector<HistoryEntry> &history, base::Generation previous)
{
    const auto found = std::find_if(history.begin(), history.end(), [&](const HistoryEntry &entry) {
        return entry.generation > previous;
    });
    return found == history.end() ? nullptr : &*found;
}

/// Whether the history would have an entry of the write if it had taken effect. Entries are lost only from the front.
bool reachesBack(const std::vector<HistoryEntry> &history, const PendingWrite &pending, const Row &row)
{
    return !history.empty() && (history.front().generation < pending.generation || hasWholeHistory(row));
}

/// Outcome of a write whose condition no longer holds, as the row's history tells it.
SubmitResult outcomeFromHistory(PendingWrite pending, const Row &row)
{
    std::vector<HistoryEntry> history;
    try {
        history = parseHistory(row);
    } catch (const MalformedData &error) {
        return Unsettled{std::move(pending), error.what()};
    }
    const HistoryEntry *entry = find(history, pending.generation);
    if (entry == nullptr && reachesBack(history, pending, row)) {
        // Generations may be skipped, so that nobody has the one that was wanted.
        entry = firstAfter(history, pending.previous);
    }
    if (entry == nullptr) {
        return Unsettled{pending, fmt::format("the history of {}/{} does not reach generation {}", pending.table, pending.key, pending.generation.value)};
    }
    if (entry->submission == pending.submission) {
        return Accepted{pending.generation, pending.previous};
    }
    return LostRace{*entry, row};
}

/// Outcome of a write that was answered with a conflict and was made only once: it is lost, whatever the history says.
SubmitResult lostForCertain(PendingWrite pending, const Row &row)
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
        throw MalformedData(fmt::format("there is no generation above {}", highest.value));
    }
    return {highest.value + 1};
}

SubmitResult submitWrite(Store &store, PendingWrite pending, const Call &call)
{
    try {
        const WriteResult result = store.writeRow(pending.table, pending.key, pending.ifVersion, pending.value, call);
        return result.applied ? Accepted{pending.generation, pending.previous} : lostForCertain(std::move(pending), result.row);
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
