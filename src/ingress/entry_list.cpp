// Candidates for a lookup answer and their probabilities.

#include "trefoilstile/ingress/entry_list.hpp"

#include <functional>

namespace trefoilstile::ingress
{

namespace
{

using membership::MemberEntry;

/// Instances that are running as far as is known and for which the predicate holds.
template<typename Predicate>
std::vector<EntryCandidate> selectRunning(const membership::MemberTable &members, Predicate matches)
{
    std::vector<EntryCandidate> candidates;
    for (const auto &[incarnation, member] : members.entries()) {
        if (member.isAlive() && !member.silent && matches(member)) {
            candidates.push_back({member.info.callerAddress, static_cast<double>(member.status.spareCapacity)});
        }
    }
    return candidates;
}

/// Running instances that are not leaving and for which the predicate holds.
template<typename Predicate>
std::vector<EntryCandidate> selectStaying(const membership::MemberTable &members, Predicate matches)
{
    return selectRunning(members, [&matches](const MemberEntry &member) {
        return !member.isLeaving() && matches(member);
    });
}

/// True if the region has lost an instance that had not announced that it leaves, or has had none for longer than is remembered.
bool isLost(const membership::MemberTable &members, std::string_view region, const EntryListOptions &options)
{
    bool known = false;
    for (const auto &[incarnation, member] : members.entries()) {
        if (member.info.region == region) {
            if (!member.isLeaving()) {
                return true;
            }
            known = true;
        }
    }
    return !known && options.membersKnown;
}

/// Candidates for a caller whose region has no instance that stays.
std::vector<EntryCandidate> candidatesElsewhere(const membership::MemberTable &members, const EntryCaller &caller, const EntryListOptions &options)
{
    std::vector<EntryCandidate> candidates = selectStaying(members, [&caller](const MemberEntry &member) {
        return caller.mayUse(member.info.region);
    });
    if (!candidates.empty()) {
        return candidates;
    }
    if (isLost(members, caller.region, options)) {
        return selectStaying(members, [](const MemberEntry &) {
            return true;
        });
    }
    // Instances that leave serve what ends before they do, and refuse the rest, which the caller can repeat.
    return selectRunning(members, [&caller](const MemberEntry &member) {
        return member.info.region == caller.region;
    });
}

bool hasMoreSpareCapacity(const EntryCandidate &left, const EntryCandidate &right)
{
    // An unknown spare capacity is treated like the largest one.
    return right.spareCapacity > 0 && (left.spareCapacity <= 0 || left.spareCapacity > right.spareCapacity);
}

/// Adds instances of other regions if the only instance of the region has little spare capacity.
void addRelief(std::vector<EntryCandidate> &candidates, const membership::MemberTable &members, const EntryCaller &caller, EntryListOptions options)
{
    std::vector<EntryCandidate> others = selectStaying(members, [&caller](const MemberEntry &member) {
        return member.info.region != caller.region && caller.mayUse(member.info.region) && member.status.spareCapacity > 0;
    });
    std::stable_sort(others.begin(), others.end(), hasMoreSpareCapacity);
    others.resize(std::min(others.size(), options.relievingInstances));
    if (others.empty() || candidates.front().spareCapacity >= options.alwaysListedShare * others.front().spareCapacity) {
        return;
    }
    for (EntryCandidate &other : others) {
        other.relieves = true;
        candidates.push_back(std::move(other));
    }
}

} // namespace

std::vector<EntryCandidate> entryCandidates(const membership::MemberTable &members, const EntryCaller &caller, EntryListOptions options)
{
    std::vector<EntryCandidate> candidates = selectStaying(members, [&caller](const MemberEntry &member) {
        return member.info.failureDomain == caller.failureDomain;
    });
    if (candidates.size() < options.minimumAddresses) {
        candidates = selectStaying(members, [&caller](const MemberEntry &member) {
            return member.info.region == caller.region;
        });
    }
    if (candidates.empty()) {
        candidates = candidatesElsewhere(members, caller, options);
    }
    std::stable_sort(candidates.begin(), candidates.end(), hasMoreSpareCapacity);
    if (candidates.size() == 1 && candidates.front().spareCapacity > 0) {
        addRelief(candidates, members, caller, options);
    }
    return candidates;
}

std::vector<double> inclusionProbabilities(const std::vector<EntryCandidate> &candidates, EntryListOptions options)
{
    double maximum = 0;
    for (const EntryCandidate &candidate : candidates) {
        maximum = std::max(maximum, candidate.spareCapacity);
    }
    std::vector<double> probabilities;
    probabilities.reserve(candidates.size());
    if (candidates.size() > 1 && candidates.back().relieves) {
        // Gradual, so that the load of the single instance settles instead of changing between two extremes.
        const double relief = 1.0 - candidates.front().spareCapacity / (options.alwaysListedShare * maximum);
        probabilities.assign(candidates.size(), std::clamp(relief, 0.0, 1.0));
        probabilities.front() = 1.0;
        return probabilities;
    }
    for (const EntryCandidate &candidate : candidates) {
        const bool always = candidate.spareCapacity <= 0 || candidate.spareCapacity >= options.alwaysListedShare * maximum;
        probabilities.push_back(always ? 1.0 : candidate.spareCapacity / maximum);
    }
    return probabilities;
}

} // namespace trefoilstile::ingress
