// Embeds the engine: one document, one arrival and one attempt result in virtual time. Prints the commands.

#include <chrono>
#include <cstdio>
#include <exception>
#include <memory>
#include <optional>
#include <string_view>
#include <utility>
#include <variant>

#include "trefoilstile/document/parse.hpp"
#include "trefoilstile/engine/engine.hpp"

using namespace std::chrono_literals;
using namespace trefoilstile;

namespace
{

constexpr std::string_view s_document = R"(max_entry_instances: 1
regions:
  - {name: north, capacity_rps: 100, failure_domains: [{name: north-a, capacity_rps: 100}]}
classes:
  urgent: {weight: 16, minimum_share: 0.3}
  interactive: {weight: 4, minimum_share: 0.3}
  bulk: {weight: 1, minimum_share: 0.1}
services:
  - name: shop
    hosts: [shop.example]
    routes: [{path_prefix: /, class: interactive, idempotent: true}]
    upstreams: [{name: shop-1, failure_domain: north-a, address: '127.0.0.1:8080', slots: 4, connections: 8}]
sites: [{name: north-site, failure_domain: north-a}]
default_site: north-site
)";

/// A command sink: keeps the last attempt, and prints each command. A program would send the request here.
struct PrintingSink {
    std::optional<engine::Forward> forward;

    void operator()(const engine::Command &command)
    {
        if (const auto *started = std::get_if<engine::Forward>(&command)) {
            forward = *started;
            std::printf(
                "forward request %llu to %s at %s\n", static_cast<unsigned long long>(started->id.value), started->upstream.c_str(), started->address.c_str());
        } else if (const auto *rejected = std::get_if<engine::Reject>(&command)) {
            std::printf("reject with status %u: %s\n", static_cast<unsigned>(rejected->status), engine::toString(rejected->reason).data());
        } else {
            std::printf("command of alternative %zu\n", command.index());
        }
    }
};

bool run()
{
    base::TimePoint now{}; // virtual time: any origin, it only must not go back
    engine::EngineOptions options;
    options.name = "e1";
    options.environment = "trial";
    options.region = "north";
    options.failureDomain = "north-a";
    options.incarnation = base::IncarnationId{1};
    engine::Engine engine(options, now);
    PrintingSink sink;

    auto document = std::make_shared<const document::SteeringDocument>(document::parseDocument(s_document));
    auto blocks = std::make_shared<const routing::BlockTable>(document->clientBlocks, document->defaultSite);
    engine.handle(engine::DocumentUpdated{base::Generation{1}, document, blocks, {}}, now, sink);

    engine::RequestArrived arrival;
    arrival.id = base::RequestId{1};
    arrival.host = "shop.example";
    arrival.path = "/chairs";
    arrival.method = "GET";
    engine.handle(std::move(arrival), now, sink);
    if (!sink.forward) {
        return false;
    }

    now += 20ms;
    engine.tick(now, sink);
    engine::AttemptEnded ended;
    ended.id = sink.forward->id;
    ended.attemptId = sink.forward->attemptId;
    ended.result = engine::AttemptResult::Completed;
    ended.latency = 20ms;
    ended.status = 200;
    engine.handle(std::move(ended), now, sink);
    std::printf("requests held: %zu\n", engine.statistics().held);
    return engine.statistics().held == 0;
}

} // namespace

int main()
{
    try {
        return run() ? 0 : 1;
    } catch (const std::exception &error) {
        std::fprintf(stderr, "embed_engine: %s\n", error.what());
        return 1;
    }
}
