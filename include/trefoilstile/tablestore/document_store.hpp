// Storage of steering documents: the bytes in the object store, the generation in effect in the table `documents`.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "trefoilstile/tablestore/store.hpp"
#include "trefoilstile/tablestore/submission.hpp"

namespace trefoilstile::tablestore
{

/// Row `documents/<environment>`.
struct DocumentRow {
    std::uint64_t version{}; ///< of the row
    base::Generation generation;
    std::string hash; ///< content hash of the document's bytes, which is also their name in the object store
    std::string submission;
    std::string acceptedAt;
    std::vector<HistoryEntry> history; ///< oldest first; the last element is the one in effect
};

/// A document to be submitted.
struct Submission {
    std::string environment;
    std::string id; ///< unique to this submission
    std::string bytes;
    std::string acceptedAt; ///< wall clock, RFC 3339
};

/// Stateless operations on documents.
class DocumentStore
{
public:
    explicit DocumentStore(Store &store);

    /// Row of the environment, or nothing if no document has been accepted yet.
    /// @throws MalformedData, Unavailable
    std::optional<DocumentRow> row(std::string_view environment, const Call &call = {});

    /// Bytes of a document, verified against the hash.
    /// @throws MalformedData if the object does not exist or its bytes do not match the hash, Unavailable
    std::string bytes(std::string_view hash, const Call &call = {});

    /// Submits a document: reads the row, stores the object, then writes the row if its version is unchanged. A submission
    /// that is already in the row's history is reported as accepted. The new generation follows the row's generation or
    /// `highestInEffect` (the highest generation known to be in effect on instances), whichever is higher.
    /// @throws MalformedData, Unavailable; in both cases the document was not and will not be accepted
    SubmitResult submit(const Submission &submission, base::Generation highestInEffect = {}, const Call &call = {});

private:
    Store *m_store;
};

} // namespace trefoilstile::tablestore
