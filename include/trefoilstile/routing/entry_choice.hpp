// Choice of entry instances for lookup responses. The table is immutable, so lookups need no lock.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "trefoilstile/base/ids.hpp"
#include "trefoilstile/base/ip.hpp"
#include "trefoilstile/base/time.hpp"
#include "trefoilstile/document/steering_document.hpp"
#include "trefoilstile/routing/block_table.hpp"

namespace trefoilstile::routing
{

/// Entry instance that may be named in lookup responses.
struct EntryCandidate {
    std::string name;
    std::string address; ///< `IP:port` of the caller port
    std::string region;
    std::string failureDomain;
};

/// Decides whether a lookup response may name entry instances of another region: such a response is a commitment
/// against the shift cap until its TTL has passed. Must be safe to call from the thread that answers lookups.
class CommitmentSource
{
public:
    virtual ~CommitmentSource() = default;

    /// Takes one commitment from `from` to `to`; false if none is left.
    virtual bool take(std::string_view from, std::string_view to) = 0;
};

/// Entries for one caller, in order of preference.
struct EntryChoice {
    std::vector<const EntryCandidate *> entries; ///< empty if no region may take the caller
    std::string homeRegion;
    bool committed = false; ///< the entries are in another region and one commitment was taken
};

/// Everything that a lookup needs.
class EntryTable
{
public:
    /// @param candidates instances that are alive and not leaving or drained
    EntryTable(std::shared_ptr<const document::SteeringDocument> document,
        std::shared_ptr<const BlockTable> blocks,
        base::Generation generation,
        std::vector<EntryCandidate> candidates);

    /// Entries for a caller: first those of its home failure domain, then of its home region; of other regions only if
    /// the home region has none, and then only with a commitment. Callers of one failure domain are spread over its
    /// entries by rendezvous hashing, so that a caller keeps its entry while that one lives.
    EntryChoice choose(const base::IpAddress &client, CommitmentSource &commitments) const;

    base::Generation generation() const;
    const document::SteeringDocument &document() const;
    const BlockTable &blocks() const;

private:
    struct Domain {
        std::string name;
        std::string region;
        std::vector<std::size_t> candidates; // indices into m_candidates
    };

    /// Appends the domain's candidates, best for this caller first.
    void appendDomain(EntryChoice &choice, const Domain &domain, std::uint64_t callerHash) const;
    void appendRegion(EntryChoice &choice, std::string_view region, std::string_view firstDomain, std::uint64_t callerHash) const;
    std::vector<std::string> otherRegions(std::string_view home, std::uint64_t callerHash) const;

    std::shared_ptr<const document::SteeringDocument> m_document;
    std::shared_ptr<const BlockTable> m_blocks;
    base::Generation m_generation;
    std::vector<EntryCandidate> m_candidates;
    std::vector<Domain> m_domains;
};

} // namespace trefoilstile::routing
