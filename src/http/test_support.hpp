// Test helpers: blocking peers on raw sockets, and a caller server that runs on a thread of its own.
#pragma once

#include <condition_variable>
#include <deque>
#include <future>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <type_traits>
#include <variant>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include "trefoilstile/http/caller_server.hpp"
#include "trefoilstile/http/upstream_client.hpp"

namespace trefoilstile::http::testing
{

/// Guards against a test that hangs; no assertion depends on it.
inline constexpr std::chrono::seconds s_hangLimit{20};

/// Message as it came over the wire.
struct WireMessage {
    std::string head; ///< up to and with the empty line; empty if the peer closed before
    std::string body; ///< decoded
    bool clean = false; ///< the body ended by its own framing

    bool has(std::string_view line) const
    {
        return head.find(std::string(line) + "\r\n") != std::string::npos;
    }
    int status() const
    {
        return head.size() < 12 ? 0 : std::stoi(head.substr(9, 3));
    }
};

/// Blocking connection.
class Peer
{
public:
    explicit Peer(int socket)
        : m_socket(socket)
    {
    }
    explicit Peer(const std::string &address);
    Peer(Peer &&other) noexcept;
    Peer &operator=(Peer &&other) noexcept;
    ~Peer();

    /// Sends all; false if the other side has closed.
    bool write(std::string_view bytes);

    /// Reads a head and its body. `toHead`: a response without body.
    WireMessage read(bool toHead = false);

    /// Reads a head only.
    std::string readHead();

    /// Reads bytes of a body without framing.
    std::string readBytes(std::size_t count);

    /// True if the other side closes, with or without a reset, before it sends another byte.
    bool closedByOther();

    void close();

private:
    bool fill();

    int m_socket = -1;
    std::string m_input;
};

/// Listening socket of a hand-written upstream.
class FakeUpstream
{
public:
    FakeUpstream();
    ~FakeUpstream();
    FakeUpstream(const FakeUpstream &) = delete;
    FakeUpstream &operator=(const FakeUpstream &) = delete;
    Peer accept();

    /// True if a connection waits to be accepted.
    bool pending() const;

    const std::string &address() const
    {
        return m_address;
    }

private:
    int m_socket = -1;
    std::string m_address;
};

/// io_context that runs on its own thread until destroyed.
class IoThread
{
public:
    IoThread();
    ~IoThread();
    IoThread(const IoThread &) = delete;
    IoThread &operator=(const IoThread &) = delete;

    /// Runs a function on the thread and gives its result.
    template<typename F>
    auto call(F function) -> std::invoke_result_t<F>
    {
        // Owned by the posted function: the result can be taken before the task has returned.
        const auto task = std::make_shared<std::packaged_task<std::invoke_result_t<F>()>>(std::move(function));
        auto result = task->get_future();
        boost::asio::post(context, [task]() {
            (*task)();
        });
        return result.get();
    }

    /// Ends the thread; what is left in the context does not run.
    void stop();

    boost::asio::io_context context;

private:
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    std::thread m_thread;
};

struct ServerFixture {
    explicit ServerFixture(CallerServerOptions options = {}, UpstreamClientOptions upstreamOptions = {});
    ~ServerFixture();
    ServerFixture(const ServerFixture &) = delete;
    ServerFixture &operator=(const ServerFixture &) = delete;

    void execute(engine::Command command);

    /// Next event, which must be of type `T`.
    template<typename T>
    T next()
    {
        auto event = nextEvent();
        if (!event || !std::holds_alternative<T>(*event)) {
            throw std::runtime_error(event ? "event of another kind, index " + std::to_string(event->index()) : "no event in time");
        }
        return std::get<T>(std::move(*event));
    }

    /// Command that forwards to the address with generous timeouts.
    engine::Forward forward(const engine::RequestArrived &request, const std::string &to, bool fresh = false);

    /// Number of events that wait to be taken.
    std::size_t pendingEvents();

    std::string address;
    IoThread io;
    std::unique_ptr<UpstreamClient> upstreams;
    std::unique_ptr<CallerServer> server;

private:
    std::optional<engine::Event> nextEvent();

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<engine::Event> m_events;
    std::uint64_t m_lastAttempt{};
};

} // namespace trefoilstile::http::testing
