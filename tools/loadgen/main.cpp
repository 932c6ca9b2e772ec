// Load generator: looks entries up, sends requests of each class at fixed rates and prints how they fared.

#include <cstdio>
#include <exception>
#include <string>

#include <boost/asio/io_context.hpp>
#include <CLI/CLI.hpp>
#include <fmt/format.h>

#include "client.hpp"

namespace
{

using trefoilstile::base::PriorityClass;

void addClass(CLI::App &app, loadgen::Settings &settings, PriorityClass priorityClass)
{
    loadgen::ClassLoad &load = settings.classes[priorityClass];
    const std::string name(toString(priorityClass));
    app.add_option("--" + name + "-path", load.path, "path of " + name + " requests");
    app.add_option("--" + name + "-method", load.method, "method of " + name + " requests")->check(CLI::IsMember({"GET", "POST", "PUT", "DELETE"}));
    app.add_option("--" + name + "-rate", load.rate, name + " requests/s; 0: none")->check(CLI::Range(0.0, 20'000.0));
    app.add_flag("--" + name + "-keyed", load.keyed, name + " requests carry an idempotency key");
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("Open-loop load for trefoilstile");
    loadgen::Settings settings;
    settings.classes[PriorityClass::Urgent].method = "POST";
    long duration = 10;
    long timeout = settings.timeout.count();
    long deadline = 0;
    std::string output = "text";
    app.add_option("--entry", settings.entries, "caller address (IP:port) of an entry instance; may be repeated")->required();
    app.add_option("--service", settings.service, "service for lookups")->required();
    app.add_option("--host", settings.host, "Host of requests")->required();
    app.add_option("--client", settings.client, "caller address given in lookups");
    // Bounds keep a mistaken run short.
    app.add_option("--duration-s", duration, "length of the run")->check(CLI::Range(1L, 3600L));
    app.add_option("--timeout-ms", timeout, "limit of one request")->check(CLI::Range(1L, 600'000L));
    app.add_option("--deadline-ms", deadline, "deadline sent with requests; 0: none")->check(CLI::Range(0L, 600'000L));
    app.add_option("--max-in-flight", settings.maximumInFlight, "requests at the same time; further ones count as failed")->check(CLI::Range(1, 10'000));
    app.add_option("--max-requests", settings.maximumRequests, "requests of the whole run")->check(CLI::Range(1, 10'000'000));
    app.add_option("--seed", settings.seed, "seed of the arrival times");
    app.add_option("--output", output, "text or json")->check(CLI::IsMember({"text", "json"}));
    for (const PriorityClass priorityClass : trefoilstile::base::s_priorityClasses) {
        addClass(app, settings, priorityClass);
    }
    CLI11_PARSE(app, argc, argv);
    settings.duration = std::chrono::seconds(duration);
    settings.timeout = std::chrono::milliseconds(timeout);
    settings.deadline = std::chrono::milliseconds(deadline);
    try {
        boost::asio::io_context context;
        loadgen::Client client(context, settings);
        client.start();
        context.run();
        fmt::print("{}", output == "json" ? client.report.asJson() : client.report.asText());
    } catch (const std::exception &error) {
        fmt::print(stderr, "loadgen: {}\n", error.what());
        return 1;
    }
    return 0;
}
