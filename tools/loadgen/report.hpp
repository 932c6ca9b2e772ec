// Results of a load run by priority class.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "trefoilstile/base/priority_class.hpp"

namespace loadgen
{

enum class Result : std::uint8_t {
    Served, ///< whole response without a rejection
    NotRun,
    Unknown, ///< rejected with `unknown`, or no whole response
    Failed, ///< no connection, or any other rejection
};

struct ClassReport {
    std::vector<double> latencies; ///< ms of served requests, from the planned start, so that a stalled generator does not hide waiting
    std::uint64_t counts[4]{}; ///< by `Result`
};

struct Report {
    trefoilstile::base::PerClass<ClassReport> classes;
    std::uint64_t lookups = 0; ///< answered with 200
    std::uint64_t lookupsFailed = 0;
    std::uint64_t bytes = 0; ///< of response bodies

    void add(trefoilstile::base::PriorityClass priorityClass, Result result, std::chrono::nanoseconds latency);
    std::string asText() const;
    std::string asJson() const;
};

} // namespace loadgen
