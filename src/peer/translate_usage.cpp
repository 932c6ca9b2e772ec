// Translation of the messages about the use of quotas to and from Thrift structs.

#include "translate.hpp"

namespace trefoilstile::peer
{

wire::UsageMessage toWire(const quota::UsageMessage &value)
{
    wire::UsageMessage out;
    out.kind = static_cast<std::int32_t>(value.kind);
    out.sender = value.sender;
    out.failureDomain = value.failureDomain;
    out.peerAddress = value.peerAddress;
    out.incarnation = bitsToWire(value.incarnation);
    out.number = bitsToWire(value.number);
    out.replyWanted = value.replyWanted;
    for (const quota::AccountUsage &usage : value.usages) {
        wire::AccountUsage entry;
        entry.account = bitsToWire(usage.account);
        entry.demand = bitsToWire(usage.demand);
        for (const std::uint32_t count : usage.slots) {
            entry.slots.push_back(static_cast<std::int32_t>(count));
        }
        entry.reserved = bitsToWire(usage.reserved);
        entry.shareMillionths = static_cast<std::int32_t>(usage.shareMillionths);
        out.usages.push_back(entry);
    }
    return out;
}

quota::UsageMessage fromWire(const wire::UsageMessage &value)
{
    quota::UsageMessage out;
    out.kind = checkedEnum(value.kind, quota::UsageKind::Reply);
    out.sender = checkedText(value.sender);
    out.failureDomain = checkedText(value.failureDomain);
    out.peerAddress = checkedText(value.peerAddress);
    out.incarnation = incarnationFromWire(value.incarnation);
    out.number = checkedNumber<std::uint64_t>(value.number);
    out.replyWanted = value.replyWanted;
    for (const wire::AccountUsage &usage : value.usages) {
        require(usage.slots.size() <= quota::s_slots, "too many time slots");
        quota::AccountUsage entry{{bitsFromWire(usage.account)}, checkedNumber<std::uint64_t>(usage.demand), {}, 0, 0};
        for (const std::int32_t count : usage.slots) {
            entry.slots.push_back(checkedNumber<std::uint32_t>(count));
        }
        entry.reserved = checkedNumber<std::uint64_t>(usage.reserved);
        entry.shareMillionths = checkedNumber<std::uint32_t>(usage.shareMillionths);
        require(entry.shareMillionths <= 1'000'000, "share above 1");
        out.usages.push_back(std::move(entry));
    }
    return out;
}

} // namespace trefoilstile::peer
