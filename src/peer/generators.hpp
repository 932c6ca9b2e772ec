// Random payloads for the tests of this module.
#pragma once

#include <string>
#include <vector>

#include <rapidcheck.h>

#include "trefoilstile/peer/payload.hpp"

namespace trefoilstile::peer::testing
{

inline std::string text()
{
    return *rc::gen::resize(20, rc::gen::string<std::string>());
}

inline std::uint64_t bits()
{
    return *rc::gen::arbitrary<std::uint64_t>();
}

inline std::uint64_t number()
{
    return bits() >> 1U;
}

inline std::uint32_t smallNumber()
{
    return static_cast<std::uint32_t>(bits() >> 33U);
}

inline base::Duration span()
{
    return std::chrono::milliseconds(*rc::gen::inRange(0, 86'400'000));
}

inline steering::Announcement announcement()
{
    return {{{number()}, text()}, {number()}};
}

inline membership::MemberUpdate memberUpdate(bool withInfo)
{
    membership::MemberUpdate update;
    update.incarnation = {bits()};
    update.status = {number(), membership::MemberState(*rc::gen::inRange(0, 3)), number(), *rc::gen::arbitrary<bool>(), {number()}, {number()}, smallNumber()};
    if (withInfo) {
        update.info = membership::MemberInfo{text(), text(), text(), text(), text()};
    }
    return update;
}

inline membership::GossipBody gossipBody()
{
    membership::GossipBody body{announcement(), memberUpdate(true), {}, {}};
    for (int i = *rc::gen::inRange(0, 4); i > 0; --i) {
        body.updates.push_back(memberUpdate(*rc::gen::arbitrary<bool>()));
    }
    for (int i = *rc::gen::inRange(0, 3); i > 0; --i) {
        const auto count = smallNumber();
        body.summaries.push_back({text(), text(), count, 1, 2, 3, announcement(), number(), span(), {{{bits()}, text()}}});
    }
    return body;
}

inline Part part()
{
    const std::string bytes = text();
    return {bits(), 0, 1 + smallNumber() / 2, bytes.size(), bytes};
}

inline LoanTerms loanTerms()
{
    return {bits(), text(), text(), number(), number(), span()};
}

/// A payload of each kind, in order.
inline std::vector<Payload> onePayloadOfEachKind()
{
    return {membership::Probe{bits(), {bits()}, gossipBody()},
        membership::Ack{bits(), {bits()}, gossipBody()},
        membership::ProbeRequest{bits(), {bits()}, text(), gossipBody()},
        membership::Gossip{gossipBody()},
        membership::SummaryExchange{bits(), {bits()}, gossipBody()},
        FetchDocumentRequest{bits(), {{number()}, text()}},
        FetchDocumentResponse{FetchStatus::Found, {{number()}, text()}, part()},
        FetchDrainsRequest{bits(), {number()}},
        FetchDrainsResponse{FetchStatus::Busy, {number()}, part()},
        HandoffPart{{bits()}, part()},
        HandoffAck{{bits()}, bits(), smallNumber(), true},
        LoanRequest{loanTerms()},
        LoanGrant{loanTerms()},
        LoanReturn{bits()},
        LoanAck{bits()},
        CapacityAdvertisement{text(), number(), span(), {{text(), number()}, {text(), number()}}},
        LoadReport{{{bits(), smallNumber(), smallNumber(), span()}, {bits(), smallNumber(), smallNumber(), span()}}}};
}

} // namespace trefoilstile::peer::testing
