// Tests of claims of idempotency keys.

#include "trefoilstile/tablestore/claim_store.hpp"

#include <algorithm>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include "fake_store.hpp"

using namespace trefoilstile::tablestore;
using testing::FakeStore;
using testing::Fault;
using trefoilstile::engine::ClaimResult;

BOOST_AUTO_TEST_SUITE(ClaimStores)

// Guards against two instances that both execute a request with the same key: for any faults and interleavings, at most one
// claim of a key gets `Won`.
RC_BOOST_PROP(atMostOneClaimWins, (const std::vector<std::uint8_t> &faults, const std::vector<bool> &races))
{
    FakeStore store;
    for (const std::uint8_t fault : faults) {
        store.faults.push_back(static_cast<Fault>(fault % 5));
    }
    std::vector<ClaimResult> results(5, ClaimResult::Unavailable);
    std::size_t next = 0;
    std::size_t race = 0;
    const auto runNext = [&] {
        const std::size_t instance = next++;
        results[instance] = ClaimStore(store).claim("trial", "k", "c" + std::to_string(instance), 1000);
    };
    store.beforeRequest = [&] {
        if (race < races.size() && races[race++] && next < results.size()) {
            runNext();
        }
    };
    while (next < results.size()) {
        runNext();
    }
    store.beforeRequest = nullptr;
    store.deliverDelayed();
    const auto won = std::count(results.begin(), results.end(), ClaimResult::Won);
    RC_ASSERT(won <= 1);
    RC_ASSERT(store.log["claims/trial.k"].size() <= 1U);
    // Without faults the first claim to arrive wins and the others get `Taken`.
    RC_ASSERT(!faults.empty() || (won == 1 && std::count(results.begin(), results.end(), ClaimResult::Taken) == 4));
}

// If the answer to a claim that took effect is lost, the result must still be `Won`. Otherwise a request that may run would
// be refused permanently.
BOOST_AUTO_TEST_CASE(lostAnswerIsSettled)
{
    FakeStore store;
    store.faults = {Fault::AnswerLost};
    BOOST_TEST((ClaimStore(store).claim("trial", "k", "a", 1000) == ClaimResult::Won));
    BOOST_TEST((ClaimStore(store).claim("trial", "k", "b", 1000) == ClaimResult::Taken));
}

// Removing a claim before it expires would let its key run twice, as would removing claims of another environment.
BOOST_AUTO_TEST_CASE(removesOnlyExpiredClaims)
{
    FakeStore store;
    ClaimStore claims(store);
    claims.claim("trial", "old", "a", 1000);
    claims.claim("trial", "older", "b", 500);
    claims.claim("trial", "young", "c", 3000);
    claims.claim("production", "old", "d", 1000);
    BOOST_TEST(claims.removeExpired("trial", 2000, 1) == 1U);
    BOOST_TEST(claims.removeExpired("trial", 2000, 10) == 1U);
    BOOST_TEST((claims.claim("trial", "young", "e", 3000) == ClaimResult::Taken));
    BOOST_TEST((claims.claim("trial", "old", "f", 3000) == ClaimResult::Won));
    BOOST_TEST((claims.claim("production", "old", "g", 3000) == ClaimResult::Taken));
}

BOOST_AUTO_TEST_SUITE_END()
