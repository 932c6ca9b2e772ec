// Guards against gossip that the failure detector considers small enough but that does not fit into a datagram.

#include <algorithm>

#include <boost/test/unit_test.hpp>

#include "trefoilstile/membership/failure_detector.hpp"
#include "trefoilstile/peer/envelope_codec.hpp"

using namespace trefoilstile;
using namespace trefoilstile::membership;

namespace
{

/// Texts of the greatest length allowed.
std::string longText(std::uint64_t number)
{
    const std::string digits = std::to_string(number);
    return std::string(64 - digits.size(), 'x') + digits;
}

MemberInfo longInfo(std::uint64_t number, std::uint64_t domain)
{
    return {longText(number), longText(number), longText(number), longText(0), longText(domain)};
}

MemberUpdate longUpdate(std::uint64_t number, std::uint64_t domain)
{
    MemberUpdate update{{~number}, {}, longInfo(number, domain)};
    update.status = {1ULL << 62U, MemberState::Alive, 1ULL << 62U, true, {1ULL << 62U}, {1ULL << 62U}, ~0U};
    return update;
}

struct Encoder {
    peer::EnvelopeCodec codec{{"a key of the trial environment", longText(0), longText(0), {~0ULL}}};
    std::size_t count{};
    std::size_t largest{};

    void send(const Outgoing &outgoing)
    {
        const auto encode = [this](const auto &message) {
            return codec.encode(message).size(); // throws if it does not fit
        };
        largest = std::max(largest, std::visit(encode, outgoing.message));
        ++count;
    }
};

void exerciseWith(std::uint64_t members)
{
    base::SplitMix64 random(1);
    FailureDetector detector({}, {~1ULL}, longInfo(1, 1), {longText(999)}, random);
    Encoder sink;
    base::TimePoint now(std::chrono::hours(1));
    detector.setAnnouncement({{{1ULL << 62U}, longText(5)}, {1ULL << 62U}}, now, sink);
    for (std::uint64_t number = 2; number < 2 + members; ++number) {
        GossipBody body;
        body.sender = longUpdate(number, number % 4);
        body.announcement = {{{1}, longText(5)}, {1}};
        DomainSummary summary{longText(number % 4), longText(0), ~0U >> 1U, 1, 1, 1, body.announcement, ~0ULL >> 1U, {}, {}};
        summary.relays = {{{~number}, longText(number)}, {{number}, longText(number + 1)}};
        body.summaries.push_back(summary);
        detector.receive(body.sender.incarnation, SummaryExchange{~number, {}, body}, now, sink);
    }
    for (int tick = 0; tick < 200; ++tick, now += std::chrono::milliseconds(50)) {
        detector.tick(now, sink);
    }
    BOOST_TEST(sink.count > 50U);
    BOOST_TEST(sink.largest > 1'000U, "the test must come near the limit, not " << sink.largest);
    BOOST_TEST_MESSAGE("largest datagram: " << sink.largest << " bytes of " << sink.count);
}

} // namespace

BOOST_AUTO_TEST_SUITE(DatagramSizes)

BOOST_AUTO_TEST_CASE(gossipFitsWithTheLongestTexts)
{
    BOOST_CHECK_NO_THROW(exerciseWith(40));
    BOOST_CHECK_NO_THROW(exerciseWith(200));
}

BOOST_AUTO_TEST_SUITE_END()
