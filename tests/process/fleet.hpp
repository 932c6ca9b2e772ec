// A platform, upstreams and entry instances on free ports of the loopback interface, and the document that joins them.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "http_caller.hpp"
#include "program.hpp"

namespace process_test
{

/// What tests vary in the document. One region with two failure domains, since a started instance moves no traffic to
/// other regions during its first minute.
struct DocumentOptions {
    int holdTimeoutMs = 30'000; ///< of orders; long, so that a loaded machine does not change an outcome
    int statusTimeoutMs = 30'000;
    int connections = 64;
};

/// Standin for the platform or an upstream.
struct Standin {
    std::unique_ptr<Program> program;
    std::string address;

    /// Posts JSON to a control resource such as `/_mode`.
    void control(const std::string &target, const nlohmann::json &body) const;
};

struct Instance {
    std::string name;
    std::string failureDomain;
    std::string environment;
    std::unique_ptr<Program> program;
    std::string callers; ///< IP:port
    std::string peers;
    std::string operators;

    /// The page `/v1/status`, or null if it does not answer.
    nlohmann::json status() const;
    std::uint64_t generation() const;

    /// What is said of a member by name: `alive`, `leaving`, `dead` or `unknown` (an incarnation in the state wins over others).
    std::string stateOf(const std::string &member) const;
    HttpResponse lookup() const;

    /// Names in the lookup response, or nothing without one.
    std::vector<std::string> lookedUp() const;
    std::string keyPrefix() const;
};

struct CtlResult {
    int status = -1;
    nlohmann::json report; ///< null if the output is not JSON
    std::string text; ///< standard output and standard error
};

class Fleet
{
public:
    /// Starts the platform and the upstreams, the first in `dom-a`, the second in `dom-b` and so on.
    explicit Fleet(int upstreamCount = 2, const std::vector<std::string> &upstreamArguments = {});
    ~Fleet();

    /// Starts an instance; without `knowsPeers` it gets no seeds.
    Instance &start(const std::string &name, const std::string &failureDomain, const std::string &environment = "production", bool knowsPeers = true);

    /// Starts `count` instances in the two failure domains in turn: `entry-0` in `dom-a`, `entry-1` in `dom-b`.
    void startInstances(int count);

    /// Ends an instance with SIGKILL and forgets it.
    void remove(const std::string &name);

    Instance &instance(const std::string &name);

    std::string document(const DocumentOptions &options = {}) const;

    /// Brings the document into `production` through `trial`, with trefoilctl; result of the promotion.
    CtlResult submit(const std::string &document, const std::string &waitMs = "60000");

    /// The same, and requires that it is in effect everywhere.
    void apply(const DocumentOptions &options = {});

    /// Runs trefoilctl with the platform and the operator ports of all instances in the environment.
    CtlResult ctl(const std::vector<std::string> &arguments, const std::string &environment = "production", const std::string &waitMs = "60000");

    /// Starts trefoilctl and returns while it runs.
    std::unique_ptr<Program> startCtl(
        const std::vector<std::string> &arguments, const std::string &environment = "production", const std::string &waitMs = "60000");
    static CtlResult resultOf(Program &program);

    /// Waits until every instance knows every other as alive.
    bool waitForMembers();

    /// Waits until every instance has at least this generation.
    bool waitForGeneration(std::uint64_t generation);

    /// Runs by key at all upstreams together; keyless requests are under the empty key.
    std::map<std::string, std::uint64_t> executions() const;
    std::uint64_t executionsOf(const std::string &key) const;

    /// Runs at one upstream.
    std::uint64_t executionsAt(std::size_t upstream) const;

    void setPlatformFaults(const nlohmann::json &faults) const;

    TemporaryFolder folder;
    Standin platform;
    std::vector<Standin> upstreams; ///< named `upstream-0` and so on in the document
    std::vector<std::unique_ptr<Instance>> instances;

private:
    int m_programs = 0; // makes the names of output files unique
};

/// An order: urgent and not idempotent. With an empty key it carries none.
HttpRequest order(const std::string &key, const std::string &body = "bench 7");

/// A status check: interactive and idempotent.
HttpRequest statusCheck();

/// A download of `size` bytes: bulk and idempotent.
HttpRequest download(std::uint64_t size);

/// Bytes of an object of the upstream stand-in.
std::string objectBytes(std::uint64_t size);

} // namespace process_test
