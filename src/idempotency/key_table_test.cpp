// Tests of one key table: at most one run for each key, not-run only with proof, bounded memory, and the sealed export.

#include "trefoilstile/idempotency/key_table.hpp"

#include <boost/test/unit_test.hpp>

#include "trefoilstile/idempotency/error.hpp"

using namespace trefoilstile;
using namespace trefoilstile::idempotency;
using namespace std::chrono_literals;
using base::RequestId;

namespace
{
constexpr base::TimePoint s_start{};
constexpr Fingerprint s_fingerprint{7};

struct Fixture {
    KeyIssuer issuer{{0xabc}, s_start};
    KeyTable table{issuer};
    std::string key = issuer.prefixFor(s_start, 1) + "a";
    StoredResponsePointer response = std::make_shared<StoredResponse>(StoredResponse{201, "application/json", "{}"});

    KeyDecision begin(std::string_view text, std::uint64_t id, base::TimePoint now = s_start, std::optional<std::uint32_t> repeat = {})
    {
        return table.begin(text, s_fingerprint, RequestId{id}, now, repeat).decision;
    }
};
} // namespace

BOOST_FIXTURE_TEST_SUITE(KeyTables, Fixture)

// Guards against a request that is both sent and declared not run, whichever of sending and queue expiry comes first.
BOOST_AUTO_TEST_CASE(senderAndExpiryCannotBothSucceed)
{
    BOOST_TEST((begin(key, 1) == KeyDecision::Run));
    table.expire(key, RequestId{1}, s_start);
    BOOST_CHECK_THROW(table.markSent(key, RequestId{1}), Error);
    BOOST_TEST((begin(key, 2) == KeyDecision::Run));
    BOOST_CHECK_THROW(table.markSent(key, RequestId{1}), Error); // request 2 holds the key now
    table.markSent(key, RequestId{2});
    BOOST_CHECK_THROW(table.expire(key, RequestId{2}, s_start), Error);
    BOOST_CHECK_THROW(table.markSent(key, RequestId{2}), Error);
    table.markOutcomeUnknown(key, RequestId{2}, s_start);
    BOOST_CHECK_THROW(table.markNotRun(key, RequestId{2}, s_start), Error);
    BOOST_TEST((begin(key, 3) == KeyDecision::Unknown));
}

// Guards against waiters that get no outcome, and against a number of waiters that grows without limit.
BOOST_AUTO_TEST_CASE(waitersGetTheOutcomeAndAreBounded)
{
    BOOST_TEST((begin(key, 1) == KeyDecision::Run));
    for (std::uint64_t id = 2; id <= 5; ++id) {
        BOOST_TEST((begin(key, id) == KeyDecision::Wait));
    }
    BOOST_TEST((begin(key, 6) == KeyDecision::TooManyWaiters));
    BOOST_TEST((table.withdraw(key, RequestId{3}, s_start).kind == Withdrawal::WaiterRemoved));
    table.markSent(key, RequestId{1});
    BOOST_TEST((table.withdraw(key, RequestId{1}, s_start).kind == Withdrawal::Continues));
    const KeyResolution resolution = table.complete(key, RequestId{1}, response, s_start);
    BOOST_TEST(resolution.outcomes.size() == 3U);
    BOOST_TEST((resolution.outcomes.front().outcome == Outcome::Replay && resolution.response == response));
    BOOST_TEST((table.begin(key, s_fingerprint, RequestId{7}, s_start).response == response));
    BOOST_TEST((table.begin(key, Fingerprint{8}, RequestId{8}, s_start).decision == KeyDecision::Mismatch));
}

// Guards against a waiting repeat that is answered not-run only because the connection of the first attempt broke.
BOOST_AUTO_TEST_CASE(waiterReplacesAQueuedRequestWhoseCallerDisconnected)
{
    begin(key, 1);
    begin(key, 2);
    const WithdrawResult withdrawn = table.withdraw(key, RequestId{1}, s_start);
    BOOST_TEST((withdrawn.kind == Withdrawal::HandedOver && withdrawn.next == RequestId{2}));
    BOOST_CHECK_THROW(table.markSent(key, RequestId{1}), Error);
    table.markSent(key, RequestId{2});
    table.markNotRun(key, RequestId{2}, s_start);
    BOOST_TEST(table.size() == 0U);
    BOOST_TEST(table.bytes() == 0U);
}

// Guards against a run of a copy that was still in transit when its caller received not-run.
BOOST_AUTO_TEST_CASE(delayedCopyOfARefusedAttemptDoesNotRun)
{
    BOOST_TEST((begin(key, 1, s_start, 3) == KeyDecision::Run));
    BOOST_TEST((begin(key, 2, s_start, 4) == KeyDecision::Wait));
    BOOST_TEST(table.expire(key, RequestId{1}, s_start).outcomes.size() == 2U);
    BOOST_TEST((begin(key, 3, s_start, 4) == KeyDecision::NotRun));
    BOOST_TEST((begin(key, 4, s_start, 2) == KeyDecision::NotRun));
    BOOST_TEST((begin(key, 5, s_start, 5) == KeyDecision::Run));
    BOOST_TEST((begin(key, 6, s_start, 4) == KeyDecision::Unknown)); // must not become the holder after request 5
}

// Guards against a second run after the record was evicted.
BOOST_AUTO_TEST_CASE(keysOfEvictedRecordsAreExpired)
{
    const KeyTableOptions options;
    const base::TimePoint late = s_start + options.keyLifetime;
    BOOST_TEST((begin(key, 1, late) == KeyDecision::Run));
    table.markSent(key, RequestId{1});
    table.complete(key, RequestId{1}, response, late);
    BOOST_TEST((begin(key, 2, late + options.retention - 1ns) == KeyDecision::Replay));
    BOOST_TEST((begin(key, 3, late + options.retention) == KeyDecision::Unknown));
    BOOST_TEST(table.size() == 0U);
    BOOST_TEST((begin(issuer.prefixFor(s_start + 1h, 1) + "a", 4) == KeyDecision::Invalid));
    BOOST_CHECK_THROW(KeyTable(issuer, {.keyLifetime = 10min, .retention = 13min}), Error);
}

// Guards against unbounded memory, and against a full table that evicts records of keys that ran.
BOOST_AUTO_TEST_CASE(fullTableRejectsAndEvictsNothing)
{
    table = KeyTable(issuer, {.maximumRecords = 2, .maximumRefusals = 1});
    const std::string prefix = issuer.prefixFor(s_start, 2);
    for (const char *suffix : {"a", "b"}) {
        BOOST_TEST((begin(prefix + suffix, 1) == KeyDecision::Run));
        table.markSent(prefix + suffix, RequestId{1});
        table.complete(prefix + suffix, RequestId{1}, response, s_start);
    }
    BOOST_TEST((begin(prefix + "c", 2) == KeyDecision::Full));
    BOOST_TEST(table.begin(prefix + "c", s_fingerprint, RequestId{3}, s_start, 0).provedNotRun);
    BOOST_TEST(!table.begin(prefix + "d", s_fingerprint, RequestId{3}, s_start, 0).provedNotRun); // no space to record the refusal
    BOOST_TEST((begin(prefix + "c", 4, s_start, 0) == KeyDecision::NotRun));
    BOOST_TEST((begin(prefix + "a", 5) == KeyDecision::Replay));
    BOOST_TEST((begin(prefix + "b", 6) == KeyDecision::Replay));

    table = KeyTable(issuer, {.maximumBytes = 10'000, .maximumStoredResponse = 4'000});
    begin(prefix + "a", 1);
    begin(prefix + "b", 1);
    BOOST_TEST((begin(prefix + "c", 1) == KeyDecision::Full)); // space is reserved for expected responses
    table.markSent(prefix + "a", RequestId{1});
    const auto large = std::make_shared<StoredResponse>(StoredResponse{200, "text/plain", std::string(5'000, 'x')});
    table.complete(prefix + "a", RequestId{1}, large, s_start);
    const auto replay = table.begin(prefix + "a", s_fingerprint, RequestId{2}, s_start);
    BOOST_TEST((replay.response->truncated && replay.response->status == 200 && replay.response->body.empty()));
    BOOST_TEST((begin(prefix + "c", 1) == KeyDecision::Run));
}

// Guards against a flood of rejected requests that uses the space of requests that run, or exhausts memory.
BOOST_AUTO_TEST_CASE(refusalsHaveASeparateLimit)
{
    table = KeyTable(issuer, {.maximumRecords = 2, .maximumRefusals = 3});
    const std::string prefix = issuer.prefixFor(s_start, 5);
    for (int i = 0; i < 10; ++i) {
        const std::string text = prefix + std::to_string(i);
        BOOST_TEST((begin(text, 1, s_start, 0) == KeyDecision::Run));
        const Outcome outcome = table.expire(text, RequestId{1}, s_start).outcomes.at(0).outcome;
        BOOST_TEST((outcome == (i < 3 ? Outcome::NotRun : Outcome::Unknown)));
    }
    BOOST_TEST(table.size() == 3U);
    BOOST_TEST((begin(prefix + "0", 2, s_start, 0) == KeyDecision::NotRun));
    BOOST_TEST((begin(prefix + "0", 2, s_start, 1) == KeyDecision::Run));
    BOOST_TEST((begin(prefix + "9", 2, s_start, 0) == KeyDecision::Run)); // no attempt was answered not-run
    BOOST_TEST((begin(prefix + "8", 2, s_start, 0) == KeyDecision::Full));
    table.expire(prefix + "0", RequestId{2}, s_start);
    BOOST_TEST((begin(prefix + "0", 3, s_start, 0) == KeyDecision::NotRun)); // the earlier answer is still recorded
    begin(prefix + "0", 3, s_start + 1h, 1);
    BOOST_TEST(table.size() == 1U);
}

// Guards against two runs of a caller-generated key, and against a not-run for a key that another instance may have run.
BOOST_AUTO_TEST_CASE(callerGeneratedKeysNeedAClaim)
{
    const auto first = table.begin("mine", s_fingerprint, RequestId{1}, s_start, 0);
    BOOST_TEST((first.decision == KeyDecision::NeedsClaim));
    BOOST_CHECK_THROW(table.markSent("mine", RequestId{1}), Error);
    BOOST_CHECK_THROW(table.expire("mine", RequestId{1}, s_start), Error);
    BOOST_TEST((table.claimUnavailable("mine", RequestId{1}, s_start).outcomes.at(0).outcome == Outcome::NotRun));
    const auto second = table.begin("mine", s_fingerprint, RequestId{2}, s_start, 1);
    BOOST_TEST(second.claimId == first.claimId);
    BOOST_TEST((table.claimUnavailable("mine", RequestId{2}, s_start).outcomes.at(0).outcome == Outcome::Unknown));
    table.begin("mine", s_fingerprint, RequestId{3}, s_start, 2);
    table.claimWon("mine", RequestId{3});
    BOOST_TEST((table.expire("mine", RequestId{3}, s_start).outcomes.at(0).outcome == Outcome::NotRun));
    BOOST_TEST((begin("mine", 4, s_start, 3) == KeyDecision::Run));
    table.markSent("mine", RequestId{4});
    table.complete("mine", RequestId{4}, response, s_start);

    table.begin("other", s_fingerprint, RequestId{5}, s_start);
    BOOST_TEST((table.claimTaken("other", RequestId{5}, s_start).outcomes.at(0).outcome == Outcome::Unknown));
    BOOST_TEST((begin("other", 6) == KeyDecision::Unknown));
    const auto afterRetention = table.begin("mine", s_fingerprint, RequestId{7}, s_start + 1h);
    BOOST_TEST((afterRetention.decision == KeyDecision::NeedsClaim));
    BOOST_TEST(afterRetention.claimId != first.claimId); // otherwise the row would look like an own claim whose key has not run yet
}

// Guards against an export that lacks a key that ran, and against runs after the export.
BOOST_AUTO_TEST_CASE(sealedTableAnswersAtThePeer)
{
    const std::string prefix = issuer.prefixFor(s_start, 3);
    for (const char *suffix : {"done", "lost", "refused"}) {
        begin(prefix + suffix, 1);
    }
    BOOST_CHECK_THROW(table.exportSealed(s_start), Error);
    table.seal();
    BOOST_TEST((begin(prefix + "late", 2) == KeyDecision::NotRun));
    table.markSent(prefix + "done", RequestId{1});
    table.complete(prefix + "done", RequestId{1}, response, s_start);
    table.markSent(prefix + "lost", RequestId{1});
    table.markOutcomeUnknown(prefix + "lost", RequestId{1}, s_start);
    BOOST_CHECK_THROW(table.exportSealed(s_start), Error);
    table.expire(prefix + "refused", RequestId{1}, s_start);
    const auto parts = table.exportSealed(s_start + 1h, 1);
    BOOST_TEST_REQUIRE(parts.size() == 2U);

    SealedTables peer;
    const auto answer = [&](const std::string &text) {
        return peer.answer(text, s_fingerprint, s_start);
    };
    BOOST_TEST(!answer(prefix + "refused").has_value());
    BOOST_TEST((peer.import(parts[1], s_start) == SealedTables::Import::Stored));
    BOOST_TEST((peer.import(parts[1], s_start) == SealedTables::Import::Duplicate));
    BOOST_TEST(!answer(prefix + "refused").has_value()); // the missing part may contain it
    peer.import(parts[0], s_start);
    BOOST_TEST((answer(prefix + "done")->decision == KeyDecision::Replay && answer(prefix + "done")->response == response));
    BOOST_TEST((answer(prefix + "lost")->decision == KeyDecision::Unknown));
    BOOST_TEST((answer(prefix + "refused")->decision == KeyDecision::Unknown)); // old enough to have been evicted
    BOOST_TEST((answer(issuer.prefixFor(s_start + 1h, 4) + "x")->decision == KeyDecision::NotRun));
    BOOST_TEST(!answer("t1.00000000000000ff.0000000000000000.x").has_value());
    BOOST_TEST((SealedTables({.maximumBytes = 10}).import(parts[0], s_start) == SealedTables::Import::NoRoom));
}

BOOST_AUTO_TEST_SUITE_END()
