// Reports waiting to be piggybacked, each sent a bounded number of times.
#pragma once

#include <cstddef>
#include <map>
#include <vector>

#include "trefoilstile/base/ids.hpp"
#include "trefoilstile/membership/member_table.hpp"
#include "trefoilstile/membership/messages.hpp"

namespace trefoilstile::membership
{

/// Size of a report in compact encoding, rounded up to what its fields can take.
std::size_t encodedBytes(const MemberUpdate &update);

/// Size of a summary in compact encoding, likewise.
std::size_t encodedBytes(const DomainSummary &summary);

/// Members about whom there is news. The report itself is read from the table when it is sent, so a member takes one
/// place however often it changes.
class GossipQueue
{
public:
    /// Queues news about a member; its count of transmissions starts anew.
    void push(base::IncarnationId incarnation, Change change);

    /// Takes reports that fit into `bytes`, least sent first and changes of state before others, and reduces `bytes` by
    /// their size. A report is removed after `transmissions` times.
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
        bool withInfo = false; ///< receivers may not know the member
    };

    std::map<base::IncarnationId, Item> m_items;
};

/// Times that a report is sent so that it reaches `receivers` members by chains of messages: `factor` times the binary
/// logarithm.
std::size_t transmissionLimit(std::size_t factor, std::size_t receivers);

} // namespace trefoilstile::membership
