// What the processes of the system send each other, as plain values. Types of the decision modules are used as they
// are; the rest is defined here.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "trefoilstile/base/ids.hpp"
#include "trefoilstile/base/time.hpp"
#include "trefoilstile/membership/messages.hpp"
#include "trefoilstile/steering/version.hpp"

namespace trefoilstile::peer
{

/// One piece of a byte string that is too large for one frame.
struct Part {
    std::uint64_t transfer{}; ///< the same for all parts of one transfer, drawn by the sender
    std::uint32_t index{}; ///< from 0
    std::uint32_t count = 1; ///< parts of the transfer; at least 1
    std::uint64_t totalBytes{}; ///< of the whole transfer
    std::string bytes;

    friend bool operator==(const Part &, const Part &) = default;
};

/// How a fetch was answered.
enum class FetchStatus : std::uint8_t {
    Found, ///< a part follows
    Absent, ///< the responder does not hold this version
    Busy, ///< the responder serves as many fetches as it may; ask another peer
};

/// Asks for a document body. Answered by one `FetchDocumentResponse` for each part, or one without a body.
struct FetchDocumentRequest {
    std::uint64_t fetch{}; ///< chosen by the requester; the transfer of the parts has the same number
    steering::DocumentVersion version;

    friend bool operator==(const FetchDocumentRequest &, const FetchDocumentRequest &) = default;
};

struct FetchDocumentResponse {
    FetchStatus status = FetchStatus::Absent;
    steering::DocumentVersion version;
    Part part;

    friend bool operator==(const FetchDocumentResponse &, const FetchDocumentResponse &) = default;
};

/// Asks for the drain list in effect at the receiver, at least of the given generation.
struct FetchDrainsRequest {
    std::uint64_t fetch{};
    base::Generation generation;

    friend bool operator==(const FetchDrainsRequest &, const FetchDrainsRequest &) = default;
};

struct FetchDrainsResponse {
    FetchStatus status = FetchStatus::Absent;
    base::Generation generation;
    Part part;

    friend bool operator==(const FetchDrainsResponse &, const FetchDrainsResponse &) = default;
};

/// Piece of the sealed key table of an instance that stops. The bytes are opaque here.
struct HandoffPart {
    base::IncarnationId issuer;
    Part part;

    friend bool operator==(const HandoffPart &, const HandoffPart &) = default;
};

/// Parts received so far; `complete` once the receiver holds the whole table and answers for its keys.
struct HandoffAck {
    base::IncarnationId issuer;
    std::uint64_t transfer{};
    std::uint32_t received{};
    bool complete = false;

    friend bool operator==(const HandoffAck &, const HandoffAck &) = default;
};

/// Terms of a loan of unused quota for one ordered pair of regions.
struct LoanTerms {
    std::uint64_t loan{}; ///< drawn by the borrower; a repeat of a message has the same number
    std::string fromRegion;
    std::string toRegion;
    std::uint64_t requestsPerSecond{};
    std::uint64_t bytesPerSecond{};
    base::Duration lease{}; ///< whole milliseconds on the wire

    friend bool operator==(const LoanTerms &, const LoanTerms &) = default;
};

struct LoanRequest {
    LoanTerms terms;

    friend bool operator==(const LoanRequest &, const LoanRequest &) = default;
};

struct LoanGrant {
    LoanTerms terms;

    friend bool operator==(const LoanGrant &, const LoanGrant &) = default;
};

struct LoanReturn {
    std::uint64_t loan{};

    friend bool operator==(const LoanReturn &, const LoanReturn &) = default;
};

struct LoanAck {
    std::uint64_t loan{};

    friend bool operator==(const LoanAck &, const LoanAck &) = default;
};

/// Spare capacity of one service.
struct ServiceCapacity {
    std::string service;
    std::uint64_t requestsPerSecond{};

    friend bool operator==(const ServiceCapacity &, const ServiceCapacity &) = default;
};

/// Spare capacity of a region as its sender measured it.
struct CapacityAdvertisement {
    std::string region;
    std::uint64_t number{}; ///< raised by the sender with each measurement
    base::Duration age{}; ///< of the measurement; whole milliseconds on the wire
    std::vector<ServiceCapacity> services;

    friend bool operator==(const CapacityAdvertisement &, const CapacityAdvertisement &) = default;
};

/// Load of an upstream as it stated it to the sender.
struct UpstreamLoad {
    std::uint64_t upstream{}; ///< stable hash of its id
    std::uint32_t busy{}; ///< running and waiting requests
    std::uint32_t slots{};
    base::Duration age{}; ///< whole milliseconds on the wire

    friend bool operator==(const UpstreamLoad &, const UpstreamLoad &) = default;
};

/// Loads that upstreams have stated to the sender since its last report.
struct LoadReport {
    std::vector<UpstreamLoad> loads;

    friend bool operator==(const LoadReport &, const LoadReport &) = default;
};

/// All kinds of payload. The order gives the kind numbers on the wire, from 1, so new ones go to the end.
using Payload = std::variant<membership::Probe,
    membership::Ack,
    membership::ProbeRequest,
    membership::Gossip,
    membership::SummaryExchange,
    FetchDocumentRequest,
    FetchDocumentResponse,
    FetchDrainsRequest,
    FetchDrainsResponse,
    HandoffPart,
    HandoffAck,
    LoanRequest,
    LoanGrant,
    LoanReturn,
    LoanAck,
    CapacityAdvertisement,
    LoadReport>;

/// How a payload travels.
enum class Channel : std::uint8_t {
    Datagram, ///< UDP, at most `s_maximumDatagramBytes`
    Frame, ///< TCP, at most `s_maximumFrameBytes` without the length in front
};

inline constexpr std::size_t s_channelCount = 2;

/// Channel of a payload. Each kind has one, so that the sequence numbers of a channel stay nearly in order. Loans and
/// capacity advertisements are small and repeated until answered, so they are datagrams.
Channel channelOf(const Payload &payload);

/// Name of the payload's kind for logs and metrics.
std::string_view kindName(const Payload &payload);

} // namespace trefoilstile::peer
