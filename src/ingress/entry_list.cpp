// Candidates for a lookup answer and their probabilities.

#include "trefoilstile/ingress/entry_list.hpp"

#include <functional>

namespace trefoilstile::ingress
{

std::vector<EntryCandidate> entryCandidates(
    const membership::MemberTable &members, std::string_view region, std::string_view failureDomain, EntryListOptions options)
{
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
    // An unknown spare capacity is treated like the largest one.
    std::stable_sort(candidates.begin(), candidates.end(), [](const EntryCandidate &left, const EntryCandidate &right) {
        return right.spareCapacity > 0 && (left.spareCapacity <= 0 || left.spareCapacity > right.spareCapacity);
    });
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
    for (const EntryCandidate &candidate : candidates) {
        const bool always = candidate.spareCapacity <= 0 || candidate.spareCapacity >= options.alwaysListedShare * maximum;
        probabilities.push_back(always ? 1.0 : candidate.spareCapacity / maximum);
    }
    return probabilities;
}

} // namespace trefoilstile::ingress
