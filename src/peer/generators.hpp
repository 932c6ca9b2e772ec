// Generators of random payloads for the tests of this module.
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

inline std::uint64_t anyNumber()
{
    return *rc::gen::arbitrary<std::uint64_t>();
}

/// Number that is not negative as a signed 64-bit integer.
inline std::uint64_t nonNegativeNumber()
{
    return anyNumber() >> 1U;
}

/// Number that is not negative as a signed 32-bit integer.
inline std::uint32_t smallNumber()
{
    return static_cast<std::uint32_t>(anyNumber() >> 33U);
}

inline base::Duration duration()
{
    return std::chrono::milliseconds(*rc::gen::inRange(0, 86'400'000));
}

inline steering::Announcement announcement()
{
    return {{{nonNegativeNumber()}, text()}, {nonNegativeNumber()}};
}

inline membership::MemberUpdate memberUpdate(bool withInfo)
{
    membership::MemberUpdate update;
    update.incarnation = {anyNumber()};
    update.status = {nonNegativeNumber(),
        membership::MemberState(*rc::gen::inRange(0, 3)),
        nonNegativeNumber(),
        *rc::gen::arbitrary<bool>(),
        {nonNegativeNumber()},
        {nonNegativeNumber()},
        smallNumber()};
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
        body.summaries.push_back({text(), text(), count, 1, 2, 3, announcement(), nonNegativeNumber(), duration(), {{{anyNumber()}, text()}}});
    }
    return body;
}

inline Part part()
{
    const std::string bytes = text();
    return {anyNumber(), 0, 1 + smallNumber() / 2, bytes.size(), bytes};
}

inline LoanTerms loanTerms()
{
    return {anyNumber(), text(), text(), nonNegativeNumber(), nonNegativeNumber(), duration()};
}

/// One payload of each kind, in the order of `Payload`.
inline std::vector<Payload> onePayloadOfEachKind()
{
    return {membership::Probe{anyNumber(), {anyNumber()}, gossipBody()},
        membership::Ack{anyNumber(), {anyNumber()}, gossipBody()},
        membership::ProbeRequest{anyNumber(), {anyNumber()}, text(), gossipBody()},
        membership::Gossip{gossipBody()},
        membership::SummaryExchange{anyNumber(), {anyNumber()}, gossipBody()},
        FetchDocumentRequest{anyNumber(), {{nonNegativeNumber()}, text()}},
        FetchDocumentResponse{FetchStatus::Found, {{nonNegativeNumber()}, text()}, part()},
        FetchDrainsRequest{anyNumber(), {nonNegativeNumber()}},
        FetchDrainsResponse{FetchStatus::Busy, {nonNegativeNumber()}, part()},
        HandoffPart{{anyNumber()}, part()},
        HandoffAck{{anyNumber()}, anyNumber(), smallNumber(), true},
        LoanRequest{loanTerms()},
        LoanGrant{loanTerms()},
        LoanReturn{anyNumber()},
        LoanAck{anyNumber()},
        CapacityAdvertisement{text(), nonNegativeNumber(), duration(), {{text(), nonNegativeNumber()}, {text(), nonNegativeNumber()}}},
        LoadReport{{{anyNumber(), smallNumber(), smallNumber(), duration(), 250}, {anyNumber(), smallNumber(), smallNumber(), duration()}},
            {anyNumber(), anyNumber()},
            {{text(), {nonNegativeNumber(), nonNegativeNumber()}}},
            text(),
            {{anyNumber(), smallNumber()}}},
        FeedRequest{text(), {nonNegativeNumber(), nonNegativeNumber()}, true, duration(), false},
        FeedResponse{FeedStatus::Changes, text(), {nonNegativeNumber(), nonNegativeNumber()}, true, true, {text(), 5}},
        quota::UsageMessage{quota::UsageKind::Reply,
            text(),
            text(),
            text(),
            {anyNumber()},
            nonNegativeNumber(),
            true,
            {{{anyNumber()}, nonNegativeNumber(), {smallNumber(), 0, smallNumber()}, nonNegativeNumber(), smallNumber() % 1'000'001}}}};
}

} // namespace trefoilstile::peer::testing
