// Sources of documents and drain lists, with the versions that they offer and their cool-downs.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "trefoilstile/base/ids.hpp"
#include "trefoilstile/base/random.hpp"
#include "trefoilstile/base/time.hpp"
#include "trefoilstile/steering/version.hpp"

namespace trefoilstile::steering
{

/// Source from which a document or drain list is fetched.
struct Source {
    base::IncarnationId peer; ///< 0: the store
    std::string peerAddress; ///< of the peer, `IP:port`

    bool isStore() const
    {
        return peer == base::IncarnationId{};
    }

    friend bool operator==(const Source &, const Source &) = default;
};

/// A source and the document that it offers.
struct DocumentOffer {
    Source source;
    DocumentVersion version;
};

/// A source and the drain list that it offers.
struct DrainsOffer {
    Source source;
    base::Generation generation;
};

/// Last announcement of each peer and last row of the store. A failed source is skipped for a cool-down that doubles with
/// each consecutive failure.
class SourceTable
{
public:
    /// `limit` bounds the peers; beyond it the peer with the oldest announcement is evicted.
    explicit SourceTable(std::size_t limit)
        : m_limit(limit)
    {
    }

    void peerAnnounced(base::IncarnationId peer, const std::string &address, const Announcement &announcement, base::TimePoint now);
    void storeOffered(const DocumentVersion &version);

    /// Offer of the highest generation above `above`, chosen at random among peers. The store is chosen only if no peer
    /// offers that generation, to save read budget. Versions in `refused` are skipped.
    std::optional<DocumentOffer> bestDocument(
        base::Generation above, const std::vector<DocumentVersion> &refused, base::TimePoint now, base::SplitMix64 &random) const;

    /// Offer of the highest generation above `above` by a peer.
    std::optional<DrainsOffer> bestDrains(base::Generation above, base::TimePoint now, base::SplitMix64 &random) const;

    /// Records a failed fetch: the source is skipped for `first`, doubled per consecutive failure up to `last`. A higher
    /// announcement of a peer ends its cool-down, since other nodes have evidently reached the peer.
    void failed(const Source &source, base::Duration first, base::Duration last, base::TimePoint now);
    void succeeded(const Source &source);

    bool anyPeer() const
    {
        return !m_peers.empty();
    }

private:
    struct Cooldown {
        unsigned failures{};
        base::TimePoint until;
    };

    struct Peer {
        std::string address;
        Announcement announcement;
        base::TimePoint lastAnnounced;
        Cooldown cooldown;
    };

    Cooldown *cooldownOf(const Source &source);

    std::size_t m_limit;
    std::map<base::IncarnationId, Peer> m_peers;
    DocumentVersion m_store;
    Cooldown m_storeCooldown;
};

} // namespace trefoilstile::steering
