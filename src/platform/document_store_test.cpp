// Guards against accepted documents that get lost, two winners of one generation, and wrong news for an operator.

#include "trefoilstile/platform/document_store.hpp"

#include <optional>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include "fake_store.hpp"
#include "row_codec.hpp"
#include "trefoilstile/document/parse.hpp"

using namespace trefoilstile::platform;
using testing::FakeStore;
using testing::Fault;

namespace
{

const std::string s_path = "documents/trial";

Submission submission(const std::string &id)
{
    return {"trial", id, "bytes of " + id, "2026-12-04T10:00:00Z"};
}

/// A submitter and what it was told.
struct Submitter {
    std::string id;
    std::optional<SubmitResult> result;
    bool unavailable = false;
};

/// Submissions in the order in which they were accepted, one for each generation from 1 on.
std::vector<std::string> acceptedSubmissions(const FakeStore &store)
{
    std::vector<std::string> accepted;
    const auto values = store.log.find(s_path);
    if (values == store.log.end()) {
        return accepted;
    }
    for (const std::string &value : values->second) {
        const DocumentRow row = parseDocumentRow({1, value});
        RC_ASSERT(row.generation.value == accepted.size() + 1);
        RC_ASSERT(store.objects.contains(row.hash));
        RC_ASSERT(row.history.size() == std::min<std::size_t>(row.generation.value, s_historyLength));
        accepted.push_back(row.submission);
        for (const HistoryEntry &entry : row.history) {
            RC_ASSERT(entry.submission == accepted.at(entry.generation.value - 1));
        }
    }
    return accepted;
}

void checkAgainst(const std::vector<std::string> &accepted, const Submitter &submitter)
{
    const auto count = std::count(accepted.begin(), accepted.end(), submitter.id);
    RC_ASSERT(count <= 1);
    RC_ASSERT(!submitter.unavailable || count == 0);
    if (!submitter.result) {
        return;
    }
    if (const auto *won = std::get_if<Accepted>(&*submitter.result)) {
        RC_ASSERT(won->generation.value <= accepted.size());
        RC_ASSERT(accepted[won->generation.value - 1] == submitter.id);
    } else if (const auto *lost = std::get_if<LostRace>(&*submitter.result)) {
        RC_ASSERT(count == 0);
        RC_ASSERT(accepted[lost->winner.generation.value - 1] == lost->winner.submission);
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(DocumentStores)

// Submitters race (each may run whole in the middle of another's request) under every fault of the store.
RC_BOOST_PROP(everySubmitterIsToldTheTruth, (const std::vector<std::uint8_t> &faults, const std::vector<bool> &races))
{
    FakeStore store;
    for (const std::uint8_t fault : faults) {
        store.faults.push_back(static_cast<Fault>(fault % 5));
    }
    std::vector<Submitter> submitters;
    for (const char *id : {"a", "b", "c", "d", "e", "f"}) {
        submitters.push_back({id, {}, false});
    }
    std::size_t next = 0;
    std::size_t race = 0;
    const auto runNext = [&] {
        Submitter &submitter = submitters[next++];
        try {
            submitter.result = DocumentStore(store).submit(submission(submitter.id));
        } catch (const Unavailable &) {
            submitter.unavailable = true;
        }
    };
    store.beforeRequest = [&] {
        if (race < races.size() && races[race++] && next < submitters.size()) {
            runNext();
        }
    };
    while (next < submitters.size()) {
        runNext();
    }
    store.beforeRequest = nullptr;
    store.deliverDelayed();
    const std::vector<std::string> accepted = acceptedSubmissions(store);
    for (const Submitter &submitter : submitters) {
        checkAgainst(accepted, submitter);
    }

    // Once the store is well again, what was not settled can be.
    store.faults.clear();
    for (Submitter &submitter : submitters) {
        if (submitter.result && std::holds_alternative<Unsettled>(*submitter.result)) {
            submitter.result = settle(store, std::get<Unsettled>(*submitter.result).pending, {});
            RC_ASSERT(!std::holds_alternative<Unsettled>(*submitter.result));
        }
    }
    const std::vector<std::string> settled = acceptedSubmissions(store);
    for (const Submitter &submitter : submitters) {
        checkAgainst(settled, submitter);
    }
}

// The object must be there before any node can read its hash in the row.
BOOST_AUTO_TEST_CASE(storesTheObjectFirst)
{
    FakeStore store;
    DocumentStore(store).submit(submission("a"));
    const std::string hash = trefoilstile::document::contentHash("bytes of a");
    BOOST_TEST(store.requests == (std::vector<std::string>{s_path, hash, s_path}), boost::test_tools::per_element());
    BOOST_TEST(DocumentStore(store).bytes(hash) == "bytes of a");
}

// After a lost answer another submission may already be in effect; only the history can tell that ours was accepted.
BOOST_AUTO_TEST_CASE(lostAnswerOfAReplacedSubmission)
{
    FakeStore store;
    store.faults = {Fault::None, Fault::None, Fault::AnswerLost};
    int requests = 0;
    store.beforeRequest = [&] {
        if (++requests == 4) {
            DocumentStore(store).submit(submission("b"));
        }
    };
    const SubmitResult result = DocumentStore(store).submit(submission("a"));
    BOOST_REQUIRE(std::holds_alternative<Accepted>(result));
    BOOST_TEST(std::get<Accepted>(result).generation.value == 1U);
    BOOST_TEST(DocumentStore(store).row("trial")->submission == "b");
}

// When the history no longer reaches back, neither answer would be the truth for certain.
BOOST_AUTO_TEST_CASE(saysSoWhenTheHistoryIsTooShort)
{
    FakeStore store;
    store.faults = {Fault::None, Fault::None, Fault::AnswerLost};
    int requests = 0;
    store.beforeRequest = [&] {
        if (++requests == 4) {
            for (std::size_t i = 0; i < s_historyLength; ++i) {
                DocumentStore(store).submit(submission("b" + std::to_string(i)));
            }
        }
    };
    BOOST_TEST(std::holds_alternative<Unsettled>(DocumentStore(store).submit(submission("a"))));
}

// A damaged object or row must never come into effect.
BOOST_AUTO_TEST_CASE(rejectsDamagedData)
{
    FakeStore store;
    const std::string hash = trefoilstile::document::contentHash("x");
    store.objects[hash] = "y";
    DocumentStore documents(store);
    BOOST_CHECK_THROW(documents.bytes(hash), MalformedData);
    BOOST_CHECK_THROW(documents.bytes("0"), MalformedData);
    for (const char *value : {"[]", "{", R"({"generation":0,"hash":"","submission":"a"})", R"({"generation":-1})"}) {
        FakeStore damaged;
        damaged.writeRow("documents", "trial", 0, value, {});
        BOOST_CHECK_THROW(DocumentStore(damaged).row("trial"), MalformedData);
        BOOST_CHECK_THROW(DocumentStore(damaged).submit(submission("a")), MalformedData);
        BOOST_TEST(damaged.log[s_path].size() == 1U);
    }
}

BOOST_AUTO_TEST_SUITE_END()
