// Internal protocol of trefoilstile. Field numbers are never reused. Generated code is in gen/; see gen/README.md.
namespace cpp trefoilstile.peer.wire

// Field 8 stands last on the wire and holds the HMAC-SHA256 over all bytes before its content.
struct Envelope {
  1: i16 version
  2: string environment
  3: string sender
  4: i64 incarnation
  5: i64 sequence
  6: i32 kind
  7: binary payload
  8: binary mac
}

struct Announcement {
  1: i64 generation
  2: string hash
  3: i64 drainGeneration
}

struct MemberInfo {
  1: string name
  2: string callerAddress
  3: string peerAddress
  4: string region
  5: string failureDomain
}

struct MemberUpdate {
  1: i64 incarnation
  2: i64 statusNumber
  3: i32 state
  4: i64 reportNumber
  5: bool leaving
  6: i64 generation
  7: i64 drainGeneration
  8: i64 spareCapacity
  9: optional MemberInfo info
}

struct RelayAddress {
  1: i64 incarnation
  2: string peerAddress
}

struct DomainSummary {
  1: string failureDomain
  2: string region
  3: i32 alive
  4: i32 suspect
  5: i32 dead
  6: i32 leaving
  7: Announcement highest
  8: i64 spareCapacity
  9: i64 ageMs
  10: list<RelayAddress> relays
}

struct GossipBody {
  1: Announcement announcement
  2: MemberUpdate sender
  3: list<MemberUpdate> updates
  4: list<DomainSummary> summaries
}

struct Probe {
  1: i64 nonce
  2: i64 target
  3: GossipBody body
}

struct Ack {
  1: i64 nonce
  2: i64 responder
  3: GossipBody body
}

struct ProbeRequest {
  1: i64 nonce
  2: i64 target
  3: string targetAddress
  4: GossipBody body
}

struct Gossip {
  1: GossipBody body
}

struct SummaryExchange {
  1: i64 nonce
  2: i64 target
  3: GossipBody body
}

struct Part {
  1: i64 transfer
  2: i32 index
  3: i32 count
  4: i64 totalBytes
  5: binary bytes
}

struct FetchDocumentRequest {
  1: i64 fetch
  2: i64 generation
  3: string hash
}

struct FetchDocumentResponse {
  1: i32 status
  2: i64 generation
  3: string hash
  4: Part part
}

struct FetchDrainsRequest {
  1: i64 fetch
  2: i64 generation
}

struct FetchDrainsResponse {
  1: i32 status
  2: i64 generation
  3: Part part
}

struct HandoffPart {
  1: i64 issuer
  2: Part part
}

struct HandoffAck {
  1: i64 issuer
  2: i64 transfer
  3: i32 received
  4: bool complete
}

struct LoanRequest {
  1: i64 loan
  2: string fromRegion
  3: string toRegion
  4: i64 requestsPerSecond
  5: i64 bytesPerSecond
  6: i64 leaseMs
}

struct LoanGrant {
  1: i64 loan
  2: string fromRegion
  3: string toRegion
  4: i64 requestsPerSecond
  5: i64 bytesPerSecond
  6: i64 leaseMs
}

struct LoanReturn {
  1: i64 loan
}

struct LoanAck {
  1: i64 loan
}

struct ServiceCapacity {
  1: string name
  2: i64 requestsPerSecond
}

struct CapacityAdvertisement {
  1: string region
  2: i64 number
  3: i64 ageMs
  4: list<ServiceCapacity> services
}

struct UpstreamLoad {
  1: i64 upstream
  2: i32 busy
  3: i32 slots
  4: i32 ageMs
  5: optional i32 speedPercent
}

// Eras are absent where the sender knows none.
struct TableVersion {
  1: string table
  2: i64 version
  3: optional i64 era
}

struct ConnectionLoadLimit {
  1: i64 serviceHash
  2: i32 loadPercent
}

struct LoadReport {
  1: list<UpstreamLoad> loads
  2: list<i64> leavingRuns
  3: list<TableVersion> tables
  4: string peerAddress
  5: optional list<ConnectionLoadLimit> connectionLimits
}

struct FeedRequest {
  1: string table
  2: i64 after
  3: bool completeRead
  4: i64 waitMs
  5: bool storeAvailable
  6: optional i64 era
}

// The era is absent if it is that of the response.
struct FeedRow {
  1: string key
  2: binary value
  3: i64 version
  4: bool removed
  5: optional i64 era
}

struct FeedResponse {
  1: i32 status
  2: string table
  3: i64 version
  4: bool more
  5: bool storeAvailable
  6: binary rows
  7: i32 rowsBytes
  8: optional i64 era
}

// Content of FeedResponse.rows: compressed with zlib if rowsBytes, its size before, is not 0.
struct FeedRows {
  1: list<FeedRow> rows
}

struct AccountUsage {
  1: i64 account
  2: i64 demand
  3: list<i32> slots
  4: i64 reserved
  5: i32 shareMillionths
}

struct UsageMessage {
  1: i32 kind
  2: string sender
  3: string failureDomain
  4: string peerAddress
  5: i64 incarnation
  6: i64 number
  7: bool replyWanted
  8: list<AccountUsage> usages
}
