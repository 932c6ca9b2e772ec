// Operations on the table `documents` and the objects that it refers to.

#include "trefoilstile/tablestore/document_store.hpp"

#include <algorithm>
#include <iterator>

#include <fmt/format.h>

#include "row_codec.hpp"
#include "trefoilstile/document/parse.hpp"
#include "trefoilstile/tablestore/error.hpp"

namespace trefoilstile::tablestore
{

namespace
{

constexpr std::string_view s_table = "documents";

/// Stores the object. An unknown outcome is reported as `Unavailable`, since the row that refers to the object is written
/// only after the platform has confirmed the object.
void storeObject(Store &store, std::string_view hash, std::string_view bytes, const Call &call)
{
    try {
        store.writeObject(hash, bytes, call);
    } catch (const OutcomeUnknown &error) {
        throw Unavailable(fmt::format("the write of the object was not confirmed, so the row was not written: {}", error.what()));
    }
}

} // namespace

DocumentStore::DocumentStore(Store &store)
    : m_store(&store)
{
}

std::optional<DocumentRow> DocumentStore::row(std::string_view environment, const Call &call)
{
    const Row row = m_store->readRow(s_table, environment, call);
    if (row.version == 0) {
        return std::nullopt;
    }
    return parseDocumentRow(row);
}

std::string DocumentStore::bytes(std::string_view hash, const Call &call)
{
    std::optional<std::string> bytes = m_store->readObject(hash, call);
    if (!bytes) {
        throw MalformedData(fmt::format("object {} does not exist in the object store", hash));
    }
    if (const std::string actual = document::contentHash(*bytes); actual != hash) {
        throw MalformedData(fmt::format("object {} is corrupt: its bytes have the hash {}", hash, actual));
    }
    return std::move(*bytes);
}

SubmitResult DocumentStore::submit(const Submission &submission, base::Generation highestInEffect, const Call &call)
{
    const std::optional<DocumentRow> current = row(submission.environment, call);
    const std::vector<HistoryEntry> history = current ? current->history : std::vector<HistoryEntry>{};
    const auto earlier = std::find_if(history.begin(), history.end(), [&](const HistoryEntry &entry) {
        return entry.submission == submission.id;
    });
    if (earlier != history.end()) {
        return Accepted{earlier->generation, earlier == history.begin() ? base::Generation{earlier->generation.value - 1} : std::prev(earlier)->generation};
    }

    const base::Generation previous = current ? current->generation : base::Generation{};
    const base::Generation next = nextGeneration(previous, highestInEffect);
    const std::string hash = document::contentHash(submission.bytes);
    storeObject(*m_store, hash, submission.bytes, call);

    PendingWrite pending{std::string(s_table),
        submission.environment,
        current ? current->version : 0,
        documentRowText(appended(history, {next, submission.id, hash, submission.acceptedAt})),
        previous,
        next,
        submission.id};
    return submitWrite(*m_store, std::move(pending), call);
}

} // namespace trefoilstile::tablestore
