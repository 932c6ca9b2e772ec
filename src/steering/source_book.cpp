// Choice of sources and their cool-down.

#include "trefoilstile/steering/source_book.hpp"

#include <algorithm>

namespace trefoilstile::steering
{

namespace
{

/// Doublings of a cool-down; more would overflow long after the upper bound holds.
constexpr unsigned s_maximumDoublings = 16;

template<typename Offer>
std::optional<Offer> oneOf(const std::vector<Offer> &offers, base::SplitMix64 &random)
{
    if (offers.empty()) {
        return std::nullopt;
    }
    return offers[base::uniformBelow(random, offers.size())];
}

} // namespace

void SourceBook::peerAnnounced(base::IncarnationId peer, const std::string &address, const Announcement &announcement, base::TimePoint now)
{
    if (!m_peers.contains(peer) && m_peers.size() >= m_limit) {
        m_peers.erase(std::min_element(m_peers.begin(), m_peers.end(), [](const auto &a, const auto &b) {
            return a.second.heard < b.second.heard;
        }));
    }
    Peer &known = m_peers[peer];
    known.address = address;
    known.heard = now;
    // Announcements of one incarnation only move up, so a lower one was overtaken on its way.
    if (announcement.document.generation > known.announcement.document.generation || announcement.drains > known.announcement.drains) {
        // It has just fetched something itself, so earlier failures say little.
        known.cooldown = {};
    }
    if (announcement.document.generation >= known.announcement.document.generation) {
        known.announcement.document = announcement.document;
    }
    known.announcement.drains = std::max(known.announcement.drains, announcement.drains);
}

void SourceBook::storeHolds(const DocumentVersion &version)
{
    m_store = version;
}

std::optional<DocumentOffer> SourceBook::bestDocument(
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
    return oneOf(best, random);
}

std::optional<DrainsOffer> SourceBook::bestDrains(base::Generation above, base::TimePoint now, base::SplitMix64 &random) const
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
    return oneOf(best, random);
}

SourceBook::Cooldown *SourceBook::cooldownOf(const Source &source)
{
    if (source.isStore()) {
        return &m_storeCooldown;
    }
    const auto found = m_peers.find(source.peer);
    return found == m_peers.end() ? nullptr : &found->second.cooldown;
}

void SourceBook::failed(const Source &source, base::Duration first, base::Duration last, base::TimePoint now)
{
    if (Cooldown *cooldown = cooldownOf(source)) {
        if (now - cooldown->until >= last) {
            cooldown->failures = 0;
        }
        cooldown->until = now + std::min(first * (1 << cooldown->failures), last);
        cooldown->failures = std::min(cooldown->failures + 1, s_maximumDoublings);
    }
}

void SourceBook::succeeded(const Source &source)
{
    if (Cooldown *cooldown = cooldownOf(source)) {
        *cooldown = {};
    }
}

} // namespace trefoilstile::steering
