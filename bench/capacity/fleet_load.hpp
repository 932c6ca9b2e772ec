// Peer messages of a whole fleet in virtual time: the failure detectors of the system with the real codec for sizes.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "generated.hpp"
#include "trefoilstile/membership/messages.hpp"

namespace trefoilstile::bench
{

struct FleetLoadOptions {
    std::size_t domains = target::s_domains;
    std::size_t nodesPerDomain = target::s_nodesPerDomain;
    std::size_t domainsPerRegion = 4; ///< 30 domains in 8 regions; the target has 9
    std::size_t settleSeconds = 30; ///< until all members know each other
    std::size_t measuredSeconds = 48; ///< one change of the document at 1,800 a day
    std::size_t keptMessages = 2'000; ///< for the cost of the codec
    std::uint64_t keepOneIn = 97; ///< messages; keeps a sample of the whole run
};

/// Sizes of one kind of message as datagram payload.
struct KindSizes {
    std::uint64_t messages{};
    std::uint64_t bytes{};
    std::size_t largest{};
};

/// Messages and bytes per second of one node, without UDP and IP headers.
struct NodeRates {
    double sentMessages{};
    double sentBytes{};
    double receivedMessages{};
    double receivedBytes{};
};

struct FleetLoad {
    std::size_t nodes{};
    bool agreed = false; ///< all lists were complete at the end
    std::uint64_t generation{}; ///< lowest that a node has in effect at the end
    std::array<KindSizes, std::variant_size_v<membership::Message>> kinds;
    NodeRates ordinary; ///< mean of the nodes that are no relays
    NodeRates relay; ///< mean of the relays
    NodeRates busiest; ///< node with the most bytes sent and received
    std::vector<membership::Message> kept;
    double cpuSeconds{}; ///< of the measured part: detectors, one encoding of each message and the virtual network
    std::size_t seconds{}; ///< measured, in virtual time
};

/// UDP and IPv4 headers of one datagram.
inline constexpr double s_headerBytes = 28;

/// Bytes per second, headers included.
double sentBytes(const NodeRates &rates);
double receivedBytes(const NodeRates &rates);
double networkBytes(const NodeRates &rates); ///< both together

FleetLoad runFleet(const FleetLoadOptions &options);

} // namespace trefoilstile::bench
