// Operations on the table `claims`.

#include "trefoilstile/tablestore/claim_store.hpp"

#include <fmt/format.h>

#include "row_codec.hpp"
#include "trefoilstile/tablestore/error.hpp"

namespace trefoilstile::tablestore
{

namespace
{

constexpr std::string_view s_table = "claims";

/// Attempts to insert one claim. The limit is low because a caller waits for the claim: it covers a broken connection, not
/// an outage.
constexpr int s_insertAttempts = 3;

/// Result of an insert that conflicted with `row`. A malformed row was not written by this claim, so the key is taken.
engine::ClaimResult resultOfConflict(const Row &row, std::string_view claimId)
{
    const std::optional<ClaimRow> claim = parseClaimRow(row);
    return claim && claim->claimId == claimId ? engine::ClaimResult::Won : engine::ClaimResult::Taken;
}

} // namespace

ClaimStore::ClaimStore(Store &store)
    : m_store(&store)
{
}

engine::ClaimResult ClaimStore::claim(std::string_view environment, std::string_view keyHash, std::string_view claimId, std::int64_t expiresAtMs, Call call)
{
    const std::string key = fmt::format("{}.{}", environment, keyHash);
    const std::string value = claimRowText(claimId, expiresAtMs);
    for (int attempt = 0; attempt < s_insertAttempts; ++attempt) {
        try {
            const WriteResult result = m_store->writeRow(s_table, key, 0, value, call);
            return result.applied ? engine::ClaimResult::Won : resultOfConflict(result.row, claimId);
        } catch (const OutcomeUnknown &) {
            // Inserting again determines the outcome: if the first insert took effect, the conflicting row has this claim ID.
            continue;
        } catch (const PlatformError &) {
            return engine::ClaimResult::Unavailable;
        }
    }
    return engine::ClaimResult::Unavailable;
}

std::size_t ClaimStore::removeExpired(std::string_view environment, std::int64_t nowMs, std::size_t limit, Call call)
{
    std::size_t removed = 0;
    for (const KeyedRow &found : m_store->listRows(s_table, fmt::format("{}.", environment), call)) {
        const std::optional<ClaimRow> claim = parseClaimRow(found.row);
        if (removed == limit) {
            break;
        }
        if (!claim || claim->expiresAtMs >= nowMs) {
            continue;
        }
        try {
            removed += m_store->removeRow(s_table, found.key, found.row.version, call).applied ? 1 : 0;
        } catch (const OutcomeUnknown &) {
            // The next call lists the row again if it still exists.
            continue;
        }
    }
    return removed;
}

} // namespace trefoilstile::tablestore
