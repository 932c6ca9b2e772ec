// Use and return of lookup grants.

#include "grant_book.hpp"

#include <algorithm>
#include <utility>

namespace trefoilstile::daemon
{

GrantBook::GrantBook(Report report)
    : m_report(std::move(report))
{
}

bool GrantBook::take(std::string_view from, std::string_view to)
{
    const auto entry = std::find_if(m_entries.begin(), m_entries.end(), [from, to](const Entry &candidate) {
        return candidate.left > 0 && candidate.grant.from == from && candidate.grant.to == to;
    });
    if (entry == m_entries.end()) {
        return false;
    }
    --entry->left;
    ++entry->unreported;
    if (entry->left == 0) {
        flush(); // at once, so that another grant can be placed
    }
    return true;
}

void GrantBook::replace(const std::vector<engine::PlacedGrant> &grants)
{
    for (Entry &entry : m_entries) {
        const bool placed = std::any_of(grants.begin(), grants.end(), [&entry](const engine::PlacedGrant &grant) {
            return grant.id == entry.grant.id;
        });
        if (!placed && entry.left > 0) {
            m_report({entry.grant.id, 0, std::exchange(entry.left, 0)});
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

void GrantBook::flush()
{
    for (Entry &entry : m_entries) {
        if (entry.unreported > 0) {
            m_report({entry.grant.id, std::exchange(entry.unreported, 0), 0});
        }
    }
    std::erase_if(m_entries, [](const Entry &entry) {
        return entry.left == 0;
    });
}

} // namespace trefoilstile::daemon
