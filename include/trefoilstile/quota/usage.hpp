// Limits of the quotas of client accounts, and the messages by which instances tell each other how much of them is used.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "trefoilstile/base/ids.hpp"
#include "trefoilstile/base/time.hpp"

namespace trefoilstile::quota
{

/// Identifies an account between instances: a 40-bit hash of its name, which takes 6 bytes on the wire. Two of 10,000 accounts have the
/// same one with a probability of 5 in 100,000; they then share the smaller quota of the two.
using AccountId = base::Id<struct AccountTag>;

/// Identifier of the account with this name.
AccountId accountId(std::string_view name);

struct QuotaOptions {
    base::Duration window{}; ///< sliding window over which requests are limited; zero turns quotas off
    double overshoot = 0; ///< fraction by which all instances together may exceed a quota
    double slack = 0; ///< requests per window by which all instances together may exceed a quota in addition
    /// Without news for longer than this, an instance uses its last share. Reports are sent every 300 ms and may be a second late.
    base::Duration newsLifetime = std::chrono::milliseconds(1'800);
    /// For how long an instance keeps its last share, and the others reserve it. Network cuts that the deployments expect are shorter.
    base::Duration holdTime = std::chrono::seconds(30);
    base::Duration holdMargin = std::chrono::seconds(3); ///< by which a reservation outlasts the hold time
};

/// Quota of one account as the configuration states it.
struct AccountQuota {
    std::string name;
    double requestsPerSecond{}; ///< 0: no quota
    double burst{}; ///< requests beyond the rate, in each window
};

/// Figures of one quota in requests per window.
struct WindowLimits {
    double granted{}; ///< rate x window + burst; requests within it are to be served
    double bound{}; ///< must never be exceeded
    double target{}; ///< use that shares add up to while an account is limited, between the two
    double ceiling{}; ///< known use at which all requests are refused, between target and bound

    WindowLimits() = default;
    WindowLimits(const AccountQuota &quota, const QuotaOptions &options);
};

/// Number of time slots per window in messages. A count is kept until its whole slot has left the window.
inline constexpr std::size_t s_slots = 20;

/// Use of one account. All figures are absolute, so a lost, late or repeated message does no lasting harm.
struct AccountUsage {
    AccountId account;
    std::uint64_t demand{}; ///< requests that arrived within the window, admitted or refused
    std::vector<std::uint32_t> slots; ///< attempts by time slot, the latest first; absent slots are 0
    std::uint64_t reserved{}; ///< part of the quota that is kept for instances without contact
    std::uint32_t shareMillionths{}; ///< in a reply: share of the receiver in the quota

    friend bool operator==(const AccountUsage &, const AccountUsage &) = default;
};

enum class UsageKind : std::uint8_t {
    Member, ///< use at the sender
    Domain, ///< use at all instances of the sender's failure domain
    Reply, ///< use at all instances but the receiver; answers the report of kind `Member` with the same number
};

struct UsageMessage {
    UsageKind kind = UsageKind::Member;
    std::string sender; ///< name of the instance
    std::string failureDomain; ///< of the sender
    std::string peerAddress; ///< of the sender; a reply is sent there
    base::IncarnationId incarnation; ///< of the sender; in a reply that of the receiver
    std::uint64_t number{}; ///< increases with each message of an incarnation
    bool replyWanted = false;
    std::vector<AccountUsage> usages;

    friend bool operator==(const UsageMessage &, const UsageMessage &) = default;
};

/// Parts of a message that fit into one datagram each; at least one.
std::vector<UsageMessage> splitMessage(const UsageMessage &message);

} // namespace trefoilstile::quota
