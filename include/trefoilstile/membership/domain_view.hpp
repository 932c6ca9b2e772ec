// Latest summaries of the other failure domains.
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

/// The most recent summary of each failure domain. Summaries carry their age, so clocks of different nodes are never compared.
class DomainView
{
public:
    DomainView(std::size_t limit, base::Duration lifetime)
        : m_limit(limit)
        , m_lifetime(lifetime)
    {
    }

    /// Stores the summary if it is more recent than the stored one. Returns whether it was stored.
    bool merge(const DomainSummary &summary, base::TimePoint now);

    /// All stored summaries with their current age, including expired ones; see `isFresh`.
    std::vector<DomainSummary> summaries(base::TimePoint now) const;

    /// Summary of one failure domain, or nullopt.
    std::optional<DomainSummary> find(std::string_view failureDomain, base::TimePoint now) const;

    /// Like `find`, with all relays added that announced themselves to this node in the last 10 s. Sent to members of that
    /// failure domain: while its members do not know each other yet, it consists of several groups, each with its own relays.
    std::optional<DomainSummary> findForMember(std::string_view failureDomain, base::TimePoint now) const;

    /// True if the summary has not expired, so that the relays in it are considered reachable.
    bool isFresh(const DomainSummary &summary) const
    {
        return summary.age <= m_lifetime;
    }

    /// Up to `count` summaries in round-robin order.
    std::vector<DomainSummary> rotate(std::size_t count, base::TimePoint now);

private:
    struct Known {
        DomainSummary summary;
        base::TimePoint made;
        std::vector<std::pair<RelayAddress, base::TimePoint>> announced; ///< relays received in summaries of age 0, with the time of receipt, latest first
    };

    static void recordAnnouncedRelays(Known &known, const DomainSummary &summary, base::TimePoint now);

    DomainSummary aged(const Known &known, base::TimePoint now) const;

    std::size_t m_limit;
    base::Duration m_lifetime;
    std::map<std::string, Known, std::less<>> m_known;
    std::string m_cursor; ///< failure domain returned last by `rotate`
};

/// Builds the summary of a failure domain from the member records of this node.
DomainSummary summarise(const MemberTable &table, std::string_view failureDomain, const std::vector<base::IncarnationId> &relays);

} // namespace trefoilstile::membership
