// Order and size bounds of piggybacked reports.

#include "trefoilstile/membership/gossip_queue.hpp"

#include <algorithm>
#include <bit>
#include <tuple>

namespace trefoilstile::membership
{

namespace
{

/// Size of a field header and a zigzag variable-length integer.
std::size_t numberBytes(std::uint64_t value)
{
    const auto bits = std::min<std::size_t>(64, static_cast<std::size_t>(std::bit_width(value)) + 1);
    return 1 + (std::max<std::size_t>(bits, 1) + 6) / 7;
}

/// Size of a field header, length and bytes of a string shorter than 16,384 bytes.
std::size_t textBytes(const std::string &text)
{
    return 3 + text.size();
}

std::size_t infoBytes(const MemberInfo &info)
{
    return 2 + textBytes(info.name) + textBytes(info.callerAddress) + textBytes(info.peerAddress) + textBytes(info.region) + textBytes(info.failureDomain);
}

/// Field header and up to 10 bytes, independent of the value.
constexpr std::size_t s_idBytes = 11;

} // namespace

std::size_t encodedBytes(const MemberUpdate &update)
{
    const MemberStatus &status = update.status;
    const std::size_t fixed = s_idBytes + 4; // incarnation, state, leaving, end of the struct
    return fixed + numberBytes(status.statusNumber) + numberBytes(status.reportNumber) + numberBytes(status.generation.value)
        + numberBytes(status.drainGeneration.value) + numberBytes(status.spareCapacity) + (update.info ? infoBytes(*update.info) : 0);
}

std::size_t encodedBytes(const DomainSummary &summary)
{
    std::size_t bytes = textBytes(summary.failureDomain) + textBytes(summary.region) + numberBytes(summary.alive) + numberBytes(summary.suspect)
        + numberBytes(summary.dead) + numberBytes(summary.leaving) + numberBytes(summary.spareCapacity);
    bytes += 2 + numberBytes(summary.highest.document.generation.value) + textBytes(summary.highest.document.hash) + numberBytes(summary.highest.drains.value);
    bytes += numberBytes(static_cast<std::uint64_t>(base::toMilliseconds(summary.age))) + 4;
    for (const RelayAddress &relay : summary.relays) {
        bytes += s_idBytes + textBytes(relay.peerAddress) + 1;
    }
    return bytes;
}

void GossipQueue::push(base::IncarnationId incarnation, Change change)
{
    Item &item = m_items[incarnation];
    item.sent = 0;
    item.urgent = item.urgent || change != Change::Report;
    item.withInfo = item.withInfo || change == Change::Added;
}

std::vector<MemberUpdate> GossipQueue::pick(const MemberTable &table, std::size_t transmissions, std::size_t &bytes)
{
    std::vector<std::tuple<std::size_t, bool, base::IncarnationId>> order;
    order.reserve(m_items.size());
    for (const auto &[incarnation, item] : m_items) {
        order.emplace_back(item.sent, !item.urgent, incarnation);
    }
    std::sort(order.begin(), order.end());
    std::vector<MemberUpdate> picked;
    for (const auto &[sent, notUrgent, incarnation] : order) {
        const MemberEntry *entry = table.find(incarnation);
        if (entry == nullptr) {
            m_items.erase(incarnation);
            continue;
        }
        MemberUpdate update = updateOf(*entry, m_items[incarnation].withInfo);
        const std::size_t size = encodedBytes(update);
        if (size > bytes) {
            continue;
        }
        bytes -= size;
        picked.push_back(std::move(update));
        if (++m_items[incarnation].sent >= transmissions) {
            m_items.erase(incarnation);
        }
    }
    return picked;
}

std::size_t transmissionLimit(std::size_t factor, std::size_t receivers)
{
    return factor * static_cast<std::size_t>(std::bit_width(receivers + 1));
}

} // namespace trefoilstile::membership
