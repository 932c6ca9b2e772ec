// Ranks the entry instances for one caller.

#include "trefoilstile/routing/entry_choice.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include "trefoilstile/base/random.hpp"

namespace trefoilstile::routing
{

namespace
{

std::uint64_t hashOf(const base::IpAddress &address)
{
    return base::mixBits(address.high ^ base::mixBits(address.low));
}

/// Pseudo-random number in (0, 1) that depends only on the caller and the name.
double rendezvousUnit(std::uint64_t callerHash, std::string_view name)
{
    constexpr double scale = 1.0 / static_cast<double>(1ULL << 53U);
    return (static_cast<double>(base::stableHash(name, callerHash) >> 11U) + 0.5) * scale;
}

} // namespace

EntryTable::EntryTable(std::shared_ptr<const document::SteeringDocument> document,
    std::shared_ptr<const BlockTable> blocks,
    base::Generation generation,
    std::vector<EntryCandidate> candidates)
    : m_document(std::move(document))
    , m_blocks(std::move(blocks))
    , m_generation(generation)
    , m_candidates(std::move(candidates))
{
    for (const document::Region &region : m_document->regions) {
        for (const document::FailureDomain &failureDomain : region.failureDomains) {
            Domain &domain = m_domains.emplace_back(Domain{failureDomain.name, region.name, {}});
            for (std::size_t i = 0; i < m_candidates.size(); ++i) {
                if (m_candidates[i].failureDomain == domain.name) {
                    domain.candidates.push_back(i);
                }
            }
        }
    }
}

EntryChoice EntryTable::choose(const base::IpAddress &client, CommitmentSource &commitments) const
{
    const std::string &homeDomain = m_document->sites[m_blocks->site(client)].failureDomain;
    const std::uint64_t callerHash = hashOf(client);
    EntryChoice choice;
    choice.homeRegion = m_document->regionOf(homeDomain).name;
    appendRegion(choice, choice.homeRegion, homeDomain, callerHash);
    if (!choice.entries.empty()) {
        return choice;
    }
    for (const std::string &region : otherRegions(choice.homeRegion, callerHash)) {
        appendRegion(choice, region, {}, callerHash);
        if (choice.entries.empty()) {
            continue;
        }
        if (commitments.take(choice.homeRegion, region)) {
            choice.committed = true;
            return choice;
        }
        choice.entries.clear();
    }
    return choice;
}

void EntryTable::appendDomain(EntryChoice &choice, const Domain &domain, std::uint64_t callerHash) const
{
    const std::size_t wanted = m_document->lookup.entries - std::min<std::size_t>(choice.entries.size(), m_document->lookup.entries);
    if (wanted == 0) {
        return;
    }
    std::vector<std::pair<double, const EntryCandidate *>> ranked;
    ranked.reserve(domain.candidates.size());
    for (const std::size_t index : domain.candidates) {
        ranked.emplace_back(rendezvousUnit(callerHash, m_candidates[index].name), &m_candidates[index]);
    }
    const auto end = ranked.begin() + static_cast<std::ptrdiff_t>(std::min(wanted, ranked.size()));
    std::partial_sort(ranked.begin(), end, ranked.end(), [](const auto &left, const auto &right) {
        return left.first > right.first;
    });
    for (auto best = ranked.begin(); best != end; ++best) {
        choice.entries.push_back(best->second);
    }
}

void EntryTable::appendRegion(EntryChoice &choice, std::string_view region, std::string_view firstDomain, std::uint64_t callerHash) const
{
    std::vector<std::pair<double, const Domain *>> ranked;
    for (const Domain &domain : m_domains) {
        if (domain.region == region) {
            constexpr double first = 2; // above every rendezvous rank
            ranked.emplace_back(domain.name == firstDomain ? first : rendezvousUnit(callerHash, domain.name), &domain);
        }
    }
    std::sort(ranked.begin(), ranked.end(), [](const auto &left, const auto &right) {
        return left.first > right.first;
    });
    for (const auto &[rank, domain] : ranked) {
        appendDomain(choice, *domain, callerHash);
    }
}

std::vector<std::string> EntryTable::otherRegions(std::string_view home, std::uint64_t callerHash) const
{
    // Weighted rendezvous hashing: callers of a region without entries are distributed in proportion to the shift caps.
    std::vector<std::pair<double, std::string>> ranked;
    for (const document::ShiftCap &cap : m_document->shiftCaps) {
        if (cap.from == home && cap.requestsPerSecond > 0) {
            ranked.emplace_back(-cap.requestsPerSecond / std::log(rendezvousUnit(callerHash, cap.to)), cap.to);
        }
    }
    std::sort(ranked.begin(), ranked.end(), std::greater<>());
    std::vector<std::string> regions;
    for (auto &[rank, region] : ranked) {
        regions.push_back(std::move(region));
    }
    return regions;
}

base::Generation EntryTable::generation() const
{
    return m_generation;
}

const document::SteeringDocument &EntryTable::document() const
{
    return *m_document;
}

const BlockTable &EntryTable::blocks() const
{
    return *m_blocks;
}

} // namespace trefoilstile::routing
