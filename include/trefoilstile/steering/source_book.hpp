// Who holds which document and drain list, and who is not to be asked for a while.
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

/// Where a document or drain list is fetched from.
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

/// Peers by their last announcement, and the store by its last row. A source that failed is passed over for a time that
/// doubles with each failure in a row.
class SourceBook
{
public:
    /// `limit` bounds the peers; the one heard longest ago is forgotten.
    explicit SourceBook(std::size_t limit)
        : m_limit(limit)
    {
    }

    void peerAnnounced(base::IncarnationId peer, const std::string &address, const Announcement &announcement, base::TimePoint now);
    void storeHolds(const DocumentVersion &version);

    /// Offer of the highest generation above `above`, chosen at random among peers and from the store only without
    /// such a peer, to spare the read budget. Versions in `refused` are passed over.
    std::optional<DocumentOffer> bestDocument(
        base::Generation above, const std::vector<DocumentVersion> &refused, base::TimePoint now, base::SplitMix64 &random) const;

    /// Offer of the highest generation above `above` by a peer.
    std::optional<DrainsOffer> bestDrains(base::Generation above, base::TimePoint now, base::SplitMix64 &random) const;

    /// The source gave nothing: it is passed over for `first`, then twice that, up to `last`. A higher announcement of
    /// a peer ends that, since the peer has evidently been reached by others.
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
        base::TimePoint heard;
        Cooldown cooldown;
    };

    Cooldown *cooldownOf(const Source &source);

    std::size_t m_limit;
    std::map<base::IncarnationId, Peer> m_peers;
    DocumentVersion m_store;
    Cooldown m_storeCooldown;
};

} // namespace trefoilstile::steering
