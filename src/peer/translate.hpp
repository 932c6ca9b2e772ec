// Translation between Thrift structs and the plain values of the decision modules. `fromWire` checks that all values are in
// range and throws `MalformedBytes` otherwise.
#pragma once

#include <cstdint>
#include <limits>
#include <string>

#include "compact.hpp"
#include "trefoilstile/peer/payload.hpp"
#include "trefoilstile_types.h"

namespace trefoilstile::peer
{

/// Maximum length of a name or address in a payload, in bytes.
inline constexpr std::size_t s_maximumTextBytes = 64;

/// @throws MalformedBytes if the condition is false
inline void require(bool condition, const char *what)
{
    if (!condition) {
        throw MalformedBytes(what);
    }
}

inline std::string checkedText(std::string text)
{
    require(text.size() <= s_maximumTextBytes, "text exceeds its length limit");
    return text;
}

template<typename Integer, typename Wire>
Integer checkedNumber(Wire value)
{
    require(value >= 0 && static_cast<std::uint64_t>(value) <= static_cast<std::uint64_t>(std::numeric_limits<Integer>::max()), "number out of range");
    return static_cast<Integer>(value);
}

/// Enumerator with the given number.
/// @throws MalformedBytes if the number is negative or above `last`
template<typename Enum>
Enum checkedEnum(std::int32_t value, Enum last)
{
    require(value >= 0 && value <= static_cast<std::int32_t>(last), "unknown enumerator");
    return static_cast<Enum>(value);
}

/// Reinterprets the bits as signed: identifiers and nonces use all 64 bits, but Thrift has only signed integers.
inline std::int64_t bitsToWire(std::uint64_t value)
{
    return static_cast<std::int64_t>(value);
}

inline std::uint64_t bitsFromWire(std::int64_t value)
{
    return static_cast<std::uint64_t>(value);
}

/// Writes a position into a struct with an optional field `era`, which stays absent for era 0.
/// @param version field of the struct for the version
template<typename Struct>
void setPosition(Struct &out, std::int64_t &version, feed::Position position)
{
    version = bitsToWire(position.version);
    if (position.era != 0) {
        out.__set_era(bitsToWire(position.era));
    }
}

template<typename Struct>
feed::Position positionFromWire(const Struct &value, std::int64_t version)
{
    return {value.__isset.era ? checkedNumber<std::uint64_t>(value.era) : 0, checkedNumber<std::uint64_t>(version)};
}

template<typename Tag>
std::int64_t bitsToWire(base::Id<Tag> id)
{
    return static_cast<std::int64_t>(id.value);
}

inline base::IncarnationId incarnationFromWire(std::int64_t value)
{
    return {bitsFromWire(value)};
}

inline base::Generation generationFromWire(std::int64_t value)
{
    return {checkedNumber<std::uint64_t>(value)};
}

/// Duration in whole milliseconds, limited to 24 hours.
std::int64_t millisecondsToWire(base::Duration duration);

/// @throws MalformedBytes if the duration is negative or longer than 24 hours
base::Duration durationFromWire(std::int64_t milliseconds);

wire::GossipBody toWire(const membership::GossipBody &value);
membership::GossipBody fromWire(const wire::GossipBody &value);

wire::Probe toWire(const membership::Probe &value);
wire::Ack toWire(const membership::Ack &value);
wire::ProbeRequest toWire(const membership::ProbeRequest &value);
wire::Gossip toWire(const membership::Gossip &value);
wire::SummaryExchange toWire(const membership::SummaryExchange &value);
wire::FetchDocumentRequest toWire(const FetchDocumentRequest &value);
wire::FetchDocumentResponse toWire(const FetchDocumentResponse &value);
wire::FetchDrainsRequest toWire(const FetchDrainsRequest &value);
wire::FetchDrainsResponse toWire(const FetchDrainsResponse &value);
wire::HandoffPart toWire(const HandoffPart &value);
wire::HandoffAck toWire(const HandoffAck &value);
wire::LoanRequest toWire(const LoanRequest &value);
wire::LoanGrant toWire(const LoanGrant &value);
wire::LoanReturn toWire(const LoanReturn &value);
wire::LoanAck toWire(const LoanAck &value);
wire::CapacityAdvertisement toWire(const CapacityAdvertisement &value);
wire::LoadReport toWire(const LoadReport &value);
wire::FeedRequest toWire(const FeedRequest &value);
wire::FeedResponse toWire(const FeedResponse &value);
wire::UsageMessage toWire(const quota::UsageMessage &value);

membership::Probe fromWire(const wire::Probe &value);
membership::Ack fromWire(const wire::Ack &value);
membership::ProbeRequest fromWire(const wire::ProbeRequest &value);
membership::Gossip fromWire(const wire::Gossip &value);
membership::SummaryExchange fromWire(const wire::SummaryExchange &value);
FetchDocumentRequest fromWire(const wire::FetchDocumentRequest &value);
FetchDocumentResponse fromWire(const wire::FetchDocumentResponse &value);
FetchDrainsRequest fromWire(const wire::FetchDrainsRequest &value);
FetchDrainsResponse fromWire(const wire::FetchDrainsResponse &value);
HandoffPart fromWire(const wire::HandoffPart &value);
HandoffAck fromWire(const wire::HandoffAck &value);
LoanRequest fromWire(const wire::LoanRequest &value);
LoanGrant fromWire(const wire::LoanGrant &value);
LoanReturn fromWire(const wire::LoanReturn &value);
LoanAck fromWire(const wire::LoanAck &value);
CapacityAdvertisement fromWire(const wire::CapacityAdvertisement &value);
LoadReport fromWire(const wire::LoadReport &value);
FeedRequest fromWire(const wire::FeedRequest &value);
FeedResponse fromWire(const wire::FeedResponse &value);
quota::UsageMessage fromWire(const wire::UsageMessage &value);

} // namespace trefoilstile::peer
