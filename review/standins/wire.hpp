// Blocking HTTP/1.1 messages over loopback TCP, for the stand-ins of the review cases.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace review
{

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// Seconds since the start of the program, for records.
double elapsed();
double elapsed(Clock::time_point at);

/// One message. Names of header fields are in lower case.
struct Message {
    std::string startLine;
    std::map<std::string, std::string, std::less<>> headers;
    std::string body;

    std::string header(std::string_view name) const;
    /// Status of a response; 0 if the start line has none.
    int status() const;
    /// Method and target of a request.
    std::string method() const;
    std::string target() const;
};

/// How reading a message ended.
enum class ReadResult : std::uint8_t {
    Complete,
    Closed, ///< the peer closed before the first byte
    Broken, ///< the connection ended or was reset within the message
    TimedOut,
};

/// A TCP connection that closes its descriptor on destruction.
class Socket
{
public:
    explicit Socket(int descriptor = -1)
        : m_descriptor(descriptor)
    {
    }
    Socket(Socket &&other) noexcept;
    Socket &operator=(Socket &&other) noexcept;
    ~Socket();

    /// Connects to an address of the form `IP:port`; not open if that fails within a second.
    static Socket connectTo(const std::string &address);

    bool isOpen() const
    {
        return m_descriptor >= 0;
    }
    int descriptor() const
    {
        return m_descriptor;
    }
    void close();
    /// Writes everything; false if the peer is gone.
    bool write(std::string_view bytes);
    ReadResult read(Message &message, Clock::time_point until);
    /// Waits for further bytes or the end of the connection; true if something happened.
    bool waitForInput(Clock::time_point until) const;
    /// Discards input until the peer closes.
    void discardUntilClosed(Clock::time_point until);

private:
    ReadResult fill(Clock::time_point until);

    int m_descriptor;
    std::string m_input;
};

/// Listens at a free port of 127.0.0.1.
class Listener
{
public:
    Listener();
    ~Listener();
    Listener(const Listener &) = delete;
    Listener &operator=(const Listener &) = delete;

    /// `IP:port`
    const std::string &address() const
    {
        return m_address;
    }
    /// Next connection; nothing once `stop` was called.
    std::optional<Socket> accept();
    void stop();

private:
    int m_descriptor;
    std::string m_address;
};

/// True if the port of a loopback address is free for TCP and UDP.
bool isFree(const std::string &ip, std::uint16_t port);

std::string encodeBase64(std::string_view bytes);
std::string decodeBase64(std::string_view text);

/// Value of a query parameter of a request target; empty if it is missing.
std::string queryParameter(std::string_view target, std::string_view name);

} // namespace review
