// State of the stand-in upstream: slots, queue, executions by key, misbehaviour.
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

namespace standin
{

using Milliseconds = std::chrono::milliseconds;

struct Settings {
    std::string listen = "127.0.0.1:0";
    std::uint32_t slots = 8;
    Milliseconds service{5}; ///< time in a slot
    Milliseconds cold{0}; ///< warming time after start; service takes up to 4 times as long in it
    std::optional<std::uint32_t> lieLoad; ///< constant number of busy slots reported
    Milliseconds loadLag{0}; ///< age of the load reported
    std::string etag = "\"v1\"";
};

/// Misbehaviour, changed by `POST /_mode`; members are named as in the JSON.
struct Mode {
    bool acceptNeverAnswer = false;
    bool closeAfterZeroBytes = false;
    std::uint32_t rejectNext = 0; ///< requests still to be rejected
    std::uint64_t breakAfterBytes = 0; ///< of a response body; 0: off
    Milliseconds answerDelay{0};
    bool leaving = false;
    std::uint64_t slowBodyBytesPerSecond = 0; ///< 0: off
    bool shortBody = false; ///< one byte less than Content-Length, then close
};

class Service
{
public:
    Service(boost::asio::io_context &context, Settings settings);

    /// Calls `ready(true)` when a slot is free, now or later, or `ready(false)` if the queue is full.
    void acquire(std::function<void(bool)> ready);
    void release();

    /// Time that a request takes now, longer while cold.
    Milliseconds serviceTime() const;

    /// Counts the start of a request; the key may be empty.
    void executed(const std::string &key);

    nlohmann::json executions() const;

    /// Load as reported, with lag and lie.
    nlohmann::json load();

    /// Applies members that are given; throws nlohmann::json::exception for wrong types.
    void setMode(const nlohmann::json &json);

    const Settings &settings() const
    {
        return m_settings;
    }

    Mode mode;

private:
    struct Sample {
        std::chrono::steady_clock::time_point time;
        std::uint32_t busy;
        std::size_t queued;
    };
    bool isCold() const;
    void sample();

    Settings m_settings;
    boost::asio::io_context &m_context;
    std::chrono::steady_clock::time_point m_start;
    std::string m_incarnation;
    std::uint32_t m_busy = 0;
    std::deque<std::function<void(bool)>> m_queue; ///< at most `slots` wait
    std::map<std::string, std::uint64_t> m_executions; ///< bounded; keys beyond the bound are counted together
    std::deque<Sample> m_samples; ///< changes within the lag, oldest first
};

} // namespace standin
