// Tests that the messages of the failure detector fit into datagrams.

#include <algorithm>

#include <boost/test/unit_test.hpp>

#include "trefoilstile/base/random.hpp"
#include "trefoilstile/membership/failure_detector.hpp"
#include "trefoilstile/peer/envelope_codec.hpp"

using namespace trefoilstile;
using namespace trefoilstile::membership;

namespace
{

/// Text of the maximum length, unique to the number.
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
            return codec.encode(message).size(); // throws if the message does not fit
        };
        largest = std::max(largest, std::visit(encode, outgoing.message));
        ++count;
    }
};

void runDetectorWith(std::uint64_t members)
{
    base::SplitMix64 random(1);
    FailureDetector detector({}, {~1ULL}, longInfo(1, 1), {longText(999)}, random);
    Encoder encoder;
    base::TimePoint now(std::chrono::hours(1));
    detector.setAnnouncement({{{1ULL << 62U}, longText(5)}, {1ULL << 62U}}, now, encoder);
    for (std::uint64_t number = 2; number < 2 + members; ++number) {
        GossipBody body;
        body.sender = longUpdate(number, number % 4);
        body.announcement = {{{1}, longText(5)}, {1}};
        DomainSummary summary{longText(number % 4), longText(0), ~0U >> 1U, 1, 1, 1, body.announcement, ~0ULL >> 1U, {}, {}};
        summary.relays = {{{~number}, longText(number)}, {{number}, longText(number + 1)}};
        body.summaries.push_back(summary);
        detector.receive(body.sender.incarnation, SummaryExchange{~number, {}, body}, now, encoder);
    }
    for (int tick = 0; tick < 200; ++tick, now += std::chrono::milliseconds(50)) {
        detector.tick(now, encoder);
    }
    BOOST_TEST(encoder.count > 50U);
    BOOST_TEST(encoder.largest > 1'000U, "the largest datagram must be near the limit, but has this many bytes: " << encoder.largest);
    BOOST_TEST_MESSAGE("largest datagram: " << encoder.largest << " bytes of " << encoder.count);
}

} // namespace

BOOST_AUTO_TEST_SUITE(DatagramSizes)

// Guards against gossip that the failure detector considers small enough but that exceeds the datagram limit, which would
// happen if its estimate of the encoded size were too low for names and addresses of the maximum length.
BOOST_AUTO_TEST_CASE(gossipWithTextsOfMaximumLengthFits)
{
    BOOST_CHECK_NO_THROW(runDetectorWith(40));
    BOOST_CHECK_NO_THROW(runDetectorWith(200));
}

// Guards against load reports that are never sent because the speeds of 36 upstreams make them exceed the datagram limit
// (`EntryProcess::s_maximumLoadsWithSpeed`).
BOOST_AUTO_TEST_CASE(loadReportWithSpeedsFits)
{
    peer::LoadReport report;
    for (std::uint64_t i = 0; i < 36; ++i) {
        report.loads.push_back({base::mixBits(i), 900, 64, std::chrono::seconds(3), 500});
    }
    for (std::uint64_t i = 0; i < 25; ++i) {
        report.leavingRuns.push_back(base::mixBits(~i));
    }
    report.tables = {{"upstream_entries", {1ULL << 20U, 1ULL << 40U}}, {"operator_entries", {1ULL << 20U, 1ULL << 40U}}};
    report.peerAddress = "[2001:db8:1111:2222:3333:4444:5555:6666]:65535";
    report.connectionLimits = {{base::mixBits(100), 300}, {base::mixBits(101), 300}};
    peer::EnvelopeCodec codec({"a key of the trial environment", "entry", "entry-instance-of-the-domain-999", {~0ULL}});
    const std::size_t bytes = codec.encode(report).size();
    BOOST_TEST(bytes <= peer::s_maximumDatagramBytes);
    BOOST_TEST_MESSAGE("load report with speeds: " << bytes << " bytes");
}

BOOST_AUTO_TEST_SUITE_END()
