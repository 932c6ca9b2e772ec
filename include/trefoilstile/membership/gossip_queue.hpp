// Queue of member reports to piggyback on messages, each sent a bounded number of times.
#pragma once

#include <cstddef>
#include <map>
#include <vector>

#include "trefoilstile/base/ids.hpp"
#include "trefoilstile/membership/member_table.hpp"
#include "trefoilstile/membership/messages.hpp"

namespace trefoilstile::membership
{

/// Upper bound in bytes of the size of a report in the compact encoding.
std::size_t encodedBytes(const MemberUpdate &update);

/// Upper bound in bytes of the size of a summary in the compact encoding.
std::size_t encodedBytes(const DomainSummary &summary);

/// Members with changes to disseminate. The report itself is read from the table when it is sent, so a member has one
/// entry however often it changes.
class GossipQueue
{
public:
    /// Queues a change of a member and resets its transmission count.
    void push(base::IncarnationId incarnation, Change change);

    /// Takes reports that fit into `bytes`, least sent first and changes of state before others, and reduces `bytes` by
    /// their size. A report is removed after it has been sent `transmissions` times.
    std::vector<MemberUpdate> pick(const MemberTable &table, std::size_t transmissions, std::size_t &bytes);

    std::size_t size() const
    {
        return m_items.size();
    }

    void clear()
    {
        m_items.clear();
    }

private:
    struct Item {
        std::size_t sent{};
        bool urgent = false; ///< a change of state
        bool withInfo = false; ///< include the fixed part, since receivers may not know the member
    };

    std::map<base::IncarnationId, Item> m_items;
};

/// Number of transmissions after which a report has spread to `receivers` members over several hops: `factor` times the
/// binary logarithm of `receivers`.
std::size_t transmissionLimit(std::size_t factor, std::size_t receivers);

} // namespace trefoilstile::membership
