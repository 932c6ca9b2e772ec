// Messages between members as plain values; the peer module encodes them.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "trefoilstile/base/ids.hpp"
#include "trefoilstile/base/time.hpp"
#include "trefoilstile/steering/version.hpp"

namespace trefoilstile::membership
{

/// State of a member as others see it. The order is that of precedence at an equal status number.
enum class MemberState : std::uint8_t { Alive, Suspect, Dead };

/// Attributes of a member that are fixed for the lifetime of an incarnation.
struct MemberInfo {
    std::string name;
    std::string callerAddress; ///< `IP:port`
    std::string peerAddress; ///< `IP:port`, the same number for UDP and TCP
    std::string region;
    std::string failureDomain;

    friend bool operator==(const MemberInfo &, const MemberInfo &) = default;
};

/// Attributes of a member that change during its lifetime. Only the member itself increases its status number and report number.
struct MemberStatus {
    std::uint64_t statusNumber{}; ///< a higher one overrides any state reported with a lower one
    MemberState state = MemberState::Alive;
    std::uint64_t reportNumber{}; ///< orders the fields below
    bool leaving = false; ///< announced by the member; never reset
    base::Generation generation; ///< document in effect
    base::Generation drainGeneration; ///< drain list in effect
    std::uint32_t spareCapacity{}; ///< requests/s

    friend bool operator==(const MemberStatus &, const MemberStatus &) = default;
};

/// Report about one member. `info` is omitted if the receiver is likely to know the member.
struct MemberUpdate {
    base::IncarnationId incarnation;
    MemberStatus status;
    std::optional<MemberInfo> info;

    friend bool operator==(const MemberUpdate &, const MemberUpdate &) = default;
};

/// Address of a relay of a failure domain.
struct RelayAddress {
    base::IncarnationId incarnation;
    std::string peerAddress;

    friend bool operator==(const RelayAddress &, const RelayAddress &) = default;
};

/// Summary of a failure domain, made by one of its relays.
struct DomainSummary {
    std::string failureDomain;
    std::string region;
    std::uint32_t alive{};
    std::uint32_t suspect{};
    std::uint32_t dead{};
    std::uint32_t leaving{}; ///< of those alive
    steering::Announcement highest; ///< highest generations in effect there
    std::uint64_t spareCapacity{}; ///< requests/s of those alive and not leaving
    base::Duration age{}; ///< since a relay of the domain made the summary
    std::vector<RelayAddress> relays;

    friend bool operator==(const DomainSummary &, const DomainSummary &) = default;
};

/// Gossip that all messages between members carry.
struct GossipBody {
    steering::Announcement announcement; ///< of the sender
    MemberUpdate sender; ///< the sender's own record, always with `info`
    std::vector<MemberUpdate> updates;
    std::vector<DomainSummary> summaries;

    friend bool operator==(const GossipBody &, const GossipBody &) = default;
};

/// Asks the receiver to answer with `Ack`. `target` is the incarnation that the sender expects at the address; the
/// receiver also answers if it is another one.
struct Probe {
    std::uint64_t nonce{};
    base::IncarnationId target;
    GossipBody body;

    friend bool operator==(const Probe &, const Probe &) = default;
};

/// Answer to a `Probe`, a `SummaryExchange` or a `ProbeRequest`.
struct Ack {
    std::uint64_t nonce{};
    base::IncarnationId responder; ///< incarnation that answered at the probed address; differs from the sender if the ack was forwarded
    GossipBody body;

    friend bool operator==(const Ack &, const Ack &) = default;
};

/// Asks the receiver to probe a third member and to forward its answer.
struct ProbeRequest {
    std::uint64_t nonce{};
    base::IncarnationId target;
    std::string targetAddress;
    GossipBody body;

    friend bool operator==(const ProbeRequest &, const ProbeRequest &) = default;
};

/// Gossip that requires no answer: eager announcements and the member list for a joining member.
struct Gossip {
    GossipBody body;

    friend bool operator==(const Gossip &, const Gossip &) = default;
};

/// Probe between relays of two failure domains, or of a contacted address (`target` 0: incarnation unknown); it and its `Ack` carry the summaries.
struct SummaryExchange {
    std::uint64_t nonce{};
    base::IncarnationId target;
    GossipBody body;

    friend bool operator==(const SummaryExchange &, const SummaryExchange &) = default;
};

using Message = std::variant<Probe, Ack, ProbeRequest, Gossip, SummaryExchange>;

/// Returns the gossip of a message.
inline const GossipBody &bodyOf(const Message &message)
{
    return std::visit(
        [](const auto &alternative) -> const GossipBody & {
            return alternative.body;
        },
        message);
}

/// A message to be sent as one datagram.
struct Outgoing {
    std::string peerAddress;
    Message message;
};

} // namespace trefoilstile::membership
