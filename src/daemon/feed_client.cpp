// Connections for feed requests: one for each address and table.

#include "trefoilstile/daemon/feed_client.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include "trefoilstile/daemon/endpoint.hpp"
#include "trefoilstile/daemon/log.hpp"

namespace trefoilstile::daemon
{

namespace
{

/// A connection without a request for this long is closed. Requests follow each other within half a second.
constexpr base::Duration s_idleTimeout = std::chrono::seconds(4);

} // namespace

struct FeedClient::Channel {
    explicit Channel(boost::asio::io_context &context)
        : timer(context)
    {
    }

    /// Gives the result of the pending request; further calls do nothing.
    void finish(std::optional<peer::FeedResponse> response)
    {
        timer.cancel();
        if (handler) {
            std::exchange(handler, nullptr)(std::move(response));
        }
    }

    std::shared_ptr<FrameConnection> connection; ///< null while the first request is being sent
    boost::asio::steady_timer timer; ///< limits the pending request
    Handler handler; ///< of the pending request; empty: none is pending
};

FeedClient::FeedClient(boost::asio::io_context &context, peer::EnvelopeCodec &codec)
    : m_context(context)
    , m_codec(codec)
{
}

FeedClient::~FeedClient()
{
    for (const auto &[key, channel] : std::exchange(m_channels, {})) {
        if (const std::shared_ptr<FrameConnection> connection = channel->connection) {
            connection->close(); // its end handler finishes the request
        } else {
            channel->finish(std::nullopt);
        }
    }
}

void FeedClient::request(const std::string &address, peer::FeedRequest request, base::Duration timeout, Handler handler)
{
    // A channel has one pending request. An instance that follows a table may at the same time catch up with it from the same address.
    Key key{address, request.table, 0};
    auto found = m_channels.find(key);
    while (found != m_channels.end() && found->second->handler) {
        ++std::get<std::size_t>(key);
        found = m_channels.find(key);
    }
    if (found == m_channels.end()) {
        found = m_channels.emplace(key, std::make_shared<Channel>(m_context)).first;
    }
    const std::shared_ptr<Channel> channel = found->second;
    channel->handler = std::move(handler);
    channel->timer.expires_after(timeout);
    // Pending operations do not own the channel: it is in `m_channels` while its request is pending, and ends with the client.
    const std::weak_ptr<Channel> weak = channel;
    channel->timer.async_wait([weak](const boost::system::error_code &error) {
        const std::shared_ptr<Channel> pending = weak.lock();
        if (error || !pending) {
            return; // the request has ended
        }
        if (pending->connection) {
            pending->connection->close(); // its end handler finishes the request
        } else {
            pending->finish(std::nullopt);
        }
    });
    boost::asio::post(m_context, [this, weak, key, request = std::move(request)] {
        if (const std::shared_ptr<Channel> pending = weak.lock()) {
            send(pending, key, request);
        }
    });
}

void FeedClient::send(const std::shared_ptr<Channel> &channel, const Key &key, const peer::FeedRequest &request)
{
    const std::string &address = std::get<0>(key);
    try {
        std::string frame = m_codec.encode(request);
        if (channel->connection) {
            channel->connection->send(std::move(frame));
            return;
        }
        const auto [ip, port] = parseEndpoint(address);
        // The channel owns the connection, so that the handlers of the connection must not own the channel.
        channel->connection = std::make_shared<FrameConnection>(
            boost::asio::ip::tcp::socket(m_context),
            s_idleTimeout,
            [this, weak = std::weak_ptr(channel)](FrameConnection &, std::string_view bytes) {
                const std::shared_ptr<Channel> open = weak.lock();
                return open && receive(*open, bytes);
            },
            [this, weak = std::weak_ptr(channel), key] {
                const std::shared_ptr<Channel> closed = weak.lock();
                if (!closed) {
                    return;
                }
                closed->connection.reset();
                if (const auto found = m_channels.find(key); found != m_channels.end() && found->second == closed) {
                    m_channels.erase(found);
                }
                closed->finish(std::nullopt);
            });
        channel->connection->startWith(boost::asio::ip::tcp::endpoint(ip, port), std::move(frame));
    } catch (const base::Error &error) {
        log("peers", "Cannot ask {} for changes: {}", address, error.what());
        m_channels.erase(key);
        channel->finish(std::nullopt);
    }
}

bool FeedClient::receive(Channel &channel, std::string_view bytes)
{
    peer::DecodeResult result = m_codec.decode(bytes, peer::Channel::Frame);
    auto *received = std::get_if<peer::Received>(&result);
    auto *response = received == nullptr ? nullptr : std::get_if<peer::FeedResponse>(&received->payload);
    if (response == nullptr || !channel.handler) {
        return false;
    }
    channel.finish(std::move(*response));
    return true;
}

} // namespace trefoilstile::daemon
