// Nanoseconds for recording a request for the measured capacity, and for an update of the capacity. The target is 1 microsecond for a
// request.

#include <benchmark/benchmark.h>

#include "trefoilstile/ingress/measured_requests.hpp"

namespace
{

using namespace trefoilstile;
using namespace std::chrono_literals;

void recordRequest(benchmark::State &state)
{
    ingress::MeasuredRequests measured({0.5, 50});
    std::uint64_t bytes = 0;
    for (auto _ : state) {
        bytes = (bytes + 4'096) % 400'000;
        measured.requestEnded({bytes, bytes / 2});
        benchmark::DoNotOptimize(measured);
    }
}

void updateCapacity(benchmark::State &state)
{
    ingress::MeasuredRequests measured({0.5, 50});
    ingress::ResourceUse use{base::Duration::zero(), 0.1, 0.3, false};
    base::TimePoint now(1000s);
    for (auto _ : state) {
        now += 100ms;
        *use.processorTime += 10ms;
        for (int i = 0; i < 20; ++i) {
            measured.requestEnded({20'000, 30'000});
        }
        measured.advance(use, true, now);
        benchmark::DoNotOptimize(measured.capacity());
    }
}

BENCHMARK(recordRequest);
BENCHMARK(updateCapacity);

} // namespace

BENCHMARK_MAIN();
