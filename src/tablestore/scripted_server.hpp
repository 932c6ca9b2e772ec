// Scripted HTTP server for tests on an ephemeral loopback port.
#pragma once

#include <atomic>
#include <cstdint>
#include <cstdlib>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace trefoilstile::tablestore::testing
{

/// Scripted reaction to one request.
struct Step {
    enum class End : std::uint8_t {
        KeepOpen, ///< sends the bytes and waits for another request
        Close, ///< sends the bytes and closes the connection
        Hang, ///< sends the bytes, then nothing until the client closes the connection
    };

    std::string bytes{};
    End end = End::KeepOpen;
};

inline std::string response(unsigned status, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Serves one connection at a time until all steps are used; later connections are closed immediately.
class ScriptedServer
{
public:
    explicit ScriptedServer(std::vector<Step> steps)
        : m_steps(std::move(steps))
        , m_listener(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(address);
        auto *generic = reinterpret_cast<sockaddr *>(&address);
        if (bind(m_listener, generic, size) != 0 || listen(m_listener, 16) != 0 || getsockname(m_listener, generic, &size) != 0) {
            std::abort();
        }
        m_port = ntohs(address.sin_port);
        m_thread = std::thread([this] {
            serve();
        });
    }

    ~ScriptedServer()
    {
        shutdown(m_listener, SHUT_RDWR);
        shutdown(m_connection, SHUT_RDWR);
        m_thread.join();
        close(m_listener);
    }

    ScriptedServer(const ScriptedServer &) = delete;
    ScriptedServer &operator=(const ScriptedServer &) = delete;

    std::uint16_t port() const
    {
        return m_port;
    }

    int connections() const
    {
        return m_connections;
    }

    /// Headers and bodies of the requests received so far.
    std::vector<std::string> requests() const
    {
        const std::lock_guard lock(m_mutex);
        return m_requests;
    }

private:
    void serve()
    {
        for (;;) {
            m_connection = accept(m_listener, nullptr, nullptr);
            if (m_connection < 0) {
                return;
            }
            ++m_connections;
            while (m_next < m_steps.size() && handleRequest()) {}
            close(m_connection.exchange(-1));
        }
    }

    bool handleRequest()
    {
        std::string request;
        if (!readRequest(request)) {
            return false;
        }
        {
            const std::lock_guard lock(m_mutex);
            m_requests.push_back(request);
        }
        const Step &step = m_steps[m_next++];
        send(m_connection, step.bytes.data(), step.bytes.size(), MSG_NOSIGNAL);
        char dropped{};
        while (step.end == Step::End::Hang && recv(m_connection, &dropped, 1, 0) > 0) {}
        return step.end == Step::End::KeepOpen;
    }

    bool readRequest(std::string &request) const
    {
        char byte{};
        while (!request.ends_with("\r\n\r\n")) {
            if (recv(m_connection, &byte, 1, 0) <= 0) {
                return false;
            }
            request += byte;
        }
        const auto field = request.find("Content-Length: ");
        std::size_t left = field == std::string::npos ? 0 : std::strtoul(request.c_str() + field + 16, nullptr, 10);
        for (; left > 0 && recv(m_connection, &byte, 1, 0) > 0; --left) {
            request += byte;
        }
        return left == 0;
    }

    std::vector<Step> m_steps;
    std::size_t m_next{}; ///< used only by the server thread
    int m_listener;
    std::atomic<int> m_connection{-1};
    std::atomic<int> m_connections{0};
    std::uint16_t m_port{};
    mutable std::mutex m_mutex; ///< guards `m_requests`
    std::vector<std::string> m_requests;
    std::thread m_thread;
};

} // namespace trefoilstile::tablestore::testing
