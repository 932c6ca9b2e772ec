// Choice of entry instances for a caller.

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
            if (member.isAlive() && !member.isLeaving() && matches(member)) {
                candidates.push_back({member.info.callerAddress, static_cast<double>(member.status.spareCapacity)});
            }
        }
        return candidates;
    };
    std::vector<EntryCandidate> candidates = select([&](const membership::MemberEntry &member) {
        return member.info.failureDomain == failureDomain;
    });
    if (candidates.size() < options.enough) {
        candidates = select([&](const membership::MemberEntry &member) {
            return member.info.region == region;
        });
    }
    if (candidates.empty()) {
        candidates = select([](const membership::MemberEntry &) {
            return true;
        });
    }
    // What nobody has told of is taken for as good as the best.
    std::stable_sort(candidates.begin(), candidates.end(), [](const EntryCandidate &left, const EntryCandidate &right) {
        return right.spare > 0 && (left.spare <= 0 || left.spare > right.spare);
    });
    return candidates;
}

std::vector<double> namingChances(const std::vector<EntryCandidate> &candidates, EntryListOptions options)
{
    double most = 0;
    for (const EntryCandidate &candidate : candidates) {
        most = std::max(most, candidate.spare);
    }
    std::vector<double> chances;
    chances.reserve(candidates.size());
    for (const EntryCandidate &candidate : candidates) {
        const bool full = candidate.spare <= 0 || candidate.spare >= options.fullPart * most;
        chances.push_back(full ? 1.0 : candidate.spare / most);
    }
    return chances;
}

} // namespace trefoilstile::ingress
