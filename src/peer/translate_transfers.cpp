// Translation of fetches, handoffs, loans, capacity advertisements and load reports to and from Thrift structs.

#include "translate.hpp"

namespace trefoilstile::peer
{

namespace
{

wire::Part toWire(const Part &value)
{
    wire::Part out;
    out.transfer = bitsToWire(value.transfer);
    out.index = static_cast<std::int32_t>(value.index);
    out.count = static_cast<std::int32_t>(value.count);
    out.totalBytes = bitsToWire(value.totalBytes);
    out.bytes = value.bytes;
    return out;
}

Part fromWire(const wire::Part &value)
{
    Part out;
    out.transfer = bitsFromWire(value.transfer);
    out.index = checkedNumber<std::uint32_t>(value.index);
    out.count = checkedNumber<std::uint32_t>(value.count);
    out.totalBytes = checkedNumber<std::uint64_t>(value.totalBytes);
    out.bytes = value.bytes;
    require(out.index < out.count && out.bytes.size() <= out.totalBytes, "part index or size is out of range");
    return out;
}

template<typename Wire>
Wire termsToWire(const LoanTerms &value)
{
    Wire out;
    out.loan = bitsToWire(value.loan);
    out.fromRegion = value.fromRegion;
    out.toRegion = value.toRegion;
    out.requestsPerSecond = bitsToWire(value.requestsPerSecond);
    out.bytesPerSecond = bitsToWire(value.bytesPerSecond);
    out.leaseMs = millisecondsToWire(value.lease);
    return out;
}

template<typename Wire>
LoanTerms termsFromWire(const Wire &value)
{
    LoanTerms out;
    out.loan = bitsFromWire(value.loan);
    out.fromRegion = checkedText(value.fromRegion);
    out.toRegion = checkedText(value.toRegion);
    out.requestsPerSecond = checkedNumber<std::uint64_t>(value.requestsPerSecond);
    out.bytesPerSecond = checkedNumber<std::uint64_t>(value.bytesPerSecond);
    out.lease = durationFromWire(value.leaseMs);
    return out;
}

} // namespace

wire::FetchDocumentRequest toWire(const FetchDocumentRequest &value)
{
    wire::FetchDocumentRequest out;
    out.fetch = bitsToWire(value.fetch);
    out.generation = bitsToWire(value.version.generation);
    out.hash = value.version.hash;
    return out;
}

FetchDocumentRequest fromWire(const wire::FetchDocumentRequest &value)
{
    return {bitsFromWire(value.fetch), {generationFromWire(value.generation), checkedText(value.hash)}};
}

wire::FetchDocumentResponse toWire(const FetchDocumentResponse &value)
{
    wire::FetchDocumentResponse out;
    out.status = static_cast<std::int32_t>(value.status);
    out.generation = bitsToWire(value.version.generation);
    out.hash = value.version.hash;
    out.part = toWire(value.part);
    return out;
}

FetchDocumentResponse fromWire(const wire::FetchDocumentResponse &value)
{
    return {checkedEnum(value.status, FetchStatus::Busy), {generationFromWire(value.generation), checkedText(value.hash)}, fromWire(value.part)};
}

wire::FetchDrainsRequest toWire(const FetchDrainsRequest &value)
{
    wire::FetchDrainsRequest out;
    out.fetch = bitsToWire(value.fetch);
    out.generation = bitsToWire(value.generation);
    return out;
}

FetchDrainsRequest fromWire(const wire::FetchDrainsRequest &value)
{
    return {bitsFromWire(value.fetch), generationFromWire(value.generation)};
}

wire::FetchDrainsResponse toWire(const FetchDrainsResponse &value)
{
    wire::FetchDrainsResponse out;
    out.status = static_cast<std::int32_t>(value.status);
    out.generation = bitsToWire(value.generation);
    out.part = toWire(value.part);
    return out;
}

FetchDrainsResponse fromWire(const wire::FetchDrainsResponse &value)
{
    return {checkedEnum(value.status, FetchStatus::Busy), generationFromWire(value.generation), fromWire(value.part)};
}

wire::HandoffPart toWire(const HandoffPart &value)
{
    wire::HandoffPart out;
    out.issuer = bitsToWire(value.issuer);
    out.part = toWire(value.part);
    return out;
}

HandoffPart fromWire(const wire::HandoffPart &value)
{
    return {incarnationFromWire(value.issuer), fromWire(value.part)};
}

wire::HandoffAck toWire(const HandoffAck &value)
{
    wire::HandoffAck out;
    out.issuer = bitsToWire(value.issuer);
    out.transfer = bitsToWire(value.transfer);
    out.received = static_cast<std::int32_t>(value.received);
    out.complete = value.complete;
    return out;
}

HandoffAck fromWire(const wire::HandoffAck &value)
{
    return {incarnationFromWire(value.issuer), bitsFromWire(value.transfer), checkedNumber<std::uint32_t>(value.received), value.complete};
}

wire::LoanRequest toWire(const LoanRequest &value)
{
    return termsToWire<wire::LoanRequest>(value.terms);
}

LoanRequest fromWire(const wire::LoanRequest &value)
{
    return {termsFromWire(value)};
}

wire::LoanGrant toWire(const LoanGrant &value)
{
    return termsToWire<wire::LoanGrant>(value.terms);
}

LoanGrant fromWire(const wire::LoanGrant &value)
{
    return {termsFromWire(value)};
}

wire::LoanReturn toWire(const LoanReturn &value)
{
    wire::LoanReturn out;
    out.loan = bitsToWire(value.loan);
    return out;
}

LoanReturn fromWire(const wire::LoanReturn &value)
{
    return {bitsFromWire(value.loan)};
}

wire::LoanAck toWire(const LoanAck &value)
{
    wire::LoanAck out;
    out.loan = bitsToWire(value.loan);
    return out;
}

LoanAck fromWire(const wire::LoanAck &value)
{
    return {bitsFromWire(value.loan)};
}

wire::CapacityAdvertisement toWire(const CapacityAdvertisement &value)
{
    wire::CapacityAdvertisement out;
    out.region = value.region;
    out.number = bitsToWire(value.number);
    out.ageMs = millisecondsToWire(value.age);
    for (const ServiceCapacity &service : value.services) {
        wire::ServiceCapacity entry;
        entry.name = service.service;
        entry.requestsPerSecond = bitsToWire(service.requestsPerSecond);
        out.services.push_back(entry);
    }
    return out;
}

CapacityAdvertisement fromWire(const wire::CapacityAdvertisement &value)
{
    CapacityAdvertisement out;
    out.region = checkedText(value.region);
    out.number = checkedNumber<std::uint64_t>(value.number);
    out.age = durationFromWire(value.ageMs);
    for (const wire::ServiceCapacity &service : value.services) {
        out.services.push_back({checkedText(service.name), checkedNumber<std::uint64_t>(service.requestsPerSecond)});
    }
    return out;
}

wire::LoadReport toWire(const LoadReport &value)
{
    wire::LoadReport out;
    for (const UpstreamLoad &load : value.loads) {
        wire::UpstreamLoad entry;
        entry.upstream = bitsToWire(load.upstream);
        entry.busy = static_cast<std::int32_t>(load.busy);
        entry.slots = static_cast<std::int32_t>(load.slots);
        entry.ageMs = static_cast<std::int32_t>(millisecondsToWire(load.age));
        if (load.speedPercent) {
            entry.__set_speedPercent(static_cast<std::int32_t>(*load.speedPercent));
        }
        out.loads.push_back(entry);
    }
    for (const std::uint64_t run : value.leavingRuns) {
        out.leavingRuns.push_back(bitsToWire(run));
    }
    for (const TablePosition &table : value.tables) {
        wire::TableVersion entry;
        entry.table = table.table;
        setPosition(entry, entry.version, table.position);
        out.tables.push_back(entry);
    }
    out.peerAddress = value.peerAddress;
    for (const ConnectionLoadLimit &limit : value.connectionLimits) {
        wire::ConnectionLoadLimit entry;
        entry.serviceHash = bitsToWire(limit.service);
        entry.loadPercent = static_cast<std::int32_t>(limit.loadPercent);
        out.connectionLimits.push_back(entry);
    }
    out.__isset.connectionLimits = !out.connectionLimits.empty();
    return out;
}

LoadReport fromWire(const wire::LoadReport &value)
{
    LoadReport out;
    for (const wire::UpstreamLoad &load : value.loads) {
        out.loads.push_back({static_cast<std::uint64_t>(load.upstream),
            checkedNumber<std::uint32_t>(load.busy),
            checkedNumber<std::uint32_t>(load.slots),
            durationFromWire(load.ageMs),
            load.__isset.speedPercent ? std::optional(checkedNumber<std::uint32_t>(load.speedPercent)) : std::nullopt});
    }
    for (const std::int64_t run : value.leavingRuns) {
        out.leavingRuns.push_back(bitsFromWire(run));
    }
    for (const wire::TableVersion &table : value.tables) {
        out.tables.push_back({checkedText(table.table), positionFromWire(table, table.version)});
    }
    out.peerAddress = checkedText(value.peerAddress);
    for (const wire::ConnectionLoadLimit &limit : value.connectionLimits) {
        out.connectionLimits.push_back({bitsFromWire(limit.serviceHash), checkedNumber<std::uint32_t>(limit.loadPercent)});
    }
    return out;
}

wire::FeedRequest toWire(const FeedRequest &value)
{
    wire::FeedRequest out;
    out.table = value.table;
    setPosition(out, out.after, value.after);
    out.completeRead = value.completeRead;
    out.waitMs = millisecondsToWire(value.wait);
    out.storeAvailable = value.storeAvailable;
    return out;
}

FeedRequest fromWire(const wire::FeedRequest &value)
{
    return {checkedText(value.table), positionFromWire(value, value.after), value.completeRead, durationFromWire(value.waitMs), value.storeAvailable};
}

wire::FeedResponse toWire(const FeedResponse &value)
{
    wire::FeedResponse out;
    out.status = static_cast<std::int32_t>(value.status);
    out.table = value.table;
    setPosition(out, out.version, value.position);
    out.more = value.more;
    out.storeAvailable = value.storeAvailable;
    out.rows = value.rows.bytes;
    out.rowsBytes = value.rows.size;
    return out;
}

FeedResponse fromWire(const wire::FeedResponse &value)
{
    FeedResponse out;
    out.status = checkedEnum(value.status, FeedStatus::NotReady);
    out.table = checkedText(value.table);
    out.position = positionFromWire(value, value.version);
    out.more = value.more;
    out.storeAvailable = value.storeAvailable;
    out.rows = {value.rows, value.rowsBytes};
    return out;
}

} // namespace trefoilstile::peer
