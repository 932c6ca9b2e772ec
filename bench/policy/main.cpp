// Runs the policy benchmark and prints its figures.

#include <algorithm>
#include <iostream>
#include <string>
#include <vector>

#include <CLI/CLI.hpp>

#include "world.hpp"

namespace
{

struct Arguments {
    std::vector<std::string> policies;
    std::vector<std::string> scenarios;
    std::vector<std::string> deployments;
    std::uint64_t seed = 20261204;
    std::string output = "table";
};

bool wanted(const std::vector<std::string> &names, const std::string &name)
{
    return names.empty() || std::find(names.begin(), names.end(), name) != names.end();
}

} // namespace

int main(int argc, char **argv)
{
    using namespace trefoilstile::bench;
    Arguments arguments;
    CLI::App app{"Policy benchmark of trefoilstile in virtual time"};
    app.add_option("--policy", arguments.policies, "policies to run; all by default");
    app.add_option("--scenario", arguments.scenarios, "scenarios to run; all by default");
    app.add_option("--service", arguments.deployments, "services to run; all by default");
    app.add_option("--seed", arguments.seed, "seed of arrivals and service times");
    app.add_option("--output", arguments.output, "table or json")->check(CLI::IsMember({"table", "json"}));
    CLI11_PARSE(app, argc, argv);
    std::vector<RunResult> results;
    for (const Deployment &deployment : deployments()) {
        for (const Scenario &scenario : scenarios()) {
            for (const Policy &policy : policies()) {
                if (wanted(arguments.deployments, deployment.name) && wanted(arguments.scenarios, scenario.name) && wanted(arguments.policies, policy.name)) {
                    results.push_back(run(deployment, scenario, policy, arguments.seed));
                }
            }
        }
    }
    arguments.output == "json" ? printJson(std::cout, results) : printTable(std::cout, results);
}
