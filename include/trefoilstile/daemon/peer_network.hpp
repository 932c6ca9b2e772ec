// Sockets of the peer thread: datagrams for gossip and load reports, TCP frames for documents, drain lists and key tables.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>

#include "trefoilstile/daemon/feed_client.hpp"
#include "trefoilstile/daemon/frame_connection.hpp"
#include "trefoilstile/idempotency/sealed_tables.hpp"
#include "trefoilstile/membership/messages.hpp"
#include "trefoilstile/peer/envelope_codec.hpp"
#include "trefoilstile/peer/parts.hpp"
#include "trefoilstile/steering/dissemination.hpp"

namespace trefoilstile::daemon
{

/// Document and drain list that this instance serves to peers on request.
struct ServedVersions {
    steering::DocumentVersion document;
    std::shared_ptr<const std::string> documentBytes;
    base::Generation drains;
    std::shared_ptr<const std::string> drainsBody;
};

/// Callbacks of `PeerNetwork`, called on its thread.
struct PeerNetworkHandlers {
    std::function<void(base::IncarnationId, const membership::Message &)> message;
    std::function<void(std::uint64_t fetch)> documentProgressed;
    std::function<void(std::uint64_t fetch, steering::FetchResult, std::string body)> documentFetched;
    std::function<void(std::uint64_t fetch, steering::FetchResult, base::Generation, std::string body)> drainsFetched;
    std::function<void(std::uint64_t ticket, idempotency::SealedPart part)> keysOffered;
    std::function<void(const peer::LoadReport &)> loadsReported; ///< may be empty
    std::function<void(const quota::UsageMessage &)> usageReceived; ///< may be empty
    std::function<void(peer::FeedRequest, std::function<void(peer::FeedResponse)> reply)> feedRequested; ///< may be empty; `reply` is called once, at any time
};

class PeerNetwork
{
public:
    /// Binds UDP and TCP to the same address and port. Throws `base::Error` if that fails.
    PeerNetwork(boost::asio::io_context &context, const std::string &listenAddress, peer::CodecSettings codec, PeerNetworkHandlers handlers);

    /// Starts receiving datagrams and accepting connections.
    void start();

    /// `IP:port` that peers use.
    std::string address() const;

    void send(const membership::Outgoing &outgoing);
    void send(const std::string &peerAddress, const peer::LoadReport &report);
    void send(const std::string &peerAddress, const quota::UsageMessage &message);

    void fetchDocument(std::uint64_t fetch, const std::string &address, const steering::DocumentVersion &version);
    void fetchDrains(std::uint64_t fetch, const std::string &address, base::Generation generation);

    /// Asks a peer for the changes of a table; see `FeedClient::request`.
    void requestFeed(const std::string &address, peer::FeedRequest request, base::Duration timeout, FeedClient::Handler handler)
    {
        m_feeds.request(address, std::move(request), timeout, std::move(handler));
    }

    /// Hands over a key table to a peer.
    /// @param onEnd called once at the end with true if the peer holds the complete table
    void handOff(const std::string &address, std::shared_ptr<const std::vector<idempotency::SealedPart>> parts, std::function<void(bool)> onEnd);

    /// Acknowledges an offered part, or closes its connection if it was not stored. Unknown tickets are ignored.
    void replyToOffer(std::uint64_t ticket, bool stored, bool complete);

    /// Replaces the versions served to peers.
    void setServedVersions(ServedVersions versions);

    const peer::EnvelopeCodec &codec() const;

    /// Uses another key for messages from now on. Throws `peer::CodecError` if it is too short.
    void setKey(std::string key)
    {
        m_codec.setKey(std::move(key));
    }

private:
    struct Transfer {
        peer::PartAssembler assembler;
        steering::FetchResult result = steering::FetchResult::Failed;
        base::Generation generation;
        std::string body;
    };

    /// Received part of a key table whose result from the decision thread is pending.
    struct Offer {
        std::weak_ptr<FrameConnection> connection;
        base::IncarnationId issuer;
        peer::Part part;
    };

    void serveFeed(FrameConnection &connection, peer::FeedRequest request);
    bool handleHandoffPart(FrameConnection &connection, const peer::HandoffPart &offered);
    std::string encodeHandoff(const idempotency::SealedPart &part);
    void sendDatagram(const std::string &peerAddress, const peer::Payload &payload);
    void receive();
    void handleDatagram(std::string_view bytes);
    void accept();
    bool serve(FrameConnection &connection, std::string_view bytes);
    void serveDocument(FrameConnection &connection, const peer::FetchDocumentRequest &request);
    void serveDrains(FrameConnection &connection, const peer::FetchDrainsRequest &request);
    void sendPart(const std::shared_ptr<FrameConnection> &connection,
        std::uint64_t transfer,
        const steering::DocumentVersion &version,
        const std::shared_ptr<const std::string> &bytes,
        std::uint32_t index);
    std::shared_ptr<FrameConnection> connect(
        const std::string &address, peer::Payload request, FrameConnection::FrameHandler onFrame, std::function<void()> onEnd);
    bool handleDocumentPart(std::uint64_t fetch, Transfer &transfer, std::string_view bytes);
    bool handleDrainsPart(Transfer &transfer, std::string_view bytes);

    boost::asio::io_context &m_context;
    peer::EnvelopeCodec m_codec;
    FeedClient m_feeds;
    PeerNetworkHandlers m_handlers;
    boost::asio::ip::udp::socket m_udp;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::ip::udp::endpoint m_sender;
    std::array<char, peer::s_maximumDatagramBytes + 1> m_buffer{}; // one byte more than allowed, so that oversized datagrams are detected
    ServedVersions m_served;
    steering::ServingLimit m_serving;
    std::size_t m_connections = 0; // accepted connections that are open
    std::uint64_t m_lastTicket = 0;
    std::unordered_map<std::uint64_t, Offer> m_offers; // by ticket; at most one for each connection
};

} // namespace trefoilstile::daemon
