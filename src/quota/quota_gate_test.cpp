// Tests of admission at one instance.

#include "trefoilstile/quota/quota_gate.hpp"

#include <boost/test/unit_test.hpp>

using namespace trefoilstile;
using namespace trefoilstile::quota;
using namespace std::chrono_literals;

namespace
{

constexpr base::TimePoint s_start(100s);
const QuotaOptions s_options{5s, 0.1, 20};
const AccountQuota s_quota{"club", 10, 10}; // 60 granted requests, at most 86
const AccountId s_club = accountId("club");

QuotaGate makeGate(std::size_t members)
{
    QuotaGate gate(s_options, 1);
    gate.setAccounts({&s_quota, 1});
    gate.setMembers(members);
    return gate;
}

int admitMany(QuotaGate &gate, int count, base::TimePoint now)
{
    int admitted = 0;
    for (int request = 0; request < count; ++request) {
        admitted += gate.admit(s_club, now).admitted ? 1 : 0;
    }
    return admitted;
}

/// A reply to the last report.
UsageMessage replyTo(const QuotaGate &gate, AccountUsage usage)
{
    UsageMessage reply;
    reply.kind = UsageKind::Reply;
    reply.number = gate.reportNumber();
    reply.usages = {std::move(usage)};
    return reply;
}

} // namespace

BOOST_AUTO_TEST_SUITE(QuotaGates)

// Guards against limits where the configuration or the settings do not ask for them.
BOOST_AUTO_TEST_CASE(nothingIsCountedWithoutQuotas)
{
    QuotaGate gate(s_options, 1);
    const AccountQuota unlimited{"club", 0, 0};
    gate.setAccounts({&unlimited, 1});
    BOOST_TEST(!gate.active());
    BOOST_TEST(admitMany(gate, 1000, s_start) == 1000);
    QuotaGate off({}, 1);
    off.setAccounts({&s_quota, 1});
    BOOST_TEST(!off.active());
    BOOST_TEST(off.report(s_start).empty());
}

// Guards against a lone instance that refuses granted requests or exceeds the bound.
BOOST_AUTO_TEST_CASE(loneInstanceUsesTheWholeQuota)
{
    QuotaGate gate = makeGate(1);
    const int admitted = admitMany(gate, 1000, s_start);
    BOOST_TEST(admitted >= 60);
    BOOST_TEST(admitted <= 86);
    BOOST_TEST(admitMany(gate, 10, s_start + 4900ms) == 0);
    BOOST_TEST(admitMany(gate, 1000, s_start + 5200ms) >= 60);
}

// Guards against callers that come back before quota is free, or all at once.
BOOST_AUTO_TEST_CASE(refusalSaysWhenToComeBack)
{
    QuotaGate gate = makeGate(1);
    admitMany(gate, 100, s_start);
    const Decision first = gate.admit(s_club, s_start);
    const Decision second = gate.admit(s_club, s_start);
    BOOST_TEST(!first.admitted);
    BOOST_TEST((first.retryAfter >= 100ms && first.retryAfter <= 7s));
    BOOST_TEST((first.retryAfter != second.retryAfter));
}

// Guards against a credit that stays lost after a request was refused for lack of capacity.
BOOST_AUTO_TEST_CASE(returnedCreditCanBeUsedAgain)
{
    QuotaGate gate = makeGate(1);
    admitMany(gate, 100, s_start);
    BOOST_TEST(!gate.admitFurther(s_club, s_start));
    gate.returned(s_club, s_start, s_start + 1s);
    BOOST_TEST(gate.admitFurther(s_club, s_start + 1s));
    BOOST_TEST(!gate.admitFurther(s_club, s_start + 1s));
}

// Guards against an instance without news that takes more than its part: first its last share, then an equal part.
BOOST_AUTO_TEST_CASE(withoutNewsTheLastShareIsUsedAndThenAnEqualPart)
{
    QuotaGate gate = makeGate(60);
    gate.report(s_start);
    gate.apply(replyTo(gate, {s_club, 50, {}, 0, 500'000}), s_start);
    const int withShare = admitMany(gate, 200, s_start + 10s);
    BOOST_TEST((withShare >= 30 && withShare <= 33), withShare);
    BOOST_TEST(admitMany(gate, 200, s_start + 40s) <= 2);
}

// Guards against admission on the news of before a suspension, which replies that waited would bring.
BOOST_AUTO_TEST_CASE(replyToAnOldReportIsIgnored)
{
    QuotaGate gate = makeGate(60);
    gate.report(s_start);
    const UsageMessage late = replyTo(gate, {s_club, 0, {}, 0, 1'000'000});
    gate.apply(late, s_start + 10s);
    BOOST_TEST(!gate.newsAge(s_start + 10s).has_value());
    BOOST_TEST(admitMany(gate, 200, s_start + 10s) <= 2);
}

// Guards against an older reply that overtakes a newer one and brings back an old sum.
BOOST_AUTO_TEST_CASE(olderReplyDoesNotReplaceANewerOne)
{
    QuotaGate gate = makeGate(60);
    gate.report(s_start);
    const UsageMessage older = replyTo(gate, {s_club, 0, {}, 0, 1'000'000});
    gate.report(s_start + 300ms);
    gate.apply(replyTo(gate, {s_club, 100, {100}, 0, 10'000}), s_start + 310ms);
    gate.apply(older, s_start + 320ms);
    BOOST_TEST(admitMany(gate, 100, s_start + 330ms) == 0);
}

// Guards against a new aggregator that knows less than the former one.
BOOST_AUTO_TEST_CASE(attemptsThatTheFormerAggregatorReportedStayCounted)
{
    QuotaGate gate = makeGate(60);
    const auto reply = [&gate](const std::string &sender, std::uint32_t attempts, base::TimePoint now) {
        gate.report(now);
        UsageMessage message = replyTo(gate, {s_club, 20, std::vector<std::uint32_t>(5, attempts / 5), 0, 1'000'000});
        message.sender = sender;
        gate.apply(message, now);
    };
    reply("n1", 60, s_start);
    reply("n1", 60, s_start + 2s);
    reply("n2", 5, s_start + 2100ms);
    const int admitted = admitMany(gate, 100, s_start + 2200ms);
    BOOST_TEST(admitted <= 5, admitted);
}

// Guards against a quota that is lowered and has no effect on what is already counted.
BOOST_AUTO_TEST_CASE(lowerQuotaCountsEarlierAttempts)
{
    QuotaGate gate = makeGate(1);
    BOOST_TEST(admitMany(gate, 40, s_start) == 40);
    const AccountQuota lower{"club", 2, 0};
    gate.setAccounts({&lower, 1});
    BOOST_TEST(admitMany(gate, 40, s_start + 1s) == 0);
    const int later = admitMany(gate, 400, s_start + 6s);
    BOOST_TEST((later >= 10 && later <= 31), later);
}

// Guards against operators who do not learn that a quota limits an account, or who get a line for each refusal.
BOOST_AUTO_TEST_CASE(changesAreReportedOnceEach)
{
    QuotaGate gate = makeGate(1);
    admitMany(gate, 200, s_start);
    const std::vector<LimitChange> begin = gate.takeChanges(s_start);
    BOOST_TEST_REQUIRE(begin.size() == 1U);
    BOOST_TEST((begin[0].limited && begin[0].account == "club"));
    admitMany(gate, 200, s_start + 1s);
    BOOST_TEST(gate.takeChanges(s_start + 1s).empty());
    const std::vector<LimitChange> end = gate.takeChanges(s_start + 6100ms);
    BOOST_TEST_REQUIRE(end.size() == 1U);
    BOOST_TEST(!end[0].limited);
}

BOOST_AUTO_TEST_SUITE_END()
