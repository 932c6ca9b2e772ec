// Selection of sources and their cool-downs.

#include "trefoilstile/steering/source_table.hpp"

#include <algorithm>

namespace trefoilstile::steering
{

namespace
{

/// Maximum doublings of a cool-down. The upper bound applies long before; more doublings would overflow.
constexpr unsigned s_maximumDoublings = 16;

template<typename Offer>
std::optional<Offer> randomOffer(const std::vector<Offer> &offers, base::SplitMix64 &random)
{
    if (offers.empty()) {
        return std::nullopt;
    }
    return offers[base::uniformBelow(random, offers.size())];
}

} // namespace

void SourceTable::peerAnnounced(base::IncarnationId peer, const std::string &address, const Announcement &announcement, base::TimePoint now)
{
    if (!m_peers.contains(peer) && m_peers.size() >= m_limit) {
        m_peers.erase(std::min_element(m_peers.begin(), m_peers.end(), [](const auto &a, const auto &b) {
            return a.second.lastAnnounced < b.second.lastAnnounced;
        }));
    }
    Peer &known = m_peers[peer];
    known.address = address;
    known.lastAnnounced = now;
    // Generations announced by one incarnation only increase, so a lower one arrived out of order and is ignored.
    if (announcement.document.generation > known.announcement.document.generation || announcement.drains > known.announcement.drains) {
        // The peer has just fetched a newer version itself, so earlier failures are no longer relevant.
        known.cooldown = {};
    }
    if (announcement.document.generation >= known.announcement.document.generation) {
        known.announcement.document = announcement.document;
    }
    known.announcement.drains = std::max(known.announcement.drains, announcement.drains);
}

void SourceTable::storeOffered(const DocumentVersion &version)
{
    m_store = version;
}

std::optional<DocumentOffer> SourceTable::bestDocument(
    base::Generation above, const std::vector<DocumentVersion> &refused, base::TimePoint now, base::SplitMix64 &random) const
{
    const auto usable = [&](const DocumentVersion &version, const Cooldown &cooldown) {
        return version.generation > above && cooldown.until <= now && std::find(refused.begin(), refused.end(), version) == refused.end();
    };
    std::vector<DocumentOffer> best;
    for (const auto &[incarnation, peer] : m_peers) {
        const DocumentVersion &version = peer.announcement.document;
        if (!usable(version, peer.cooldown) || (!best.empty() && version.generation < best.front().version.generation)) {
            continue;
        }
        if (!best.empty() && version.generation > best.front().version.generation) {
            best.clear();
        }
        best.push_back({{incarnation, peer.address}, version});
    }
    if (usable(m_store, m_storeCooldown) && (best.empty() || m_store.generation > best.front().version.generation)) {
        best.assign(1, DocumentOffer{Source(), m_store});
    }
    return randomOffer(best, random);
}

std::optional<DrainsOffer> SourceTable::bestDrains(base::Generation above, base::TimePoint now, base::SplitMix64 &random) const
{
    std::vector<DrainsOffer> best;
    for (const auto &[incarnation, peer] : m_peers) {
        const base::Generation generation = peer.announcement.drains;
        if (generation <= above || peer.cooldown.until > now || (!best.empty() && generation < best.front().generation)) {
            continue;
        }
        if (!best.empty() && generation > best.front().generation) {
            best.clear();
        }
        best.push_back({{incarnation, peer.address}, generation});
    }
    return randomOffer(best, random);
}

SourceTable::Cooldown *SourceTable::cooldownOf(const Source &source)
{
    if (source.isStore()) {
        return &m_storeCooldown;
    }
    const auto found = m_peers.find(source.peer);
    return found == m_peers.end() ? nullptr : &found->second.cooldown;
}

void SourceTable::failed(const Source &source, base::Duration first, base::Duration last, base::TimePoint now)
{
    if (Cooldown *cooldown = cooldownOf(source)) {
        if (now - cooldown->until >= last) {
            cooldown->failures = 0;
        }
        cooldown->until = now + std::min(first * (1 << cooldown->failures), last);
        cooldown->failures = std::min(cooldown->failures + 1, s_maximumDoublings);
    }
}

void SourceTable::succeeded(const Source &source)
{
    if (Cooldown *cooldown = cooldownOf(source)) {
        *cooldown = {};
    }
}

} // namespace trefoilstile::steering
