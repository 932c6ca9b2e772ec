// The emulated deployment, the views of its instances, and the speeds of its machines.

#include "emulation.hpp"

#include <algorithm>
#include <cmath>
#include <numbers>

#include <fmt/format.h>

#include "baselines.hpp"
#include "placement_policy.hpp"
#include "trefoilstile/base/ids.hpp"

namespace trefoilstile::bench::overload
{

namespace
{

constexpr base::Duration s_tick = std::chrono::milliseconds(100);
constexpr base::Duration s_loadReports = std::chrono::milliseconds(300);
constexpr std::size_t s_mostLoads = 50; // in one report, as in the entry process

std::string regionName(std::size_t region)
{
    return fmt::format("r{}", region);
}

std::string domainName(std::size_t domain)
{
    return fmt::format("r{}d{}", domain / 2, domain % 2);
}

template<placement::PlacementPolicy Policy>
class ChooserOf : public Chooser
{
public:
    template<typename... Arguments>
    explicit ChooserOf(Arguments &&...arguments)
        : policy(std::forward<Arguments>(arguments)...)
    {
    }

    void advance(const ingress::Configuration &configuration, base::TimePoint now) override
    {
        policy.advance(configuration, now);
    }

    ingress::PlacementResult choose(const ingress::PlacementRequest &request, const ingress::Configuration &configuration, base::TimePoint now) override
    {
        return policy.choose(request, configuration, now);
    }

    Policy policy;
};

std::unique_ptr<Chooser> makeChooser(
    const Variant &variant, const Deployment &deployment, ingress::UpstreamTable &table, std::size_t domain, std::uint64_t instanceHash)
{
    const std::string region = regionName(domain / 2);
    switch (variant.policy) {
    case PolicyName::LeastLoad:
        return std::make_unique<ChooserOf<placement::LeastLoad>>(table, region);
    case PolicyName::RoundRobin:
        return std::make_unique<ChooserOf<placement::RoundRobin>>(table, region);
    case PolicyName::BoundedLoadHash:
        return std::make_unique<ChooserOf<placement::BoundedLoadHash>>(table, region);
    case PolicyName::PowerOfTwoChoices:
        return std::make_unique<ChooserOf<placement::PowerOfTwoChoices>>(table, region, instanceHash);
    case PolicyName::PowerOfTwoByKey:
        return std::make_unique<ChooserOf<placement::PowerOfTwoByKey>>(table, region);
    case PolicyName::Placement:
        break;
    }
    auto chooser = std::make_unique<ChooserOf<ingress::Placement>>(table, region, domainName(domain), instanceHash, variant.placement);
    std::map<std::string, double, std::less<>> demand;
    for (std::size_t i = 0; i < s_regions; ++i) {
        demand[regionName(i)] = deployment.callers[i];
    }
    chooser->policy.setDemand(std::move(demand));
    return chooser;
}

} // namespace

Emulation::Emulation(const Deployment &deployment, const Day &day, const Variant &variant, std::uint64_t seed)
    : m_deployment(deployment)
    , m_day(day)
    , m_speedReported(day.machines.reported && variant.speedReported)
    , m_random(base::mixBits(seed))
    , m_start(m_clock.now())
{
    describe();
    addInstances(variant);
    addUpstreams(seed);
    for (std::size_t kind = 0; kind < deployment.kinds.size(); ++kind) {
        for (std::size_t region = 0; region < s_regions; ++region) {
            m_streams.push_back({kind, region, base::SplitMix64(base::mixBits(seed + 1'000 * kind + region + 1))});
        }
    }
}

void Emulation::describe()
{
    m_configuration.version = 1;
    for (const placement::EmulatedService &service : m_deployment.services) {
        m_configuration.services[service.name].name = service.name;
    }
    m_result.groups.push_back({"all", {}, {}});
    for (const Kind &kind : m_deployment.kinds) {
        ingress::Route route;
        route.name = kind.name;
        route.prefix = "/" + kind.name + "/";
        route.idempotent = kind.repeatable;
        route.timeout = kind.deadline;
        route.latencyObjective = kind.objective;
        route.priority = kind.priority;
        route.maximumAttempts = 2;
        route.shares = {{kind.service, 1}};
        m_configuration.routes.push_back(route);
        m_result.groups.push_back({kind.name, {}, {}});
    }
    const Accounts &accounts = m_deployment.accounts;
    m_result.accounts.resize(accounts.count);
    double rest = 1;
    for (const double share : accounts.largeShares) {
        rest -= share;
    }
    double perSecond = 0;
    for (const Kind &kind : m_deployment.kinds) {
        perSecond += kind.perSecond;
    }
    double sum = 0;
    for (std::size_t i = 0; i < accounts.count; ++i) {
        const bool large = i < accounts.largeShares.size();
        const double share = large ? accounts.largeShares[i] : rest / static_cast<double>(accounts.count - accounts.largeShares.size());
        ingress::Account account;
        account.name = fmt::format("account-{}", i);
        account.requestsPerSecond = accounts.quotaFactor * share * perSecond;
        m_configuration.accounts.push_back(account);
        m_accountShares.push_back(sum += share);
    }
    if (accounts.count > 0) {
        m_result.groups.push_back({"large accounts", {}, {}});
        m_result.groups.push_back({"small accounts", {}, {}});
        if (m_day.hot) {
            m_result.groups.push_back({"hot account", {}, {}});
        }
    }
    if (m_day.conduct.impatientPart > 0) {
        m_conductGroups = m_result.groups.size();
        m_result.groups.push_back({"patient callers", {}, {}});
        m_result.groups.push_back({"impatient callers", {}, {}});
    }
}

void Emulation::addInstances(const Variant &variant)
{
    std::map<std::string, std::string, std::less<>> regions;
    for (std::size_t domain = 0; domain < s_domains; ++domain) {
        regions.emplace(domainName(domain), regionName(domain / 2));
    }
    for (std::size_t domain = 0; domain < s_domains; ++domain) {
        for (std::size_t i = 0; i < m_deployment.instances[domain]; ++i) {
            Instance instance;
            instance.domain = domain;
            instance.table = std::make_unique<ingress::UpstreamTable>(variant.upstreams);
            instance.table->setRegions(regions);
            instance.table->setServices(m_configuration);
            instance.table->setSourceAvailable(true, m_start - std::chrono::seconds(60));
            instance.chooser = makeChooser(variant, m_deployment, *instance.table, domain, m_random.next());
            m_instancesOfRegion[domain / 2].push_back(m_instances.size());
            m_instances.push_back(std::move(instance));
        }
    }
}

void Emulation::addUpstreams(std::uint64_t seed)
{
    for (std::size_t service = 0; service < m_deployment.services.size(); ++service) {
        const placement::EmulatedService &described = m_deployment.services[service];
        for (std::size_t region = 0; region < s_regions; ++region) {
            for (std::size_t i = 0; i < described.upstreams[region]; ++i) {
                ingress::UpstreamReport report;
                report.id = fmt::format("{}-{}-{}", described.name, region, i);
                report.service = described.name;
                report.address = fmt::format("10.{}.{}.{}:80", service, region, i + 1);
                report.failureDomain = domainName(2 * region + i % 2);
                report.slots = described.slots;
                for (Instance &instance : m_instances) {
                    instance.table->report(report, m_start);
                }
                const std::uint64_t hash = base::stableHash(report.id);
                m_machines.emplace(hash,
                    Machine{std::make_unique<placement::EmulatedUpstream>(m_clock, described, m_deployment.warmPart, base::mixBits(seed ^ hash)),
                        base::SplitMix64(base::mixBits(seed + hash))});
            }
        }
    }
}

RunResult Emulation::run(double length, double settle)
{
    m_end = m_start + base::fromSeconds(length);
    m_countFrom = m_start + base::fromSeconds(settle);
    for (Stream &stream : m_streams) {
        arriveNext(stream);
    }
    if (m_day.machines.slowPart > 0) {
        for (auto &[hash, machine] : m_machines) {
            drawSpeed(machine);
        }
    }
    advance();
    base::Duration longest{};
    for (const Kind &kind : m_deployment.kinds) {
        longest = std::max(longest, kind.deadline);
    }
    m_clock.runUntil(m_end + longest + std::chrono::seconds(1));
    return std::move(m_result);
}

void Emulation::advance()
{
    const base::TimePoint now = m_clock.now();
    for (Instance &instance : m_instances) {
        instance.table->advance(now);
        instance.chooser->advance(m_configuration, now);
    }
    if (now >= m_nextReport) {
        m_nextReport = now + s_loadReports;
        shareLoads();
    }
    if (now < m_end) {
        m_clock.at(now + s_tick, [this] {
            advance();
        });
    }
}

void Emulation::shareLoads()
{
    const base::TimePoint now = m_clock.now();
    for (Instance &instance : m_instances) {
        for (const ingress::LoadObservation &load : instance.table->takeLoadObservations(s_mostLoads, now)) {
            for (Instance &other : m_instances) {
                if (other.domain == instance.domain && &other != &instance) {
                    other.table->applyLoadObservation(load, now);
                }
            }
        }
    }
}

void Emulation::drawSpeed(Machine &machine)
{
    if (m_clock.now() >= m_end) {
        return;
    }
    const MachineSpeed &speed = m_day.machines;
    machine.upstream->slowness = base::uniformUnit(machine.random) < speed.slowPart ? speed.slowFactor : 1.0;
    const double pause = -std::log(1 - base::uniformUnit(machine.random)) * base::toSeconds(speed.meanTime);
    m_clock.at(m_clock.now() + base::fromSeconds(pause), [this, &machine] {
        drawSpeed(machine);
    });
}

double Emulation::hotSurplus() const
{
    if (!m_day.hot || m_accountShares.empty() || seconds() < m_day.hot->from || seconds() >= m_day.hot->to) {
        return 0;
    }
    const std::size_t hot = m_day.hot->account;
    return (m_accountShares[hot] - (hot == 0 ? 0.0 : m_accountShares[hot - 1])) * (m_day.hot->factor - 1);
}

double Emulation::rate(const Stream &stream) const
{
    const double at = seconds();
    const double phase = static_cast<double>(stream.region) / static_cast<double>(s_regions);
    double factor =
        m_day.load * m_deployment.callers[stream.region] * (1 + m_day.swell.part * std::sin(2 * std::numbers::pi * (at / m_day.swell.period + phase)));
    for (const placement::Scenario::Burst &burst : m_day.bursts) {
        factor *= burst.kind == stream.kind && at >= burst.from && at < burst.to ? burst.factor : 1.0;
    }
    return m_deployment.kinds[stream.kind].perSecond * factor * (1 + hotSurplus());
}

} // namespace trefoilstile::bench::overload
