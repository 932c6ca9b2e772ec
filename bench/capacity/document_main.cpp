// Steering document: text size, parse time, memory and hash time by number of client blocks and of upstreams.

#include <memory>

#include "generated.hpp"
#include "heap_count.hpp"
#include "measure.hpp"
#include "report.hpp"
#include "trefoilstile/document/parse.hpp"

using namespace trefoilstile;
using namespace trefoilstile::bench;

namespace
{

void addRow(Table &table, const DocumentSize &size, unsigned runs)
{
    const std::string text = documentText(size);
    const std::size_t before = heapBytes();
    resetHeapPeak();
    auto document = std::make_unique<document::SteeringDocument>(document::parseDocument(text));
    const std::size_t peak = heapPeak() - before;
    const std::size_t held = heapBytes() - before;
    document.reset();
    const double parse = bestCpuSeconds(runs, [&text]() {
        keep(document::parseDocument(text));
    });
    const double hash = bestCpuSeconds(runs, [&text]() {
        keep(document::contentHash(text));
    });
    table.add({count(size.blocks), count(size.upstreams), count(text.size()), parse * 1e3, count(peak), count(held), hash * 1e3});
}

std::vector<Table> measure(unsigned runs)
{
    const std::vector<std::string> columns{"blocks", "upstreams", "text bytes", "parse CPU ms", "parse peak bytes", "document bytes", "SHA-256 CPU ms"};
    Table blocks{"by_blocks", columns, {}};
    for (const std::size_t count : {std::size_t{10'000}, std::size_t{100'000}, target::s_blocks}) {
        addRow(blocks, {.blocks = count, .services = 2, .upstreams = 37}, runs);
    }
    Table upstreams{"by_upstreams", columns, {}};
    for (const std::size_t count : {std::size_t{100}, std::size_t{1'000}, target::s_upstreams}) {
        addRow(upstreams, {.blocks = 630, .upstreams = count}, runs);
    }
    Table whole{"two_year", columns, {}};
    addRow(whole, {}, runs);
    return {blocks, upstreams, whole};
}

} // namespace

int main(int argc, char **argv)
{
    return reportMain(argc, argv, "Steering documents by size", measure);
}
