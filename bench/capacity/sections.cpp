// Split of a generated document into sections.

#include "sections.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <set>

#include <fmt/format.h>

#include "trefoilstile/base/random.hpp"

namespace trefoilstile::bench
{

namespace
{

constexpr std::size_t s_hexHash = 64;
constexpr std::size_t s_binaryHash = 32;
constexpr std::size_t s_manifestHead = 64; ///< version, count and generation

std::size_t sumOf(const std::vector<std::size_t> &sizes)
{
    return std::accumulate(sizes.begin(), sizes.end(), std::size_t{0});
}

} // namespace

std::size_t SectionSizes::sections() const
{
    return 1 + services.size() + blocks.size();
}

std::size_t SectionSizes::sum() const
{
    return head + sumOf(services) + sumOf(blocks);
}

std::size_t SectionSizes::flatManifest() const
{
    constexpr std::size_t name = 12; // such as `blocks-0421 ` and the end of the line
    return s_manifestHead + sections() * (s_hexHash + name);
}

std::size_t SectionSizes::binaryManifest() const
{
    return s_manifestHead + sections() * s_binaryHash;
}

std::size_t SectionSizes::treeManifest() const
{
    const auto fanout = static_cast<std::size_t>(std::ceil(std::sqrt(static_cast<double>(sections()))));
    return 2 * (s_manifestHead + fanout * s_binaryHash);
}

SectionSizes splitDocument(const DocumentSize &size, std::uint64_t seed)
{
    SectionSizes sizes;
    sizes.wholeDocument = documentText(size, seed).size();
    sizes.head = headText(size).size();
    for (std::size_t site = 0; site < size.sites; ++site) {
        sizes.head += fmt::format("  - {{name: {}, failure_domain: {}}}\n", siteName(site), domainName(site % size.domains)).size();
    }
    for (std::size_t service = 0; service < size.services; ++service) {
        sizes.services.push_back(serviceText(size, service).size());
    }
    std::vector<document::ClientBlock> blocks = generateBlocks(size.blocks, size.sites, seed);
    std::sort(blocks.begin(), blocks.end(), [](const document::ClientBlock &left, const document::ClientBlock &right) {
        return left.block < right.block;
    });
    for (std::size_t section = 0; section < s_blockSections; ++section) {
        const std::size_t first = section * blocks.size() / s_blockSections;
        const std::size_t last = (section + 1) * blocks.size() / s_blockSections;
        std::size_t bytes = 0;
        for (std::size_t i = first; i < last; ++i) {
            bytes += fmt::format("{} {}\n", textOf(blocks[i].block), blocks[i].site).size();
        }
        sizes.blocks.push_back(bytes);
        sizes.blockStarts.push_back(blocks[first].block);
    }
    return sizes;
}

std::vector<std::size_t> touchedSections(const SectionSizes &sizes, const DocumentSize &size, std::size_t changed, std::uint64_t seed)
{
    const std::vector<document::ClientBlock> blocks = generateBlocks(size.blocks, size.sites, seed);
    base::SplitMix64 random(seed + 2);
    std::set<std::size_t> touched;
    for (std::size_t i = 0; i < changed; ++i) {
        const base::IpBlock &block = blocks[base::uniformBelow(random, blocks.size())].block;
        const auto next = std::upper_bound(sizes.blockStarts.begin(), sizes.blockStarts.end(), block);
        touched.insert(static_cast<std::size_t>(next - sizes.blockStarts.begin()) - 1);
    }
    return {touched.begin(), touched.end()};
}

} // namespace trefoilstile::bench
