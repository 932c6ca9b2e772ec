// Chooses entry instances for lookup responses. The table is immutable, so lookups need no lock.
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

/// Decides whether a lookup response may name entry instances of another region. Such a response counts against the shift cap
/// as a commitment until its TTL has expired. `take` must be safe to call from the thread that answers lookups.
class CommitmentSource
{
public:
    virtual ~CommitmentSource() = default;

    /// Takes one commitment from region `from` to region `to`. Returns false if none is available.
    virtual bool take(std::string_view from, std::string_view to) = 0;
};

/// Entry instances for one caller.
struct EntryChoice {
    std::vector<const EntryCandidate *> entries; ///< in order of preference; empty if no region can take the caller
    std::string homeRegion;
    bool committed = false; ///< the entries are in another region and one commitment was taken
};

/// Immutable data of one document generation from which lookups are answered.
class EntryTable
{
public:
    /// @param candidates instances that are alive and not leaving or drained
    EntryTable(std::shared_ptr<const document::SteeringDocument> document,
        std::shared_ptr<const BlockTable> blocks,
        base::Generation generation,
        std::vector<EntryCandidate> candidates);

    /// Chooses the entries for a caller: first those of its home failure domain, then others of its home region. Entries of
    /// another region are named only if the home region has none and a commitment is available. Rendezvous hashing spreads
    /// the callers of a failure domain over its entries, so that a caller keeps its entry as long as that entry is a
    /// candidate.
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

    /// Appends candidates of the domain, in the rendezvous order of this caller, up to the number of entries per response.
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
