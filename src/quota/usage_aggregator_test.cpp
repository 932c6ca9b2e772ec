// Tests of the sums and shares of a failure domain.

#include "trefoilstile/quota/usage_aggregator.hpp"

#include <numeric>

#include <boost/test/unit_test.hpp>

using namespace trefoilstile;
using namespace trefoilstile::quota;
using namespace std::chrono_literals;

namespace
{

constexpr base::TimePoint s_start(100s);
const QuotaOptions s_options{5s, 0.1, 20};
const AccountQuota s_quota{"club", 100, 0}; // target 508
const AccountId s_club = accountId("club");

UsageMessage report(const std::string &sender, std::uint64_t number, std::uint32_t attempts, std::uint64_t incarnation = 1)
{
    UsageMessage message;
    message.kind = UsageKind::Member;
    message.sender = sender;
    message.failureDomain = "east";
    message.incarnation = {incarnation};
    message.number = number;
    message.usages = {{s_club, attempts, {attempts}, 0, 0}};
    return message;
}

UsageMessage domainSums(const std::string &sender, std::uint64_t number, std::uint32_t attempts)
{
    UsageMessage message = report(sender, number, attempts);
    message.kind = UsageKind::Domain;
    message.failureDomain = "west";
    return message;
}

UsageAggregator makeAggregator(std::size_t otherDomains = 0)
{
    UsageAggregator aggregator(s_options, "east");
    aggregator.setAccounts({&s_quota, 1});
    aggregator.setFleet(2, 2, otherDomains);
    return aggregator;
}

/// What the member `n1` would be told of the account, which it reports.
AccountUsage told(UsageAggregator &aggregator, base::TimePoint now)
{
    const UsageMessage asked = report("n1", 0, 0);
    const std::vector<AccountUsage> usages = aggregator.usagesFor("n1", &asked, now);
    return usages.empty() ? AccountUsage() : usages.front();
}

std::uint64_t attempts(const AccountUsage &usage)
{
    return std::accumulate(usage.slots.begin(), usage.slots.end(), std::uint64_t(0));
}

} // namespace

BOOST_AUTO_TEST_SUITE(UsageAggregators)

// Guards against sums that contain the receiver's own attempts, which it would count twice.
BOOST_AUTO_TEST_CASE(memberIsToldTheUseOfTheOthers)
{
    UsageAggregator aggregator = makeAggregator();
    aggregator.apply(report("n1", 1, 100), s_start);
    aggregator.apply(report("n2", 1, 300), s_start);
    aggregator.apply(domainSums("w1", 1, 50), s_start);
    const AccountUsage usage = told(aggregator, s_start + 60ms);
    BOOST_TEST(attempts(usage) == 350U);
    BOOST_TEST(usage.demand == 450U);
    BOOST_TEST(usage.reserved == 0U);
    BOOST_TEST((usage.shareMillionths > 200'000 && usage.shareMillionths < 250'000), usage.shareMillionths);
}

// Guards against messages that change a sum when they arrive twice or too late.
BOOST_AUTO_TEST_CASE(repeatedAndOlderMessagesAreIgnored)
{
    UsageAggregator aggregator = makeAggregator();
    aggregator.apply(report("n2", 7, 300), s_start);
    aggregator.apply(report("n2", 7, 300), s_start + 10ms);
    aggregator.apply(report("n2", 5, 20), s_start + 20ms);
    BOOST_TEST(attempts(told(aggregator, s_start + 100ms)) == 300U);
}

// Guards against the attempts of a killed instance that are forgotten when it starts again, and against its share being lost.
BOOST_AUTO_TEST_CASE(formerIncarnationStaysCounted)
{
    UsageAggregator aggregator = makeAggregator();
    aggregator.apply(report("n2", 9, 300, 1), s_start);
    aggregator.apply(report("n2", 1, 10, 2), s_start + 1s);
    const AccountUsage usage = told(aggregator, s_start + 1100ms);
    BOOST_TEST(attempts(usage) == 310U);
    BOOST_TEST(usage.demand == 300U);
    BOOST_TEST(attempts(told(aggregator, s_start + 8s)) == 0U);
}

// Guards against forgetting attempts of members that are lost together with the aggregators of their failure domain.
BOOST_AUTO_TEST_CASE(smallerSumsOfANewAggregatorDoNotReplaceKnownAttempts)
{
    UsageAggregator aggregator = makeAggregator(1);
    aggregator.apply(domainSums("w1", 9, 400), s_start);
    UsageMessage successor = domainSums("w2", 1, 0);
    successor.incarnation = {2};
    successor.usages = {{s_club, 300, {30, 0, 0, 0, 250}, 0, 0}}; // the attempts until the loss, one second ago, and later ones
    aggregator.apply(successor, s_start + 1s);
    BOOST_TEST(attempts(told(aggregator, s_start + 1100ms)) == 430U);
    successor.number = 2;
    successor.usages = {{s_club, 300, {30, 0, 0, 0, 0, 350}, 0, 0}};
    aggregator.apply(successor, s_start + 1250ms);
    BOOST_TEST(attempts(told(aggregator, s_start + 1350ms)) == 430U);
    BOOST_TEST(attempts(told(aggregator, s_start + 5500ms)) <= 30U);
}

// Guards against the quota of a silent instance being used by others while callers still reach it, and against its loss for good.
BOOST_AUTO_TEST_CASE(shareOfASilentMemberIsReservedForAWhile)
{
    UsageAggregator aggregator = makeAggregator();
    aggregator.apply(report("n1", 1, 250), s_start);
    aggregator.apply(report("n2", 1, 250), s_start);
    BOOST_TEST(told(aggregator, s_start + 100ms).reserved == 0U);
    const auto later = [&](base::Duration time) {
        aggregator.apply(report("n1", 100 + static_cast<std::uint64_t>(time.count() / 1'000'000), 250), s_start + time);
        return told(aggregator, s_start + time + 60ms).reserved;
    };
    const std::uint64_t reserved = later(8s);
    BOOST_TEST((reserved >= 240 && reserved <= 270), reserved);
    BOOST_TEST(later(30s) == reserved);
    BOOST_TEST(later(36s) == 0U);
}

// Guards against a failure domain that is cut off and takes the quota of the others for itself.
BOOST_AUTO_TEST_CASE(shareOfASilentFailureDomainIsReserved)
{
    UsageAggregator aggregator = makeAggregator(1);
    aggregator.apply(report("n1", 1, 100), s_start);
    aggregator.apply(domainSums("w1", 1, 400), s_start);
    told(aggregator, s_start + 60ms);
    aggregator.apply(report("n1", 2, 100), s_start + 9s);
    const std::uint64_t reserved = told(aggregator, s_start + 9100ms).reserved;
    BOOST_TEST((reserved >= 390 && reserved <= 420), reserved);
}

// Guards against an instance that is cut off and answers itself as the only member of its failure domain.
BOOST_AUTO_TEST_CASE(aggregatorThatHearsFewMembersIsNotReady)
{
    UsageAggregator aggregator = makeAggregator();
    aggregator.setFleet(12, 12, 0);
    aggregator.apply(report("n1", 1, 1), s_start);
    aggregator.apply(report("n1", 2, 1), s_start + 1s);
    aggregator.apply(report("n1", 3, 1), s_start + 2s);
    BOOST_TEST(!aggregator.ready(s_start + 2s));
    for (int member = 2; member <= 6; ++member) {
        aggregator.apply(report("n" + std::to_string(member), 1, 1), s_start + 2s);
    }
    BOOST_TEST(aggregator.ready(s_start + 2s));
    aggregator.apply(report("n1", 9, 1), s_start + 20s); // the first message after a suspension
    BOOST_TEST(!aggregator.ready(s_start + 20s));
}

// Guards against a message that does not fit into a datagram and is then never sent.
BOOST_AUTO_TEST_CASE(messagesAreSplit)
{
    UsageMessage message = report("n1", 1, 0);
    message.usages.assign(200, {s_club, 100'000, std::vector<std::uint32_t>(s_slots, 500), 7, 1});
    std::size_t accounts = 0;
    for (const UsageMessage &part : splitMessage(message)) {
        BOOST_TEST(part.number == message.number);
        BOOST_TEST(part.usages.size() < 20U);
        accounts += part.usages.size();
    }
    BOOST_TEST(accounts == 200U);
    message.usages.clear();
    BOOST_TEST(splitMessage(message).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
