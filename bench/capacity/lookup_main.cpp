// Look-up table: build time, memory and lookups by number of client blocks; whole decisions by number of candidates.

#include <fmt/format.h>

#include "generated.hpp"
#include "heap_count.hpp"
#include "measure.hpp"
#include "report.hpp"
#include "trefoilstile/document/parse.hpp"
#include "trefoilstile/routing/entry_choice.hpp"

using namespace trefoilstile;
using namespace trefoilstile::bench;

namespace
{

constexpr std::size_t s_clients = 1U << 19U; // larger than the caches, so that lookups of one run do not help each other
constexpr double s_nano = 1e9;

struct NoCommitments : routing::CommitmentSource {
    bool take(std::string_view, std::string_view) override
    {
        return true;
    }
};

/// Memory by address family. IPv4 ranges are held twice: in the IPv4 arrays and in those of IPv6.
Table measureFamilies()
{
    Table table{"block_table_by_family", {"family", "blocks", "table bytes", "bytes/block"}, {}};
    for (const bool v4 : {true, false}) {
        auto blocks = generateBlocks(target::s_blocks, target::s_sites);
        std::erase_if(blocks, [v4](const document::ClientBlock &block) {
            return block.block.first.isV4() != v4;
        });
        const std::size_t bytes = routing::BlockTable(blocks, 0).memoryBytes();
        table.add({v4 ? "IPv4" : "IPv6", count(blocks.size()), count(bytes), static_cast<double>(bytes) / static_cast<double>(blocks.size())});
    }
    return table;
}

Table measureTable(unsigned runs)
{
    Table table{"block_table", {"blocks", "build CPU ms", "table bytes", "bytes/block", "build peak bytes", "CPU ns/lookup", "lookups/s of a core"}, {}};
    for (const std::size_t size : {std::size_t{10'000}, std::size_t{100'000}, target::s_blocks}) {
        const auto blocks = generateBlocks(size, target::s_sites);
        const auto clients = generateClients(blocks, s_clients);
        const std::size_t before = heapBytes();
        resetHeapPeak();
        const double build = bestCpuSeconds(runs, [&blocks]() {
            keep(routing::BlockTable(blocks, 0));
        });
        const std::size_t peak = heapPeak() - before;
        const routing::BlockTable built(blocks, 0);
        const double seconds = bestCpuSeconds(runs, [&built, &clients]() {
            std::uint64_t sum = 0;
            for (const base::IpAddress &client : clients) {
                sum += built.site(client);
            }
            keep(sum);
        });
        const double each = seconds / static_cast<double>(s_clients);
        const std::size_t bytes = built.memoryBytes();
        table.add({count(size), build * 1e3, count(bytes), static_cast<double>(bytes) / static_cast<double>(size), count(peak), each * s_nano, 1 / each});
    }
    return table;
}

std::vector<routing::EntryCandidate> candidates(std::size_t count, const DocumentSize &size)
{
    std::vector<routing::EntryCandidate> made;
    for (std::size_t i = 0; i < count; ++i) {
        const std::size_t domain = i % size.domains;
        made.push_back(
            {fmt::format("entry-{:04}", i), fmt::format("10.3.{}.{}:7000", i / 250, 1 + i % 250), regionName(domain % size.regions), domainName(domain)});
    }
    return made;
}

struct ChoiceCase {
    std::size_t candidates;
    DocumentSize size;
    std::string note;
};

Table measureChoice(unsigned runs)
{
    // Candidates of the caller's whole home region are ranked, so the cost follows the candidates of one region.
    const ChoiceCase cases[] = {
        {12, {.sites = 6, .services = 2, .upstreams = 37, .domains = 6, .regions = 3}, "today: 4 in a region"},
        {200, {.services = 2, .upstreams = 37, .domains = 3, .regions = 1}, "one region of 9: 200 in it"},
        {target::s_nodes, {.services = 2, .upstreams = 37}, "all nodes: 190 to 254 in a region"},
    };
    Table table{"entry_choice", {"candidates", "case", "CPU ns/decision", "decisions/s of a core"}, {}};
    for (const ChoiceCase &one : cases) {
        DocumentSize small = one.size;
        small.blocks = 0;
        auto document = std::make_shared<document::SteeringDocument>(document::parseDocument(documentText(small)));
        const auto blocks = generateBlocks(target::s_blocks, one.size.sites);
        const auto clients = generateClients(blocks, s_clients / 8);
        const auto table840 = std::make_shared<const routing::BlockTable>(blocks, 0);
        const routing::EntryTable entries(document, table840, {1}, candidates(one.candidates, one.size));
        NoCommitments commitments;
        const double seconds = bestCpuSeconds(runs, [&]() {
            for (const base::IpAddress &client : clients) {
                keep(entries.choose(client, commitments));
            }
        });
        const double each = seconds / static_cast<double>(clients.size());
        table.add({count(one.candidates), one.note, each * s_nano, 1 / each});
    }
    return table;
}

} // namespace

int main(int argc, char **argv)
{
    return reportMain(argc, argv, "Look-up table and lookup decisions by size", [](unsigned runs) {
        return std::vector<Table>{measureTable(runs), measureFamilies(), measureChoice(runs)};
    });
}
