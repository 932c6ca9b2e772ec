// JSON representation of the rows that this module writes.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "trefoilstile/tablestore/document_store.hpp"
#include "trefoilstile/tablestore/drain_store.hpp"
#include "trefoilstile/tablestore/store.hpp"
#include "trefoilstile/tablestore/submission.hpp"

namespace trefoilstile::tablestore
{

/// @throws MalformedData
DocumentRow parseDocumentRow(const Row &row);

/// A row that does not exist results in generation 0 without drains.
/// @throws MalformedData
DrainRow parseDrainRow(const Row &row);

/// History of a row of either table; empty for a row that does not exist.
/// @throws MalformedData
std::vector<HistoryEntry> parseHistory(const Row &row);

/// True if the row's history contains every submission since the row was created; false if that cannot be determined.
bool hasCompleteHistory(const Row &row);

/// Value of the row that makes `history.back()` the document in effect.
std::string documentRowText(const std::vector<HistoryEntry> &history);

/// Value of the row that makes `history.back()` the drain list in effect.
std::string drainRowText(const std::vector<HistoryEntry> &history, const std::vector<engine::Drain> &drains);

/// History with a new last element; the oldest elements beyond `s_historyLength` are removed.
std::vector<HistoryEntry> appended(std::vector<HistoryEntry> history, HistoryEntry entry);

/// Value of a row of `claims`.
std::string claimRowText(std::string_view claimId, std::int64_t expiresAtMs);

struct ClaimRow {
    std::string claimId;
    std::int64_t expiresAtMs{};
};

/// Parses a row of `claims`; nothing if the row is malformed.
std::optional<ClaimRow> parseClaimRow(const Row &row);

} // namespace trefoilstile::tablestore
