// Measures what membership costs a node, and how long faults take to be noticed, at several fleet sizes in virtual time.
// Usage: membership_cost [SEED [LARGEST]]; LARGEST leaves out fleets with more nodes.

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <string>
#include <vector>

#include <fmt/format.h>

#include "testing/steered_fleet.hpp"
#include "trefoilstile/peer/envelope_codec.hpp"

using namespace trefoilstile;
using namespace trefoilstile::membership;
using namespace trefoilstile::membership::testing;
using namespace std::chrono_literals;

namespace
{

struct Size {
    std::size_t domains{};
    std::size_t nodesPerDomain{};
};

constexpr Size s_sizes[] = {{4, 3}, {6, 8}, {6, 32}, {30, 63}};

/// IP and UDP headers of a datagram, which count against the bandwidth.
constexpr std::size_t s_headerBytes = 28;

std::string seconds(const std::optional<base::Duration> &span)
{
    return span ? fmt::format("{:.1f}", base::toSeconds(*span)) : "not";
}

/// Messages and bytes sent and received by a node in a second: mean and greatest.
void printCost(SteeredFleet &fleet, const char *phase, base::Duration span)
{
    fleet.resetCounts();
    fleet.run(span);
    double messages = 0;
    double bytes = 0;
    double mostMessages = 0;
    double mostBytes = 0;
    for (const FleetNode &node : fleet.nodes()) {
        const auto count = static_cast<double>(node.sent + node.received);
        const double size = static_cast<double>(node.sentBytes + node.receivedBytes) + count * s_headerBytes;
        messages += count;
        bytes += size;
        mostMessages = std::max(mostMessages, count);
        mostBytes = std::max(mostBytes, size);
    }
    const double perNode = base::toSeconds(span) * static_cast<double>(fleet.nodes().size());
    fmt::print("  {:<32} messages/s mean {:6.1f} most {:6.1f}  bytes/s mean {:7.0f} most {:7.0f}\n",
        phase,
        messages / perNode,
        mostMessages / base::toSeconds(span),
        bytes / perNode,
        mostBytes / base::toSeconds(span));
}

bool deadInItsDomain(SteeredFleet &fleet, std::size_t victim)
{
    for (std::size_t node = 0; node < fleet.nodes().size(); ++node) {
        if (!fleet.isRunning(node) || fleet.nodes()[node].domain != fleet.nodes()[victim].domain) {
            continue;
        }
        const MemberEntry *entry = fleet.view(node, victim);
        if (entry != nullptr && entry->status.state != MemberState::Dead) {
            return false;
        }
    }
    return true;
}

void measure(const Size &size, std::uint64_t seed, double loss)
{
    const auto started = std::chrono::steady_clock::now();
    FleetOptions options;
    options.domains = size.domains;
    options.nodesPerDomain = size.nodesPerDomain;
    options.seed = seed;
    options.loss = loss;
    SteeredFleet fleet(options);
    peer::EnvelopeCodec codec({"key of the measurement", "production", "entry-0000.region-0", {1}});
    fleet.sizeOf = [&codec](const Message &message) {
        const auto encoded = std::visit(
            [&codec](const auto &alternative) {
                return codec.encode(alternative);
            },
            message);
        return encoded.size();
    };
    fleet.publishDocument();
    fleet.publishDrains();
    fleet.startAll();
    const auto agrees = [&fleet] {
        return fleet.agrees();
    };
    const auto joined = fleet.runUntil(agrees, 120s);
    fmt::print(
        "{} nodes in {} failure domains, loss {}%, seed {}: all agree after {} s\n", fleet.nodes().size(), size.domains, loss * 100, seed, seconds(joined));
    fleet.run(20s);
    printCost(fleet, "steady, 30 s", 30s);
    fleet.publishDocument();
    const auto documents = fleet.runUntil(
        [&fleet] {
            return fleet.documentEverywhere();
        },
        30s);
    fleet.publishDrains();
    const auto drains = fleet.runUntil(
        [&fleet] {
            return fleet.drainsEverywhere();
        },
        30s);
    fleet.publishDocument();
    printCost(fleet, "5 s after a new document", 5s);
    const std::size_t victim = size.nodesPerDomain + 1;
    fleet.kill(victim);
    const auto noticed = fleet.runUntil(
        [&fleet, victim] {
            return deadInItsDomain(fleet, victim);
        },
        60s);
    fleet.start(victim);
    const auto replaced = fleet.runUntil(agrees, 60s);
    fleet.cutOffDomain(1);
    fleet.run(60s);
    fleet.heal();
    printCost(fleet, "5 s after a domain was cut off", 5s);
    fmt::print("  document everywhere {} s, drains everywhere {} s, dead node noticed {} s, replacement listed {} s, {} nodes are relays\n",
        seconds(documents),
        seconds(drains),
        seconds(noticed),
        seconds(replaced),
        std::count_if(fleet.nodes().begin(), fleet.nodes().end(), [](const FleetNode &node) {
            return node.detector->isRelay();
        }));
    fmt::print("  run time {:.1f} s\n", std::chrono::duration<double>(std::chrono::steady_clock::now() - started).count());
}

} // namespace

int main(int argumentCount, char **arguments)
{
    const std::uint64_t seed = argumentCount > 1 ? std::strtoull(arguments[1], nullptr, 10) : 1;
    const std::size_t largest = argumentCount > 2 ? std::strtoull(arguments[2], nullptr, 10) : 10'000;
    for (const Size &size : s_sizes) {
        for (const double loss : {0.0, 0.02}) {
            if (size.domains * size.nodesPerDomain <= largest) {
                measure(size, seed, loss);
            }
        }
    }
    return 0;
}
