// Table of the members known to this node and the rules for merging reports about them.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "trefoilstile/base/ids.hpp"
#include "trefoilstile/base/time.hpp"
#include "trefoilstile/membership/messages.hpp"

namespace trefoilstile::membership
{

/// Record of one member at this node.
struct MemberEntry {
    base::IncarnationId incarnation;
    MemberInfo info;
    MemberStatus status;
    bool listedLeaving = false; ///< marked by the platform's instance list; known to this node only
    bool silent = false; ///< did not answer while this node heard from no member at all; known to this node only, which may be the one cut off
    bool disseminated = true; ///< false for a tombstone of a member that no report received here lists as alive; not gossiped, so that it expires
    base::TimePoint since; ///< when the current state was set

    bool isAlive() const
    {
        return status.state == MemberState::Alive;
    }

    bool isLeaving() const
    {
        return status.leaving || listedLeaving;
    }
};

/// Kind of change that a report caused.
enum class Change : std::uint8_t {
    None,
    Report, ///< generations, spare capacity or leaving
    State, ///< alive, suspect or dead
    Added,
};

/// Members by incarnation, this node included. Two parts of a report are merged independently: the state by the pair
/// (status number, precedence of the state), the rest by the report number. Both only increase, so the order and number
/// of deliveries do not matter.
class MemberTable
{
public:
    using Entries = std::map<base::IncarnationId, MemberEntry>;

    /// `limit` bounds the entries; further members are not added.
    explicit MemberTable(std::size_t limit)
        : m_limit(limit)
    {
    }

    const Entries &entries() const
    {
        return m_entries;
    }

    const MemberEntry *find(base::IncarnationId incarnation) const;

    /// Merges a report. A report without `info` about an unknown member changes nothing.
    Change apply(const MemberUpdate &update, base::TimePoint now);

    /// Sets a state at the member's current status number; no effect if a state of higher precedence is known.
    Change report(base::IncarnationId incarnation, MemberState state, base::TimePoint now);

    /// Marks a member as leaving according to the platform's list. Returns false if it is unknown or already marked.
    bool markListedLeaving(base::IncarnationId incarnation);

    /// Sets `MemberEntry::silent` of a member. Returns false if it is unknown or already so.
    bool setSilent(base::IncarnationId incarnation, bool silent);

    /// Members with the given peer address that are not dead.
    std::vector<base::IncarnationId> atAddress(std::string_view peerAddress) const;

    /// Members of a failure domain that are alive, leaving ones included.
    std::vector<base::IncarnationId> aliveIn(std::string_view failureDomain) const;

    /// Members suspected at or before `point`; those of the failure domain if `local`, otherwise those of all others.
    std::vector<base::IncarnationId> suspectedBefore(base::TimePoint point, bool local, std::string_view failureDomain) const;

    /// Restarts the timers of all suspicions, for a node that could not receive refutations for a while.
    void restartSuspicions(base::TimePoint now);

    /// Removes entries for which the predicate holds.
    template<typename Predicate>
    std::size_t removeIf(Predicate predicate)
    {
        const std::size_t removed = std::erase_if(m_entries, [&predicate](const auto &entry) {
            return predicate(entry.second);
        });
        m_version += removed > 0 ? 1U : 0U;
        return removed;
    }

    /// Incremented with each change, so that readers can detect whether derived data is stale.
    std::uint64_t version() const
    {
        return m_version;
    }

private:
    Change add(const MemberUpdate &update, base::TimePoint now);

    std::size_t m_limit;
    Entries m_entries;
    std::uint64_t m_version{};
};

/// Builds a report about an entry, with or without its fixed part.
MemberUpdate updateOf(const MemberEntry &entry, bool withInfo);

} // namespace trefoilstile::membership
