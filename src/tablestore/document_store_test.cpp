// Tests of document submission: no accepted document is lost, each generation has one submission, and submitters get the
// actual outcome.

#include "trefoilstile/tablestore/document_store.hpp"

#include <algorithm>
#include <iterator>
#include <limits>
#include <map>
#include <optional>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include "fake_store.hpp"
#include "row_codec.hpp"
#include "trefoilstile/document/parse.hpp"

using namespace trefoilstile::tablestore;
using testing::FakeStore;
using testing::Fault;

namespace
{

const std::string s_path = "documents/trial";

Submission submission(const std::string &id)
{
    return {"trial", id, "bytes of " + id, "2026-12-04T10:00:00Z"};
}

/// A submitter and the outcome that was reported to it.
struct Submitter {
    std::string id;
    std::optional<SubmitResult> result;
    bool unavailable = false;
};

/// An accepted submission.
struct Entry {
    std::uint64_t generation{};
    std::string submission;
};

using Entries = std::vector<Entry>;

const Entry *find(const Entries &accepted, std::uint64_t generation)
{
    const auto found = std::find_if(accepted.begin(), accepted.end(), [&](const Entry &entry) {
        return entry.generation == generation;
    });
    return found == accepted.end() ? nullptr : &*found;
}

/// Submissions in the order in which they were accepted. Checks that each generation follows the previous one or
/// `highestInEffect` of the submission, whichever is higher.
Entries acceptedSubmissions(const FakeStore &store, const std::map<std::string, std::uint64_t> &highestInEffect)
{
    Entries accepted;
    const auto values = store.log.find(s_path);
    if (values == store.log.end()) {
        return accepted;
    }
    for (const std::string &value : values->second) {
        const DocumentRow row = parseDocumentRow({1, value});
        const std::uint64_t previous = accepted.empty() ? 0 : accepted.back().generation;
        const std::uint64_t highest = highestInEffect.at(row.submission);
        RC_ASSERT(row.generation.value == std::max(previous, highest) + 1);
        RC_ASSERT(store.objects.contains(row.hash));
        accepted.push_back({row.generation.value, row.submission});
        RC_ASSERT(row.history.size() == std::min(accepted.size(), s_historyLength));
        for (const HistoryEntry &entry : row.history) {
            const Entry *found = find(accepted, entry.generation.value);
            RC_ASSERT(found != nullptr);
            RC_ASSERT(entry.submission == found->submission);
        }
    }
    return accepted;
}

/// Checks that the outcome reported to the submitter matches the accepted submissions.
void checkAgainst(const Entries &accepted, const Submitter &submitter)
{
    const auto count = std::count_if(accepted.begin(), accepted.end(), [&](const Entry &entry) {
        return entry.submission == submitter.id;
    });
    RC_ASSERT(count <= 1);
    RC_ASSERT(!submitter.unavailable || count == 0);
    if (!submitter.result) {
        return;
    }
    if (const auto *won = std::get_if<Accepted>(&*submitter.result)) {
        const Entry *entry = find(accepted, won->generation.value);
        RC_ASSERT(entry != nullptr);
        RC_ASSERT(entry->submission == submitter.id);
        RC_ASSERT(won->previous.value == (entry == &accepted.front() ? 0 : std::prev(entry)->generation));
    } else if (const auto *lost = std::get_if<LostRace>(&*submitter.result)) {
        RC_ASSERT(count == 0);
        const Entry *winner = find(accepted, lost->winner.generation.value);
        RC_ASSERT(winner != nullptr);
        RC_ASSERT(winner->submission == lost->winner.submission);
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(DocumentStores)

// Guards against submitters that get a wrong outcome when submissions run concurrently (each may run completely before a
// request of another) and the store has any of its faults. Some submitters know of a higher generation in effect on
// instances than the row's.
RC_BOOST_PROP(
    reportedOutcomesMatchTheStore, (const std::vector<std::uint8_t> &faults, const std::vector<bool> &races, const std::vector<std::uint8_t> &inEffect))
{
    FakeStore store;
    for (const std::uint8_t fault : faults) {
        store.faults.push_back(static_cast<Fault>(fault % 5));
    }
    std::vector<Submitter> submitters;
    std::map<std::string, std::uint64_t> highestInEffect;
    for (const char *id : {"a", "b", "c", "d", "e", "f"}) {
        // 0 means that the submitter knows of no generation in effect; submitters beyond the end of `inEffect` get 0.
        highestInEffect[id] = submitters.size() < inEffect.size() ? inEffect[submitters.size()] % 10U : 0;
        submitters.push_back({id, {}, false});
    }
    std::size_t next = 0;
    std::size_t race = 0;
    const auto runNext = [&] {
        Submitter &submitter = submitters[next++];
        try {
            submitter.result = DocumentStore(store).submit(submission(submitter.id), {highestInEffect.at(submitter.id)});
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
    const Entries accepted = acceptedSubmissions(store, highestInEffect);
    for (const Submitter &submitter : submitters) {
        checkAgainst(accepted, submitter);
    }

    // Without faults, every unknown outcome can be determined.
    store.faults.clear();
    for (Submitter &submitter : submitters) {
        if (submitter.result && std::holds_alternative<Unsettled>(*submitter.result)) {
            submitter.result = settle(store, std::get<Unsettled>(*submitter.result).pending, {});
            RC_ASSERT(!std::holds_alternative<Unsettled>(*submitter.result));
        }
    }
    const Entries settled = acceptedSubmissions(store, highestInEffect);
    for (const Submitter &submitter : submitters) {
        checkAgainst(settled, submitter);
    }
}

// If the row were written first, an instance could read the hash of an object that does not exist yet.
BOOST_AUTO_TEST_CASE(storesTheObjectFirst)
{
    FakeStore store;
    DocumentStore(store).submit(submission("a"));
    const std::string hash = trefoilstile::document::contentHash("bytes of a");
    BOOST_TEST(store.requests == (std::vector<std::string>{s_path, hash, s_path}), boost::test_tools::per_element());
    BOOST_TEST(DocumentStore(store).bytes(hash) == "bytes of a");
}

// After a lost answer another submission may already be in effect; only the history shows that the first one was accepted.
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

// If the history no longer contains the generation of the write, both `Accepted` and `LostRace` could be wrong.
BOOST_AUTO_TEST_CASE(isUnsettledWhenTheHistoryIsTooShort)
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

// Instances ignore generations that are not higher than theirs. If the row is below them, a new generation must skip those
// already in effect.
BOOST_AUTO_TEST_CASE(choosesAGenerationAboveTheInstances)
{
    FakeStore store;
    DocumentStore documents(store);
    documents.submit(submission("a"));
    const auto raised = std::get<Accepted>(documents.submit(submission("b"), {7}));
    BOOST_TEST(raised.generation.value == 8U);
    BOOST_TEST(raised.previous.value == 1U);
    BOOST_TEST(std::get<Accepted>(documents.submit(submission("c"), {7})).generation.value == 9U);
    BOOST_TEST(std::get<Accepted>(documents.submit(submission("b"), {20})).previous.value == 1U);
    // Incrementing the maximum would wrap to 0, which readers reject.
    BOOST_CHECK_THROW(documents.submit(submission("d"), {std::numeric_limits<std::uint64_t>::max()}), MalformedData);
    BOOST_TEST(documents.row("trial")->generation.value == 9U);
}

// A submission that lost must be reported as `LostRace` also if its generation was skipped. A row restored from a backup
// does not show whether the write took effect, so the outcome stays unsettled.
BOOST_AUTO_TEST_CASE(lostAnswerWithASkippedGeneration)
{
    FakeStore store;
    DocumentStore documents(store);
    documents.submit(submission("a"));
    store.faults = {Fault::None, Fault::None, Fault::RequestLost};
    int requests = 0;
    store.beforeRequest = [&] {
        if (++requests == 4) {
            DocumentStore(store).submit(submission("c"));
        }
    };
    const SubmitResult result = documents.submit(submission("b"), {7});
    BOOST_REQUIRE(std::holds_alternative<LostRace>(result));
    BOOST_TEST(std::get<LostRace>(result).winner.submission == "c");

    store.beforeRequest = nullptr;
    const PendingWrite beforeRestore{"documents", "trial", 99, "{}", {5}, {8}, "b"};
    BOOST_TEST(std::holds_alternative<Unsettled>(settle(store, beforeRestore, {})));
}

// A corrupt object or row must never come into effect.
BOOST_AUTO_TEST_CASE(rejectsCorruptData)
{
    FakeStore store;
    const std::string hash = trefoilstile::document::contentHash("x");
    store.objects[hash] = "y";
    DocumentStore documents(store);
    BOOST_CHECK_THROW(documents.bytes(hash), MalformedData);
    BOOST_CHECK_THROW(documents.bytes("0"), MalformedData);
    for (const char *value : {"[]", "{", R"({"generation":0,"hash":"","submission":"a"})", R"({"generation":-1})"}) {
        FakeStore corrupt;
        corrupt.writeRow("documents", "trial", 0, value, {});
        BOOST_CHECK_THROW(DocumentStore(corrupt).row("trial"), MalformedData);
        BOOST_CHECK_THROW(DocumentStore(corrupt).submit(submission("a")), MalformedData);
        BOOST_TEST(corrupt.log[s_path].size() == 1U);
    }
}

BOOST_AUTO_TEST_SUITE_END()
