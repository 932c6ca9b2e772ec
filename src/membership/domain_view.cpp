// Merges received summaries and builds new ones.

#include "trefoilstile/membership/domain_view.hpp"

#include <algorithm>

namespace trefoilstile::membership
{

namespace
{

/// Enough for separate groups of a failure domain to discover each other within a few exchanges; small enough for a datagram.
constexpr std::size_t s_maximumAnnouncedRelays = 8;

/// A relay announces itself to each node every few seconds; without an announcement for this long it is no longer a relay.
constexpr base::Duration s_announcedLifetime = std::chrono::seconds(10);

} // namespace

void DomainView::recordAnnouncedRelays(Known &known, const DomainSummary &summary, base::TimePoint now)
{
    if (summary.age != base::Duration::zero()) {
        return;
    }
    auto &announced = known.announced;
    for (const RelayAddress &relay : summary.relays) {
        std::erase_if(announced, [&relay](const auto &entry) {
            return entry.first == relay;
        });
        announced.insert(announced.begin(), {relay, now});
    }
    if (announced.size() > s_maximumAnnouncedRelays) {
        announced.resize(s_maximumAnnouncedRelays);
    }
}

bool DomainView::merge(const DomainSummary &summary, base::TimePoint now)
{
    const base::TimePoint made = now - summary.age;
    auto found = m_known.find(summary.failureDomain);
    if (found == m_known.end()) {
        if (m_known.size() >= m_limit) {
            return false;
        }
        found = m_known.emplace(summary.failureDomain, Known{summary, made, {}}).first;
    } else if (made <= found->second.made) {
        return false;
    }
    found->second.summary = summary;
    found->second.made = made;
    recordAnnouncedRelays(found->second, summary, now);
    return true;
}

std::optional<DomainSummary> DomainView::findForMember(std::string_view failureDomain, base::TimePoint now) const
{
    const auto found = m_known.find(failureDomain);
    if (found == m_known.end()) {
        return std::nullopt;
    }
    DomainSummary summary = aged(found->second, now);
    for (const auto &[relay, announced] : found->second.announced) {
        const bool listed = std::find(summary.relays.begin(), summary.relays.end(), relay) != summary.relays.end();
        if (!listed && now - announced <= s_announcedLifetime) {
            summary.relays.push_back(relay);
        }
    }
    return summary;
}

DomainSummary DomainView::aged(const Known &known, base::TimePoint now) const
{
    DomainSummary summary = known.summary;
    summary.age = now - known.made;
    return summary;
}

std::vector<DomainSummary> DomainView::summaries(base::TimePoint now) const
{
    std::vector<DomainSummary> found;
    found.reserve(m_known.size());
    for (const auto &[name, known] : m_known) {
        found.push_back(aged(known, now));
    }
    return found;
}

std::optional<DomainSummary> DomainView::find(std::string_view failureDomain, base::TimePoint now) const
{
    const auto found = m_known.find(failureDomain);
    return found == m_known.end() ? std::nullopt : std::optional(aged(found->second, now));
}

std::vector<DomainSummary> DomainView::rotate(std::size_t count, base::TimePoint now)
{
    std::vector<DomainSummary> found;
    auto next = m_known.upper_bound(m_cursor);
    for (std::size_t i = 0; i < std::min(count, m_known.size()); ++i) {
        if (next == m_known.end()) {
            next = m_known.begin();
        }
        found.push_back(aged(next->second, now));
        m_cursor = next->first;
        ++next;
    }
    return found;
}

DomainSummary summarise(const MemberTable &table, std::string_view failureDomain, const std::vector<base::IncarnationId> &relays)
{
    DomainSummary summary;
    summary.failureDomain = failureDomain;
    for (const auto &[incarnation, entry] : table.entries()) {
        if (entry.info.failureDomain != failureDomain) {
            continue;
        }
        if (entry.status.state != MemberState::Alive) {
            ++(entry.status.state == MemberState::Suspect ? summary.suspect : summary.dead);
            continue;
        }
        ++summary.alive;
        summary.region = entry.info.region;
        summary.highest.document.generation = std::max(summary.highest.document.generation, entry.status.generation);
        summary.highest.drains = std::max(summary.highest.drains, entry.status.drainGeneration);
        if (entry.isLeaving()) {
            ++summary.leaving;
        } else {
            summary.spareCapacity += entry.status.spareCapacity;
        }
    }
    for (const base::IncarnationId relay : relays) {
        if (const MemberEntry *entry = table.find(relay)) {
            summary.relays.push_back({relay, entry->info.peerAddress});
        }
    }
    return summary;
}

} // namespace trefoilstile::membership
