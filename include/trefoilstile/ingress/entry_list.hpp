// Selects the entry instances that a lookup answer lists.
//
// Instances of one fleet can differ in capacity, but callers spread evenly over the addresses of an answer. An instance with
// little spare capacity is therefore listed in fewer answers.
#pragma once

#include <algorithm>
#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "trefoilstile/base/random.hpp"
#include "trefoilstile/ingress/home_regions.hpp"
#include "trefoilstile/membership/member_table.hpp"

namespace trefoilstile::ingress
{

struct EntryListOptions {
    std::size_t maximumAddresses = 64; ///< in one answer
    /// If the failure domain of the caller has fewer instances, all instances of its region are candidates, so that the caller
    /// has an alternative when one instance fails.
    std::size_t minimumAddresses = 2;
    /// An instance is listed in every answer if its spare capacity is at least this share of the largest spare capacity. Callers
    /// close connections to instances that a new answer omits, so small differences do not justify a change.
    double alwaysListedShare = 0.5;
    /// Instances of other regions that take callers of a region whose only instance has little spare capacity left. With three, the only
    /// instance keeps a quarter of the callers when it has none left.
    std::size_t relievingInstances = 3;
    /// False shortly after the start of this instance, when others may run that it does not know yet.
    bool membersKnown = true;
};

/// Caller for whom an answer is made.
struct EntryCaller {
    std::string_view region;
    std::string_view failureDomain;
    /// Regions other than the caller's own to which the caller may be referred.
    HomeRegions homes{};

    /// True if the caller may use instances of the region.
    bool mayUse(std::string_view instanceRegion) const
    {
        return instanceRegion == region || homes.allow(instanceRegion);
    }
};

/// An instance that may be listed in an answer.
struct EntryCandidate {
    std::string address;
    double spareCapacity{}; ///< additional requests/s that the instance can accept; 0 means unknown
    bool relieves = false; ///< of another region; listed more often the less spare capacity the only instance of the region has
};

/// Candidates for a caller: the instances of its failure domain if there are at least `minimumAddresses`, otherwise those of its
/// region. A single instance of a region whose spare capacity is known to be below `alwaysListedShare` of the largest elsewhere is
/// relieved by instances of other regions that `homes` allows.
///
/// If the region has no instance, those of the other regions that `homes` allows are candidates. If these have none either, it
/// depends on what is known of the region: all instances if it was lost without a plan, otherwise its instances that are still
/// leaving, so that the answer may be empty.
///
/// Candidates are alive, not silent and, but for that last case, not leaving. Sorted by descending spare capacity, unknown capacity
/// first.
std::vector<EntryCandidate> entryCandidates(const membership::MemberTable &members, const EntryCaller &caller, EntryListOptions options = {});

/// Probability of each candidate to be listed in an answer, in proportion to its spare capacity.
std::vector<double> inclusionProbabilities(const std::vector<EntryCandidate> &candidates, EntryListOptions options = {});

/// Draws the addresses for one answer.
template<base::RandomSource R>
std::vector<std::string> sampleEntryAddresses(std::vector<EntryCandidate> candidates, R &random, EntryListOptions options = {})
{
    const std::vector<double> probabilities = inclusionProbabilities(candidates, options);
    std::vector<std::string> selected;
    std::vector<std::string> others; // in the order of the candidates
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const bool drawn = probabilities[i] >= 1 || base::uniformUnit(random) < probabilities[i];
        if (drawn || !candidates[i].relieves) {
            (drawn ? selected : others).push_back(std::move(candidates[i].address));
        }
    }
    for (std::size_t i = 0; i < others.size() && selected.size() < options.minimumAddresses; ++i) {
        selected.push_back(std::move(others[i]));
    }
    for (std::size_t i = 0; selected.size() > options.maximumAddresses && i < options.maximumAddresses; ++i) {
        std::swap(selected[i], selected[i + base::uniformBelow(random, selected.size() - i)]);
    }
    selected.resize(std::min(selected.size(), options.maximumAddresses));
    return selected;
}

} // namespace trefoilstile::ingress
