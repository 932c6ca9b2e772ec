// Sockets of the peer thread: datagrams for gossip, frames for documents and drain lists.
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

#include "trefoilstile/daemon/frame_connection.hpp"
#include "trefoilstile/idempotency/sealed_tables.hpp"
#include "trefoilstile/membership/messages.hpp"
#include "trefoilstile/peer/envelope_codec.hpp"
#include "trefoilstile/peer/parts.hpp"
#include "trefoilstile/steering/dissemination.hpp"

namespace trefoilstile::daemon
{

/// What this node holds and passes on to peers that ask.
struct HeldVersions {
    steering::DocumentVersion document;
    std::shared_ptr<const std::string> documentBytes;
    base::Generation drains;
    std::shared_ptr<const std::string> drainsBody;
};

/// What the network tells its owner.
struct PeerNetworkHandlers {
    std::function<void(base::IncarnationId, const membership::Message &)> message;
    std::function<void(std::uint64_t fetch)> documentProgressed;
    std::function<void(std::uint64_t fetch, steering::FetchResult, std::string body)> documentFetched;
    std::function<void(std::uint64_t fetch, steering::FetchResult, base::Generation, std::string body)> drainsFetched;
    std::function<void(std::uint64_t ticket, idempotency::SealedPart part)> keysOffered;
    std::function<void(const peer::LoadReport &)> loadsReported; ///< may be empty
};

class PeerNetwork
{
public:
    /// Binds UDP and TCP at the same address. Throws `base::Error` if that fails.
    PeerNetwork(boost::asio::io_context &context, const std::string &listenAddress, peer::CodecSettings codec, PeerNetworkHandlers handlers);

    /// Starts to receive.
    void start();

    /// `IP:port` that peers use.
    std::string address() const;

    void send(const membership::Outgoing &outgoing);
    void send(const std::string &peerAddress, const peer::LoadReport &report);

    void fetchDocument(std::uint64_t fetch, const std::string &address, const steering::DocumentVersion &version);
    void fetchDrains(std::uint64_t fetch, const std::string &address, base::Generation generation);

    /// Hands a key table to a peer; `onEnd` tells whether it holds the whole table.
    void handOff(const std::string &address, std::shared_ptr<const std::vector<idempotency::SealedPart>> parts, std::function<void(bool)> onEnd);

    /// Replies to an offered part.
    void replyToOffer(std::uint64_t ticket, bool stored, bool complete);

    /// Replaces what is passed on to peers.
    void hold(HeldVersions versions);

    const peer::EnvelopeCodec &codec() const;

private:
    struct Transfer {
        peer::PartAssembler assembler;
        steering::FetchResult result = steering::FetchResult::Failed;
        base::Generation generation;
        std::string body;
    };

    /// Part of a key table that waits for the decision thread.
    struct Offer {
        std::weak_ptr<FrameConnection> connection;
        base::IncarnationId issuer;
        peer::Part part;
    };

    bool takeOffer(FrameConnection &connection, const peer::HandoffPart &offered);
    std::string encodeHandoff(const idempotency::SealedPart &part);
    void sendDatagram(const std::string &peerAddress, const peer::Payload &payload);
    void receive();
    void takeDatagram(std::string_view bytes);
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
    bool takeDocumentPart(std::uint64_t fetch, Transfer &transfer, std::string_view bytes);
    bool takeDrainsPart(Transfer &transfer, std::string_view bytes);

    boost::asio::io_context &m_context;
    peer::EnvelopeCodec m_codec;
    PeerNetworkHandlers m_handlers;
    boost::asio::ip::udp::socket m_udp;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::ip::udp::endpoint m_sender;
    std::array<char, peer::s_maximumDatagramBytes + 1> m_buffer{}; // one byte more, so that larger datagrams are noticed
    HeldVersions m_held;
    steering::ServingLimit m_serving;
    std::size_t m_connections = 0; // accepted and open
    std::uint64_t m_lastTicket = 0;
    std::unordered_map<std::uint64_t, Offer> m_offers; // by ticket; at most one for each connection
};

} // namespace trefoilstile::daemon
