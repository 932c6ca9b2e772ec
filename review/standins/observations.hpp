// What clients and servers of a case have seen of each request, and the record of the case.
#pragma once

#include <fstream>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "wire.hpp"

namespace review
{

/// One run of a request at a server.
struct Run {
    Clock::time_point at;
    std::string server;
    std::string service;
};

/// One attempt of a client.
struct Attempt {
    std::string route;
    std::string entry; ///< address of the entry process it was sent to
    Clock::time_point sentAt;
    Clock::time_point answeredAt;
    int status{}; ///< 0: no complete answer
    std::vector<Run> runs;
};

/// Thread-safe.
class Observations
{
public:
    /// Opens the record; a line is written for each event.
    explicit Observations(const std::string &recordFile);

    void note(const std::string &text);
    void sent(const std::string &id, const std::string &route, const std::string &entry);
    void answered(const std::string &id, int status);
    void ran(const std::string &id, const std::string &server, const std::string &service);

    std::map<std::string, Attempt> attempts() const;

private:
    void write(const std::string &text);

    mutable std::mutex m_mutex;
    std::ofstream m_record;
    std::map<std::string, Attempt> m_attempts; ///< by id
};

} // namespace review
