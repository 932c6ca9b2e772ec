// Settings and life of the entry processes.

#include "deployment.hpp"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>
#include <stdexcept>
#include <thread>
#include <utility>

#include <fcntl.h>
#include <nlohmann/json.hpp>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review
{

namespace
{

constexpr std::uint16_t s_metricsPort = 9464; ///< fixed in the deploy file
constexpr const char *s_host = "ficu95.example";

std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        throw std::runtime_error("cannot read " + path);
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

void replaceAll(std::string &text, const std::string &from, const std::string &to)
{
    for (std::size_t at = text.find(from); at != std::string::npos; at = text.find(from, at + to.size())) {
        text.replace(at, from.size(), to);
    }
}

/// Renders the section for each zone.
void expandZones(std::string &text, const std::map<std::string, std::string> &regions)
{
    const std::string begin = "{{#zones}}";
    const std::string end = "{{/zones}}";
    const std::size_t from = text.find(begin);
    const std::size_t to = text.find(end);
    if (from == std::string::npos || to == std::string::npos) {
        return;
    }
    const std::string section = text.substr(from + begin.size(), to - from - begin.size());
    std::string expanded;
    std::size_t left = regions.size();
    for (const auto &[zone, region] : regions) {
        std::string item = section;
        replaceAll(item, "{{@}}", zone);
        replaceAll(item, "{{.}}", region);
        replaceAll(item, "{{,}}", --left > 0 ? "," : "");
        expanded += item;
    }
    text.replace(from, to + end.size() - from, expanded);
}

/// The program that the deploy file runs; it has no arguments.
std::string deployedProgram()
{
    const std::string text = readFile("deploy/system.toml");
    const std::string key = "run = \"";
    const std::size_t at = text.find(key) + key.size();
    return text.substr(at, text.find('"', at) - at);
}

} // namespace

Deployment::Deployment(Store &store, const std::vector<std::string> &zones, std::map<std::string, std::string> regions, std::string folder)
    : m_store(store)
    , m_regions(std::move(regions))
    , m_folder(std::move(folder))
    , m_template(readFile("deploy/entry.conf.template"))
    , m_program(deployedProgram())
    , m_network(16 + static_cast<int>(::getpid() % 200))
{
    constexpr std::size_t spares = 6;
    m_machines.reserve(zones.size() + spares); // references to machines stay valid
    for (const std::string &zone : zones) {
        place(zone);
    }
    constexpr std::uint16_t firstPort = 20'000; // below the range of outgoing connections
    constexpr std::uint16_t lastPort = 29'000;
    for (m_port = firstPort; m_port < lastPort; m_port += 10) {
        bool free = true;
        for (const Machine &machine : m_machines) {
            for (std::uint16_t port = m_port; port < m_port + 4; ++port) {
                free = free && isFree(machine.ip, port);
            }
            free = free && isFree(machine.ip, s_metricsPort);
        }
        if (free) {
            break;
        }
    }
    for (Machine &machine : m_machines) {
        start(machine);
    }
    m_firstStart = false;
}

Machine &Deployment::place(const std::string &zone)
{
    const auto inZone = std::count_if(m_machines.begin(), m_machines.end(), [&zone](const Machine &machine) {
        return machine.zone == zone;
    });
    const std::string ip = "127." + std::to_string(m_network) + ".1." + std::to_string(m_machines.size() + 1);
    m_machines.push_back({"front-" + zone + "-" + std::to_string(inZone + 1), zone, ip});
    return m_machines.back();
}

void Deployment::addMachine(const std::string &zone)
{
    start(place(zone));
}

Deployment::~Deployment()
{
    endProcesses();
}

void Deployment::finish(int status)
{
    endProcesses();
    std::cout << std::flush;
    std::_Exit(status);
}

void Deployment::endProcesses()
{
    for (Machine &machine : m_machines) {
        if (machine.process > 0) {
            ::kill(machine.process, SIGKILL);
            ::kill(machine.process, SIGCONT);
            ::waitpid(std::exchange(machine.process, -1), nullptr, 0);
        }
    }
}

std::string Deployment::settings(const Machine &machine) const
{
    std::string text = m_template;
    expandZones(text, m_regions);
    const std::map<std::string, std::string> values{{"node_name", machine.name},
        {"zone", machine.zone},
        {"region", m_regions.at(machine.zone)},
        {"ip", machine.ip},
        {"listen.front", front(machine)},
        {"listen.directory", directory(machine)},
        {"listen.readiness", machine.ip + ":" + std::to_string(m_port + 2)},
        {"port_range.0", std::to_string(m_port + 3)},
        {"provider.address", m_store.address()},
        {"limits.memory_mb", "260"},
        {"limits.max_fds", "4100"},
        {"limits.cpu_share", "0.2"},
        {"limits.cores", "1"},
        {"limits.link_mbps", "1000.0"},
        {"bounds.grace", "6s"},
        {"bounds.retry_budget_ratio", "0.2"},
        {"bounds.budget_window", "10s"},
        {"bounds.budget_slack", "64"},
        {"bounds.drain", "2000ms"},
        {"bounds.max_shift", "0.15"},
        {"bootstrap", m_firstStart ? "true" : "false"}};
    for (const auto &[name, value] : values) {
        replaceAll(text, "{{" + name + "}}", value);
    }
    if (text.find("{{") != std::string::npos) {
        throw std::runtime_error("a placeholder of the settings template has no value: " + text.substr(text.find("{{"), 40));
    }
    return text;
}

void Deployment::start(Machine &machine)
{
    const std::string file = m_folder + "/" + machine.name + ".conf";
    std::ofstream(file) << settings(machine);
    const std::string log = m_folder + "/" + machine.name + ".log";
    const std::string variable = "TREFOILSTILE_CONFIG=" + file;
    const pid_t process = ::fork();
    if (process == 0) {
        const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        ::dup2(output, STDOUT_FILENO);
        ::dup2(output, STDERR_FILENO);
        std::string name = m_program;
        std::string environment = variable;
        ::prctl(PR_SET_PDEATHSIG, SIGKILL); // it must not outlive the case
        char *arguments[] = {name.data(), nullptr};
        char *variables[] = {environment.data(), nullptr};
        ::execve(m_program.c_str(), arguments, variables);
        ::_exit(127);
    }
    machine.process = process;
}

void Deployment::signal(const Machine &machine, int number) const
{
    ::kill(machine.process, number);
}

std::string Deployment::front(const Machine &machine) const
{
    return machine.ip + ":" + std::to_string(m_port);
}

std::string Deployment::directory(const Machine &machine) const
{
    return machine.ip + ":" + std::to_string(m_port + 1);
}

bool Deployment::ready(const Machine &machine) const
{
    Socket connection = Socket::connectTo(machine.ip + ":" + std::to_string(m_port + 2));
    Message answer;
    return connection.isOpen() && connection.write("GET /ready HTTP/1.1\r\nHost: entry\r\nConnection: close\r\n\r\n")
        && connection.read(answer, Clock::now() + std::chrono::seconds(1)) == ReadResult::Complete && answer.status() == 200;
}

bool Deployment::awaitReady() const
{
    const auto end = Clock::now() + std::chrono::seconds(20);
    for (const Machine &machine : m_machines) {
        while (!ready(machine)) {
            if (Clock::now() > end) {
                return false;
            }
            std::this_thread::sleep_for(milliseconds(50));
        }
    }
    return true;
}

std::vector<std::string> resolve(const std::string &directory, const std::string &region, const std::string &zone)
{
    Socket connection = Socket::connectTo(directory);
    const std::string target = std::string("/resolve?name=") + s_host + "&region=" + region + "&zone=" + zone;
    Message answer;
    if (!connection.isOpen() || !connection.write("GET " + target + " HTTP/1.1\r\nHost: directory\r\nConnection: close\r\n\r\n")
        || connection.read(answer, Clock::now() + std::chrono::seconds(1)) != ReadResult::Complete || answer.status() != 200) {
        return {};
    }
    const auto body = nlohmann::json::parse(answer.body, nullptr, false);
    return body.is_object() ? body.value("addresses", std::vector<std::string>()) : std::vector<std::string>();
}

int request(
    Observations &observations, const std::string &entry, const std::string &id, const std::string &method, const std::string &path, milliseconds deadline)
{
    Socket connection = Socket::connectTo(entry);
    if (!connection.isOpen()) {
        return 0;
    }
    observations.sent(id, path, entry);
    std::string text = method + " " + path + " HTTP/1.1\r\nHost: " + s_host + "\r\nX-Request-Attempt-Id: " + id
        + "\r\nX-Affinity-Key: 17\r\nX-Deadline-Ms: " + std::to_string(deadline.count()) + "\r\n";
    text += method == "POST" ? "Content-Length: 2\r\n\r\nok" : "\r\n";
    Message answer;
    const bool complete = connection.write(text) && connection.read(answer, Clock::now() + deadline) == ReadResult::Complete;
    const int status = complete ? answer.status() : 0;
    observations.answered(id, status);
    return status;
}

} // namespace review
