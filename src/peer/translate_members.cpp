// Translation of the messages of the membership module to and from Thrift structs.

#include <algorithm>

#include "translate.hpp"

namespace trefoilstile::peer
{

namespace
{

constexpr base::Duration s_maximumDuration = std::chrono::hours(24);

wire::Announcement toWire(const steering::Announcement &value)
{
    wire::Announcement out;
    out.generation = bitsToWire(value.document.generation);
    out.hash = value.document.hash;
    out.drainGeneration = bitsToWire(value.drains);
    return out;
}

steering::Announcement fromWire(const wire::Announcement &value)
{
    return {{generationFromWire(value.generation), checkedText(value.hash)}, generationFromWire(value.drainGeneration)};
}

wire::MemberUpdate toWire(const membership::MemberUpdate &value)
{
    wire::MemberUpdate out;
    out.incarnation = bitsToWire(value.incarnation);
    out.statusNumber = bitsToWire(value.status.statusNumber);
    out.state = static_cast<std::int32_t>(value.status.state);
    out.reportNumber = bitsToWire(value.status.reportNumber);
    out.leaving = value.status.leaving;
    out.generation = bitsToWire(value.status.generation);
    out.drainGeneration = bitsToWire(value.status.drainGeneration);
    out.spareCapacity = value.status.spareCapacity;
    if (value.info) {
        wire::MemberInfo info;
        info.name = value.info->name;
        info.callerAddress = value.info->callerAddress;
        info.peerAddress = value.info->peerAddress;
        info.region = value.info->region;
        info.failureDomain = value.info->failureDomain;
        out.__set_info(info);
    }
    return out;
}

membership::MemberUpdate fromWire(const wire::MemberUpdate &value)
{
    membership::MemberUpdate out;
    out.incarnation = incarnationFromWire(value.incarnation);
    out.status.statusNumber = checkedNumber<std::uint64_t>(value.statusNumber);
    out.status.state = checkedEnum(value.state, membership::MemberState::Dead);
    out.status.reportNumber = checkedNumber<std::uint64_t>(value.reportNumber);
    out.status.leaving = value.leaving;
    out.status.generation = generationFromWire(value.generation);
    out.status.drainGeneration = generationFromWire(value.drainGeneration);
    out.status.spareCapacity = checkedNumber<std::uint32_t>(value.spareCapacity);
    if (value.__isset.info) {
        out.info = membership::MemberInfo{checkedText(value.info.name),
            checkedText(value.info.callerAddress),
            checkedText(value.info.peerAddress),
            checkedText(value.info.region),
            checkedText(value.info.failureDomain)};
    }
    return out;
}

wire::DomainSummary toWire(const membership::DomainSummary &value)
{
    wire::DomainSummary out;
    out.failureDomain = value.failureDomain;
    out.region = value.region;
    out.alive = static_cast<std::int32_t>(value.alive);
    out.suspect = static_cast<std::int32_t>(value.suspect);
    out.dead = static_cast<std::int32_t>(value.dead);
    out.leaving = static_cast<std::int32_t>(value.leaving);
    out.highest = toWire(value.highest);
    out.spareCapacity = bitsToWire(value.spareCapacity);
    out.ageMs = millisecondsToWire(value.age);
    for (const membership::RelayAddress &relay : value.relays) {
        wire::RelayAddress address;
        address.incarnation = bitsToWire(relay.incarnation);
        address.peerAddress = relay.peerAddress;
        out.relays.push_back(address);
    }
    return out;
}

membership::DomainSummary fromWire(const wire::DomainSummary &value)
{
    membership::DomainSummary out;
    out.failureDomain = checkedText(value.failureDomain);
    out.region = checkedText(value.region);
    out.alive = checkedNumber<std::uint32_t>(value.alive);
    out.suspect = checkedNumber<std::uint32_t>(value.suspect);
    out.dead = checkedNumber<std::uint32_t>(value.dead);
    out.leaving = checkedNumber<std::uint32_t>(value.leaving);
    out.highest = fromWire(value.highest);
    out.spareCapacity = checkedNumber<std::uint64_t>(value.spareCapacity);
    out.age = durationFromWire(value.ageMs);
    for (const wire::RelayAddress &relay : value.relays) {
        out.relays.push_back({incarnationFromWire(relay.incarnation), checkedText(relay.peerAddress)});
    }
    return out;
}

/// Translates the fields common to all requests to one incarnation.
template<typename Wire, typename Plain>
Wire requestToWire(const Plain &value)
{
    Wire out;
    out.nonce = bitsToWire(value.nonce);
    out.target = bitsToWire(value.target);
    out.body = peer::toWire(value.body);
    return out;
}

template<typename Plain, typename Wire>
Plain requestFromWire(const Wire &value)
{
    Plain out;
    out.nonce = bitsFromWire(value.nonce);
    out.target = incarnationFromWire(value.target);
    out.body = peer::fromWire(value.body);
    return out;
}

} // namespace

std::int64_t millisecondsToWire(base::Duration duration)
{
    return base::toMilliseconds(std::min(duration, s_maximumDuration));
}

base::Duration durationFromWire(std::int64_t milliseconds)
{
    require(milliseconds >= 0 && milliseconds <= base::toMilliseconds(s_maximumDuration), "duration out of range");
    return std::chrono::milliseconds(milliseconds);
}

wire::GossipBody toWire(const membership::GossipBody &value)
{
    wire::GossipBody out;
    out.announcement = toWire(value.announcement);
    out.sender = toWire(value.sender);
    for (const membership::MemberUpdate &update : value.updates) {
        out.updates.push_back(toWire(update));
    }
    for (const membership::DomainSummary &summary : value.summaries) {
        out.summaries.push_back(toWire(summary));
    }
    return out;
}

membership::GossipBody fromWire(const wire::GossipBody &value)
{
    membership::GossipBody out;
    out.announcement = fromWire(value.announcement);
    out.sender = fromWire(value.sender);
    require(out.sender.info.has_value(), "the sender's member info is missing");
    for (const wire::MemberUpdate &update : value.updates) {
        out.updates.push_back(fromWire(update));
    }
    for (const wire::DomainSummary &summary : value.summaries) {
        out.summaries.push_back(fromWire(summary));
    }
    return out;
}

wire::Probe toWire(const membership::Probe &value)
{
    return requestToWire<wire::Probe>(value);
}

wire::ProbeRequest toWire(const membership::ProbeRequest &value)
{
    auto out = requestToWire<wire::ProbeRequest>(value);
    out.targetAddress = value.targetAddress;
    return out;
}

wire::SummaryExchange toWire(const membership::SummaryExchange &value)
{
    return requestToWire<wire::SummaryExchange>(value);
}

wire::Ack toWire(const membership::Ack &value)
{
    wire::Ack out;
    out.nonce = bitsToWire(value.nonce);
    out.responder = bitsToWire(value.responder);
    out.body = toWire(value.body);
    return out;
}

wire::Gossip toWire(const membership::Gossip &value)
{
    wire::Gossip out;
    out.body = toWire(value.body);
    return out;
}

membership::Probe fromWire(const wire::Probe &value)
{
    return requestFromWire<membership::Probe>(value);
}

membership::ProbeRequest fromWire(const wire::ProbeRequest &value)
{
    auto out = requestFromWire<membership::ProbeRequest>(value);
    out.targetAddress = checkedText(value.targetAddress);
    return out;
}

membership::SummaryExchange fromWire(const wire::SummaryExchange &value)
{
    return requestFromWire<membership::SummaryExchange>(value);
}

membership::Ack fromWire(const wire::Ack &value)
{
    return {bitsFromWire(value.nonce), incarnationFromWire(value.responder), fromWire(value.body)};
}

membership::Gossip fromWire(const wire::Gossip &value)
{
    return {fromWire(value.body)};
}

} // namespace trefoilstile::peer
