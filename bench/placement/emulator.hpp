// Emulator of a deployment in virtual time: callers, entry instances that choose by a policy, upstreams.
//
// Each instance has its own beliefs; loads reach it on responses and from other instances of its failure domain, as in the
// entry process. The same seed gives the same arrivals to each policy.
#pragma once

#include <algorithm>
#include <cmath>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include "emulated_upstream.hpp"
#include "placement_policy.hpp"
#include "result.hpp"
#include "trefoilstile/base/ids.hpp"
#include "trefoilstile/ingress/placement.hpp"

namespace trefoilstile::bench::placement
{

template<PlacementPolicy Policy>
class Emulator
{
public:
    /// @param makePolicy called with the upstream table, the region, the failure domain and a hash of each instance
    template<typename MakePolicy>
    Emulator(const Deployment &deployment, const Scenario &scenario, std::uint64_t seed, MakePolicy makePolicy)
        : m_deployment(deployment)
        , m_scenario(scenario)
        , m_random(seed)
        , m_start(m_clock.now())
    {
        describeRoutes();
        addInstances(makePolicy);
        addUpstreams();
    }

    Result run(std::string policyName, base::Duration length)
    {
        m_result.policy = std::move(policyName);
        m_result.scenario = m_scenario.name;
        m_end = m_start + length;
        for (std::size_t kind = 0; kind < m_deployment.kinds.size(); ++kind) {
            arriveNext(kind);
        }
        advance();
        slowDown();
        constexpr base::Duration longestDeadline = std::chrono::seconds(15);
        m_clock.runUntil(m_end + longestDeadline);
        for (const auto &[key, upstreams] : m_upstreamsOfKeys) {
            m_result.upstreamsOfKeys += upstreams.size();
        }
        m_result.keys = m_upstreamsOfKeys.size();
        return std::move(m_result);
    }

private:
    static constexpr base::Duration s_tick = std::chrono::milliseconds(100);
    static constexpr base::Duration s_loadReports = std::chrono::milliseconds(300);
    static constexpr std::size_t s_reportFanout = 8;
    static constexpr std::size_t s_mostLoads = 50;
    static constexpr std::size_t s_attempts = 2;

    struct Instance {
        std::size_t region{};
        std::string domain;
        std::unique_ptr<ingress::UpstreamTable> upstreamTable;
        std::unique_ptr<Policy> policy;
    };

    struct Request {
        std::size_t kind{};
        std::size_t instance{};
        std::uint64_t key{};
        std::uint64_t object{};
        base::TimePoint sentAt;
        std::size_t attempts{};
        bool returned = false; ///< was rejected before and came back
        std::vector<const ingress::Upstream *> tried;
    };

    static std::string domainName(std::size_t region, std::size_t half)
    {
        return fmt::format("r{}d{}", region, half);
    }
    static std::string regionName(std::size_t region)
    {
        return fmt::format("r{}", region);
    }

    void describeRoutes()
    {
        m_configuration.version = 1;
        for (const EmulatedService &service : m_deployment.services) {
            ingress::Service described;
            described.name = service.name;
            m_configuration.services.emplace(service.name, described);
        }
        for (const RequestKind &kind : m_deployment.kinds) {
            ingress::Route route;
            route.name = kind.name;
            route.prefix = "/" + kind.name + "/";
            route.timeout = kind.deadline;
            route.latencyObjective = kind.objective;
            route.priority = kind.priority;
            route.maximumAttempts = s_attempts;
            route.shares = {{kind.service, 1}};
            m_configuration.routes.push_back(route);
        }
    }

    template<typename MakePolicy>
    void addInstances(MakePolicy makePolicy)
    {
        std::map<std::string, std::string, std::less<>> regions;
        for (std::size_t region = 0; region < s_regions; ++region) {
            for (std::size_t half = 0; half < 2; ++half) {
                regions.emplace(domainName(region, half), regionName(region));
            }
        }
        for (const auto &[domain, region] : regions) {
            for (std::size_t i = 0; i < m_deployment.instancesPerDomain; ++i) {
                Instance instance;
                instance.region = static_cast<std::size_t>(region.back() - '0');
                instance.domain = domain;
                instance.upstreamTable = std::make_unique<ingress::UpstreamTable>();
                instance.upstreamTable->setRegions(regions);
                instance.upstreamTable->setServices(m_configuration);
                instance.upstreamTable->setSourceAvailable(true, m_start - std::chrono::seconds(60));
                instance.policy = makePolicy(*instance.upstreamTable, region, domain, m_random.next());
                m_instances.push_back(std::move(instance));
            }
        }
    }

    void addUpstreams()
    {
        for (const EmulatedService &service : m_deployment.services) {
            for (std::size_t region = 0; region < s_regions; ++region) {
                for (std::size_t i = 0; i < service.upstreams[region]; ++i) {
                    ingress::UpstreamReport report;
                    report.id = fmt::format("{}-{}-{}", service.name, region, i);
                    report.service = service.name;
                    report.address = fmt::format("10.{}.{}.{}:80", region, service.name.size(), i + 1);
                    report.failureDomain = domainName(region, i % 2);
                    report.slots = service.slots;
                    for (Instance &instance : m_instances) {
                        instance.upstreamTable->report(report, m_start);
                    }
                    m_upstreams.emplace(report.id, std::make_unique<EmulatedUpstream>(m_clock, service, m_deployment.warmPart, m_random.next()));
                }
            }
        }
    }

    double rateFactor(std::size_t kind) const
    {
        const double at = base::toSeconds(m_clock.now() - m_start);
        double factor = m_scenario.load;
        for (const Scenario::Burst &burst : m_scenario.bursts) {
            if (burst.kind == kind && at >= burst.from && at < burst.to) {
                factor *= burst.factor;
            }
        }
        return factor;
    }

    void arriveNext(std::size_t kind)
    {
        const double rate = m_deployment.kinds[kind].perSecond * rateFactor(kind);
        const double pause = -std::log(1 - base::uniformUnit(m_random)) / rate;
        m_clock.at(m_clock.now() + base::fromSeconds(pause), [this, kind] {
            if (m_clock.now() >= m_end) {
                return;
            }
            const auto request = std::make_shared<Request>();
            request->kind = kind;
            request->instance = base::uniformBelow(m_random, m_instances.size());
            request->object = kind * 1'000'000 + base::uniformBelow(m_random, m_deployment.kinds[kind].objects);
            request->key = base::mixBits(request->object);
            request->sentAt = m_clock.now();
            count(*request, [](Tally &tally) {
                ++tally.sent;
            });
            place(request);
            arriveNext(kind);
        });
    }

    template<typename Change>
    void count(const Request &request, Change change)
    {
        const auto window = static_cast<std::size_t>(base::toSeconds(request.sentAt - m_start) / 2);
        m_result.windows.resize(std::max(m_result.windows.size(), window + 1));
        change(m_result.all);
        change(m_result.kinds[m_deployment.kinds[request.kind].name]);
        change(m_result.regions[regionName(m_instances[request.instance].region)]);
        change(m_result.windows[window]);
    }

    void place(const std::shared_ptr<Request> &request)
    {
        const RequestKind &kind = m_deployment.kinds[request->kind];
        const base::TimePoint now = m_clock.now();
        const base::TimePoint deadline = request->sentAt + kind.deadline;
        if (now >= deadline || request->attempts >= s_attempts) {
            return;
        }
        Instance &instance = m_instances[request->instance];
        const ingress::PlacementRequest question{m_configuration.routes[request->kind], kind.service, request->key, request->tried, deadline - now};
        const ingress::PlacementResult placed = instance.policy->choose(question, m_configuration, now);
        if (placed.outcome == ingress::PlacementOutcome::Chosen) {
            send(request, placed);
        } else if (!request->returned && placed.retryAfter <= (deadline - now) / 3) {
            request->returned = true;
            m_clock.at(now + placed.retryAfter, [this, request] {
                place(request);
            });
        }
    }

    void send(const std::shared_ptr<Request> &request, const ingress::PlacementResult &placed)
    {
        Instance &instance = m_instances[request->instance];
        const RequestKind &kind = m_deployment.kinds[request->kind];
        const auto upstream = placed.upstream;
        const base::TimePoint sent = m_clock.now();
        const base::Duration path = upstream->region == regionName(instance.region) ? m_deployment.withinRegion : m_deployment.betweenRegions;
        ++request->attempts;
        request->tried.push_back(upstream.get());
        instance.upstreamTable->requestSent(*upstream, sent);
        const auto ended = [this, request, upstream, path, sent, load = placed.load](ingress::AttemptVerdict verdict, ingress::ReportedLoad figure, bool cold) {
            m_clock.at(m_clock.now() + path, [this, request, upstream, sent, load, verdict, figure, cold] {
                take(request, upstream, m_clock.now() - sent, load, verdict, figure, cold);
            });
        };
        m_clock.at(sent + path, [this, request, id = upstream->report.id, deadline = request->sentAt + kind.deadline, work = kind.coldWork, ended] {
            m_upstreams.at(id)->receive({request->object, work, deadline, ended});
        });
    }

    void take(const std::shared_ptr<Request> &request,
        const ingress::UpstreamTable::Pointer &upstream,
        base::Duration took,
        double loadBefore,
        ingress::AttemptVerdict verdict,
        ingress::ReportedLoad figure,
        bool cold)
    {
        Instance &instance = m_instances[request->instance];
        const base::TimePoint now = m_clock.now();
        instance.upstreamTable->applyReportedLoad(*upstream, figure, now);
        instance.upstreamTable->attemptEnded(*upstream, verdict, took, loadBefore, now);
        if (verdict == ingress::AttemptVerdict::Shed) {
            ++m_result.refusals;
            place(request);
            return;
        }
        ++m_result.runs;
        m_result.coldRuns += cold ? 1 : 0;
        m_upstreamsOfKeys[request->object].insert(upstream->report.id);
        if (verdict == ingress::AttemptVerdict::Served) {
            upstream->warmKeys.handled(request->key, now);
            const bool inTime = now - request->sentAt <= m_deployment.kinds[request->kind].objective;
            count(*request, [inTime](Tally &tally) {
                ++(inTime ? tally.inObjective : tally.late);
            });
        }
    }

    void advance()
    {
        const base::TimePoint now = m_clock.now();
        const bool report = now >= m_nextReport;
        m_nextReport = report ? now + s_loadReports : m_nextReport;
        for (std::size_t i = 0; i < m_instances.size(); ++i) {
            Instance &instance = m_instances[i];
            instance.upstreamTable->advance(now);
            instance.policy->advance(m_configuration, now);
            if (!report) {
                continue;
            }
            const auto observations = instance.upstreamTable->takeLoadObservations(s_mostLoads, now);
            std::size_t told = 0;
            for (std::size_t step = 1; step < m_instances.size() && told < s_reportFanout; ++step) {
                Instance &other = m_instances[(i + step) % m_instances.size()];
                if (other.domain == instance.domain) {
                    ++told;
                    for (const ingress::LoadObservation &load : observations) {
                        other.upstreamTable->applyLoadObservation(load, now);
                    }
                }
            }
        }
        if (now < m_end) {
            m_clock.at(now + s_tick, [this] {
                advance();
            });
        }
    }

    void slowDown()
    {
        const auto at = [this](double seconds) {
            return m_start + base::fromSeconds(seconds);
        };
        for (auto &[id, upstream] : m_upstreams) {
            if (static_cast<double>(base::stableHash(id) % 1'000) >= m_scenario.slowPart * 1'000) {
                continue;
            }
            m_clock.at(at(m_scenario.slowFrom), [this, slow = upstream.get()] {
                slow->slowness = m_scenario.slowFactor;
            });
            m_clock.at(at(m_scenario.slowTo), [slow = upstream.get()] {
                slow->slowness = 1;
            });
        }
    }

    const Deployment &m_deployment;
    const Scenario &m_scenario;
    base::SplitMix64 m_random;
    VirtualClock m_clock;
    base::TimePoint m_start;
    base::TimePoint m_end;
    base::TimePoint m_nextReport;
    ingress::Configuration m_configuration;
    std::vector<Instance> m_instances;
    std::map<std::string, std::unique_ptr<EmulatedUpstream>> m_upstreams; ///< by id
    std::map<std::uint64_t, std::set<std::string>> m_upstreamsOfKeys; ///< that worked on each object
    Result m_result;
};

/// Runs the product's placement and the baselines on the same load.
std::vector<Result> compare(const Deployment &deployment, const Scenario &scenario, std::uint64_t seed, base::Duration length);

} // namespace trefoilstile::bench::placement
