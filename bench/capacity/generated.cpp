// Generation of documents.

#include "generated.hpp"

#include <iterator>
#include <set>

#include <fmt/format.h>

#include "trefoilstile/base/random.hpp"

namespace trefoilstile::bench
{

namespace
{

constexpr unsigned s_v4Bits = 96; // bits in front of an IPv4 address in the 128-bit form
constexpr std::uint64_t s_v4Prefix = 0xffff00000000ULL;

/// Prefix lengths with the usual preponderance of the longest ones.
unsigned v4Length(base::SplitMix64 &random)
{
    constexpr unsigned lengths[] = {24, 24, 24, 24, 24, 24, 23, 23, 22, 20};
    return lengths[base::uniformBelow(random, std::size(lengths))];
}

base::IpAddress randomV4(base::SplitMix64 &random)
{
    // First octet 1 to 223: unicast addresses.
    const std::uint64_t value = (1 + base::uniformBelow(random, 223)) << 24U | (random.next() & 0xffffffU);
    return {0, s_v4Prefix | value};
}

base::IpAddress randomV6(base::SplitMix64 &random)
{
    return {0x2000000000000000ULL | random.next() >> 3U, random.next()}; // 2000::/3
}

base::IpBlock randomBlock(base::SplitMix64 &random)
{
    if (base::uniformBelow(random, 10) != 0) {
        const unsigned length = s_v4Bits + v4Length(random);
        return {base::masked(randomV4(random), length), static_cast<std::uint8_t>(length)};
    }
    const auto length = static_cast<unsigned>(32 + 8 * base::uniformBelow(random, 3));
    return {base::masked(randomV6(random), length), static_cast<std::uint8_t>(length)};
}

std::string upstreamText(std::size_t service, std::size_t upstream, const DocumentSize &size)
{
    const std::string host = fmt::format("10.{}.{}.{}", 16 + service, upstream / 250, 1 + upstream % 250);
    return fmt::format(
        "      - {{name: s{:02}-up-{:05}, failure_domain: {}, address: {{trial: '{}:8081', production: '{}:8080'}}, slots: 4, connections: 4000}}\n",
        service,
        upstream,
        domainName(upstream % size.domains),
        host,
        host);
}

} // namespace

std::vector<document::ClientBlock> generateBlocks(std::size_t count, std::size_t sites, std::uint64_t seed)
{
    base::SplitMix64 random(seed);
    std::set<base::IpBlock> seen;
    std::vector<document::ClientBlock> blocks;
    blocks.reserve(count);
    while (blocks.size() < count) {
        const base::IpBlock block = randomBlock(random);
        if (seen.insert(block).second) {
            blocks.push_back({block, static_cast<std::uint16_t>(base::uniformBelow(random, sites))});
        }
    }
    return blocks;
}

std::string textOf(const base::IpBlock &block)
{
    const unsigned length = block.first.isV4() ? block.prefixLength - s_v4Bits : block.prefixLength;
    return fmt::format("{}/{}", base::toString(block.first), length);
}

std::vector<base::IpAddress> generateClients(const std::vector<document::ClientBlock> &blocks, std::size_t count, std::uint64_t seed)
{
    base::SplitMix64 random(seed + 1);
    std::vector<base::IpAddress> clients;
    clients.reserve(count);
    while (clients.size() < count) {
        if (random.next() % 2 == 0) {
            base::IpAddress address = blocks[base::uniformBelow(random, blocks.size())].block.first;
            address.low |= random.next() & 0xffU;
            clients.push_back(address);
        } else {
            clients.push_back(base::uniformBelow(random, 10) != 0 ? randomV4(random) : randomV6(random));
        }
    }
    return clients;
}

std::string domainName(std::size_t domain)
{
    return fmt::format("domain-{:02}", domain);
}

std::string regionName(std::size_t region)
{
    return fmt::format("region-{}", region);
}

std::string siteName(std::size_t site)
{
    return fmt::format("site-{:03}", site);
}

std::string headText(const DocumentSize &size)
{
    std::string text = "max_entry_instances: 2000\nregions:\n";
    for (std::size_t region = 0; region < size.regions; ++region) {
        text += fmt::format("  - name: {}\n    capacity_rps: 200000\n    failure_domains:\n", regionName(region));
        for (std::size_t domain = region; domain < size.domains; domain += size.regions) {
            text += fmt::format("      - {{name: {}, capacity_rps: 60000}}\n", domainName(domain));
        }
    }
    text += "classes:\n  urgent: {weight: 16, minimum_share: 0.3}\n  interactive: {weight: 4, minimum_share: 0.3}\n";
    text += "  bulk: {weight: 1, minimum_share: 0.1}\n";
    text += size.regions > 1 ? "shift_caps:\n" : "";
    for (std::size_t from = 0; from < size.regions; ++from) {
        for (std::size_t to = 0; to < size.regions; ++to) {
            if (from != to) {
                text += fmt::format("  - {{from: {}, to: {}, requests_per_second: 20000, bytes_per_second: 62500000}}\n", regionName(from), regionName(to));
            }
        }
    }
    return text + "lookup: {ttl_ms: 30000, jitter: 0.3, entries: 3, requests_per_response: 0.1}\n";
}

std::string serviceText(const DocumentSize &size, std::size_t service)
{
    std::string text = fmt::format("  - name: service-{:02}\n    hosts: [service-{:02}.example]\n    timeout_ms: 2000\n", service, service);
    text += "    routes:\n      - {path_prefix: /orders, methods: [POST], class: urgent, idempotent: false, timeout_ms: 4000}\n";
    text += "      - {path_prefix: /, class: interactive, idempotent: true}\n    upstreams:\n";
    for (std::size_t upstream = service; upstream < size.upstreams; upstream += size.services) {
        text += upstreamText(service, upstream / size.services, size);
    }
    return text;
}

std::string documentText(const DocumentSize &size, std::uint64_t seed)
{
    std::string text = headText(size) + "services:\n";
    for (std::size_t service = 0; service < size.services; ++service) {
        text += serviceText(size, service);
    }
    std::vector<std::string> blocks(size.sites);
    for (const document::ClientBlock &block : generateBlocks(size.blocks, size.sites, seed)) {
        blocks[block.site] += fmt::format("      - {}\n", textOf(block.block));
    }
    text += "sites:\n";
    for (std::size_t site = 0; site < size.sites; ++site) {
        text += fmt::format("  - name: {}\n    failure_domain: {}\n", siteName(site), domainName(site % size.domains));
        text += blocks[site].empty() ? std::string() : "    blocks:\n" + blocks[site];
    }
    return text + fmt::format("default_site: {}\n", siteName(0));
}

} // namespace trefoilstile::bench
