// TCP connection that carries frames: a four-byte big-endian length followed by an envelope.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "trefoilstile/base/time.hpp"

namespace trefoilstile::daemon
{

/// Writes frames in sequence and reads frames until the frame handler returns false. Kept alive by its pending operations.
class FrameConnection : public std::enable_shared_from_this<FrameConnection>
{
public:
    /// Called for each received frame; returning false closes the connection.
    using FrameHandler = std::function<bool(FrameConnection &, std::string_view)>;

    /// Called once when the connection is closed, for any reason.
    using EndHandler = std::function<void()>;

    /// @param idleTimeout longest time without a complete frame read or written; the connection is then closed
    FrameConnection(boost::asio::ip::tcp::socket socket, base::Duration idleTimeout, FrameHandler onFrame, EndHandler onEnd);

    /// Starts reading on a connected socket.
    void start();

    /// Connects, sends `frame`, then starts reading.
    void startWith(const boost::asio::ip::tcp::endpoint &remote, std::string frame);

    /// Sends a frame. Only one write may be pending: the next frame is sent from `onSent` or after a reply.
    void send(std::string frame, std::function<void()> onSent = {});

    void close();

private:
    void restartIdleTimer();
    void readLength();
    void readFrame(std::uint32_t length);

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    base::Duration m_idleTimeout;
    FrameHandler m_onFrame;
    EndHandler m_onEnd; // empty after it has been called
    std::string m_length;
    std::string m_frame;
    std::string m_outgoing;
};

} // namespace trefoilstile::daemon
