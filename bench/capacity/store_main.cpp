// Load on the store by number of nodes, also at the worst minute.

#include "report.hpp"
#include "store_load.hpp"
#include "target.hpp"

using namespace trefoilstile::bench;

namespace
{

std::vector<Table> measure(unsigned)
{
    Table rates{"store_load", {"case", "purpose", "reads/s", "writes/s"}, {}};
    Table sums{"store_sums", {"case", "reads/s", "writes/s"}, {}};
    for (const StoreCase &one : storeCases()) {
        for (const StoreRate &rate : one.rates) {
            rates.add({one.name, rate.purpose, rate.readsPerSecond, rate.writesPerSecond});
        }
        sums.add({one.name, one.reads(), one.writes()});
    }
    Table claims{"claims_within_300_writes", {"nodes", "claims/s per node"}, {}};
    for (const std::size_t nodes : {target::s_nodesToday, target::s_nodes}) {
        claims.add({count(nodes), claimsPerNode(nodes)});
    }
    return {rates, sums, claims};
}

} // namespace

int main(int argc, char **argv)
{
    return reportMain(argc, argv, "Requests to the store per second", measure);
}
