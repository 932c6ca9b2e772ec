// Steering documents in the platform: bytes in the object store, the generation in effect in the table `documents`.
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
    std::string hash; ///< of the document's bytes; their name in the object store
    std::string submission;
    std::string acceptedAt;
    std::vector<HistoryEntry> history; ///< oldest first; the last element is the one in effect
};

/// A document to be submitted.
struct Submission {
    std::string environment;
    std::string id; ///< never used twice
    std::string bytes;
    std::string acceptedAt; ///< wall clock, RFC 3339
};

/// Operations on documents; keeps no state.
class DocumentStore
{
public:
    explicit DocumentStore(Store &store);

    /// Row of the environment, or nothing if no document was ever accepted.
    /// @throws MalformedData, Unavailable
    std::optional<DocumentRow> row(std::string_view environment, const Call &call = {});

    /// Bytes of a document, checked against the hash.
    /// @throws MalformedData if there are none or they do not match, Unavailable
    std::string bytes(std::string_view hash, const Call &call = {});

    /// Submits a document: reads the row, stores the object, then writes the row on the condition that it has not
    /// changed. A submission that is already in the row's history is reported as accepted. The generation is the one after
    /// the row's, or after `highestInEffect` (the highest one known to be in effect on instances) if that is higher.
    /// @throws MalformedData, Unavailable; in both cases the document was not and will not be accepted
    SubmitResult submit(const Submission &submission, base::Generation highestInEffect = {}, const Call &call = {});

private:
    Store *m_store;
};

} // namespace trefoilstile::tablestore
