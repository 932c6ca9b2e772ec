// Consumes lookup grants, reports their use and returns withdrawn ones.

#include "grant_tracker.hpp"

#include <algorithm>
#include <utility>

namespace trefoilstile::daemon
{

GrantTracker::GrantTracker(Report report)
    : m_report(std::move(report))
{
}

bool GrantTracker::take(std::string_view from, std::string_view to)
{
    const auto entry = std::find_if(m_entries.begin(), m_entries.end(), [from, to](const Entry &candidate) {
        return candidate.remaining > 0 && candidate.grant.from == from && candidate.grant.to == to;
    });
    if (entry == m_entries.end()) {
        return false;
    }
    --entry->remaining;
    ++entry->unreported;
    if (entry->remaining == 0) {
        flush(); // without waiting for the next batch, so that another grant can be placed
    }
    return true;
}

void GrantTracker::replace(const std::vector<engine::PlacedGrant> &grants)
{
    for (Entry &entry : m_entries) {
        const bool placed = std::any_of(grants.begin(), grants.end(), [&entry](const engine::PlacedGrant &grant) {
            return grant.id == entry.grant.id;
        });
        if (!placed && entry.remaining > 0) {
            m_report({entry.grant.id, 0, std::exchange(entry.remaining, 0)});
        }
    }
    flush();
    for (const engine::PlacedGrant &grant : grants) {
        const bool known = std::any_of(m_entries.begin(), m_entries.end(), [&grant](const Entry &entry) {
            return entry.grant.id == grant.id;
        });
        if (!known && grant.id > m_highestId) {
            m_highestId = grant.id;
            m_entries.push_back({grant, grant.responses, 0});
        }
    }
}

void GrantTracker::flush()
{
    for (Entry &entry : m_entries) {
        if (entry.unreported > 0) {
            m_report({entry.grant.id, std::exchange(entry.unreported, 0), 0});
        }
    }
    std::erase_if(m_entries, [](const Entry &entry) {
        return entry.remaining == 0;
    });
}

} // namespace trefoilstile::daemon
