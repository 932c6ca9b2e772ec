// Nanoseconds for recording a request for the measured capacity, and for an update of the capacity. The target is 1 microsecond for a
// request.

#include <benchmark/benchmark.h>

#include "trefoilstile/http/message.hpp"
#include "trefoilstile/ingress/measured_requests.hpp"

namespace
{

using namespace trefoilstile;
using namespace std::chrono_literals;

/// Records a request and its response with `range(0)` header fields each; their bytes are summed as for a request of one attempt.
void recordRequest(benchmark::State &state)
{
    ingress::MeasuredRequests measured({0.5, 50});
    const http::Headers fields(static_cast<std::size_t>(state.range(0)), {"Content-Type", "application/json; charset=utf-8"});
    std::uint64_t body = 0;
    for (auto _ : state) {
        body = (body + 4'096) % 400'000;
        const std::uint64_t received = http::fieldBytes(fields) + http::fieldBytes(fields);
        measured.requestEnded({body + received, body / 2 + http::fieldBytes(fields)});
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

BENCHMARK(recordRequest)->Arg(10)->Arg(50);
BENCHMARK(updateCapacity);

} // namespace

BENCHMARK_MAIN();
