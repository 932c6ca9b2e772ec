// TCP connection that carries frames: four bytes of length, most significant first, then an envelope.
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

/// Writes frames one after the other and reads frames until the handler ends it. Owned by its pending operations.
class FrameConnection : public std::enable_shared_from_this<FrameConnection>
{
public:
    /// Called for each frame; false closes the connection.
    using FrameHandler = std::function<bool(FrameConnection &, std::string_view)>;

    /// Called once when the connection ends, whatever the reason.
    using EndHandler = std::function<void()>;

    /// @param patience longest time without a whole frame read or written
    FrameConnection(boost::asio::ip::tcp::socket socket, base::Duration patience, FrameHandler onFrame, EndHandler onEnd);

    /// Starts reading on a connected socket.
    void start();

    /// Connects first, sends one frame, then reads.
    void startWith(const boost::asio::ip::tcp::endpoint &remote, std::string frame);

    /// Queues a frame. Writes go out one at a time; `onSent` asks for the next one.
    void send(std::string frame, std::function<void()> onSent = {});

    void close();

private:
    void watch();
    void readLength();
    void readFrame(std::uint32_t length);

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    base::Duration m_patience;
    FrameHandler m_onFrame;
    EndHandler m_onEnd; // empty once it has been called
    std::string m_length;
    std::string m_frame;
    std::string m_outgoing;
};

} // namespace trefoilstile::daemon
