// Messages between the processes of the system, as plain values. Types of the decision modules are used directly; the
// others are defined here.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "trefoilstile/base/ids.hpp"
#include "trefoilstile/base/time.hpp"
#include "trefoilstile/feed/position.hpp"
#include "trefoilstile/membership/messages.hpp"
#include "trefoilstile/quota/usage.hpp"
#include "trefoilstile/steering/version.hpp"

namespace trefoilstile::peer
{

/// One part of a byte string that may be too large for one frame.
struct Part {
    std::uint64_t transfer{}; ///< random ID chosen by the sender; the same for all parts of one transfer
    std::uint32_t index{}; ///< from 0
    std::uint32_t count = 1; ///< number of parts of the transfer; at least 1
    std::uint64_t totalBytes{}; ///< size of the whole transfer
    std::string bytes;

    friend bool operator==(const Part &, const Part &) = default;
};

/// Status of the response to a fetch.
enum class FetchStatus : std::uint8_t {
    Found, ///< the response contains a part
    Absent, ///< the responder does not have this version
    Busy, ///< the responder has reached its limit of concurrent fetches; ask another peer
};

/// Requests a document body. The answer is one `FetchDocumentResponse` for each part, or a single one without a body.
struct FetchDocumentRequest {
    std::uint64_t fetch{}; ///< ID chosen by the requester; the transfer ID of the parts is the same
    steering::DocumentVersion version;

    friend bool operator==(const FetchDocumentRequest &, const FetchDocumentRequest &) = default;
};

struct FetchDocumentResponse {
    FetchStatus status = FetchStatus::Absent;
    steering::DocumentVersion version;
    Part part;

    friend bool operator==(const FetchDocumentResponse &, const FetchDocumentResponse &) = default;
};

/// Requests the drain list in effect at the receiver, with at least the given generation.
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

/// Part of the sealed key table of a stopping instance. The bytes are opaque in this module.
struct HandoffPart {
    base::IncarnationId issuer;
    Part part;

    friend bool operator==(const HandoffPart &, const HandoffPart &) = default;
};

/// Acknowledges the parts received so far. `complete` is set once the receiver has the whole table and answers requests for
/// its keys.
struct HandoffAck {
    base::IncarnationId issuer;
    std::uint64_t transfer{};
    std::uint32_t received{};
    bool complete = false;

    friend bool operator==(const HandoffAck &, const HandoffAck &) = default;
};

/// Terms of a loan of unused quota for one ordered pair of regions.
struct LoanTerms {
    std::uint64_t loan{}; ///< random ID chosen by the borrower; a repeated message has the same ID
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

/// Spare capacity of a region as measured by the sender.
struct CapacityAdvertisement {
    std::string region;
    std::uint64_t number{}; ///< incremented by the sender with each measurement
    base::Duration age{}; ///< time since the measurement; whole milliseconds on the wire
    std::vector<ServiceCapacity> services;

    friend bool operator==(const CapacityAdvertisement &, const CapacityAdvertisement &) = default;
};

/// Load of an upstream as last reported by the upstream to the sender.
struct UpstreamLoad {
    std::uint64_t upstream{}; ///< stable hash of its id
    std::uint32_t busy{}; ///< running and waiting requests
    std::uint32_t slots{};
    base::Duration age{}; ///< whole milliseconds on the wire
    std::optional<std::uint32_t> speedPercent{}; ///< of the upstream's machine; empty if the upstream does not report it

    friend bool operator==(const UpstreamLoad &, const UpstreamLoad &) = default;
};

/// Position of the last change of a table that the sender knows.
struct TablePosition {
    std::string table;
    feed::Position position; ///< era 0 from a sender that knows no eras

    friend bool operator==(const TablePosition &, const TablePosition &) = default;
};

/// Load of an upstream of a service from which it resets new connections.
struct ConnectionLoadLimit {
    std::uint64_t service{}; ///< stable hash of its name
    std::uint32_t loadPercent{}; ///< requests per slot in percent

    friend bool operator==(const ConnectionLoadLimit &, const ConnectionLoadLimit &) = default;
};

/// What the sender has learned recently and other instances should know.
struct LoadReport {
    std::vector<UpstreamLoad> loads; ///< reported by upstreams since the sender's last `LoadReport`
    std::vector<std::uint64_t> leavingRuns; ///< runs of upstreams that have announced that they leave
    std::vector<TablePosition> tables;
    std::string peerAddress; ///< of the sender, for requests for changes of `tables`
    std::vector<ConnectionLoadLimit> connectionLimits{};

    friend bool operator==(const LoadReport &, const LoadReport &) = default;
};

/// Asks for the changes of a table of the store. The answer is one `FeedResponse`.
struct FeedRequest {
    std::string table;
    feed::Position after; ///< that the sender has
    bool completeRead = false; ///< part of a complete read, the first part with `after` 0
    base::Duration wait{}; ///< how long the answer may wait for a change; 0: answer at once, also if the receiver is no reader
    bool storeAvailable = true; ///< what the sender knows; a difference is answered at once

    friend bool operator==(const FeedRequest &, const FeedRequest &) = default;
};

/// Status of the response to a `FeedRequest`.
enum class FeedStatus : std::uint8_t {
    Changes, ///< the response contains the changes known to the responder
    NotReader, ///< the responder does not follow the store now; ask another reader
    HistoryLost, ///< the responder does not know all removals since the position; read the table completely
    NotReady, ///< the responder has started and does not have the table yet; ask again soon
};

/// Changed row of a table of the store.
struct FeedRow {
    std::string key;
    std::string value;
    std::uint64_t version{};
    bool removed = false;
    std::optional<std::uint64_t> era{}; ///< if it is not that of the response

    friend bool operator==(const FeedRow &, const FeedRow &) = default;
};

/// Rows as they travel, so that one encoding serves all receivers; see `encodeFeedRows`.
struct FeedRows {
    std::string bytes;
    std::int32_t size{}; ///< of the bytes before they were compressed; 0: they are not compressed

    friend bool operator==(const FeedRows &, const FeedRows &) = default;
};

struct FeedResponse {
    FeedStatus status = FeedStatus::NotReader;
    std::string table;
    feed::Position position; ///< the receiver has the table up to this position once it has applied the rows
    bool more = false; ///< further changes are known; ask again
    bool storeAvailable = false; ///< the store answered the last call of the responder
    FeedRows rows;

    friend bool operator==(const FeedResponse &, const FeedResponse &) = default;
};

/// All kinds of payload. The order determines the kind numbers on the wire, from 1, so new kinds must be appended.
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
    LoadReport,
    FeedRequest,
    FeedResponse,
    quota::UsageMessage>;

/// Transport of a payload.
enum class Channel : std::uint8_t {
    Datagram, ///< UDP, at most `s_maximumDatagramBytes`
    Frame, ///< TCP, at most `s_maximumFrameBytes` without the length prefix
};

inline constexpr std::size_t s_channelCount = 2;

/// Channel of a payload. Each kind uses a single channel, so that the sequence numbers of a channel stay nearly in order.
/// Loans and capacity advertisements are small and repeated until answered, so they are sent as datagrams.
Channel channelOf(const Payload &payload);

/// Name of the payload's kind for logs and metrics.
std::string_view kindName(const Payload &payload);

} // namespace trefoilstile::peer
