// The platform's side of a small deployment: entry processes with the commands of the deploy file, and clients.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <sys/types.h>

#include "observations.hpp"
#include "store.hpp"

namespace review
{

/// One machine with its entry process.
struct Machine {
    std::string name;
    std::string zone;
    std::string ip;
    pid_t process = -1;
};

/// Starts and ends the entry processes. Ports are the same on all machines, which have an address each in 127.0.0.0/8.
class Deployment
{
public:
    /// @param zones zone of each machine; up to six more can be added
    /// @param regions region of each zone
    /// @param folder temporary folder for settings and logs
    Deployment(Store &store, const std::vector<std::string> &zones, std::map<std::string, std::string> regions, std::string folder);
    ~Deployment();
    Deployment(const Deployment &) = delete;
    Deployment &operator=(const Deployment &) = delete;

    std::vector<Machine> &machines()
    {
        return m_machines;
    }

    void start(Machine &machine);
    /// Ends the entry processes and this program, without waiting for the threads of the stand-ins.
    [[noreturn]] void finish(int status);
    void signal(const Machine &machine, int number) const;
    /// Adds a machine with an empty entry process, as the platform does with spare machines.
    void addMachine(const std::string &zone);

    std::string front(const Machine &machine) const;
    std::string directory(const Machine &machine) const;
    bool ready(const Machine &machine) const;
    /// Waits until all machines are ready; false if that takes longer than 20 s.
    bool awaitReady() const;

private:
    Machine &place(const std::string &zone);
    void endProcesses();
    std::string settings(const Machine &machine) const;

    Store &m_store;
    std::map<std::string, std::string> m_regions;
    std::string m_folder;
    std::string m_template;
    std::string m_program;
    std::uint16_t m_port{}; ///< of the front; the other ports follow it
    bool m_firstStart = true;
    int m_network; ///< second byte of the addresses
    std::vector<Machine> m_machines;
};

/// Asks a directory where to connect; empty without an answer.
std::vector<std::string> resolve(const std::string &directory, const std::string &region, const std::string &zone);

/// Sends one request on a new connection and records it; returns the status, 0 without a complete answer.
int request(
    Observations &observations, const std::string &entry, const std::string &id, const std::string &method, const std::string &path, milliseconds deadline);

} // namespace review
