// Load on a service in virtual time, to test overload control: callers, instances with ageing loads, and upstreams with slots.
#pragma once

#include <array>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

#include "trefoilstile/base/random.hpp"
#include "trefoilstile/ingress/placement.hpp"

namespace trefoilstile::ingress
{

/// Requests of one kind from one account.
struct EmulatedLoad {
    Route route;
    double requestsPerSecond{};
    base::Duration work{}; ///< mean time in a slot for a cold object; 0.3 of it for a warm one
    const Account *account = nullptr;
    bool retriesImmediately = false; ///< instead of after `Retry-After`
    std::uint64_t objects = 160;
    base::Duration from{}; ///< of the emulated time
    base::Duration until = std::chrono::hours(1);
};

/// What callers got, in requests (not tries).
struct EmulatedResult {
    double sent{};
    double inTime{};
    double late{};
    double refused{}; ///< first tries refused
    double refusedAgain{}; ///< further tries refused
    double value{}; ///< in time 1, late a fifth, times the value of the priority

    double served() const
    {
        return (inTime + late) / std::max(sent, 1.0);
    }
};

enum class EmulatedRules : std::uint8_t {
    Today, ///< `queuePerSlot`
    Fifo, ///< queues that only the deadline limits
    StrictPriority, ///< the same, and upstreams serve the most urgent request first
    Overload,
};

struct EmulationOptions {
    EmulatedRules rules = EmulatedRules::Overload;
    OverloadOptions overload;
    std::uint64_t seed = 1;
    std::size_t instances = 3;
    std::size_t upstreams = 12;
    std::uint32_t slots = 4;
    base::Duration lag = std::chrono::milliseconds(300); ///< age and interval of the loads that instances share
    base::Duration warmFor = std::chrono::seconds(20);
    bool uneven = false; ///< machines are slow 15% of the time, and 3 of 100 requests take 7 times the mean work
    base::Duration length = std::chrono::seconds(25);
    base::Duration measureFrom = std::chrono::seconds(5); ///< earlier requests are not counted, while objects become warm
};

class OverloadEmulation
{
public:
    OverloadEmulation(EmulationOptions options, std::vector<EmulatedLoad> loads)
        : results(loads.size())
        , m_options(options)
        , m_loads(std::move(loads))
        , m_random(options.seed)
        , m_upstreams(options.upstreams)
    {
        PlacementOptions placementOptions;
        placementOptions.overloadMode = options.rules == EmulatedRules::Overload ? OverloadMode::On : OverloadMode::Off;
        placementOptions.overload = options.overload;
        if (options.rules == EmulatedRules::Fifo || options.rules == EmulatedRules::StrictPriority) {
            placementOptions.queuePerSlot = 1'000;
        }
        Service service;
        service.name = "s";
        m_configuration.services.emplace("s", service);
        for (std::size_t i = 0; i < options.instances; ++i) {
            m_instances.push_back(std::make_unique<Instance>(placementOptions));
            prepare(*m_instances.back());
        }
    }

    void run()
    {
        for (std::size_t i = 0; i < m_loads.size(); ++i) {
            scheduleArrival(i, s_start + m_loads[i].from);
        }
        at(s_start, [this]() {
            shareLoads();
        });
        while (!m_events.empty() && m_events.top().at < s_start + m_options.length) {
            const Event event = m_events.top();
            m_events.pop();
            m_now = event.at;
            event.run();
        }
    }

    double totalValue() const
    {
        double total = 0;
        for (const EmulatedResult &result : results) {
            total += result.value;
        }
        return total;
    }

    double refusedFraction(std::size_t instance) const
    {
        return m_instances[instance]->placement.overload("s")->refusedFraction();
    }

    std::vector<EmulatedResult> results; ///< by load
    std::function<void(base::Duration)> onShare; ///< called with the emulated time at each exchange of loads

private:
    static constexpr base::TimePoint s_start = base::TimePoint(std::chrono::seconds(100));

    struct Event {
        base::TimePoint at;
        std::uint64_t order{};
        std::function<void()> run;

        bool operator<(const Event &other) const
        {
            return std::pair(other.at, other.order) < std::pair(at, order);
        }
    };

    struct Instance {
        explicit Instance(const PlacementOptions &options)
            : placement(table, "one", "east", 1, options)
        {
        }

        UpstreamTable table;
        Placement placement;
    };

    struct Try {
        std::size_t load{};
        std::uint64_t key{};
        base::TimePoint firstAt;
        bool again = false;
        bool counted = false;
        Instance *instance{};
        UpstreamTable::Pointer upstream;
        double loadBefore{};
        base::TimePoint sentAt;
    };

    struct EmulatedUpstream {
        std::deque<Try> waiting;
        std::uint32_t running{};
        std::map<std::uint64_t, base::TimePoint> warmUntil;
    };

    void prepare(Instance &instance)
    {
        instance.table.setRegions({{"east", "one"}});
        instance.table.setServices(m_configuration);
        instance.table.setSourceAvailable(true, s_start - std::chrono::seconds(60));
        for (std::size_t i = 0; i < m_options.upstreams; ++i) {
            UpstreamReport report;
            report.id = std::to_string(i);
            report.service = "s";
            report.address = "127.0.0.1:" + std::to_string(1'000 + i);
            report.failureDomain = "east";
            report.slots = m_options.slots;
            instance.table.report(report, s_start);
        }
        instance.placement.setDemand({{"one", 1}});
        instance.placement.advance(m_configuration, s_start);
    }

    void at(base::TimePoint time, std::function<void()> run)
    {
        m_events.push({time, m_order++, std::move(run)});
    }

    double exponential()
    {
        return -std::log(1 - base::uniformUnit(m_random));
    }

    void scheduleArrival(std::size_t load, base::TimePoint from)
    {
        const base::TimePoint time = from + base::fromSeconds(exponential() / m_loads[load].requestsPerSecond);
        if (time < s_start + m_loads[load].until) {
            at(time, [this, load, time]() {
                const double unit = base::uniformUnit(m_random);
                const auto object = static_cast<std::uint64_t>(unit * unit * static_cast<double>(m_loads[load].objects)); // some objects are popular
                Try first{load, base::mixBits(object + 1'000 * load), time, false, time >= s_start + m_options.measureFrom, {}, {}, 0, {}};
                results[load].sent += first.counted ? 1 : 0;
                arrive(first);
                scheduleArrival(load, time);
            });
        }
    }

    void arrive(Try request)
    {
        const EmulatedLoad &load = m_loads[request.load];
        const base::Duration left = request.firstAt + load.route.timeout - m_now;
        if (left <= std::chrono::milliseconds(100)) {
            return;
        }
        // A caller keeps its instance.
        request.instance =
            m_instances[base::mixBits(request.key ^ static_cast<std::uint64_t>(request.firstAt.time_since_epoch().count())) % m_instances.size()].get();
        const PlacementResult placed = request.instance->placement.choose({load.route, "s", request.key, {}, left, load.account}, m_configuration, m_now);
        EmulatedResult &result = results[request.load];
        if (placed.outcome != PlacementOutcome::Chosen) {
            (request.again ? result.refusedAgain : result.refused) += request.counted ? 1 : 0;
            request.again = true;
            const base::Duration asked = std::min(base::jittered(placed.retryAfter, 0.5, m_random), left / 3);
            at(m_now + (load.retriesImmediately ? base::Duration(std::chrono::milliseconds(10)) : asked), [this, request]() {
                arrive(request);
            });
            return;
        }
        request.upstream = placed.upstream;
        request.loadBefore = placed.load;
        request.sentAt = m_now;
        request.instance->table.requestSent(*placed.upstream, m_now);
        EmulatedUpstream &upstream = m_upstreams[std::stoul(placed.upstream->report.id)];
        const auto position = m_options.rules != EmulatedRules::StrictPriority
            ? upstream.waiting.end()
            : std::find_if(upstream.waiting.begin(), upstream.waiting.end(), [&](const Try &other) {
                  return m_loads[other.load].route.priority > load.route.priority;
              });
        upstream.waiting.insert(position, request);
        startWaiting(upstream);
    }

    void startWaiting(EmulatedUpstream &upstream)
    {
        while (upstream.running < m_options.slots && !upstream.waiting.empty()) {
            const Try request = upstream.waiting.front();
            upstream.waiting.pop_front();
            ++upstream.running;
            base::TimePoint &warmUntil = upstream.warmUntil[request.key];
            double mean = base::toSeconds(m_loads[request.load].work) * (warmUntil > m_now ? 0.3 : 1.0);
            if (m_options.uneven) {
                const auto period = static_cast<std::uint64_t>((m_now - s_start) / std::chrono::milliseconds(600));
                const auto number = static_cast<std::uint64_t>(&upstream - m_upstreams.data());
                mean *= base::mixBits(period * 1'000 + number) % 100 < 15 ? 2.5 : 1; // a slow machine
                mean *= base::uniformUnit(m_random) < 0.03 ? 7 : 1; // long work
            }
            warmUntil = m_now + m_options.warmFor;
            at(m_now + base::fromSeconds(mean * (0.5 + 0.5 * exponential())), [this, request, &upstream]() {
                --upstream.running;
                finish(request, upstream);
                startWaiting(upstream);
            });
        }
    }

    void finish(const Try &request, const EmulatedUpstream &upstream)
    {
        UpstreamTable &table = request.instance->table;
        table.applyReportedLoad(*request.upstream, {upstream.running, static_cast<std::uint32_t>(upstream.waiting.size()), m_options.slots}, m_now);
        table.attemptEnded(*request.upstream, AttemptVerdict::Served, m_now - request.sentAt, request.loadBefore, m_now);
        request.upstream->warmKeys.handled(request.key, m_now);
        const Route &route = m_loads[request.load].route;
        const base::Duration took = m_now - request.firstAt;
        if (request.counted && took <= route.timeout) {
            EmulatedResult &result = results[request.load];
            const RequestCost cost = requestCost(route, m_loads[request.load].account, route.timeout);
            const bool inTime = took <= route.latencyObjective;
            (inTime ? result.inTime : result.late) += 1;
            result.value += inTime ? cost.value : cost.lateValue;
        }
    }

    /// Each instance tells the others the loads reported to it; they arrive `lag` later.
    void shareLoads()
    {
        for (const auto &instance : m_instances) {
            instance->placement.advance(m_configuration, m_now);
            for (LoadObservation observation : instance->table.takeLoadObservations(1'000, m_now)) {
                observation.age += m_options.lag;
                at(m_now + m_options.lag, [this, observation, from = instance.get()]() {
                    for (const auto &other : m_instances) {
                        if (other.get() != from) {
                            other->table.applyLoadObservation(observation, m_now);
                        }
                    }
                });
            }
        }
        if (onShare) {
            onShare(m_now - s_start);
        }
        at(m_now + std::chrono::milliseconds(300), [this]() {
            shareLoads();
        });
    }

    EmulationOptions m_options;
    std::vector<EmulatedLoad> m_loads;
    base::SplitMix64 m_random;
    std::vector<EmulatedUpstream> m_upstreams;
    Configuration m_configuration;
    std::vector<std::unique_ptr<Instance>> m_instances;
    std::priority_queue<Event> m_events;
    std::uint64_t m_order{};
    base::TimePoint m_now = s_start;
};

inline Route makeRoute(const std::string &name, base::Duration objective, base::Duration timeout, std::uint32_t priority)
{
    Route route;
    route.name = name;
    route.latencyObjective = objective;
    route.timeout = timeout;
    route.priority = priority;
    return route;
}

inline std::vector<EmulatedResult> play(const std::vector<EmulatedLoad> &loads, EmulatedRules rules, EmulationOptions options = {})
{
    options.rules = rules;
    OverloadEmulation emulation(options, loads);
    emulation.run();
    return emulation.results;
}

inline EmulatedResult sum(const std::vector<EmulatedResult> &results)
{
    EmulatedResult total;
    for (const EmulatedResult &result : results) {
        total.sent += result.sent;
        total.inTime += result.inTime;
        total.late += result.late;
        total.refused += result.refused;
        total.refusedAgain += result.refusedAgain;
        total.value += result.value;
    }
    return total;
}

/// Results by load, summed over three seeds.
inline std::vector<EmulatedResult> playSeeds(const std::vector<EmulatedLoad> &loads, EmulatedRules rules)
{
    std::vector<std::vector<EmulatedResult>> byLoad(loads.size());
    EmulationOptions options;
    for (options.seed = 1; options.seed <= 3; ++options.seed) {
        const auto results = play(loads, rules, options);
        for (std::size_t i = 0; i < results.size(); ++i) {
            byLoad[i].push_back(results[i]);
        }
    }
    std::vector<EmulatedResult> totals;
    std::transform(byLoad.begin(), byLoad.end(), std::back_inserter(totals), sum);
    return totals;
}

} // namespace trefoilstile::ingress
