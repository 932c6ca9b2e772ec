// Peer messages: sizes by kind, cost of encoding and decoding, messages and bytes per node and second.

#include "fleet_load.hpp"
#include "measure.hpp"
#include "report.hpp"
#include "trefoilstile/peer/envelope_codec.hpp"

using namespace trefoilstile;
using namespace trefoilstile::bench;

namespace
{

constexpr const char *s_kindNames[] = {"probe", "ack", "probe_request", "gossip", "summary_exchange"};

peer::EnvelopeCodec makeCodec(std::uint64_t incarnation)
{
    return peer::EnvelopeCodec({std::string(32, 'k'), "production", "entry-0000", {incarnation}});
}

std::string encode(peer::EnvelopeCodec &codec, const membership::Message &message)
{
    return std::visit(
        [&codec](const auto &alternative) {
            return codec.encode(alternative);
        },
        message);
}

void addCodec(Table &table, const std::string &fleet, const std::vector<membership::Message> &messages, unsigned runs)
{
    const auto number = static_cast<double>(messages.size());
    const double encoding = bestCpuSeconds(runs, [&messages]() {
        peer::EnvelopeCodec codec = makeCodec(1);
        for (const membership::Message &message : messages) {
            keep(encode(codec, message));
        }
    });
    peer::EnvelopeCodec sender = makeCodec(1);
    std::vector<std::string> datagrams;
    std::size_t bytes = 0;
    for (const membership::Message &message : messages) {
        datagrams.push_back(encode(sender, message));
        bytes += datagrams.back().size();
    }
    std::uint64_t accepted = 0;
    const double decoding = bestCpuSeconds(runs, [&datagrams, &accepted]() {
        peer::EnvelopeCodec codec = makeCodec(2);
        for (const std::string &datagram : datagrams) {
            keep(codec.decode(datagram, peer::Channel::Datagram));
        }
        accepted = codec.accepted();
    });
    table.add({fleet, count(messages.size()), count(accepted), static_cast<double>(bytes) / number, encoding / number * 1e6, decoding / number * 1e6});
}

void addRates(Table &table, const std::string &fleet, const char *role, const NodeRates &rates)
{
    table.add({fleet, role, rates.sentMessages, rates.receivedMessages, sentBytes(rates), receivedBytes(rates), networkBytes(rates)});
}

std::vector<Table> measure(unsigned runs)
{
    Table kinds{"sizes", {"fleet", "kind", "messages", "mean bytes", "largest bytes"}, {}};
    Table codec{"codec", {"fleet", "messages", "accepted", "mean bytes", "encode+MAC CPU us", "decode+MAC CPU us"}, {}};
    Table rates{"rates", {"fleet", "node", "sent/s", "received/s", "sent bytes/s", "received bytes/s", "both bytes/s"}, {}};
    Table runsTable{"runs", {"fleet", "nodes", "complete lists", "lowest generation", "CPU us per node and s"}, {}};
    const std::pair<const char *, FleetLoadOptions> fleets[] = {
        {"today", {.domains = target::s_domainsToday, .nodesPerDomain = 2, .domainsPerRegion = 2, .keepOneIn = 2}},
        {"two-year", {}},
    };
    for (const auto &[name, options] : fleets) {
        const FleetLoad load = runFleet(options);
        for (std::size_t kind = 0; kind < load.kinds.size(); ++kind) {
            const KindSizes &sizes = load.kinds[kind];
            const double mean = sizes.messages == 0 ? 0.0 : static_cast<double>(sizes.bytes) / static_cast<double>(sizes.messages);
            kinds.add({name, s_kindNames[kind], count(sizes.messages), mean, count(sizes.largest)});
        }
        addCodec(codec, name, load.kept, runs);
        addRates(rates, name, "ordinary, mean", load.ordinary);
        addRates(rates, name, "relay, mean", load.relay);
        addRates(rates, name, "busiest", load.busiest);
        const double nodeCost = load.cpuSeconds * 1e6 / static_cast<double>(load.nodes * load.seconds);
        runsTable.add({name, count(load.nodes), load.agreed ? "yes" : "no", count(load.generation), nodeCost});
    }
    return {kinds, codec, rates, runsTable};
}

} // namespace

int main(int argc, char **argv)
{
    return reportMain(argc, argv, "Peer messages by size of the fleet; bytes per second include UDP and IPv4 headers", measure);
}
