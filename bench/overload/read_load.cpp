// Fields of deployments and days.

#include <algorithm>
#include <numeric>

#include <fmt/format.h>

#include "read_experiment.hpp"

namespace trefoilstile::bench::overload
{

namespace
{

using document::elements;
using document::FaultList;
using document::Field;
using document::MapReader;
using document::NumberRange;
using document::readBoolInto;
using document::readNumber;
using document::readNumberInto;
using document::readText;
using document::readWholeInto;

constexpr NumberRange s_positive{document::s_smallestPositive};
constexpr NumberRange s_part{0, 1};
constexpr NumberRange s_count{1, 100'000};

/// Reads milliseconds that may have a fraction.
void readTimeInto(base::Duration &target, const Field &field, NumberRange range, FaultList &faults)
{
    if (field) {
        target = base::fromSeconds(readNumber(field, range, faults) / 1'000);
    }
}

/// Reads a list with one number for each region.
template<typename T>
void readRegions(std::array<T, s_regions> &target, const Field &field, FaultList &faults)
{
    const auto list = elements(field, faults);
    if (field && list.size() != s_regions) {
        faults.add(field.path, field.node->line, fmt::format("must have {} numbers, one for each region", s_regions));
        return;
    }
    for (std::size_t i = 0; i < list.size(); ++i) {
        if constexpr (std::unsigned_integral<T>) {
            readWholeInto(target[i], list[i], {}, faults);
        } else {
            target[i] = readNumber(list[i], {}, faults);
        }
    }
}

void readInstances(Deployment &deployment, const Field &field, FaultList &faults)
{
    std::vector<Field> numbers;
    for (const Field &region : elements(field, faults)) {
        const auto domains = elements(region, faults);
        numbers.insert(numbers.end(), domains.begin(), domains.end());
    }
    if (field && numbers.size() != s_domains) {
        faults.add(field.path, field.node->line, fmt::format("must have {} lists of two numbers, one for each failure domain", s_regions));
        return;
    }
    for (std::size_t i = 0; i < numbers.size(); ++i) {
        readWholeInto(deployment.instances[i], numbers[i], s_count, faults);
    }
}

void readServices(Deployment &deployment, const Field &field, FaultList &faults)
{
    for (const Field &element : elements(field, faults)) {
        MapReader map(element, faults);
        placement::EmulatedService &service = deployment.services.emplace_back();
        service.name = readText(map.required("name"), faults);
        const Field upstreams = map.required("upstreams");
        readRegions(service.upstreams, upstreams, faults);
        readWholeInto(service.slots, map.required("slots"), s_count, faults);
        readWholeInto(service.queue, map.required("queue"), {}, faults);
        readWholeInto(service.warmObjects, map.required("warm_objects"), {}, faults);
        map.finish();
        if (upstreams && std::accumulate(service.upstreams.begin(), service.upstreams.end(), std::size_t{}) == 0) {
            faults.add(upstreams.path, upstreams.node->line, "a service needs an upstream");
        }
    }
}

void readKinds(Deployment &deployment, const Field &field, FaultList &faults)
{
    for (const Field &element : elements(field, faults)) {
        MapReader map(element, faults);
        Kind &kind = deployment.kinds.emplace_back();
        kind.name = readText(map.required("name"), faults);
        const Field service = map.required("service");
        kind.service = readText(service, faults);
        readNumberInto(kind.perSecond, map.required("per_second"), s_positive, faults);
        readTimeInto(kind.coldWork, map.required("work_ms"), s_positive, faults);
        readTimeInto(kind.objective, map.required("objective_ms"), s_positive, faults);
        readTimeInto(kind.deadline, map.required("deadline_ms"), {1, 60'000}, faults);
        readWholeInto(kind.priority, map.required("priority"), {0, 100}, faults);
        readWholeInto(kind.objects, map.required("objects"), {1, 1'000'000}, faults);
        readNumberInto(kind.skew, map.optional("skew"), {1, 10}, faults);
        readBoolInto(kind.repeatable, map.required("repeatable"), faults);
        map.finish();
        const bool known = std::any_of(deployment.services.begin(), deployment.services.end(), [&kind](const auto &described) {
            return described.name == kind.service;
        });
        if (service && !known) {
            faults.add(service.path, service.node->line, fmt::format("there is no service '{}'", kind.service));
        }
    }
}

void readAccounts(Accounts &accounts, const Field &field, FaultList &faults)
{
    MapReader map(field, faults);
    readWholeInto(accounts.count, map.required("count"), s_count, faults);
    const Field shares = map.optional("large_shares");
    for (const Field &share : elements(shares, faults)) {
        accounts.largeShares.push_back(readNumber(share, s_part, faults));
    }
    readNumberInto(accounts.quotaFactor, map.optional("quota_factor"), s_positive, faults);
    map.finish();
    const bool remain = std::accumulate(accounts.largeShares.begin(), accounts.largeShares.end(), 0.0) < 1 && accounts.largeShares.size() < accounts.count;
    if (shares && !remain) {
        faults.add(shares.path, shares.node->line, "must leave accounts and requests that are not large");
    }
}

void readBursts(Day &day, const Field &field, const Deployment &deployment, FaultList &faults)
{
    for (const Field &element : elements(field, faults)) {
        MapReader map(element, faults);
        placement::Scenario::Burst &burst = day.bursts.emplace_back();
        const Field kind = map.required("kind");
        const std::string name = readText(kind, faults);
        const auto found = std::find_if(deployment.kinds.begin(), deployment.kinds.end(), [&name](const Kind &described) {
            return described.name == name;
        });
        burst.kind = static_cast<std::size_t>(found - deployment.kinds.begin());
        if (kind && found == deployment.kinds.end()) {
            faults.add(kind.path, kind.node->line, fmt::format("there is no kind '{}'", name));
        }
        readNumberInto(burst.from, map.required("from_s"), {}, faults);
        readNumberInto(burst.to, map.required("to_s"), {}, faults);
        readNumberInto(burst.factor, map.required("factor"), {}, faults);
        map.finish();
    }
}

void readHotAccount(Day &day, const Field &field, const Deployment &deployment, FaultList &faults)
{
    MapReader map(field, faults);
    HotAccount &hot = day.hot.emplace();
    const Field account = map.required("account");
    readWholeInto(hot.account, account, {}, faults);
    if (account && hot.account >= deployment.accounts.count) {
        faults.add(account.path, account.node->line, fmt::format("deployment '{}' has {} accounts", deployment.name, deployment.accounts.count));
    }
    readNumberInto(hot.from, map.required("from_s"), {}, faults);
    readNumberInto(hot.to, map.required("to_s"), {}, faults);
    readNumberInto(hot.factor, map.required("factor"), {1}, faults);
    map.finish();
}

void readMachines(MachineSpeed &machines, const Field &field, FaultList &faults)
{
    MapReader map(field, faults);
    readNumberInto(machines.slowPart, map.required("slow_part"), s_part, faults);
    readNumberInto(machines.slowFactor, map.required("slow_factor"), {1}, faults);
    readTimeInto(machines.meanTime, map.optional("mean_time_ms"), {1}, faults);
    readBoolInto(machines.reported, map.optional("reported"), faults);
    map.finish();
}

void readLongWork(LongWork &longWork, const Field &field, FaultList &faults)
{
    MapReader map(field, faults);
    readNumberInto(longWork.part, map.required("part"), {0, 0.99}, faults);
    readNumberInto(longWork.factor, map.required("factor"), {1}, faults);
    map.finish();
    if (longWork.part * longWork.factor >= 1) {
        faults.add(field.path, field.node->line, "part times factor must be below 1, as the mean work stays");
    }
}

void readConduct(CallerConduct &conduct, const Field &field, FaultList &faults)
{
    MapReader map(field, faults);
    readWholeInto(conduct.returns, map.optional("returns"), {0, 100}, faults);
    readNumberInto(conduct.returnLimit, map.optional("return_limit"), s_part, faults);
    readNumberInto(conduct.impatientPart, map.optional("impatient_part"), s_part, faults);
    readWholeInto(conduct.impatientTries, map.optional("impatient_tries"), {0, 1'000}, faults);
    readTimeInto(conduct.impatientPause, map.optional("impatient_pause_ms"), {0}, faults);
    map.finish();
}

Deployment readDeployment(const Field &field, FaultList &faults)
{
    Deployment deployment;
    MapReader map(field, faults);
    deployment.name = readText(map.required("name"), faults);
    readInstances(deployment, map.required("instances"), faults);
    const Field callers = map.required("callers");
    readRegions(deployment.callers, callers, faults);
    const double all = std::accumulate(deployment.callers.begin(), deployment.callers.end(), 0.0);
    if (callers && all <= 0) {
        faults.add(callers.path, callers.node->line, "a region must have callers");
    }
    for (double &share : deployment.callers) {
        share /= all > 0 ? all : 1;
    }
    MapReader latency(map.required("latency_ms"), faults);
    readTimeInto(deployment.callerLatency, latency.required("caller"), {}, faults);
    readTimeInto(deployment.withinRegion, latency.required("within_region"), {}, faults);
    readTimeInto(deployment.betweenRegions, latency.required("between_regions"), {}, faults);
    latency.finish();
    readNumberInto(deployment.warmPart, map.required("warm_part"), {0.01, 1}, faults);
    readServices(deployment, map.required("services"), faults);
    readKinds(deployment, map.required("kinds"), faults);
    if (const Field accounts = map.optional("accounts")) {
        readAccounts(deployment.accounts, accounts, faults);
    }
    map.finish();
    return deployment;
}

} // namespace

Deployment parseDeployment(std::string_view text, const std::string &file)
{
    return parseWith(text, file, readDeployment);
}

Day parseDay(std::string_view text, const std::string &file, const Deployment &deployment)
{
    return parseWith(text, file, [&deployment](const Field &field, FaultList &faults) {
        Day day;
        MapReader map(field, faults);
        day.name = readText(map.required("name"), faults);
        readNumberInto(day.load, map.required("load"), s_positive, faults);
        readBursts(day, map.optional("bursts"), deployment, faults);
        if (const Field hot = map.optional("hot_account")) {
            readHotAccount(day, hot, deployment, faults);
        }
        if (const Field longWork = map.optional("long_work")) {
            readLongWork(day.longWork, longWork, faults);
        }
        if (const Field machines = map.optional("machine_speed")) {
            readMachines(day.machines, machines, faults);
        }
        if (const Field swell = map.optional("swell")) {
            MapReader swellMap(swell, faults);
            readNumberInto(day.swell.part, swellMap.required("part"), s_part, faults);
            readNumberInto(day.swell.period, swellMap.required("period_s"), s_positive, faults);
            swellMap.finish();
        }
        if (const Field conduct = map.optional("callers")) {
            readConduct(day.conduct, conduct, faults);
        }
        readNumberInto(day.brokenPart, map.optional("broken_part"), s_part, faults);
        map.finish();
        return day;
    });
}

} // namespace trefoilstile::bench::overload
