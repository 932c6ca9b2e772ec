// What callers got in an emulated run.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "trefoilstile/base/time.hpp"

namespace trefoilstile::bench::placement
{

struct Tally {
    std::uint64_t sent{};
    std::uint64_t inObjective{};
    std::uint64_t late{};

    double inObjectiveShare() const
    {
        return sent == 0 ? 1.0 : static_cast<double>(inObjective) / static_cast<double>(sent);
    }
    double servedShare() const
    {
        return sent == 0 ? 1.0 : static_cast<double>(inObjective + late) / static_cast<double>(sent);
    }
};

struct Result {
    std::string policy;
    std::string scenario;
    Tally all;
    std::map<std::string, Tally> kinds;
    std::map<std::string, Tally> regions; ///< of the callers
    std::vector<Tally> windows; ///< of 2 s each, by the time of arrival
    std::uint64_t runs{}; ///< work done by upstreams
    std::uint64_t coldRuns{};
    std::uint64_t refusals{}; ///< by upstreams
    std::uint64_t upstreamsOfKeys{}; ///< sum over keys of the upstreams that worked on them
    std::uint64_t keys{};

    double coldShare() const
    {
        return runs == 0 ? 0.0 : static_cast<double>(coldRuns) / static_cast<double>(runs);
    }

    /// Worst part within the objective over a window of 2 s, the first ones left out while all objects are cold.
    double worstWindow() const;
    double worstRegion() const;
};

/// Table in Markdown: one line for each result.
std::string table(const std::vector<Result> &results);

} // namespace trefoilstile::bench::placement
