// Figures of a run, and their output as a table or as JSON.
#pragma once

#include <cstdint>
#include <iosfwd>
#include <span>
#include <string>
#include <vector>

#include "trefoilstile/base/priority_class.hpp"

namespace trefoilstile::bench
{

/// Figures of one class in one phase.
struct ClassResult {
    std::uint64_t offered{};
    std::uint64_t served{};
    std::uint64_t rejected{}; ///< told early, or when all attempts were rejected
    std::uint64_t expired{}; ///< waited until its deadline
    std::uint64_t failed{}; ///< timed out or broken at an upstream
    std::vector<float> latencies; ///< of served requests, ms from arrival to the first byte
    double slotShare{}; ///< part of the slots of live upstreams that the class held
    double demand{}; ///< as in the scenario

    double quantile(double part) const;
};

struct PhaseResult {
    std::string name;
    base::PerClass<ClassResult> classes;
    double headroom{}; ///< part of the slots of live upstreams that were idle
    std::uint64_t upstreamRejections{}; ///< attempts that found an upstream full
};

struct RunResult {
    std::string deployment;
    std::string scenario;
    std::string policy;
    std::vector<PhaseResult> phases;
    std::uint64_t startsAfterDrain{}; ///< attempts that reached a draining upstream later than 3 s after the drain
    double drainSeconds = -1.0; ///< from the drain to the last attempt that ended at a drained upstream; -1 without a drain
};

void printTable(std::ostream &out, std::span<const RunResult> results);

void printJson(std::ostream &out, std::span<const RunResult> results);

} // namespace trefoilstile::bench
