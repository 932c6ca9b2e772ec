// All machines but one are lost; the directory of the last one names lost machines beside itself for too long.

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <iostream>
#include <thread>

#include "../standins/configuration.hpp"
#include "../standins/deployment.hpp"
#include "../standins/server.hpp"

using namespace review;
using std::chrono::seconds;

namespace
{

constexpr auto s_bound = seconds(6); ///< `contact` of the site and 3 s
constexpr auto s_observed = seconds(12);
constexpr int s_allowed = 3; ///< answers that the rule allows

} // namespace

int main(int argc, char **argv)
{
    if (argc != 3) {
        return 2;
    }
    const char *variable = std::getenv("TROUBLE");
    const bool trouble = variable == nullptr || std::strcmp(variable, "0") != 0;
    try {
        Observations observations(argv[2]);
        Store store;
        Server server(observations, "i-1", "ledger", "trv-north", milliseconds(50));
        server.announce(store);
        store.put("op", "config", configuration(1, {{"r-status", "/status/", "safe", "1500ms", "ledger"}}, {"ledger"}));
        // The machines of the site, and one spare for each zone.
        Deployment deployment(store,
            {"ekm-east",
                "ekm-east",
                "mlb-north",
                "mlb-north",
                "trv-south",
                "trv-south",
                "trv-south",
                "ekm-west",
                "ekm-west",
                "ekm-west",
                "mlb-south",
                "trv-north"},
            {{"ekm-east", "ernakulam"},
                {"ekm-west", "ernakulam"},
                {"mlb-north", "malabar"},
                {"mlb-south", "malabar"},
                {"trv-south", "travancore"},
                {"trv-north", "travancore"}},
            argv[1]);
        const bool started = deployment.awaitReady();
        for (const char *zone : {"ekm-east", "mlb-north", "trv-south", "ekm-west", "mlb-south", "trv-north"}) {
            deployment.addMachine(zone);
        }
        if (!started || !deployment.awaitReady()) {
            observations.note("the entry processes did not become ready");
            deployment.finish(2);
        }
        std::this_thread::sleep_for(seconds(8));
        const auto last = std::find_if(deployment.machines().begin(), deployment.machines().end(), [](const Machine &machine) {
            return machine.name == "front-trv-north-1";
        });
        for (const Machine &machine : deployment.machines()) {
            if (trouble && &machine != &*last) {
                deployment.signal(machine, SIGKILL);
            }
        }
        const auto lost = Clock::now();
        observations.note(trouble ? "all machines but front-trv-north-1 are lost" : "no machine is lost");
        const std::string own = deployment.front(*last);
        int late = 0;
        int answers = 0;
        double latest = 0;
        while (Clock::now() < lost + s_observed) {
            const auto asked = Clock::now();
            const std::vector<std::string> addresses = resolve(deployment.directory(*last), "travancore", "trv-north");
            const bool named = std::find(addresses.begin(), addresses.end(), own) != addresses.end();
            ++answers;
            std::string text = "the directory answers";
            for (const std::string &address : addresses) {
                text += " " + address;
            }
            observations.note(text);
            if (trouble && named && addresses.size() > 1) {
                latest = elapsed(asked) - elapsed(lost);
                late += asked > lost + s_bound ? 1 : 0;
            }
            std::this_thread::sleep_for(milliseconds(20));
        }
        const std::string result = std::to_string(late) + " answers of the directory, asked for more than 6 s after the loss, named lost machines beside "
            + "the running one; the last such answer came " + std::to_string(latest) + " s after the loss";
        observations.note(result);
        std::cout << result << '\n';
        deployment.finish(answers == 0 ? 2 : late > s_allowed ? 1 : 0);
    } catch (const std::exception &error) {
        std::cerr << error.what() << '\n';
        return 2;
    }
}
