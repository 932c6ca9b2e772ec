// Datagrams and transfers between instances. Bytes that cannot be decoded are dropped and counted by the codec.

#include "trefoilstile/daemon/peer_network.hpp"

#include <utility>

#include <boost/asio/buffer.hpp>
#include <fmt/format.h>

#include "trefoilstile/daemon/endpoint.hpp"
#include "trefoilstile/daemon/log.hpp"
#include "trefoilstile/document/parse.hpp"
#include "trefoilstile/peer/sealed_keys.hpp"

namespace trefoilstile::daemon
{

namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;
using asio::ip::udp;

/// A connection is closed after this time without a complete frame read or written; a frame of 1 MiB takes 0.1 s at 100 Mbit/s.
constexpr base::Duration s_idleTimeout = std::chrono::seconds(2);

/// Accepted from peers. The followers of a reader have two each, and a failure domain at the target size has some 60 instances. Frames
/// that peers send are small, except for the parts of key tables.
constexpr std::size_t s_maximumConnections = 256;
constexpr std::size_t s_maximumDrainsBytes = 1U << 20U;

} // namespace

PeerNetwork::PeerNetwork(asio::io_context &context, const std::string &listenAddress, peer::CodecSettings codec, PeerNetworkHandlers handlers)
    : m_context(context)
    , m_codec(std::move(codec))
    , m_feeds(context, m_codec)
    , m_handlers(std::move(handlers))
    , m_udp(context)
    , m_acceptor(context)
{
    const auto [address, port] = parseEndpoint(listenAddress);
    const tcp::endpoint endpoint(address, port);
    try {
        m_acceptor.open(endpoint.protocol());
        m_acceptor.set_option(tcp::acceptor::reuse_address(true));
        m_acceptor.bind(endpoint);
        m_acceptor.listen();
        // UDP is bound to the port assigned to TCP, so that one address is valid for both.
        m_udp.open(udp::endpoint(address, 0).protocol());
        m_udp.bind(udp::endpoint(address, m_acceptor.local_endpoint().port()));
        m_udp.non_blocking(true);
    } catch (const boost::system::system_error &error) {
        throw base::Error(fmt::format("cannot listen for peers at {}: {}", listenAddress, error.what()));
    }
}

void PeerNetwork::start()
{
    receive();
    accept();
}

std::string PeerNetwork::address() const
{
    return formatEndpoint(m_acceptor.local_endpoint().address(), m_acceptor.local_endpoint().port());
}

void PeerNetwork::setServedVersions(ServedVersions versions)
{
    m_served = std::move(versions);
}

const peer::EnvelopeCodec &PeerNetwork::codec() const
{
    return m_codec;
}

void PeerNetwork::send(const membership::Outgoing &outgoing)
{
    std::visit(
        [this, &outgoing](const auto &message) {
            sendDatagram(outgoing.peerAddress, message);
        },
        outgoing.message);
}

void PeerNetwork::send(const std::string &peerAddress, const peer::LoadReport &report)
{
    sendDatagram(peerAddress, report);
}

void PeerNetwork::send(const std::string &peerAddress, const quota::UsageMessage &message)
{
    sendDatagram(peerAddress, message);
}

void PeerNetwork::sendDatagram(const std::string &peerAddress, const peer::Payload &payload)
{
    try {
        const auto [address, port] = parseEndpoint(peerAddress);
        const std::string bytes = m_codec.encode(payload);
        boost::system::error_code ignored; // datagram loss is tolerated; gossip repeats its information
        m_udp.send_to(asio::buffer(bytes), udp::endpoint(address, port), 0, ignored);
    } catch (const base::Error &error) {
        log("peers", "Cannot send a message to {}: {}", peerAddress, error.what());
    }
}

void PeerNetwork::receive()
{
    m_udp.async_receive_from(asio::buffer(m_buffer), m_sender, [this](const boost::system::error_code &error, std::size_t bytes) {
        if (error == asio::error::operation_aborted) {
            return;
        }
        if (!error) { // an error reports an ICMP message about an earlier datagram
            handleDatagram({m_buffer.data(), bytes});
        }
        receive();
    });
}

void PeerNetwork::handleDatagram(std::string_view bytes)
{
    const peer::DecodeResult result = m_codec.decode(bytes, peer::Channel::Datagram);
    const auto *received = std::get_if<peer::Received>(&result);
    if (received == nullptr) {
        return;
    }
    std::visit(
        [this, received](const auto &payload) {
            if constexpr (std::is_constructible_v<membership::Message, decltype(payload)>) {
                m_handlers.message(received->sender, payload);
            } else if constexpr (std::is_same_v<std::decay_t<decltype(payload)>, peer::LoadReport>) {
                if (m_handlers.loadsReported) {
                    m_handlers.loadsReported(payload);
                }
            } else if constexpr (std::is_same_v<std::decay_t<decltype(payload)>, quota::UsageMessage>) {
                if (m_handlers.usageReceived) {
                    m_handlers.usageReceived(payload);
                }
            }
        },
        received->payload);
}

void PeerNetwork::accept()
{
    m_acceptor.async_accept([this](const boost::system::error_code &error, tcp::socket socket) {
        if (error == asio::error::operation_aborted) {
            return;
        }
        if (!error && m_connections < s_maximumConnections) {
            ++m_connections;
            std::make_shared<FrameConnection>(
                std::move(socket),
                s_idleTimeout,
                [this](FrameConnection &connection, std::string_view bytes) {
                    return serve(connection, bytes);
                },
                [this] {
                    --m_connections;
                })
                ->start();
        }
        accept();
    });
}

bool PeerNetwork::serve(FrameConnection &connection, std::string_view bytes)
{
    const peer::DecodeResult result = m_codec.decode(bytes, peer::Channel::Frame);
    const auto *received = std::get_if<peer::Received>(&result);
    if (received == nullptr) {
        return false;
    }
    if (const auto *request = std::get_if<peer::FetchDocumentRequest>(&received->payload)) {
        serveDocument(connection, *request);
        return true;
    }
    if (const auto *request = std::get_if<peer::FetchDrainsRequest>(&received->payload)) {
        serveDrains(connection, *request);
        return true;
    }
    if (const auto *request = std::get_if<peer::FeedRequest>(&received->payload)) {
        serveFeed(connection, *request);
        return true;
    }
    if (const auto *offered = std::get_if<peer::HandoffPart>(&received->payload)) {
        return handleHandoffPart(connection, *offered);
    }
    return false;
}

void PeerNetwork::serveDocument(FrameConnection &connection, const peer::FetchDocumentRequest &request)
{
    peer::FetchDocumentResponse response{peer::FetchStatus::Absent, request.version, peer::Part{request.fetch, 0, 1, 0, {}}};
    if (!m_served.documentBytes || m_served.document != request.version) {
        connection.send(m_codec.encode(response));
        return;
    }
    if (!m_serving.begin()) {
        response.status = peer::FetchStatus::Busy;
        connection.send(m_codec.encode(response));
        return;
    }
    // The deleter releases the serving slot when the transfer ends, successfully or not.
    std::shared_ptr<const std::string> guarded(m_served.documentBytes.get(), [this, bytes = m_served.documentBytes](const std::string *) {
        m_serving.end();
    });
    sendPart(connection.shared_from_this(), request.fetch, request.version, guarded, 0);
}

void PeerNetwork::sendPart(const std::shared_ptr<FrameConnection> &connection,
    std::uint64_t transfer,
    const steering::DocumentVersion &version,
    const std::shared_ptr<const std::string> &bytes,
    std::uint32_t index)
{
    const peer::FetchDocumentResponse response{peer::FetchStatus::Found, version, peer::partOf(transfer, *bytes, index)};
    std::function<void()> next;
    if (index + 1 < peer::partCount(bytes->size())) {
        next = [this, weak = std::weak_ptr(connection), transfer, version, bytes, index] {
            if (const auto open = weak.lock()) {
                sendPart(open, transfer, version, bytes, index + 1);
            }
        };
    }
    connection->send(m_codec.encode(response), std::move(next));
}

void PeerNetwork::serveDrains(FrameConnection &connection, const peer::FetchDrainsRequest &request)
{
    peer::FetchDrainsResponse response{peer::FetchStatus::Absent, m_served.drains, peer::Part{request.fetch, 0, 1, 0, {}}};
    if (m_served.drainsBody && m_served.drains >= request.generation) {
        response.status = peer::FetchStatus::Found;
        response.part = peer::partOf(request.fetch, *m_served.drainsBody, 0);
    }
    connection.send(m_codec.encode(response));
}

std::shared_ptr<FrameConnection> PeerNetwork::connect(
    const std::string &address, peer::Payload request, FrameConnection::FrameHandler onFrame, std::function<void()> onEnd)
{
    const auto [ip, port] = parseEndpoint(address);
    auto connection = std::make_shared<FrameConnection>(tcp::socket(m_context), s_idleTimeout, std::move(onFrame), std::move(onEnd));
    connection->startWith(tcp::endpoint(ip, port), m_codec.encode(request));
    return connection;
}

void PeerNetwork::serveFeed(FrameConnection &connection, peer::FeedRequest request)
{
    if (!m_handlers.feedRequested) {
        peer::FeedResponse refusal;
        refusal.table = request.table;
        connection.send(m_codec.encode(refusal));
        return;
    }
    m_handlers.feedRequested(std::move(request), [this, weak = connection.weak_from_this()](const peer::FeedResponse &response) {
        const auto open = weak.lock();
        if (!open) {
            return;
        }
        try {
            open->send(m_codec.encode(response));
        } catch (const peer::CodecError &error) {
            log("peers", "Cannot send the changes of {}: {}", response.table, error.what());
            open->close(); // the peer asks another reader, or the store
        }
    });
}

bool PeerNetwork::handleHandoffPart(FrameConnection &connection, const peer::HandoffPart &offered)
{
    std::optional<idempotency::SealedPart> part = peer::decodeSealedPart(offered.part.bytes);
    if (!part || part->incarnation != offered.issuer) {
        return false;
    }
    const std::uint64_t ticket = ++m_lastTicket;
    m_offers[ticket] = {connection.weak_from_this(), offered.issuer, {offered.part.transfer, offered.part.index, offered.part.count, 0, {}}};
    m_handlers.keysOffered(ticket, std::move(*part));
    return true;
}

void PeerNetwork::replyToOffer(std::uint64_t ticket, bool stored, bool complete)
{
    const auto offer = m_offers.find(ticket);
    if (offer == m_offers.end()) {
        return;
    }
    if (const auto connection = offer->second.connection.lock()) {
        if (stored) {
            connection->send(m_codec.encode(peer::HandoffAck{offer->second.issuer, offer->second.part.transfer, offer->second.part.index + 1, complete}));
        } else {
            connection->close();
        }
    }
    m_offers.erase(offer);
}

std::string PeerNetwork::encodeHandoff(const idempotency::SealedPart &part)
{
    std::string bytes = peer::encodeSealedPart(part);
    const std::uint64_t size = bytes.size();
    return m_codec.encode(peer::HandoffPart{part.incarnation, peer::Part{part.incarnation.value, part.part, part.parts, size, std::move(bytes)}});
}

void PeerNetwork::handOff(const std::string &address, std::shared_ptr<const std::vector<idempotency::SealedPart>> parts, std::function<void(bool)> onEnd)
{
    const auto [ip, port] = parseEndpoint(address);
    auto complete = std::make_shared<bool>(false);
    // Each part is sent after the acknowledgement of the previous one.
    const auto onFrame = [this, parts, complete](FrameConnection &connection, std::string_view bytes) {
        const peer::DecodeResult result = m_codec.decode(bytes, peer::Channel::Frame);
        const auto *received = std::get_if<peer::Received>(&result);
        const auto *ack = received == nullptr ? nullptr : std::get_if<peer::HandoffAck>(&received->payload);
        if (ack == nullptr || ack->issuer != parts->front().incarnation) {
            return false;
        }
        *complete = ack->complete;
        if (ack->received >= parts->size()) {
            return false;
        }
        connection.send(encodeHandoff((*parts)[ack->received]));
        return true;
    };
    auto connection = std::make_shared<FrameConnection>(tcp::socket(m_context), s_idleTimeout, onFrame, [complete, onEnd = std::move(onEnd)] {
        onEnd(*complete);
    });
    connection->startWith(tcp::endpoint(ip, port), encodeHandoff(parts->front()));
}

void PeerNetwork::fetchDocument(std::uint64_t fetch, const std::string &address, const steering::DocumentVersion &version)
{
    auto transfer = std::make_shared<Transfer>(Transfer{peer::PartAssembler(fetch, document::s_maximumDocumentBytes), steering::FetchResult::Failed, {}, {}});
    connect(
        address,
        peer::FetchDocumentRequest{fetch, version},
        [this, fetch, transfer](FrameConnection &, std::string_view bytes) {
            return handleDocumentPart(fetch, *transfer, bytes);
        },
        [this, fetch, transfer] {
            m_handlers.documentFetched(fetch, transfer->result, std::move(transfer->body));
        });
}

bool PeerNetwork::handleDocumentPart(std::uint64_t fetch, Transfer &transfer, std::string_view bytes)
{
    const peer::DecodeResult result = m_codec.decode(bytes, peer::Channel::Frame);
    const auto *received = std::get_if<peer::Received>(&result);
    const auto *response = received == nullptr ? nullptr : std::get_if<peer::FetchDocumentResponse>(&received->payload);
    if (response == nullptr) {
        return false;
    }
    if (response->status != peer::FetchStatus::Found) {
        transfer.result = response->status == peer::FetchStatus::Busy ? steering::FetchResult::Busy : steering::FetchResult::Absent;
        return false;
    }
    try {
        if (!transfer.assembler.add(response->part)) {
            m_handlers.documentProgressed(fetch);
            return true;
        }
        transfer.body = transfer.assembler.take();
        transfer.result = steering::FetchResult::Found;
    } catch (const peer::PartError &error) {
        log("peers", "Document transfer aborted: {}", error.what());
    }
    return false;
}

void PeerNetwork::fetchDrains(std::uint64_t fetch, const std::string &address, base::Generation generation)
{
    auto transfer = std::make_shared<Transfer>(Transfer{peer::PartAssembler(fetch, s_maximumDrainsBytes), steering::FetchResult::Failed, {}, {}});
    connect(
        address,
        peer::FetchDrainsRequest{fetch, generation},
        [this, transfer](FrameConnection &, std::string_view bytes) {
            return handleDrainsPart(*transfer, bytes);
        },
        [this, fetch, transfer] {
            m_handlers.drainsFetched(fetch, transfer->result, transfer->generation, std::move(transfer->body));
        });
}

bool PeerNetwork::handleDrainsPart(Transfer &transfer, std::string_view bytes)
{
    const peer::DecodeResult result = m_codec.decode(bytes, peer::Channel::Frame);
    const auto *received = std::get_if<peer::Received>(&result);
    const auto *response = received == nullptr ? nullptr : std::get_if<peer::FetchDrainsResponse>(&received->payload);
    if (response == nullptr) {
        return false;
    }
    if (response->status != peer::FetchStatus::Found) {
        transfer.result = steering::FetchResult::Absent;
        return false;
    }
    try {
        if (transfer.assembler.add(response->part)) {
            transfer.body = transfer.assembler.take();
            transfer.generation = response->generation;
            transfer.result = steering::FetchResult::Found;
        }
    } catch (const peer::PartError &error) {
        log("peers", "Drain list transfer aborted: {}", error.what());
    }
    return false;
}

} // namespace trefoilstile::daemon
