// Candidates for a lookup answer and their probabilities.

#include "trefoilstile/ingress/entry_list.hpp"

#include <functional>

namespace trefoilstile::ingress
{

std::vector<EntryCandidate> entryCandidates(
    const membership::MemberTable &members, std::string_view region, std::string_view failureDomain, EntryListOptions options)
{
    const auto bySpareCapacity = [](const EntryCandidate &left, const EntryCandidate &right) {
        // An unknown spare capacity is treated like the largest one.
        return right.spareCapacity > 0 && (left.spareCapacity <= 0 || left.spareCapacity > right.spareCapacity);
    };
    const auto select = [&](auto &&matches) {
        std::vector<EntryCandidate> candidates;
        for (const auto &[incarnation, member] : members.entries()) {
            if (member.isAlive() && !member.silent && !member.isLeaving() && matches(member)) {
                candidates.push_back({member.info.callerAddress, static_cast<double>(member.status.spareCapacity)});
            }
        }
        return candidates;
    };
    std::vector<EntryCandidate> candidates = select([&](const membership::MemberEntry &member) {
        return member.info.failureDomain == failureDomain;
    });
    if (candidates.size() < options.minimumAddresses) {
        candidates = select([&](const membership::MemberEntry &member) {
            return member.info.region == region;
        });
    }
    if (candidates.empty()) {
        candidates = select([](const membership::MemberEntry &) {
            return true;
        });
    }
    std::stable_sort(candidates.begin(), candidates.end(), bySpareCapacity);
    if (candidates.size() == 1 && candidates.front().spareCapacity > 0) {
        std::vector<EntryCandidate> others = select([&](const membership::MemberEntry &member) {
            return member.info.region != region && member.status.spareCapacity > 0;
        });
        std::stable_sort(others.begin(), others.end(), bySpareCapacity);
        others.resize(std::min(others.size(), options.relievingInstances));
        if (!others.empty() && candidates.front().spareCapacity < options.alwaysListedShare * others.front().spareCapacity) {
            for (EntryCandidate &other : others) {
                other.relieves = true;
                candidates.push_back(std::move(other));
            }
        }
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
