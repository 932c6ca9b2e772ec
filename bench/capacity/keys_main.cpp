// Key table: memory of a record and operations per second of a core.

#include <memory>

#include <fmt/format.h>

#include "generated.hpp"
#include "heap_count.hpp"
#include "measure.hpp"
#include "report.hpp"
#include "trefoilstile/idempotency/key_table.hpp"

using namespace trefoilstile;
using namespace trefoilstile::bench;

namespace
{

constexpr base::TimePoint s_start{std::chrono::hours(1)};
constexpr std::size_t s_bodyBytes = 160; // of a stored answer to a hold or payment

std::vector<std::string> makeKeys(std::size_t count, const idempotency::KeyIssuer &issuer)
{
    base::SplitMix64 random(s_seed);
    std::vector<std::string> keys;
    for (std::size_t i = 0; i < count; ++i) {
        keys.push_back(issuer.prefix(s_start, random) + fmt::format("{}", i));
    }
    return keys;
}

/// One run of each key: begin, send, complete.
void runAll(idempotency::KeyTable &table, const std::vector<std::string> &keys)
{
    for (std::size_t i = 0; i < keys.size(); ++i) {
        const base::RequestId id{i + 1};
        (void)table.begin(keys[i], {i}, id, s_start);
        table.markSent(keys[i], id);
        const idempotency::StoredResponse response{200, "application/json", std::string(s_bodyBytes, 'x'), false};
        (void)table.complete(keys[i], id, std::make_shared<const idempotency::StoredResponse>(response), s_start);
    }
}

std::vector<Table> measure(unsigned runs)
{
    Table table{"key_table", {"records", "kept records", "heap bytes/record", "charged bytes/record", "CPU ns/run", "runs/s of a core", "CPU ns/repeat"}, {}};
    for (const std::size_t size : {std::size_t{1'000}, std::size_t{10'000}, std::size_t{80'000}}) {
        const idempotency::KeyIssuer issuer({s_seed}, s_start);
        const std::vector<std::string> keys = makeKeys(size, issuer);
        const double run = bestCpuSeconds(runs, [&]() {
            idempotency::KeyTable filled(issuer);
            runAll(filled, keys);
            keep(filled);
        });
        const std::size_t before = heapBytes();
        idempotency::KeyTable filled(issuer);
        runAll(filled, keys);
        const std::size_t held = heapBytes() - before;
        const double repeat = bestCpuSeconds(runs, [&]() {
            for (std::size_t i = 0; i < keys.size(); ++i) {
                keep(filled.begin(keys[i], {i}, {size + i + 1}, s_start));
            }
        });
        const auto records = static_cast<double>(filled.size());
        const auto all = static_cast<double>(size);
        table.add({count(size),
            count(filled.size()),
            static_cast<double>(held) / records,
            static_cast<double>(filled.bytes()) / records,
            run / all * 1e9,
            all / run,
            repeat / all * 1e9});
    }
    return {table};
}

} // namespace

int main(int argc, char **argv)
{
    return reportMain(argc, argv, "Key table by number of records", measure);
}
