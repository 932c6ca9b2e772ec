// The product's placement and the baselines on one load.

#include "baselines.hpp"
#include "emulator.hpp"

namespace trefoilstile::bench::placement
{

std::vector<Result> compare(const Deployment &deployment, const Scenario &scenario, std::uint64_t seed, base::Duration length)
{
    const auto product = [](ingress::UpstreamTable &upstreamTable, const std::string &region, const std::string &domain, std::uint64_t hash) {
        auto policy = std::make_unique<ingress::Placement>(upstreamTable, region, domain, hash);
        std::map<std::string, double, std::less<>> demand;
        for (std::size_t i = 0; i < s_regions; ++i) {
            demand[fmt::format("r{}", i)] = 1;
        }
        policy->setDemand(std::move(demand));
        return policy;
    };
    const auto run = [&]<typename Policy>(const char *name, Policy *) {
        return Emulator<Policy>(deployment,
            scenario,
            seed,
            [](ingress::UpstreamTable &upstreamTable, const std::string &region, const std::string &, std::uint64_t) {
                return std::make_unique<Policy>(upstreamTable, region);
            })
            .run(name, length);
    };
    std::vector<Result> results;
    results.push_back(Emulator<ingress::Placement>(deployment, scenario, seed, product).run("placement", length));
    results.push_back(run("bounded-load hash", static_cast<BoundedLoadHash *>(nullptr)));
    results.push_back(run("least load", static_cast<LeastLoad *>(nullptr)));
    results.push_back(run("round robin", static_cast<RoundRobin *>(nullptr)));
    return results;
}

} // namespace trefoilstile::bench::placement
