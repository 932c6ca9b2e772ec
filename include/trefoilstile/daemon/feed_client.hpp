// Requests to other instances for changes of tables, over connections that are kept between requests.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <tuple>
#include <utility>

#include <boost/asio/io_context.hpp>

#include "trefoilstile/base/time.hpp"
#include "trefoilstile/daemon/frame_connection.hpp"
#include "trefoilstile/peer/envelope_codec.hpp"

namespace trefoilstile::daemon
{

class FeedClient
{
public:
    /// Takes the response; nothing if the connection failed, or no valid response came in time.
    using Handler = std::function<void(std::optional<peer::FeedResponse>)>;

    FeedClient(boost::asio::io_context &context, peer::EnvelopeCodec &codec);

    /// Closes all connections; the handlers of pending requests are called without a response.
    ~FeedClient();
    FeedClient(const FeedClient &) = delete;
    FeedClient &operator=(const FeedClient &) = delete;

    /// Sends a request. The handler is called exactly once, never from within this call. Requests to the same address for the
    /// same table that are pending at the same time have connections of their own.
    void request(const std::string &address, peer::FeedRequest request, base::Duration timeout, Handler handler);

private:
    struct Channel;

    /// Address, table, and number among the channels for both.
    using Key = std::tuple<std::string, std::string, std::size_t>;

    void send(const std::shared_ptr<Channel> &channel, const Key &key, const peer::FeedRequest &request);
    bool receive(Channel &channel, std::string_view bytes);

    boost::asio::io_context &m_context;
    peer::EnvelopeCodec &m_codec;
    std::map<Key, std::shared_ptr<Channel>> m_channels; ///< open connections and those being opened
};

} // namespace trefoilstile::daemon
