// Open-loop load: requests start at planned times whether or not earlier ones have ended.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "report.hpp"
#include "trefoilstile/base/priority_class.hpp"
#include "trefoilstile/base/random.hpp"

namespace loadgen
{

struct ClassLoad {
    std::string path = "/";
    std::string method = "GET";
    double rate = 0; ///< requests/s
    bool keyed = false; ///< requests carry an idempotency key
};

struct Settings {
    std::vector<std::string> entries; ///< caller addresses of entry instances
    std::string service;
    std::string host;
    std::string client; ///< address given in lookups; empty: none
    trefoilstile::base::PerClass<ClassLoad> classes;
    std::chrono::milliseconds duration{10'000};
    std::chrono::milliseconds timeout{10'000}; ///< of one request
    std::chrono::milliseconds deadline{0}; ///< sent with requests; 0: none
    std::uint32_t maximumInFlight = 2000; ///< planned requests beyond it count as failed
    std::uint64_t maximumRequests = 1'000'000; ///< the load ends when so many have been planned; bounds memory
    std::uint64_t seed = 1;
};

class Client
{
public:
    Client(boost::asio::io_context &context, Settings settings);

    /// Starts the load. The io_context runs out of work once it has ended.
    void start();

    Report report;

private:
    /// Result of a lookup.
    struct Directory {
        std::vector<std::string> entries; ///< in order of preference
        std::string keyPrefix;
        std::chrono::steady_clock::time_point expiry;
    };
    struct Reply {
        bool connected = false;
        bool whole = false; ///< the response ended by its own framing
        unsigned status{};
        std::string outcome;
        std::string body;
        std::uint64_t bytes{};
    };

    boost::asio::awaitable<void> generate(trefoilstile::base::PriorityClass priorityClass);
    boost::asio::awaitable<void> runOne(trefoilstile::base::PriorityClass priorityClass, std::chrono::steady_clock::time_point planned);
    boost::asio::awaitable<void> keepDirectory();
    boost::asio::awaitable<bool> lookUp();
    boost::asio::awaitable<void> exchange(const std::string &address, const std::string &text, bool keepBody, Reply &reply);
    std::string requestText(trefoilstile::base::PriorityClass priorityClass);
    static Result resultOf(const Reply &reply);

    boost::asio::io_context &m_context;
    Settings m_settings;
    trefoilstile::base::SplitMix64 m_random;
    std::chrono::steady_clock::time_point m_end;
    Directory m_directory;
    std::uint64_t m_planned = 0;
    std::uint32_t m_inFlight = 0;
    std::uint64_t m_lastKey = 0;
};

} // namespace loadgen
