// Requests to other instances for changes of tables, over connections that are kept between requests.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
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

    /// Sends a request. The handler is called exactly once, never from within this call. A request to the same address for the
    /// same table must not be pending.
    void request(const std::string &address, peer::FeedRequest request, base::Duration timeout, Handler handler);

private:
    struct Channel;

    void send(const std::shared_ptr<Channel> &channel, const std::string &address, const peer::FeedRequest &request);
    bool receive(Channel &channel, std::string_view bytes);

    boost::asio::io_context &m_context;
    peer::EnvelopeCodec &m_codec;
    std::map<std::pair<std::string, std::string>, std::shared_ptr<Channel>> m_channels; ///< by address and table; open connections and those being opened
};

} // namespace trefoilstile::daemon
