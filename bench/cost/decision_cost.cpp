// Nanoseconds for each decision of admission, upstream and retry. Reported only; nothing depends on the figures.

#include <string>
#include <vector>

#include <benchmark/benchmark.h>

#include "trefoilstile/admission/class_scheduler.hpp"
#include "trefoilstile/base/random.hpp"
#include "trefoilstile/retry/retry_policy.hpp"
#include "trefoilstile/upstream/upstream_set.hpp"

namespace
{

using namespace trefoilstile;
using namespace std::chrono_literals;
using base::PriorityClass;

upstream::UpstreamSet makeSet(std::size_t upstreams)
{
    upstream::UpstreamSetConfig config;
    config.instance = "e0";
    config.maximumEntryInstances = 12;
    for (std::size_t index = 0; index < upstreams; ++index) {
        const std::string region = "r" + std::to_string(index % 3);
        config.upstreams.push_back({"u" + std::to_string(index), "10.0.0.1:1", region + (index % 2 == 0 ? "a" : "b"), region, 4, 400, 1.0});
    }
    upstream::UpstreamSet set(config);
    std::vector<upstream::SplitMember> members;
    for (int index = 0; index < 12; ++index) {
        members.push_back({"e" + std::to_string(index), "r" + std::to_string(index % 3)});
    }
    set.updateInstances(members);
    for (std::size_t index = 0; index < upstreams; ++index) {
        set.loadReported({"u" + std::to_string(index), {1}, engine::UpstreamState::Live, 4, 1, 0}, base::TimePoint(1s));
    }
    return set;
}

template<typename Policy>
void chooseAndFinish(benchmark::State &state)
{
    upstream::UpstreamSet set = makeSet(static_cast<std::size_t>(state.range(0)));
    base::SplitMix64 random(1);
    Policy policy;
    base::TimePoint now(1s);
    const std::vector<upstream::DomainIndex> domains = set.domainsFrom("r0a", "r0", false);
    for (auto _ : state) {
        now += 10us;
        const auto choice = set.choose({PriorityClass::Interactive, true, {}, domains, false}, now, random, policy);
        if (choice) {
            set.finished(*choice, PriorityClass::Interactive, {engine::AttemptResult::Completed, 10ms, false, false}, now, random);
        }
    }
}

void concurrency(benchmark::State &state)
{
    const upstream::UpstreamSet set = makeSet(static_cast<std::size_t>(state.range(0)));
    const std::vector<upstream::DomainIndex> domains = set.domainsFrom("r0a", "r0", false);
    for (auto _ : state) {
        benchmark::DoNotOptimize(set.concurrency(domains, base::TimePoint(1s)));
    }
}

/// One request through the scheduler while `range(0)` others wait in each class.
void scheduleOne(benchmark::State &state)
{
    admission::SchedulerOptions options;
    options.classes = {{document::ClassPolicy{8.0, 0.3}, document::ClassPolicy{3.0, 0.3}, document::ClassPolicy{1.0, 0.1}}};
    options.queueLength = 100000;
    admission::ClassScheduler scheduler(options);
    base::TimePoint now(1s);
    std::uint64_t id = 0;
    for (std::int64_t count = 0; count < state.range(0); ++count) {
        for (const PriorityClass priorityClass : base::s_priorityClasses) {
            scheduler.requeue({{++id}, priorityClass, now, now + 1000h});
        }
    }
    for (auto _ : state) {
        now += 10us;
        scheduler.enqueue({{++id}, base::s_priorityClasses.at(id % 3), now, now + 1000h}, now, 12);
        if (const auto started = scheduler.next(now, 12)) {
            scheduler.finished(started->request.priorityClass, 10ms, 5ms);
        }
    }
}

void decideRetry(benchmark::State &state)
{
    const retry::RetryPolicy policy;
    retry::RetryBudget budget;
    retry::AttemptHistory history;
    history.idempotent = true;
    history.deadlineLeft = 1s;
    base::TimePoint now(1s);
    for (auto _ : state) {
        now += 10us;
        budget.firstAttempt(PriorityClass::Interactive, now);
        benchmark::DoNotOptimize(policy.decide(history, engine::AttemptResult::TimedOut, PriorityClass::Interactive, budget, now));
    }
}

BENCHMARK(chooseAndFinish<upstream::LeastOutstanding>)->Arg(12)->Arg(36)->Arg(360);
BENCHMARK(chooseAndFinish<upstream::PowerOfTwoChoices>)->Arg(36);
BENCHMARK(chooseAndFinish<upstream::LeastLoaded>)->Arg(36);
BENCHMARK(chooseAndFinish<upstream::RoundRobin>)->Arg(36);
BENCHMARK(concurrency)->Arg(12)->Arg(36)->Arg(360);
BENCHMARK(scheduleOne)->Arg(0)->Arg(10)->Arg(200);
BENCHMARK(decideRetry);

} // namespace

BENCHMARK_MAIN();
