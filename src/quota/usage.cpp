// Limits of quotas, and the division of messages into datagrams.

#include "trefoilstile/quota/usage.hpp"

#include <algorithm>

namespace trefoilstile::quota
{

namespace
{

/// Parts of the room between the granted requests and the bound. Up to the target it is used on purpose, which makes up for counts that
/// are kept for slightly longer than the window. Up to the ceiling it allows for news that overstate the use. The rest is for requests
/// that instances admit before they know of each other's.
constexpr double s_targetRoom = 0.12;
constexpr double s_ceilingRoom = 0.2;

/// Bytes of accounts in one message. The limit of a datagram is 1,400 bytes, of which envelope, names and address take up to 330.
constexpr std::size_t s_maximumUsageBytes = 1'000;

/// Upper estimate of the encoded size.
std::size_t encodedBytes(const AccountUsage &usage)
{
    std::size_t bytes = 22;
    for (const std::uint32_t count : usage.slots) {
        bytes += count < 64 ? 1 : count < 8'192 ? 2 : 5;
    }
    return bytes;
}

} // namespace

AccountId accountId(std::string_view name)
{
    constexpr unsigned droppedBits = 24;
    return {base::stableHash(name) >> droppedBits};
}

WindowLimits::WindowLimits(const AccountQuota &quota, const QuotaOptions &options)
    : granted(quota.requestsPerSecond * base::toSeconds(options.window) + quota.burst)
    , bound(granted * (1 + options.overshoot) + options.slack)
    , target(granted + s_targetRoom * (bound - granted))
    , ceiling(granted + s_ceilingRoom * (bound - granted))
{
}

std::vector<UsageMessage> splitMessage(const UsageMessage &message)
{
    UsageMessage part = message;
    part.usages.clear();
    std::vector<UsageMessage> parts;
    std::size_t bytes = 0;
    for (const AccountUsage &usage : message.usages) {
        const std::size_t added = encodedBytes(usage);
        if (bytes + added > s_maximumUsageBytes) {
            parts.push_back(part);
            part.usages.clear();
            bytes = 0;
        }
        bytes += added;
        part.usages.push_back(usage);
    }
    if (parts.empty() || !part.usages.empty()) {
        parts.push_back(std::move(part));
    }
    return parts;
}

} // namespace trefoilstile::quota
