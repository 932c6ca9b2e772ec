// Channels and names of the payload kinds.

#include "trefoilstile/peer/payload.hpp"

#include <array>

namespace trefoilstile::peer
{

namespace
{

struct Kind {
    std::string_view name;
    Channel channel;
};

/// Same order as the alternatives of `Payload`.
constexpr std::array<Kind, std::variant_size_v<Payload>> s_kinds{{
    {"probe", Channel::Datagram},
    {"ack", Channel::Datagram},
    {"probe_request", Channel::Datagram},
    {"gossip", Channel::Datagram},
    {"summary_exchange", Channel::Datagram},
    {"fetch_document_request", Channel::Frame},
    {"fetch_document_response", Channel::Frame},
    {"fetch_drains_request", Channel::Frame},
    {"fetch_drains_response", Channel::Frame},
    {"handoff_part", Channel::Frame},
    {"handoff_ack", Channel::Frame},
    {"loan_request", Channel::Datagram},
    {"loan_grant", Channel::Datagram},
    {"loan_return", Channel::Datagram},
    {"loan_ack", Channel::Datagram},
    {"capacity_advertisement", Channel::Datagram},
    {"load_report", Channel::Datagram},
    {"feed_request", Channel::Frame},
    {"feed_response", Channel::Frame},
    {"usage", Channel::Datagram},
}};

} // namespace

Channel channelOf(const Payload &payload)
{
    return s_kinds[payload.index()].channel;
}

std::string_view kindName(const Payload &payload)
{
    return s_kinds[payload.index()].name;
}

} // namespace trefoilstile::peer
