// Run of the fleet and its counts.

#include "fleet_load.hpp"

#include <algorithm>

#include "fleet.hpp"
#include "measure.hpp"
#include "trefoilstile/peer/envelope_codec.hpp"

namespace trefoilstile::bench
{

namespace
{

using namespace membership;

/// Fleet whose nodes announce documents and spare capacity as the daemon does. A node that hears of a higher generation
/// announces it at once, which stands for a fetch that takes no time.
class LoadFleet : public testing::Fleet
{
public:
    using Fleet::Fleet;

    void change(std::uint64_t generation)
    {
        for (std::size_t node = 0; node < nodes().size(); ++node) {
            const bool poller = node == 0 || nodes()[node - 1].domain != nodes()[node].domain;
            if (poller) {
                adopt(node, generation);
            }
        }
    }

    std::uint64_t lowestGeneration()
    {
        return *std::min_element(m_generations.begin(), m_generations.end());
    }

protected:
    void started(std::size_t) override
    {
        m_generations.resize(nodes().size());
    }

    void ticked(std::size_t node) override
    {
        // The figure nearly always differs by more than a tenth, so that it is reported as often as it may be.
        nodes()[node].detector->setSpareCapacity(static_cast<std::uint32_t>(200 + m_spare.next() % 700));
    }

    void heard(std::size_t node, const Message &message) override
    {
        adopt(node, bodyOf(message).announcement.document.generation.value);
    }

private:
    void adopt(std::size_t node, std::uint64_t generation)
    {
        if (generation <= m_generations[node]) {
            return;
        }
        m_generations[node] = generation;
        Sink sink{*this, node};
        const steering::Announcement announcement{{{generation}, std::string(64, 'a')}, {generation}};
        nodes()[node].detector->setAnnouncement(announcement, now(), sink);
    }

    base::SplitMix64 m_spare{s_seed};
    std::vector<std::uint64_t> m_generations;
};

void add(NodeRates &sum, const testing::FleetNode &node, double seconds)
{
    sum.sentMessages += static_cast<double>(node.sent) / seconds;
    sum.sentBytes += static_cast<double>(node.sentBytes) / seconds;
    sum.receivedMessages += static_cast<double>(node.received) / seconds;
    sum.receivedBytes += static_cast<double>(node.receivedBytes) / seconds;
}

void divide(NodeRates &sum, std::size_t nodes)
{
    const auto divisor = static_cast<double>(std::max<std::size_t>(nodes, 1));
    sum.sentMessages /= divisor;
    sum.sentBytes /= divisor;
    sum.receivedMessages /= divisor;
    sum.receivedBytes /= divisor;
}

void countNodes(FleetLoad &load, LoadFleet &fleet, double seconds)
{
    std::size_t relays = 0;
    for (testing::FleetNode &node : fleet.nodes()) {
        const bool relay = node.detector->isRelay();
        relays += relay ? 1 : 0;
        add(relay ? load.relay : load.ordinary, node, seconds);
        NodeRates own;
        add(own, node, seconds);
        if (networkBytes(own) > networkBytes(load.busiest)) {
            load.busiest = own;
        }
    }
    divide(load.ordinary, fleet.nodes().size() - relays);
    divide(load.relay, relays);
}

} // namespace

double sentBytes(const NodeRates &rates)
{
    return rates.sentBytes + s_headerBytes * rates.sentMessages;
}

double receivedBytes(const NodeRates &rates)
{
    return rates.receivedBytes + s_headerBytes * rates.receivedMessages;
}

double networkBytes(const NodeRates &rates)
{
    return sentBytes(rates) + receivedBytes(rates);
}

FleetLoad runFleet(const FleetLoadOptions &options)
{
    testing::FleetOptions fleetOptions;
    fleetOptions.domains = options.domains;
    fleetOptions.nodesPerDomain = options.nodesPerDomain;
    fleetOptions.domainsPerRegion = options.domainsPerRegion;
    fleetOptions.seed = s_seed;
    LoadFleet fleet(fleetOptions);
    fleet.startAll();
    fleet.run(std::chrono::seconds(options.settleSeconds));
    fleet.resetCounts();

    FleetLoad load;
    load.nodes = fleet.nodes().size();
    peer::EnvelopeCodec codec({std::string(32, 'k'), "production", "entry-0000", {s_seed}});
    std::uint64_t seen = 0;
    fleet.sizeOf = [&](const Message &message) {
        const std::size_t bytes = std::visit(
            [&codec](const auto &alternative) {
                return codec.encode(alternative).size();
            },
            message);
        KindSizes &kind = load.kinds[message.index()];
        ++kind.messages;
        kind.bytes += bytes;
        kind.largest = std::max(kind.largest, bytes);
        if (++seen % options.keepOneIn == 0 && load.kept.size() < options.keptMessages) {
            load.kept.push_back(message);
        }
        return bytes;
    };
    const std::uint64_t generation = 86'000; // 48 days of changes, so that the number has its usual length
    fleet.change(generation);
    const double start = cpuSeconds();
    fleet.run(std::chrono::seconds(options.measuredSeconds));
    load.cpuSeconds = cpuSeconds() - start;
    load.seconds = options.measuredSeconds;
    load.generation = fleet.lowestGeneration();
    load.agreed = fleet.agrees();
    countNodes(load, fleet, static_cast<double>(options.measuredSeconds));
    return load;
}

} // namespace trefoilstile::bench
