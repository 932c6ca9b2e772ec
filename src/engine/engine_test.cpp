// Checks the guarantees of one instance for any order of events: a request that is not idempotent runs at most once, a
// rejection says `not-run` only if the request did not run, every request ends exactly once, and leaving upstreams get no
// new requests.

#include "trefoilstile/engine/engine.hpp"

#include <algorithm>
#include <map>
#include <set>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include "trefoilstile/document/parse.hpp"

using namespace std::chrono_literals;
using namespace trefoilstile;
using namespace trefoilstile::engine;

namespace
{

constexpr std::string_view s_documentText = R"(max_entry_instances: 2
regions:
  - {name: north, capacity_rps: 1000, failure_domains: [{name: north-a, capacity_rps: 1000}]}
classes:
  urgent: {weight: 16, minimum_share: 0.3}
  interactive: {weight: 4, minimum_share: 0.3}
  bulk: {weight: 1, minimum_share: 0.1}
services:
  - name: shop
    hosts: [shop.example]
    timeout_ms: 1000
    queue_length: 5
    warm_up_ms: 0
    retry: {budget: 0.5, maximum_attempts: 3}
    routes:
      - {path_prefix: /orders, methods: [POST], class: urgent, idempotent: false}
      - {path_prefix: /files, class: bulk, idempotent: true}
      - {path_prefix: /, class: interactive, idempotent: true}
    upstreams:
      - {name: u1, failure_domain: north-a, address: '127.0.0.1:1', slots: 2, connections: 8}
      - {name: u2, failure_domain: north-a, address: '127.0.0.1:2', slots: 2, connections: 8}
      - {name: u3, failure_domain: north-a, address: '127.0.0.1:3', slots: 2, connections: 8}
sites:
  - {name: here, failure_domain: north-a}
default_site: here
)";

constexpr base::IncarnationId s_self{0xabcd};
constexpr base::IncarnationId s_peer{0x1234};

/// State of one request as caller and upstreams see it.
struct ObservedRequest {
    bool idempotent = true;
    std::string key;
    std::set<std::string> ranAt; // upstreams that ran it
    bool ended = false;
    bool disconnected = false;
};

/// Simulates callers, upstreams and store for one engine, and checks each command.
class FakeEmbedder
{
public:
    FakeEmbedder()
        : engine({"e1", "production", "north", "north-a", s_self, 1, 2s, {}, {}}, now)
    {
        auto document = std::make_shared<document::SteeringDocument>(document::parseDocument(s_documentText));
        handle(DocumentUpdated{base::Generation{1}, document, std::make_shared<routing::BlockTable>(), "hash-1"});
        handle(
            MembersUpdated{{{"e1", s_self, "127.0.0.1:9", "north", "north-a", true, false}, {"e2", s_peer, "127.0.0.1:8", "north", "north-a", true, false}}});
    }

    void handle(Event event)
    {
        engine.handle(std::move(event), now, [this](Command command) {
            onCommand(std::move(command));
        });
    }

    void advanceTime(base::Duration span)
    {
        now += span;
        engine.tick(now, [this](Command command) {
            onCommand(std::move(command));
        });
    }

    base::RequestId arrive(std::string method, std::string path, std::string key = {})
    {
        const base::RequestId id{++lastRequest};
        ObservedRequest &observed = requests[id];
        observed.idempotent = method != "POST" || path != "/orders";
        observed.key = key;
        RequestArrived event;
        event.id = id;
        event.host = "shop.example";
        event.path = std::move(path);
        event.method = std::move(method);
        event.idempotencyKey = std::move(key);
        handle(std::move(event));
        return id;
    }

    /// Ends the attempt at position `pick` (modulo their number) of the open attempts, or does nothing without one.
    void endAttempt(std::size_t pick, AttemptResult result, bool ran)
    {
        if (openAttempts.empty()) {
            return;
        }
        const auto position = openAttempts.begin() + static_cast<std::ptrdiff_t>(pick % openAttempts.size());
        const Forward forward = *position;
        openAttempts.erase(position);
        ObservedRequest &observed = requests.at(forward.id);
        if (result == AttemptResult::Broken || result == AttemptResult::ObjectChanged) {
            result = observed.idempotent ? AttemptResult::Broken : AttemptResult::Failed;
        }
        const bool provedNotRun = result == AttemptResult::RejectedNotRun || result == AttemptResult::NothingSent;
        if (!provedNotRun && (ran || result == AttemptResult::Completed)) {
            run(observed, forward);
        }
        AttemptEnded event;
        event.id = forward.id;
        event.attemptId = forward.attemptId;
        event.result = result;
        event.latency = 10ms;
        event.resumable = result == AttemptResult::Broken;
        if (result == AttemptResult::Completed && forward.keepResponse) {
            event.response = std::make_shared<StoredResponse>(StoredResponse{200, "text/plain", "done", false});
        }
        if (result == AttemptResult::Completed) {
            end(forward.id);
        }
        lastEnded = event;
        handle(std::move(event));
    }

    void disconnect(base::RequestId id)
    {
        requests.at(id).disconnected = true;
        handle(CallerDisconnected{id});
    }

    base::TimePoint now{1s};
    std::map<base::RequestId, ObservedRequest> requests;
    std::map<std::string, int> runsByKey;
    std::vector<Forward> openAttempts;
    std::vector<ClaimKey> claims;
    std::vector<engine::Relay> relays;
    std::vector<Reject> rejects;
    std::vector<Replay> replays;
    std::vector<Truncate> truncates;
    std::set<std::string> leaving;
    std::optional<AttemptEnded> lastEnded;
    std::uint64_t lastRequest = 0;
    engine::Engine engine;

private:
    void run(ObservedRequest &observed, const Forward &forward)
    {
        observed.ranAt.insert(forward.upstream);
        ++m_runs[forward.id];
        RC_ASSERT(observed.idempotent || m_runs[forward.id] <= 1);
        if (!observed.key.empty() && !observed.idempotent) {
            RC_ASSERT(++runsByKey[observed.key] <= 1);
        }
    }

    void end(base::RequestId id)
    {
        ObservedRequest &observed = requests.at(id);
        RC_ASSERT(!observed.ended);
        observed.ended = true;
    }

    void onCommand(Command command)
    {
        if (auto *forward = std::get_if<Forward>(&command)) {
            RC_ASSERT(!requests.at(forward->id).ended);
            RC_ASSERT(leaving.count(forward->upstream) == 0U);
            RC_ASSERT(forward->freshConnection == !requests.at(forward->id).idempotent);
            openAttempts.push_back(*forward);
            const auto inFlight = std::count_if(openAttempts.begin(), openAttempts.end(), [forward](const Forward &other) {
                return other.upstream == forward->upstream;
            });
            RC_ASSERT(inFlight <= 8 / 2);
        } else if (auto *reject = std::get_if<Reject>(&command)) {
            const ObservedRequest &observed = requests.at(reject->id);
            RC_ASSERT(reject->outcome != Outcome::NotRun || observed.ranAt.empty());
            RC_ASSERT(reject->outcome != Outcome::NotRun || observed.key.empty() || runsByKey[observed.key] == 0);
            end(reject->id);
            rejects.push_back(*reject);
        } else if (auto *replay = std::get_if<Replay>(&command)) {
            end(replay->id);
            replays.push_back(*replay);
        } else if (auto *relay = std::get_if<engine::Relay>(&command)) {
            relays.push_back(*relay);
        } else if (auto *claim = std::get_if<ClaimKey>(&command)) {
            claims.push_back(*claim);
        } else if (auto *truncate = std::get_if<Truncate>(&command)) {
            end(truncate->id);
            truncates.push_back(*truncate);
        } else {
            end(std::get<Discard>(command).id);
        }
    }

    std::map<base::RequestId, int> m_runs;
};

std::string issuedKey(const FakeEmbedder &embedder, std::string_view suffix)
{
    return embedder.engine.keyIssuer().prefixFor(embedder.now, 1) + std::string(suffix);
}

void randomStep(FakeEmbedder &embedder)
{
    const auto pick = *rc::gen::inRange<std::size_t>(0, 8);
    switch (*rc::gen::weightedElement<int>({{6, 0}, {6, 1}, {3, 2}, {2, 3}, {2, 4}, {1, 5}, {1, 6}, {1, 7}})) {
    case 0: {
        const auto kind = *rc::gen::inRange(0, 5);
        const std::string suffix = std::to_string(*rc::gen::inRange(0, 4));
        if (kind == 0) {
            embedder.arrive("GET", "/");
        } else if (kind == 1) {
            embedder.arrive("GET", "/files/1");
        } else if (kind == 2) {
            embedder.arrive("POST", "/orders");
        } else {
            embedder.arrive("POST", "/orders", kind == 3 ? issuedKey(embedder, suffix) : "own-" + suffix);
        }
        break;
    }
    case 1: {
        using enum AttemptResult;
        const auto result = *rc::gen::element(Completed, RejectedNotRun, NothingSent, Failed, TimedOut, Broken);
        embedder.endAttempt(pick, result, *rc::gen::arbitrary<bool>());
        break;
    }
    case 2:
        embedder.advanceTime(std::chrono::milliseconds(*rc::gen::element(1, 10, 200, 1500)));
        break;
    case 3:
        if (!embedder.claims.empty()) {
            const ClaimKey claim = embedder.claims.back();
            embedder.claims.pop_back();
            embedder.handle(ClaimEnded{claim.id, *rc::gen::element(ClaimResult::Won, ClaimResult::Won, ClaimResult::Taken, ClaimResult::Unavailable)});
        }
        break;
    case 4: {
        const base::RequestId id{*rc::gen::inRange<std::uint64_t>(0, embedder.lastRequest + 1)};
        if (embedder.requests.count(id) != 0 && !embedder.requests[id].ended && !embedder.requests[id].disconnected) {
            embedder.disconnect(id);
        }
        break;
    }
    case 5: {
        const std::string upstream = "u" + std::to_string(1 + pick % 2);
        embedder.leaving.insert(upstream);
        embedder.handle(UpstreamListedLeaving{upstream, {}});
        break;
    }
    case 6: // the event of an earlier attempt arrives again
        if (embedder.lastEnded) {
            embedder.handle(*embedder.lastEnded);
        }
        break;
    default:
        embedder.handle(LoadReported{"u3", base::IncarnationId{7}, UpstreamState::Live, 2, static_cast<std::uint32_t>(pick), 0});
        break;
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(EngineTests)

// An event that arrives late, twice or not in the expected stage could cause a second run, a wrong `not-run` or a request
// that never ends. The fake embedder checks each command.
RC_BOOST_PROP(guaranteesHoldForAnyOrderOfEvents, ())
{
    FakeEmbedder embedder;
    const auto steps = *rc::gen::inRange(1, 150);
    for (int i = 0; i < steps; ++i) {
        randomStep(embedder);
    }
    // The remaining requests must end without further events once attempts and claims have ended.
    for (int i = 0; i < 50; ++i) {
        while (!embedder.claims.empty()) {
            const ClaimKey claim = embedder.claims.back();
            embedder.claims.pop_back();
            embedder.handle(ClaimEnded{claim.id, ClaimResult::Unavailable});
        }
        while (!embedder.openAttempts.empty()) {
            embedder.endAttempt(0, AttemptResult::TimedOut, false);
        }
        embedder.advanceTime(40s);
    }
    for (const auto &[id, observed] : embedder.requests) {
        RC_ASSERT(observed.ended);
    }
    RC_ASSERT(embedder.engine.statistics().held == 0U);
}

// A request must get the class of its route, and an order must not be sent on an idle connection.
BOOST_AUTO_TEST_CASE(servesOneRequestOfEachClass)
{
    FakeEmbedder embedder;
    embedder.arrive("POST", "/orders");
    embedder.arrive("GET", "/status");
    embedder.arrive("GET", "/files/a");
    BOOST_TEST_REQUIRE(embedder.openAttempts.size() == 3U);
    BOOST_TEST(embedder.openAttempts[0].freshConnection);
    BOOST_TEST((embedder.openAttempts[0].priorityClass == base::PriorityClass::Urgent));
    BOOST_TEST((embedder.openAttempts[2].priorityClass == base::PriorityClass::Bulk));
}

// An order that failed after it was sent may have run: another attempt could run it twice.
BOOST_AUTO_TEST_CASE(failedOrderIsNotSentAgain)
{
    FakeEmbedder embedder;
    embedder.arrive("POST", "/orders");
    embedder.endAttempt(0, AttemptResult::Failed, true);
    BOOST_TEST(embedder.openAttempts.empty());
    BOOST_TEST_REQUIRE(embedder.rejects.size() == 1U);
    BOOST_TEST((embedder.rejects[0].outcome == Outcome::Unknown));
}

// An order that is proven not to have run must be retried, and not at the upstream that rejected it.
BOOST_AUTO_TEST_CASE(rejectedOrderIsSentToAnotherUpstream)
{
    FakeEmbedder embedder;
    embedder.arrive("POST", "/orders");
    const std::string first = embedder.openAttempts.at(0).upstream;
    embedder.endAttempt(0, AttemptResult::RejectedNotRun, false);
    BOOST_TEST_REQUIRE(embedder.openAttempts.size() == 1U);
    BOOST_TEST(embedder.openAttempts[0].upstream != first);
}

// A repeat that arrives while the first request runs, or after it, must not run the order again.
BOOST_AUTO_TEST_CASE(repeatGetsTheStoredResponse)
{
    FakeEmbedder embedder;
    const std::string key = issuedKey(embedder, "a");
    embedder.arrive("POST", "/orders", key);
    embedder.arrive("POST", "/orders", key); // waits for the first
    embedder.endAttempt(0, AttemptResult::Completed, true);
    embedder.arrive("POST", "/orders", key);
    BOOST_TEST(embedder.openAttempts.empty());
    BOOST_TEST_REQUIRE(embedder.replays.size() == 2U);
    BOOST_TEST(embedder.replays[0].response->body == "done");
}

// An earlier attempt with the key may have run at another instance, so an instance that rejects a repeat before it looks up
// the key must not say `not-run`.
BOOST_AUTO_TEST_CASE(earlyRejectionOfARepeatDoesNotSayNotRun)
{
    engine::Engine unready({"e9", "production", "north", "north-a", s_peer, 1, 2s, {}, {}}, base::TimePoint(1s));
    std::vector<Reject> rejects;
    const auto sink = [&rejects](Command command) {
        rejects.push_back(std::get<Reject>(command));
    };
    RequestArrived event;
    event.id = base::RequestId{1};
    event.idempotencyKey = "own-1";
    unready.handle(event, base::TimePoint(1s), sink);
    event.id = base::RequestId{2};
    event.repeat = 0;
    unready.handle(event, base::TimePoint(1s), sink);
    event.id = base::RequestId{3};
    event.repeat = 1;
    unready.handle(event, base::TimePoint(1s), sink);
    BOOST_TEST_REQUIRE(rejects.size() == 3U);
    BOOST_TEST((rejects[0].outcome == Outcome::Unknown));
    BOOST_TEST((rejects[1].outcome == Outcome::NotRun));
    BOOST_TEST((rejects[2].outcome == Outcome::Unknown));
}

// Only the issuer of a key knows whether its request has run. If another instance ran the request, it could run twice.
BOOST_AUTO_TEST_CASE(keyOfAnotherInstanceIsRelayedOrUnknown)
{
    FakeEmbedder embedder;
    const std::string key = idempotency::KeyIssuer(s_peer, base::TimePoint{}).prefixFor(embedder.now, 1) + "a";
    embedder.arrive("POST", "/orders", key);
    BOOST_TEST_REQUIRE(embedder.relays.size() == 1U);
    BOOST_TEST(embedder.relays[0].address == "127.0.0.1:8");
    embedder.handle(RelayEnded{embedder.relays[0].id, false});
    embedder.handle(MembersUpdated{{{"e1", s_self, "127.0.0.1:9", "north", "north-a", true, false}}});
    embedder.arrive("POST", "/orders", key);
    BOOST_TEST_REQUIRE(embedder.rejects.size() == 2U);
    BOOST_TEST((embedder.rejects[0].outcome == Outcome::Unknown));
    BOOST_TEST((embedder.rejects[1].outcome == Outcome::Unknown));
    BOOST_TEST(embedder.openAttempts.empty());
}

// An upstream that accepts a request and does not respond could use all of its time, so that a retry would come too late.
BOOST_AUTO_TEST_CASE(unresponsiveUpstreamLeavesTimeForARetry)
{
    FakeEmbedder embedder;
    embedder.arrive("GET", "/");
    const Forward first = embedder.openAttempts.at(0);
    BOOST_TEST((first.firstByteTimeout <= 500ms)); // of 1 s
    embedder.advanceTime(first.firstByteTimeout);
    embedder.endAttempt(0, AttemptResult::TimedOut, true);
    BOOST_TEST_REQUIRE(embedder.openAttempts.size() == 1U);
    BOOST_TEST(embedder.openAttempts[0].upstream != first.upstream);
    embedder.arrive("POST", "/orders");
    BOOST_TEST((embedder.openAttempts.at(1).firstByteTimeout == 1s)); // is not retried, so its attempt gets all of its time
}

// Queued until its deadline, a request that no upstream can take would keep its caller from trying another instance.
BOOST_AUTO_TEST_CASE(requestsAreRejectedAtOnceWithoutUpstreams)
{
    FakeEmbedder embedder;
    embedder.leaving = {"u1", "u2", "u3"};
    embedder.handle(DrainsUpdated{base::Generation{1}, {{DrainKind::FailureDomain, "north-a"}}});
    embedder.arrive("POST", "/orders");
    BOOST_TEST_REQUIRE(embedder.rejects.size() == 1U);
    BOOST_TEST((embedder.rejects[0].reason == RejectReason::NoUpstream));
    BOOST_TEST((embedder.rejects[0].outcome == Outcome::NotRun));
}

// A download that breaks off must be resumed instead of truncated, and not at the upstream that has just failed.
BOOST_AUTO_TEST_CASE(brokenDownloadIsResumedAtAnotherUpstream)
{
    FakeEmbedder embedder;
    embedder.arrive("GET", "/files/a");
    const std::string first = embedder.openAttempts.at(0).upstream;
    embedder.endAttempt(0, AttemptResult::Broken, true);
    BOOST_TEST_REQUIRE(embedder.openAttempts.size() == 1U);
    BOOST_TEST(embedder.openAttempts[0].resume);
    BOOST_TEST(embedder.openAttempts[0].upstream != first);
}

// Drain lists may arrive out of order: an older one must not send requests to drained upstreams again.
BOOST_AUTO_TEST_CASE(drainTakesEffectAtOnceAndIsNotRevertedByAnOlderList)
{
    FakeEmbedder embedder;
    embedder.leaving = {"u1", "u2"};
    embedder.handle(DrainsUpdated{base::Generation{2}, {{DrainKind::Upstream, "u1"}, {DrainKind::Upstream, "u2"}}});
    embedder.handle(DrainsUpdated{base::Generation{1}, {}});
    for (int i = 0; i < 10; ++i) {
        embedder.arrive("GET", "/");
    }
    BOOST_TEST(!embedder.openAttempts.empty());
    embedder.handle(DrainsUpdated{base::Generation{3}, {{DrainKind::FailureDomain, "north-a"}}});
    BOOST_TEST(embedder.engine.leaving());
}

// A document that arrives late must not replace the routes of the one in effect.
BOOST_AUTO_TEST_CASE(olderDocumentIsIgnored)
{
    FakeEmbedder embedder;
    auto other = std::make_shared<document::SteeringDocument>(document::parseDocument(s_documentText));
    other->services[0].hosts = {"other.example"};
    embedder.handle(DocumentUpdated{base::Generation{1}, other, std::make_shared<routing::BlockTable>(), "hash-other"});
    embedder.arrive("GET", "/");
    BOOST_TEST(embedder.openAttempts.size() == 1U);
    BOOST_TEST((embedder.engine.generation() == base::Generation{1}));
}

BOOST_AUTO_TEST_SUITE_END()
