// Options that a variant may set, by the names of the members of the option structs.

#include <concepts>
#include <map>
#include <variant>

#include "read_experiment.hpp"

namespace trefoilstile::bench::overload
{

namespace
{

using document::FaultList;
using document::Field;
using document::MapReader;

using Target = std::variant<double *, base::Duration *, std::size_t *, bool *, ingress::OverloadMode *>;

/// Options of `ingress::PlacementOptions`, of `ingress::OverloadOptions` below `overload`, and of `ingress::UpstreamTableOptions` below
/// `upstreams`. Durations are in milliseconds.
std::map<std::string, Target> targetsOf(Variant &variant)
{
    ingress::PlacementOptions &placement = variant.placement;
    ingress::OverloadOptions &overload = placement.overload;
    ingress::UpstreamTableOptions &upstreams = variant.upstreams;
    return {
        {"coldCost", &placement.coldCost},
        {"spillThreshold", &placement.spillThreshold},
        {"queuePerSlot", &placement.queuePerSlot},
        {"queuePerSlotStep", &placement.queuePerSlotStep},
        {"minimumQueuePerSlot", &placement.minimumQueuePerSlot},
        {"coldUtilizationLimit", &placement.coldUtilizationLimit},
        {"spillShare", &placement.spillShare},
        {"split.shiftPerSecond", &placement.split.shiftPerSecond},
        {"split.localPreference", &placement.split.localPreference},
        {"assumedServiceTime", &placement.assumedServiceTime},
        {"highLoad", &placement.highLoad},
        {"lowLoad", &placement.lowLoad},
        {"imbalance", &placement.imbalance},
        {"divertedSharePerSecond", &placement.divertedSharePerSecond},
        {"maximumDivertedShare", &placement.maximumDivertedShare},
        {"minimumRetryAfter", &placement.minimumRetryAfter},
        {"candidateLimit", &placement.candidateLimit},
        {"minimumCandidates", &placement.minimumCandidates},
        {"deadlineShare", &placement.deadlineShare},
        {"overloadMode", &placement.overloadMode},
        {"overload.targetLoad", &overload.targetLoad},
        {"overload.freeLoad", &overload.freeLoad},
        {"overload.loadGain", &overload.loadGain},
        {"overload.loadProportion", &overload.loadProportion},
        {"overload.minimumShare", &overload.minimumShare},
        {"overload.maximumInversion", &overload.maximumInversion},
        {"overload.beyondShareFactor", &overload.beyondShareFactor},
        {"overload.accountBurstSeconds", &overload.accountBurstSeconds},
        {"overload.waitMargin", &overload.waitMargin},
        {"overload.minimumQueuePerSlot", &overload.minimumQueuePerSlot},
        {"overload.maximumQueuePerSlot", &overload.maximumQueuePerSlot},
        {"overload.urgentQueuePerSlot", &overload.urgentQueuePerSlot},
        {"overload.coldUtilizationLimit", &overload.coldUtilizationLimit},
        {"overload.deadlineShare", &overload.deadlineShare},
        {"upstreams.loadTimeConstant", &upstreams.loadTimeConstant},
        {"upstreams.reportedLoadLifetime", &upstreams.reportedLoadLifetime},
        {"upstreams.serviceTimeWeight", &upstreams.serviceTimeWeight},
    };
}

struct ReadInto {
    const Field &field;
    FaultList &faults;

    void operator()(double *target) const
    {
        document::readNumberInto(*target, field, {-1}, faults);
    }
    void operator()(base::Duration *target) const
    {
        document::readMillisecondsInto(*target, field, {}, faults);
    }
    void operator()(std::size_t *target) const
    {
        document::readWholeInto(*target, field, {}, faults);
    }
    void operator()(bool *target) const
    {
        document::readBoolInto(*target, field, faults);
    }
    void operator()(ingress::OverloadMode *target) const
    {
        static const std::map<std::string, ingress::OverloadMode, std::less<>> modes{
            {"off", ingress::OverloadMode::Off}, {"on", ingress::OverloadMode::On}, {"auto", ingress::OverloadMode::Auto}};
        const auto found = modes.find(document::readText(field, faults));
        if (found == modes.end()) {
            faults.add(field.path, field.node->line, "must be off, on or auto");
        } else {
            *target = found->second;
        }
    }
};

} // namespace

void readOptions(Variant &variant, const Field &field, FaultList &faults)
{
    MapReader map(field, faults);
    for (const auto &[name, target] : targetsOf(variant)) {
        if (const Field option = map.optional(name)) {
            std::visit(ReadInto{option, faults}, target);
        }
    }
    map.finish();
}

} // namespace trefoilstile::bench::overload
