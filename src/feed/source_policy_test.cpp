// Tests of the choice of the source of a table.

#include "trefoilstile/feed/source_policy.hpp"

#include <boost/test/unit_test.hpp>

namespace trefoilstile::feed
{

namespace
{

using namespace std::chrono_literals;

constexpr base::TimePoint s_start = base::TimePoint(100s);

std::string nameOf(const Source &source)
{
    return source.kind == Source::Kind::Store ? "store" : source.kind == Source::Kind::Wait ? "wait" : source.address;
}

SourceOptions withoutJitter()
{
    SourceOptions options;
    options.jitter = 0;
    return options;
}

} // namespace

BOOST_AUTO_TEST_SUITE(SourcePolicySuite)

// Guards against an instance that never asks the store although it knows no reader, and against all instances asking it at once while
// they start together.
BOOST_AUTO_TEST_CASE(unknownReadersAreAwaitedForALimitedTime)
{
    SourcePolicy policy(1, withoutJitter());
    BOOST_TEST(nameOf(policy.next(s_start)) == "wait");
    BOOST_TEST(nameOf(policy.next(s_start + 900ms)) == "wait");
    BOOST_TEST(nameOf(policy.next(s_start + SourceOptions().startLimit)) == "store");
    BOOST_TEST(policy.readsStore());
}

// Guards against a reader that waits for other readers.
BOOST_AUTO_TEST_CASE(readerAsksTheStoreAtOnce)
{
    SourcePolicy policy(1, withoutJitter());
    policy.setReaders(true, {"r1"});
    BOOST_TEST(nameOf(policy.next(s_start)) == "store");
}

// Guards against a follower that stays with a reader that does not answer, or that asks it again at once.
BOOST_AUTO_TEST_CASE(failedReadersAreLeftForTheNextAndThenForTheStore)
{
    SourcePolicy policy(1, withoutJitter());
    policy.setReaders(false, {"r1", "r2"});
    BOOST_TEST(nameOf(policy.next(s_start)) == "r1");
    policy.failed("r1", s_start);
    BOOST_TEST(nameOf(policy.next(s_start)) == "r2");
    policy.failed("r2", s_start);
    const base::TimePoint later = s_start + SourceOptions().startLimit;
    policy.failed("r1", later);
    policy.failed("r2", later);
    BOOST_TEST(nameOf(policy.next(later)) == "store");
    BOOST_TEST(nameOf(policy.next(later + 999ms)) == "store"); // the second pause is twice the first
    BOOST_TEST(nameOf(policy.next(later + 1s)) == "r1");
    policy.succeeded("r1");
    policy.failed("r1", later + 1s);
    BOOST_TEST(nameOf(policy.next(later + 1s + 500ms)) == "r1");
}

// Guards against a follower that stays with a reader which is cut off from the store although the store can be reached, against all
// followers that ask the store because a single call of their reader failed, and against asking it again and again in an outage.
BOOST_AUTO_TEST_CASE(readersWithoutTheStoreAreFollowedOnlyInAnOutage)
{
    SourcePolicy policy(1, withoutJitter());
    policy.setReaders(false, {"r1", "r2"});
    policy.withoutStore("r1", s_start);
    BOOST_TEST(nameOf(policy.next(s_start)) == "r1");
    policy.withoutStore("r1", s_start + 500ms);
    BOOST_TEST(nameOf(policy.next(s_start + 500ms)) == "r2");
    policy.withoutStore("r2", s_start + 500ms);
    BOOST_TEST(nameOf(policy.next(s_start + 500ms)) == "store");
    policy.storeFailed(s_start + 500ms);
    BOOST_TEST(nameOf(policy.next(s_start + 510ms)) == "r1");
    policy.withoutStore("r1", s_start + 1s);
    policy.withoutStore("r2", s_start + 1s);
    BOOST_TEST(nameOf(policy.next(s_start + 1500ms)) == "r1");
    BOOST_TEST(!policy.readsStore());
    policy.withoutStore("r1", s_start + 3s);
    policy.withoutStore("r2", s_start + 3s);
    BOOST_TEST(nameOf(policy.next(s_start + 500ms + SourceOptions().storePause)) == "store");
    policy.succeeded("r2");
    BOOST_TEST(nameOf(policy.next(s_start + 500ms + SourceOptions().storePause)) == "r2");
}

// Guards against a start of the whole fleet in which followers leave their readers, or wait long for them, because these have not read the
// table yet.
BOOST_AUTO_TEST_CASE(startingReaderIsAskedAgainSoon)
{
    SourcePolicy policy(1, withoutJitter());
    policy.setReaders(false, {"r1"});
    for (base::TimePoint now = s_start; now < s_start + 500ms; now += 100ms) {
        BOOST_TEST(nameOf(policy.next(now)) == "r1");
        policy.notReady("r1", now);
        BOOST_TEST(nameOf(policy.next(now + 50ms)) == "wait");
    }
}

// Guards against following a reader that is none any more.
BOOST_AUTO_TEST_CASE(newReadersReplaceTheOldOnes)
{
    SourcePolicy policy(1, withoutJitter());
    policy.setReaders(false, {"r1", "r2"});
    policy.next(s_start);
    policy.setReaders(false, {"r3"});
    BOOST_TEST(nameOf(policy.next(s_start)) == "r3");
    BOOST_TEST(!policy.readsStore());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace trefoilstile::feed
