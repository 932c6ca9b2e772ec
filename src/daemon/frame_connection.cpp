// Reads and writes frames with a size limit and an idle timeout.

#include "trefoilstile/daemon/frame_connection.hpp"

#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include "trefoilstile/peer/envelope_codec.hpp"

namespace trefoilstile::daemon
{

namespace
{

constexpr std::size_t s_lengthBytes = 4;

std::string lengthPrefix(std::size_t length)
{
    std::string prefix(s_lengthBytes, '\0');
    for (std::size_t i = 0; i < s_lengthBytes; ++i) {
        prefix[i] = static_cast<char>((length >> (8 * (s_lengthBytes - 1 - i))) & 0xffU);
    }
    return prefix;
}

std::uint32_t lengthOf(std::string_view prefix)
{
    std::uint32_t length = 0;
    for (const char byte : prefix) {
        length = (length << 8U) | static_cast<unsigned char>(byte);
    }
    return length;
}

} // namespace

FrameConnection::FrameConnection(boost::asio::ip::tcp::socket socket, base::Duration idleTimeout, FrameHandler onFrame, EndHandler onEnd)
    : m_socket(std::move(socket))
    , m_timer(m_socket.get_executor())
    , m_idleTimeout(idleTimeout)
    , m_onFrame(std::move(onFrame))
    , m_onEnd(std::move(onEnd))
    , m_length(s_lengthBytes, '\0')
{
}

void FrameConnection::start()
{
    restartIdleTimer();
    readLength();
}

void FrameConnection::startWith(const boost::asio::ip::tcp::endpoint &remote, std::string frame)
{
    restartIdleTimer();
    m_socket.async_connect(remote, [self = shared_from_this(), frame = std::move(frame)](const boost::system::error_code &error) mutable {
        if (error) {
            self->close();
            return;
        }
        self->send(std::move(frame));
        self->readLength();
    });
}

void FrameConnection::send(std::string frame, std::function<void()> onSent)
{
    m_outgoing = lengthPrefix(frame.size()) + frame;
    boost::asio::async_write(m_socket,
        boost::asio::buffer(m_outgoing),
        [self = shared_from_this(), onSent = std::move(onSent)](const boost::system::error_code &error, std::size_t) {
            if (error) {
                self->close();
                return;
            }
            self->restartIdleTimer();
            if (onSent) {
                onSent();
            }
        });
}

void FrameConnection::close()
{
    boost::system::error_code ignored;
    m_socket.close(ignored);
    m_timer.cancel();
    if (m_onEnd) {
        std::exchange(m_onEnd, nullptr)();
    }
}

void FrameConnection::restartIdleTimer()
{
    m_timer.expires_after(m_idleTimeout);
    m_timer.async_wait([weak = weak_from_this()](const boost::system::error_code &error) {
        const auto self = weak.lock();
        if (!error && self) {
            self->close();
        }
    });
}

void FrameConnection::readLength()
{
    boost::asio::async_read(m_socket, boost::asio::buffer(m_length), [self = shared_from_this()](const boost::system::error_code &error, std::size_t) {
        const std::uint32_t length = error ? 0 : lengthOf(self->m_length);
        if (length == 0 || length > peer::s_maximumFrameBytes) {
            self->close();
            return;
        }
        self->readFrame(length);
    });
}

void FrameConnection::readFrame(std::uint32_t length)
{
    m_frame.resize(length);
    boost::asio::async_read(m_socket, boost::asio::buffer(m_frame), [self = shared_from_this()](const boost::system::error_code &error, std::size_t) {
        if (error) {
            self->close();
            return;
        }
        self->restartIdleTimer();
        if (self->m_onFrame(*self, self->m_frame)) {
            self->readLength();
        } else {
            self->close();
        }
    });
}

} // namespace trefoilstile::daemon
