// Merging of what several instances say about a change.

#include "trefoilstile/ctl/effect.hpp"

#include <algorithm>
#include <map>
#include <set>

#include <fmt/format.h>
#include <fmt/ranges.h>

namespace trefoilstile::ctl
{

namespace
{

/// Pause between polls: short against the 5 s in which a change comes into effect.
constexpr base::Duration s_pollPeriod = std::chrono::milliseconds(200);

/// Limit for one poll of one port, so that one that hangs does not use up the whole wait.
constexpr base::Duration s_pollLimit = std::chrono::seconds(1);

/// Instance as all ports together know it.
struct KnownInstance {
    MemberStatus status; ///< alive and leaving if any port says so; highest generations
    bool conflictingHash = false;
};

using Instances = std::map<std::pair<std::string, std::string>, KnownInstance>; // by name and incarnation

void merge(Instances &instances, const MemberStatus &member)
{
    const auto [place, isNew] = instances.try_emplace({member.name, member.incarnation}, KnownInstance{member, false});
    if (isNew) {
        return;
    }
    MemberStatus &known = place->second.status;
    known.alive = known.alive || member.alive;
    known.leaving = known.leaving || member.leaving;
    known.generation = std::max(known.generation, member.generation);
    known.drainGeneration = std::max(known.drainGeneration, member.drainGeneration);
}

Instances merged(const std::vector<PortView> &views, const EffectTarget &target)
{
    Instances instances;
    for (const PortView &view : views) {
        if (!view.status) {
            continue;
        }
        for (const MemberStatus &member : view.status->members) {
            merge(instances, member);
        }
        const MemberStatus &self = view.status->self;
        merge(instances, self);
        const bool sameGeneration = target.kind == EffectTarget::Kind::Document && self.generation == target.generation;
        if (sameGeneration && !target.hash.empty() && view.status->hash != target.hash) {
            instances[{self.name, self.incarnation}].conflictingHash = true;
        }
    }
    return instances;
}

base::Generation generationOf(const MemberStatus &member, EffectTarget::Kind kind)
{
    return kind == EffectTarget::Kind::Document ? member.generation : member.drainGeneration;
}

bool isAhead(const KnownInstance &instance, const EffectTarget &target, const RowState &row)
{
    const base::Generation generation = generationOf(instance.status, target.kind);
    return generation > target.generation && (!row.generation || generation > *row.generation);
}

bool hasTarget(const KnownInstance &instance, const EffectTarget &target, const RowState &row)
{
    const base::Generation generation = generationOf(instance.status, target.kind);
    if (generation == target.generation) {
        return !instance.conflictingHash;
    }
    return generation > target.generation && !isAhead(instance, target, row);
}

void count(DomainEffect &domain, const KnownInstance &instance, bool inEffect)
{
    ++domain.instances;
    domain.reachable = domain.reachable || instance.status.alive;
    if (inEffect) {
        ++domain.inEffect;
    } else {
        (instance.status.alive ? domain.missing : domain.unreachable).push_back(instance.status.name);
    }
}

bool isComplete(const EffectReport &report, const EffectTarget &target)
{
    if (!report.unreachablePorts.empty() || report.domains.empty()) {
        return false;
    }
    return std::all_of(report.domains.begin(), report.domains.end(), [&](const DomainEffect &domain) {
        const bool required = std::count(target.requiredDomains.begin(), target.requiredDomains.end(), domain.name) > 0;
        return domain.inEffect == domain.instances && (domain.reachable || !required);
    });
}

nlohmann::ordered_json toJson(const DomainEffect &domain)
{
    return {{"name", domain.name},
        {"instances", domain.instances},
        {"in_effect", domain.inEffect},
        {"missing", domain.missing},
        {"unreachable", domain.unreachable},
        {"reachable", domain.reachable}};
}

std::string toLine(const DomainEffect &domain)
{
    std::string line = fmt::format("  {}: in effect on {} of {} instances", domain.name, domain.inEffect, domain.instances);
    if (!domain.missing.empty()) {
        line += fmt::format("; not on {}", fmt::join(domain.missing, ", "));
    }
    if (!domain.unreachable.empty()) {
        line += fmt::format("; cannot reach {}", fmt::join(domain.unreachable, ", "));
    }
    return line;
}

} // namespace

EffectReport evaluateEffect(const std::vector<PortView> &views, const EffectTarget &target, const RowState &row)
{
    EffectReport report;
    report.row = row;
    std::copy_if(views.begin(), views.end(), std::back_inserter(report.unreachablePorts), [](const PortView &view) {
        return !view.status;
    });
    const Instances instances = merged(views, target);
    std::set<std::string> aliveNames;
    for (const auto &[key, instance] : instances) {
        if (instance.status.alive) {
            aliveNames.insert(instance.status.name);
        }
    }
    std::map<std::string, DomainEffect> domains;
    for (const std::string &name : target.requiredDomains) {
        domains[name];
    }
    for (const auto &[key, instance] : instances) {
        const bool gone = !instance.status.alive && (instance.status.leaving || aliveNames.contains(instance.status.name));
        if (!gone) {
            count(domains[instance.status.failureDomain], instance, hasTarget(instance, target, row));
            if (isAhead(instance, target, row)) {
                report.ahead.push_back(instance.status.name);
            }
        }
        if (instance.conflictingHash) {
            report.conflictingHashes.push_back(instance.status.name);
        }
    }
    for (auto &[name, domain] : domains) {
        domain.name = name;
        report.domains.push_back(std::move(domain));
    }
    report.complete = isComplete(report, target);
    return report;
}

base::Generation highestGeneration(const std::vector<PortView> &views, EffectTarget::Kind kind)
{
    base::Generation highest;
    for (const PortView &view : views) {
        if (!view.status) {
            continue;
        }
        highest = std::max(highest, generationOf(view.status->self, kind));
        for (const MemberStatus &member : view.status->members) {
            highest = std::max(highest, generationOf(member, kind));
        }
    }
    return highest;
}

EffectReport waitUntilInEffect(OperatorPorts &ports, Pacer &pacer, const EffectTarget &target, base::TimePoint deadline, const RowReader &readRow)
{
    for (;;) {
        const std::vector<PortView> views = pollStatus(ports, target.environment, s_pollLimit);
        EffectReport report = evaluateEffect(views, target);
        if (!report.ahead.empty()) {
            // Read after the poll: the row of a sound store is then at least as high as what the instances had.
            report = evaluateEffect(views, target, readRow());
        }
        const base::TimePoint now = pacer.now();
        if (report.complete || now >= deadline) {
            return report;
        }
        pacer.sleep(std::min(s_pollPeriod, deadline - now));
    }
}

void describe(const EffectReport &effect, Report &report)
{
    report.json["failure_domains"] = nlohmann::ordered_json::array();
    std::vector<std::string> unreachable;
    for (const DomainEffect &domain : effect.domains) {
        report.json["failure_domains"].push_back(toJson(domain));
        report.lines.push_back(toLine(domain));
        if (!domain.reachable) {
            unreachable.push_back(domain.name);
        }
    }
    report.json["unreachable_failure_domains"] = unreachable;
    report.json["unreachable_operators"] = nlohmann::ordered_json::array();
    for (const PortView &port : effect.unreachablePorts) {
        report.json["unreachable_operators"].push_back({{"address", port.address}, {"error", port.error}});
        report.lines.push_back(fmt::format("operator port {}: {}", port.address, port.error));
    }
    if (!unreachable.empty()) {
        report.lines.push_back(fmt::format("failure domains that cannot be reached: {}", fmt::join(unreachable, ", ")));
    }
    if (!effect.ahead.empty() && effect.row.generation) {
        report.json["store_behind"] = {{"row_generation", effect.row.generation->value}, {"instances", effect.ahead}};
        report.say(fmt::format("the store is behind the instances: its row has generation {}, a higher one is in effect on {}, which ignore the row; "
                               "the store has lost data or was restored from a backup; submit again with an operator port that reports their generation",
            effect.row.generation->value,
            fmt::join(effect.ahead, ", ")));
    } else if (!effect.ahead.empty()) {
        report.json["row_error"] = effect.row.error;
        report.say(fmt::format(
            "a higher generation is in effect on {}, and the store's row could not be read again: {}", fmt::join(effect.ahead, ", "), effect.row.error));
    }
    if (!effect.conflictingHashes.empty()) {
        report.json["conflicting_hashes"] = effect.conflictingHashes;
        report.lines.push_back(fmt::format("another document under the same generation on: {}", fmt::join(effect.conflictingHashes, ", ")));
    }
}

} // namespace trefoilstile::ctl
