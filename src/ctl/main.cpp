// Program `trefoilctl`: runs one command over HTTP and prints its report.

#include <algorithm>
#include <chrono>
#include <ctime>
#include <exception>
#include <fstream>
#include <iostream>
#include <iterator>
#include <random>
#include <thread>

#include <fmt/chrono.h>
#include <fmt/format.h>

#include "trefoilstile/ctl/arguments.hpp"
#include "trefoilstile/ctl/commands.hpp"
#include "trefoilstile/tablestore/platform_client.hpp"

using namespace trefoilstile;

namespace
{

base::TimePoint processNow()
{
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return base::TimePoint(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

std::uint64_t randomBits()
{
    std::random_device device;
    return std::uint64_t{device()} << 32U | device();
}

class ProcessPacer final : public ctl::Pacer
{
public:
    base::TimePoint now() override
    {
        return processNow();
    }

    void sleep(base::Duration span) override
    {
        std::this_thread::sleep_for(span);
    }
};

class HttpOperatorPorts final : public ctl::OperatorPorts
{
public:
    explicit HttpOperatorPorts(const std::vector<tablestore::Endpoint> &endpoints)
    {
        for (const tablestore::Endpoint &endpoint : endpoints) {
            m_ports.push_back({fmt::format("{}:{}", endpoint.address, endpoint.port), std::make_unique<tablestore::HttpConnection>(endpoint)});
        }
    }

    std::size_t count() const override
    {
        return m_ports.size();
    }

    ctl::PortAnswer get(std::size_t index, const std::string &target, base::Duration limit) override
    {
        Port &port = m_ports.at(index);
        try {
            tablestore::HttpResponse response = port.connection->exchange({"GET", target, {}, {}, true}, limit);
            return {port.address, response.status, std::move(response.body)};
        } catch (const tablestore::PlatformError &error) {
            return {port.address, 0, error.what()};
        }
    }

private:
    struct Port {
        std::string address;
        std::unique_ptr<tablestore::HttpConnection> connection;
    };

    std::vector<Port> m_ports;
};

std::optional<std::string> readAll(std::istream &stream)
{
    std::string contents{std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>()};
    return stream.bad() ? std::nullopt : std::optional(std::move(contents));
}

/// Contents of the file, or nothing if it cannot be read.
std::optional<std::string> readFile(const std::string &name)
{
    std::ifstream file(name, std::ios::binary);
    return file ? readAll(file) : std::nullopt;
}

/// API key in the first line of the file, or of standard input for `-`; nothing if it cannot be read.
std::optional<std::string> readKey(const std::string &name)
{
    std::optional<std::string> contents = name == "-" ? readAll(std::cin) : readFile(name);
    if (contents) {
        contents->resize(std::min(contents->find_first_of("\r\n"), contents->size()));
    }
    return contents;
}

ctl::Report run(ctl::Context &context, const ctl::Arguments &arguments, const std::string &document)
{
    using Action = tablestore::DrainChange::Action;
    switch (arguments.command) {
    case ctl::Command::Validate:
        return ctl::validate(document, arguments.file);
    case ctl::Command::Apply:
        return ctl::apply(context, arguments.environment, document, arguments.file);
    case ctl::Command::Promote:
        return ctl::promote(context, arguments.from, arguments.to, arguments.hash);
    case ctl::Command::Drain:
        return ctl::changeDrain(context, arguments.environment, {Action::Add, arguments.drain});
    case ctl::Command::Undrain:
        return ctl::changeDrain(context, arguments.environment, {Action::Remove, arguments.drain});
    case ctl::Command::Status:
        return ctl::status(context);
    case ctl::Command::History:
        return ctl::history(context, arguments.environment);
    case ctl::Command::Explain:
        return ctl::explain(context, arguments.service, arguments.client);
    case ctl::Command::ExplainRequest:
        return ctl::explainRequest(context, {arguments.host, arguments.path, arguments.object, arguments.account, document, arguments.deadlineMs});
    }
    return {};
}

int runWith(const ctl::Arguments &arguments)
{
    std::string document;
    const bool key = arguments.command == ctl::Command::ExplainRequest;
    const std::string &file = key ? arguments.keyFile : arguments.file;
    if (!file.empty()) {
        std::optional<std::string> contents = key ? readKey(file) : readFile(file);
        if (!contents) {
            fmt::print(stderr, "file {}: cannot be read\n", file);
            return static_cast<int>(ctl::ExitStatus::Usage);
        }
        document = std::move(*contents);
    }
    tablestore::PlatformClient store({.endpoint = arguments.platform.value_or(tablestore::Endpoint{})}, processNow, randomBits());
    HttpOperatorPorts ports(arguments.operators);
    ProcessPacer pacer;
    ctl::Context context{store,
        ports,
        pacer,
        [&] {
            return fmt::format("{}.{:016x}", arguments.submitter, randomBits());
        },
        [] {
            return fmt::format("{:%Y-%m-%dT%H:%M:%SZ}", fmt::gmtime(std::time(nullptr)));
        },
        arguments.wait,
        arguments.ignoreEmptyDomains};
    const ctl::Report report = run(context, arguments, document);
    fmt::print("{}", ctl::formatted(report, arguments.output));
    return static_cast<int>(report.status);
}

} // namespace

int main(int argc, char **argv)
{
    try {
        const auto parsed = ctl::parseArguments(std::vector<std::string>(argv + 1, argv + argc));
        if (const auto *usage = std::get_if<ctl::UsageText>(&parsed)) {
            fmt::print(usage->status == ctl::ExitStatus::Done ? stdout : stderr, "{}", usage->text);
            return static_cast<int>(usage->status);
        }
        return runWith(std::get<ctl::Arguments>(parsed));
    } catch (const std::exception &error) {
        // Whatever was under way may have been accepted.
        fmt::print(stderr, "trefoilctl: {}\n", error.what());
        return static_cast<int>(ctl::ExitStatus::Unknown);
    }
}
