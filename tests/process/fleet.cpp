// Start of the programs, and the questions that tests put to them.

#include "fleet.hpp"

#include <algorithm>
#include <sstream>

#include <boost/test/results_collector.hpp>
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

namespace process_test
{

namespace
{

using nlohmann::json;

constexpr const char *s_host = "bench.society.example";

Standin startStandin(const TemporaryFolder &folder, const std::string &name, const std::string &path, const std::vector<std::string> &arguments)
{
    Standin standin;
    standin.program = std::make_unique<Program>(folder, name, path, arguments);
    const std::string line = standin.program->firstLine();
    standin.address = line.substr(line.find(' ') + 1);
    return standin;
}

std::string domainOf(std::size_t index)
{
    return index % 2 == 0 ? "dom-a" : "dom-b";
}

} // namespace

void Standin::control(const std::string &target, const json &body) const
{
    BOOST_REQUIRE_EQUAL(call(address, {"POST", target, {}, body.dump()}).status, 200U);
}

json Instance::status() const
{
    const HttpResponse response = call(operators, {"GET", "/v1/status", {}, {}});
    return response.status == 200 ? json::parse(response.body) : json();
}

std::uint64_t Instance::generation() const
{
    const json page = status();
    return page.is_null() ? 0 : page.at("generation").get<std::uint64_t>();
}

std::string Instance::stateOf(const std::string &member) const
{
    const json page = status();
    std::string state = "unknown";
    if (page.is_null()) {
        return state;
    }
    for (const json &line : page.at("members")) {
        if (line.at("name") != member) {
            continue;
        }
        if (line.at("alive").get<bool>()) {
            return line.at("leaving").get<bool>() ? "leaving" : "alive";
        }
        state = "dead";
    }
    return state;
}

HttpResponse Instance::lookup() const
{
    return call(callers, {"GET", "/v1/entries?service=bench&client=127.0.0.1", {}, {}});
}

std::vector<std::string> Instance::lookedUp() const
{
    std::vector<std::string> names;
    const HttpResponse response = lookup();
    if (response.status == 200) {
        const json body = json::parse(response.body);
        for (const json &entry : body.at("entries")) {
            names.push_back(entry.at("name").get<std::string>());
        }
    }
    return names;
}

std::string Instance::keyPrefix() const
{
    const HttpResponse response = lookup();
    BOOST_REQUIRE_EQUAL(response.status, 200U);
    return json::parse(response.body).at("key_prefix").get<std::string>();
}

Fleet::Fleet(int upstreamCount, const std::vector<std::string> &upstreamArguments)
    : platform(startStandin(folder, "platform", STANDIN_PLATFORM_PATH, {}))
{
    for (int i = 0; i < upstreamCount; ++i) {
        upstreams.push_back(startStandin(folder, fmt::format("upstream-{}", i), STANDIN_UPSTREAM_PATH, upstreamArguments));
    }
}

Fleet::~Fleet()
{
    // Boost.Test counts the failed assertions of the current case; the logs explain them.
    const auto &results = boost::unit_test::results_collector.results(boost::unit_test::framework::current_test_case().p_id);
    if (!results.passed()) {
        for (const auto &running : instances) {
            BOOST_TEST_MESSAGE("log of " << running->name << (running->program->running() ? "" : ", which has ended") << ":\n" << running->program->log());
        }
    }
}

Instance &Fleet::start(const std::string &name, const std::string &failureDomain, const std::string &environment, bool knowsPeers)
{
    std::vector<std::string> arguments{"--name",
        name,
        "--region",
        "ernakulam",
        "--failure-domain",
        failureDomain,
        "--environment",
        environment,
        "--caller-address",
        "127.0.0.1:0",
        "--peer-address",
        "127.0.0.1:0",
        "--operator-address",
        "127.0.0.1:0",
        "--platform",
        platform.address,
        "--mac-key",
        "key of the process tests"};
    std::string seeds;
    for (const auto &other : instances) {
        if (knowsPeers && other->environment == environment) {
            seeds += (seeds.empty() ? "" : ",") + other->peers;
        }
    }
    if (!seeds.empty()) {
        arguments.insert(arguments.end(), {"--seeds", seeds});
    }
    auto added = std::make_unique<Instance>();
    added->name = name;
    added->failureDomain = failureDomain;
    added->environment = environment;
    added->program = std::make_unique<Program>(folder, fmt::format("{}-{}", name, ++m_programs), TREFOILSTILED_PATH, arguments);
    std::istringstream line(added->program->firstLine());
    std::string label;
    line >> label >> added->callers >> label >> added->peers >> label >> added->operators;
    instances.push_back(std::move(added));
    return *instances.back();
}

void Fleet::startInstances(int count)
{
    for (int i = 0; i < count; ++i) {
        start(fmt::format("entry-{}", i), domainOf(static_cast<std::size_t>(i)));
    }
    BOOST_REQUIRE(waitForMembers());
}

void Fleet::remove(const std::string &name)
{
    std::erase_if(instances, [&](const auto &candidate) {
        return candidate->name == name;
    });
}

Instance &Fleet::instance(const std::string &name)
{
    const auto found = std::find_if(instances.begin(), instances.end(), [&](const auto &candidate) {
        return candidate->name == name;
    });
    BOOST_REQUIRE(found != instances.end());
    return **found;
}

std::string Fleet::document(const DocumentOptions &options) const
{
    std::string text = R"(max_entry_instances: 8
regions:
  - name: ernakulam
    capacity_rps: 2000
    failure_domains:
      - {name: dom-a, capacity_rps: 1000}
      - {name: dom-b, capacity_rps: 1000}
classes:
  urgent: {weight: 16, minimum_share: 0.3}
  interactive: {weight: 4, minimum_share: 0.3}
  bulk: {weight: 1, minimum_share: 0.1}
shift_caps: []
lookup: {ttl_ms: 200, jitter: 0, entries: 4, requests_per_response: 0.1}
services:
  - name: bench
    hosts: [bench.society.example]
    timeout_ms: 30000
    connect_timeout_ms: 5000
    queue_length: 200
    retry: {budget: 1, maximum_attempts: 3}
)";
    text += fmt::format(R"(    routes:
      - {{path_prefix: /holds, methods: [POST], class: urgent, idempotent: false, timeout_ms: {}}}
      - {{path_prefix: /objects, class: bulk, idempotent: true, timeout_ms: 30000}}
      - {{path_prefix: /, class: interactive, idempotent: true, timeout_ms: {}}}
    upstreams:
)",
        options.holdTimeoutMs,
        options.statusTimeoutMs);
    for (std::size_t i = 0; i < upstreams.size(); ++i) {
        text += fmt::format("      - {{name: upstream-{}, failure_domain: {}, address: {{'*': '{}'}}, slots: 8, connections: {}}}\n",
            i,
            domainOf(i),
            upstreams[i].address,
            options.connections);
    }
    return text + R"(sites:
  - {name: site-a, failure_domain: dom-a, blocks: [127.0.0.0/8]}
  - {name: site-b, failure_domain: dom-b, blocks: [10.0.0.0/8]}
default_site: site-a
)";
}

CtlResult Fleet::submit(const std::string &document, const std::string &waitMs)
{
    const std::string file = folder.write(fmt::format("document-{}.yaml", ++m_programs), document);
    const CtlResult applied = ctl({"apply", file, "--env", "trial"}, "trial");
    const bool hasTrialInstance = std::any_of(instances.begin(), instances.end(), [](const auto &running) {
        return running->environment == "trial";
    });
    // Without an instance in trial the document is accepted there, but trefoilctl cannot see it in effect.
    BOOST_REQUIRE_MESSAGE(applied.status == (hasTrialInstance ? 0 : 3), applied.text);
    return ctl({"promote", "--from", "trial", "--to", "production"}, "production", waitMs);
}

void Fleet::apply(const DocumentOptions &options)
{
    const CtlResult promoted = submit(document(options));
    BOOST_REQUIRE_MESSAGE(promoted.status == 0, promoted.text);
}

CtlResult Fleet::ctl(const std::vector<std::string> &arguments, const std::string &environment, const std::string &waitMs)
{
    return resultOf(*startCtl(arguments, environment, waitMs));
}

std::unique_ptr<Program> Fleet::startCtl(const std::vector<std::string> &arguments, const std::string &environment, const std::string &waitMs)
{
    std::vector<std::string> all{"--platform", platform.address, "--output", "json", "--submitter", "tests", "--wait-ms", waitMs};
    for (const auto &running : instances) {
        if (running->environment == environment) {
            all.insert(all.end(), {"--operator", running->operators});
        }
    }
    all.insert(all.end(), arguments.begin(), arguments.end());
    return std::make_unique<Program>(folder, fmt::format("ctl-{}", ++m_programs), TREFOILCTL_PATH, all);
}

CtlResult Fleet::resultOf(Program &program)
{
    CtlResult result;
    result.status = program.wait(2 * s_hangLimit).value_or(-1);
    result.report = json::parse(program.output(), nullptr, false);
    if (result.report.is_discarded()) {
        result.report = json();
    }
    result.text = program.output() + program.log();
    return result;
}

bool Fleet::waitForMembers()
{
    return waitUntil([this] {
        return std::all_of(instances.begin(), instances.end(), [this](const auto &one) {
            return std::all_of(instances.begin(), instances.end(), [&](const auto &other) {
                return one == other || one->stateOf(other->name) == "alive";
            });
        });
    });
}

bool Fleet::waitForGeneration(std::uint64_t generation)
{
    return waitUntil([&] {
        return std::all_of(instances.begin(), instances.end(), [&](const auto &one) {
            return one->generation() >= generation;
        });
    });
}

std::map<std::string, std::uint64_t> Fleet::executions() const
{
    std::map<std::string, std::uint64_t> total;
    for (const Standin &upstream : upstreams) {
        const HttpResponse response = call(upstream.address, {"GET", "/_executions", {}, {}});
        BOOST_REQUIRE_EQUAL(response.status, 200U);
        const json counts = json::parse(response.body);
        for (const auto &[key, count] : counts.items()) {
            total[key] += count.get<std::uint64_t>();
        }
    }
    return total;
}

std::uint64_t Fleet::executionsOf(const std::string &key) const
{
    const auto all = executions();
    const auto found = all.find(key);
    return found == all.end() ? 0 : found->second;
}

std::uint64_t Fleet::executionsAt(std::size_t upstream) const
{
    std::uint64_t total = 0;
    const json counts = json::parse(call(upstreams.at(upstream).address, {"GET", "/_executions", {}, {}}).body);
    for (const auto &[key, count] : counts.items()) {
        total += count.get<std::uint64_t>();
    }
    return total;
}

void Fleet::setPlatformFaults(const json &faults) const
{
    platform.control("/_faults", faults);
}

HttpRequest order(const std::string &key, const std::string &body)
{
    HttpRequest request{"POST", "/holds/7", {{"Host", s_host}}, body};
    if (!key.empty()) {
        request.headers["Idempotency-Key"] = key;
    }
    return request;
}

HttpRequest statusCheck()
{
    return {"GET", "/repairs/12", {{"Host", s_host}}, {}};
}

HttpRequest download(std::uint64_t size)
{
    return {"GET", fmt::format("/objects/{}", size), {{"Host", s_host}}, {}};
}

std::string objectBytes(std::uint64_t size)
{
    std::string bytes(size, '\0');
    for (std::uint64_t offset = 0; offset < size; ++offset) {
        bytes[offset] = static_cast<char>('a' + (offset * 7 + offset / 1000) % 26); // as in tools/standin_upstream
    }
    return bytes;
}

} // namespace process_test
