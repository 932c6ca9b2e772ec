// Bytes that a change takes: whole document against content-addressed sections with a manifest.

#include <algorithm>
#include <functional>

#include "report.hpp"
#include "sections.hpp"

using namespace trefoilstile::bench;

namespace
{

Table sizesOf(const SectionSizes &sizes)
{
    Table table{"sizes", {"part", "number", "bytes in all", "largest bytes"}, {}};
    const auto addList = [&table](const char *name, const std::vector<std::size_t> &list) {
        std::size_t sum = 0;
        for (const std::size_t size : list) {
            sum += size;
        }
        table.add({name, count(list.size()), count(sum), count(*std::max_element(list.begin(), list.end()))});
    };
    addList("whole document", {sizes.wholeDocument});
    addList("head", {sizes.head});
    addList("services", sizes.services);
    addList("block sections", sizes.blocks);
    addList("flat manifest", {sizes.flatManifest()});
    addList("binary manifest", {sizes.binaryManifest()});
    addList("two-level manifest, changed part", {sizes.treeManifest()});
    return table;
}

Table changesOf(const SectionSizes &sizes)
{
    const std::size_t service = *std::max_element(sizes.services.begin(), sizes.services.end());
    const std::size_t blocks = *std::max_element(sizes.blocks.begin(), sizes.blocks.end());
    std::size_t scattered = 0;
    const auto touched = touchedSections(sizes, {}, target::s_blocks / s_blockSections);
    for (const std::size_t section : touched) {
        scattered += sizes.blocks[section];
    }
    Table table{"bytes_of_a_change", {"change", "sections", "manifest", "bytes", "part of the document", "bytes a day per node", "bytes/s per node"}, {}};
    const auto add = [&table, &sizes](const std::string &change, std::size_t sections, const char *manifest, std::size_t bytes) {
        const double day = static_cast<double>(bytes) * target::s_changesPerDay;
        const double part = static_cast<double>(bytes) / static_cast<double>(sizes.wholeDocument);
        table.add({change, count(sections), manifest, count(bytes), part, day, day / target::s_secondsPerDay});
    };
    add("any, as built", 1, "none", sizes.wholeDocument);
    const std::pair<const char *, std::size_t> manifests[] = {
        {"flat", sizes.flatManifest()}, {"binary", sizes.binaryManifest()}, {"two-level", sizes.treeManifest()}};
    for (const auto &[name, bytes] : manifests) {
        add("one service", 1, name, service + bytes);
        add("a thousandth, in one place", 1, name, blocks + bytes);
    }
    add("a thousandth, scattered", touched.size(), "flat", scattered + sizes.flatManifest());
    return table;
}

std::vector<Table> measure(unsigned)
{
    const SectionSizes sizes = splitDocument({});
    return {sizesOf(sizes), changesOf(sizes)};
}

} // namespace

int main(int argc, char **argv)
{
    return reportMain(argc, argv, "Bytes of a change of the steering document", measure);
}
