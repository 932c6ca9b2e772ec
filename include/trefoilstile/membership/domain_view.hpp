// What is known of the other failure domains by their summaries.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "trefoilstile/base/time.hpp"
#include "trefoilstile/membership/member_table.hpp"
#include "trefoilstile/membership/messages.hpp"

namespace trefoilstile::membership
{

/// The youngest summary of each failure domain. Ages travel with summaries, so no clocks are compared.
class DomainView
{
public:
    DomainView(std::size_t limit, base::Duration lifetime)
        : m_limit(limit)
        , m_lifetime(lifetime)
    {
    }

    /// Keeps the summary if it is younger than the one known. Returns whether it was kept.
    bool merge(const DomainSummary &summary, base::TimePoint now);

    /// Known summaries with their present age; out-of-date ones are included, see `isFresh`.
    std::vector<DomainSummary> summaries(base::TimePoint now) const;

    /// Summary of one failure domain, or nothing.
    std::optional<DomainSummary> find(std::string_view failureDomain, base::TimePoint now) const;

    /// The same for a member of that failure domain, with all relays that named themselves to this node of late. A failure
    /// domain whose members do not know each other yet has several groups with relays of their own.
    std::optional<DomainSummary> findForMember(std::string_view failureDomain, base::TimePoint now) const;

    /// True if the failure domain can be reached by way of relays at present.
    bool isFresh(const DomainSummary &summary) const
    {
        return summary.age <= m_lifetime;
    }

    /// Up to `count` summaries in turn.
    std::vector<DomainSummary> rotate(std::size_t count, base::TimePoint now);

private:
    struct Known {
        DomainSummary summary;
        base::TimePoint made;
        std::vector<std::pair<RelayAddress, base::TimePoint>> named; ///< relays heard from the failure domain itself, latest first
    };

    static void nameRelays(Known &known, const DomainSummary &summary, base::TimePoint now);

    DomainSummary aged(const Known &known, base::TimePoint now) const;

    std::size_t m_limit;
    base::Duration m_lifetime;
    std::map<std::string, Known, std::less<>> m_known;
    std::string m_cursor; ///< failure domain sent last by `rotate`
};

/// Summary of a failure domain made from the member records of this node.
DomainSummary summarise(const MemberTable &table, std::string_view failureDomain, const std::vector<base::IncarnationId> &relays);

} // namespace trefoilstile::membership
