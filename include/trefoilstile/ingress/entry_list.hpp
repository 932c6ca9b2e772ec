// Which entry instances a caller is told to use.
//
// Answers a fleet whose instances differ in what they can carry: callers spread evenly over the addresses of an answer, so
// an instance with little to spare is named in fewer answers.
#pragma once

#include <algorithm>
#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "trefoilstile/base/random.hpp"
#include "trefoilstile/membership/member_table.hpp"

namespace trefoilstile::ingress
{

struct EntryListOptions {
    std::size_t most = 64; ///< addresses in one answer
    /// With fewer instances in the failure domain of the caller, those of its region are named too, so that the loss of one
    /// leaves another.
    std::size_t enough = 2;
    /// Instances that can spare this part of what the best of them can are named in every answer: callers drop connections to
    /// an instance that a new answer leaves out, so small differences are not worth a change.
    double fullPart = 0.5;
};

/// An instance that may be named.
struct EntryCandidate {
    std::string address;
    double spare{}; ///< requests/s that it can take beyond those it has; 0: not known
};

/// Instances for a caller: those of its failure domain, or of its region, or all. Instances that leave or are suspected are
/// left out while others remain.
std::vector<EntryCandidate> entryCandidates(
    const membership::MemberTable &members, std::string_view region, std::string_view failureDomain, EntryListOptions options = {});

/// Chance of each candidate to be named in an answer, in proportion to what it can spare.
std::vector<double> namingChances(const std::vector<EntryCandidate> &candidates, EntryListOptions options = {});

/// Addresses for one answer.
template<base::RandomSource R>
std::vector<std::string> sampleEntryAddresses(std::vector<EntryCandidate> candidates, R &random, EntryListOptions options = {})
{
    const std::vector<double> chances = namingChances(candidates, options);
    std::vector<std::string> named;
    std::vector<std::string> others; // the surest first
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const bool drawn = chances[i] >= 1 || base::uniformUnit(random) < chances[i];
        (drawn ? named : others).push_back(std::move(candidates[i].address));
    }
    for (std::size_t i = 0; i < others.size() && named.size() < options.enough; ++i) {
        named.push_back(std::move(others[i]));
    }
    for (std::size_t i = 0; named.size() > options.most && i < options.most; ++i) {
        std::swap(named[i], named[i + base::uniformBelow(random, named.size() - i)]);
    }
    named.resize(std::min(named.size(), options.most));
    return named;
}

} // namespace trefoilstile::ingress
