// Compares ways of placing requests on an emulated deployment and prints what callers got.

#include <cstdio>
#include <string>

#include <CLI/App.hpp>
#include <CLI/Config.hpp>
#include <CLI/Formatter.hpp>

#include "emulator.hpp"

int main(int argc, char **argv)
{
    using namespace trefoilstile::bench::placement;
    std::uint64_t seed = 1;
    int seconds = 24;
    std::string only;
    CLI::App app("Placement of requests on an emulated deployment", "placement_bench");
    app.add_option("--seed", seed, "Seed of arrivals and upstreams");
    app.add_option("--seconds", seconds, "Length of a run in virtual time")->check(CLI::Range(8, 600));
    app.add_option("--deployment", only, "Name of one deployment: society or large; default: all");
    CLI11_PARSE(app, argc, argv);
    bool found = false;
    for (const Deployment &deployment : deployments()) {
        if (!only.empty() && only != deployment.name) {
            continue;
        }
        found = true;
        std::vector<Result> results;
        for (const Scenario &scenario : scenarios()) {
            const auto compared = compare(deployment, scenario, seed, std::chrono::seconds(seconds));
            results.insert(results.end(), compared.begin(), compared.end());
        }
        std::printf("## %s, seed %llu\n\n%s\n", deployment.name.c_str(), static_cast<unsigned long long>(seed), table(results).c_str());
    }
    if (!found) {
        std::fprintf(stderr, "placement_bench: --deployment: '%s' is not allowed: society or large\n", only.c_str());
        return 2;
    }
    return 0;
}
