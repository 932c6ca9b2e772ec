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
    channel->timer.async_wait([channel](const boost::system::error_code &error) {
        if (error) {
            return; // the request has ended
        }
        if (channel->connection) {
            channel->connection->close(); // its end handler finishes the request
        } else {
            channel->finish(std::nullopt);
        }
    });
    boost::asio::post(m_context, [this, channel, key, request = std::move(request)] {
        send(channel, key, request);
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
        channel->connection = std::make_shared<FrameConnection>(
            boost::asio::ip::tcp::socket(m_context),
            s_idleTimeout,
            [this, channel](FrameConnection &, std::string_view bytes) {
                return receive(*channel, bytes);
            },
            [this, channel, key] {
                channel->connection.reset();
                if (const auto found = m_channels.find(key); found != m_channels.end() && found->second == channel) {
                    m_channels.erase(found);
                }
                channel->finish(std::nullopt);
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
