// Nanoseconds for each decision of admission, upstream, retry, placement and logging. Reported only; nothing depends on the figures.

#include <string>
#include <vector>

#include <benchmark/benchmark.h>
#include <fcntl.h>
#include <unistd.h>

#include "trefoilstile/admission/class_scheduler.hpp"
#include "trefoilstile/base/random.hpp"
#include "trefoilstile/ingress/placement.hpp"
#include "trefoilstile/proxy/event_log.hpp"
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
    std::vector<upstream::SharingInstance> members;
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
    history.remainingTime = 1s;
    base::TimePoint now(1s);
    for (auto _ : state) {
        now += 10us;
        budget.recordFirstAttempt(PriorityClass::Interactive, now);
        benchmark::DoNotOptimize(policy.decide(history, engine::AttemptResult::TimedOut, PriorityClass::Interactive, budget, now));
    }
}

/// Placement of a request of the entry process among the upstreams of one service, and the work of a tick.
struct PlacementWorld {
    explicit PlacementWorld(std::size_t upstreams, const ingress::PlacementOptions &options = {})
        : placement(upstreamTable, "r0", "r0a", 1, options)
    {
        upstreamTable.setRegions({{"r0a", "r0"}, {"r0b", "r0"}, {"r1a", "r1"}, {"r1b", "r1"}, {"r2a", "r2"}, {"r2b", "r2"}});
        ingress::Service service;
        service.name = "ledger";
        configuration.services.emplace(service.name, service);
        upstreamTable.setServices(configuration);
        upstreamTable.setSourceAvailable(true, now - 60s);
        for (std::size_t index = 0; index < upstreams; ++index) {
            ingress::UpstreamReport report;
            report.id = "u" + std::to_string(index);
            report.service = "ledger";
            report.address = "10.0.0.1:" + std::to_string(index);
            report.failureDomain = "r" + std::to_string(index % 3) + (index % 2 == 0 ? "a" : "b");
            report.slots = 9;
            upstreamTable.report(report, now);
        }
        for (const ingress::UpstreamTable::Pointer &upstream : upstreamTable.ofService("ledger")) {
            upstreamTable.applyReportedLoad(*upstream, {4, 0, 9}, now);
        }
        placement.setDemand({{"r0", 1}, {"r1", 1}, {"r2", 1}});
        placement.advance(configuration, now);
        route.latencyObjective = 300ms;
    }

    base::TimePoint now{100s};
    ingress::UpstreamTable upstreamTable;
    ingress::Placement placement;
    ingress::Configuration configuration;
    ingress::Route route;
};

void placeRequest(benchmark::State &state)
{
    PlacementWorld world(static_cast<std::size_t>(state.range(0)));
    std::uint64_t key = 0;
    for (auto _ : state) {
        benchmark::DoNotOptimize(world.placement.choose({world.route, "ledger", base::mixBits(++key), {}, 2s}, world.configuration, world.now));
    }
}

/// Placement under overload control, with 80 accounts and four kinds, while the service refuses requests.
void placeUnderOverload(benchmark::State &state)
{
    ingress::PlacementOptions options;
    options.overloadMode = ingress::OverloadMode::On;
    PlacementWorld world(static_cast<std::size_t>(state.range(0)), options);
    std::vector<ingress::Account> accounts(80);
    std::vector<ingress::Route> routes(4, world.route);
    for (std::size_t i = 0; i < accounts.size(); ++i) {
        accounts[i].name = "account-" + std::to_string(i);
    }
    for (std::size_t i = 0; i < routes.size(); ++i) {
        routes[i].name = "route-" + std::to_string(i);
        routes[i].priority = static_cast<std::uint32_t>(i % 3);
    }
    std::uint64_t key = 0;
    for (auto _ : state) {
        if (++key % 100 == 0) {
            world.now += 100ms;
            state.PauseTiming();
            for (const ingress::UpstreamTable::Pointer &upstream : world.upstreamTable.ofService("ledger")) {
                world.upstreamTable.applyReportedLoad(*upstream, {9, 7, 9}, world.now);
            }
            state.ResumeTiming();
        }
        benchmark::DoNotOptimize(
            world.placement.choose({routes[key % 4], "ledger", base::mixBits(key), {}, 2s, &accounts[key % 80]}, world.configuration, world.now));
    }
    state.counters["refused_fraction"] = world.placement.overload("ledger")->refusedFraction();
}

void advancePlacement(benchmark::State &state)
{
    PlacementWorld world(static_cast<std::size_t>(state.range(0)));
    for (auto _ : state) {
        world.upstreamTable.advance(world.now);
        world.placement.advance(world.configuration, world.now);
    }
}

/// Line of one request with one attempt, and its share of the writing.
void logRequest(benchmark::State &state)
{
    const int sink = ::open("/dev/null", O_WRONLY | O_CLOEXEC);
    proxy::EventLogOptions options;
    options.descriptor = sink;
    options.linesPerSecond = 1e9; // without a limit, so that each line is written
    options.burst = 1e9;
    proxy::EventLog log(options);
    base::TimePoint now(1s);
    int lines = 0;
    for (auto _ : state) {
        now += 1ms;
        proxy::LogLine line("request");
        line.text("id", "9c41d07be2a35f68").text("outcome", "served").text("status", "200").milliseconds("ms", 173ms);
        line.number("configuration", 12).number("members", 87).text("route", "r-zkazs47").text("service", "cuba28a");
        line.milliseconds("time_allowed_ms", 2'980ms).text("planned_region", "bkk").number("candidates", 32).real("least_load_per_slot", 0.214);
        line.text("upstream", "i-7f3a91c2").text("placed", "first").real("load", 3.25).milliseconds("load_age_ms", 120ms);
        line.text("verdict", "served").milliseconds("took_ms", 171ms);
        log.write(line, now);
        if (++lines % 10 == 0) { // a busy instance writes about ten lines between two flushes
            log.flush();
        }
    }
    ::close(sink);
}

BENCHMARK(logRequest);
BENCHMARK(placeUnderOverload)->Arg(411)->Arg(1'353);
BENCHMARK(placeRequest)->Arg(36)->Arg(411)->Arg(1'353)->Arg(3'000)->Arg(19'000);
BENCHMARK(advancePlacement)->Arg(36)->Arg(411)->Arg(3'000)->Arg(19'000);
BENCHMARK(chooseAndFinish<upstream::LeastOutstanding>)->Arg(12)->Arg(36)->Arg(360);
BENCHMARK(chooseAndFinish<upstream::PowerOfTwoChoices>)->Arg(36);
BENCHMARK(chooseAndFinish<upstream::LeastLoaded>)->Arg(36);
BENCHMARK(chooseAndFinish<upstream::RoundRobin>)->Arg(36);
BENCHMARK(concurrency)->Arg(12)->Arg(36)->Arg(360);
BENCHMARK(scheduleOne)->Arg(0)->Arg(10)->Arg(200);
BENCHMARK(decideRetry);

} // namespace

BENCHMARK_MAIN();
