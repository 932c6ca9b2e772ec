// Guards the promises of one instance against any order of events: a request that is not idempotent runs at most once,
// `not-run` is told only if it did not run, every request ends exactly once, and leaving upstreams get no new work.

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

constexpr std::string_view s_text = R"(max_entry_instances: 2
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

/// What the outside world knows of one request.
struct Seen {
    bool idempotent = true;
    std::string key;
    std::set<std::string> ranAt; // one entry for each run
    bool ended = false;
    bool gone = false;
};

/// Plays caller, upstreams and store for one engine, and checks each command.
class Embedder
{
public:
    Embedder()
        : engine({"e1", "production", "north", "north-a", s_self, 1, 2s, {}, {}}, now)
    {
        auto document = std::make_shared<document::SteeringDocument>(document::parseDocument(s_text));
        handle(DocumentUpdated{base::Generation{1}, document, std::make_shared<routing::BlockTable>()});
        handle(
            MembersUpdated{{{"e1", s_self, "127.0.0.1:9", "north", "north-a", true, false}, {"e2", s_peer, "127.0.0.1:8", "north", "north-a", true, false}}});
    }

    void handle(Event event)
    {
        engine.handle(std::move(event), now, [this](Command command) {
            take(std::move(command));
        });
    }

    void pass(base::Duration span)
    {
        now += span;
        engine.tick(now, [this](Command command) {
            take(std::move(command));
        });
    }

    base::RequestId arrive(std::string method, std::string path, std::string key = {})
    {
        const base::RequestId id{++lastRequest};
        Seen &seen = requests[id];
        seen.idempotent = method != "POST" || path != "/orders";
        seen.key = key;
        RequestArrived event;
        event.id = id;
        event.host = "shop.example";
        event.path = std::move(path);
        event.method = std::move(method);
        event.idempotencyKey = std::move(key);
        handle(std::move(event));
        return id;
    }

    /// Ends the attempt that was started first, or does nothing without one.
    void endAttempt(std::size_t pick, AttemptResult result, bool ran)
    {
        if (open.empty()) {
            return;
        }
        const auto position = open.begin() + static_cast<std::ptrdiff_t>(pick % open.size());
        const Forward forward = *position;
        open.erase(position);
        Seen &seen = requests.at(forward.id);
        if (result == AttemptResult::Broken || result == AttemptResult::ObjectChanged) {
            result = seen.idempotent ? AttemptResult::Broken : AttemptResult::Failed;
        }
        const bool provedNotRun = result == AttemptResult::RejectedNotRun || result == AttemptResult::NothingSent;
        if (!provedNotRun && (ran || result == AttemptResult::Completed)) {
            run(seen, forward);
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
        requests.at(id).gone = true;
        handle(CallerDisconnected{id});
    }

    base::TimePoint now{1s};
    std::map<base::RequestId, Seen> requests;
    std::map<std::string, int> runsByKey;
    std::vector<Forward> open;
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
    void run(Seen &seen, const Forward &forward)
    {
        seen.ranAt.insert(forward.upstream);
        ++m_runs[forward.id];
        RC_ASSERT(seen.idempotent || m_runs[forward.id] <= 1);
        if (!seen.key.empty() && !seen.idempotent) {
            RC_ASSERT(++runsByKey[seen.key] <= 1);
        }
    }

    void end(base::RequestId id)
    {
        Seen &seen = requests.at(id);
        RC_ASSERT(!seen.ended);
        seen.ended = true;
    }

    void take(Command command)
    {
        if (auto *forward = std::get_if<Forward>(&command)) {
            RC_ASSERT(!requests.at(forward->id).ended);
            RC_ASSERT(leaving.count(forward->upstream) == 0U);
            RC_ASSERT(forward->freshConnection == !requests.at(forward->id).idempotent);
            open.push_back(*forward);
            const auto inFlight = std::count_if(open.begin(), open.end(), [forward](const Forward &other) {
                return other.upstream == forward->upstream;
            });
            RC_ASSERT(inFlight <= 8 / 2);
        } else if (auto *reject = std::get_if<Reject>(&command)) {
            const Seen &seen = requests.at(reject->id);
            RC_ASSERT(reject->outcome != Outcome::NotRun || seen.ranAt.empty());
            RC_ASSERT(reject->outcome != Outcome::NotRun || seen.key.empty() || runsByKey[seen.key] == 0);
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

std::string issuedKey(const Embedder &embedder, std::string_view suffix)
{
    return embedder.engine.keyIssuer().prefixFor(embedder.now, 1) + std::string(suffix);
}

void randomStep(Embedder &world)
{
    const auto pick = *rc::gen::inRange<std::size_t>(0, 8);
    switch (*rc::gen::weightedElement<int>({{6, 0}, {6, 1}, {3, 2}, {2, 3}, {2, 4}, {1, 5}, {1, 6}, {1, 7}})) {
    case 0: {
        const auto kind = *rc::gen::inRange(0, 5);
        const std::string suffix = std::to_string(*rc::gen::inRange(0, 4));
        if (kind == 0) {
            world.arrive("GET", "/");
        } else if (kind == 1) {
            world.arrive("GET", "/files/1");
        } else if (kind == 2) {
            world.arrive("POST", "/orders");
        } else {
            world.arrive("POST", "/orders", kind == 3 ? issuedKey(world, suffix) : "own-" + suffix);
        }
        break;
    }
    case 1: {
        using enum AttemptResult;
        const auto result = *rc::gen::element(Completed, RejectedNotRun, NothingSent, Failed, TimedOut, Broken);
        world.endAttempt(pick, result, *rc::gen::arbitrary<bool>());
        break;
    }
    case 2:
        world.pass(std::chrono::milliseconds(*rc::gen::element(1, 10, 200, 1500)));
        break;
    case 3:
        if (!world.claims.empty()) {
            const ClaimKey claim = world.claims.back();
            world.claims.pop_back();
            world.handle(ClaimEnded{claim.id, *rc::gen::element(ClaimResult::Won, ClaimResult::Won, ClaimResult::Taken, ClaimResult::Unavailable)});
        }
        break;
    case 4: {
        const base::RequestId id{*rc::gen::inRange<std::uint64_t>(0, world.lastRequest + 1)};
        if (world.requests.count(id) != 0 && !world.requests[id].ended && !world.requests[id].gone) {
            world.disconnect(id);
        }
        break;
    }
    case 5: {
        const std::string upstream = "u" + std::to_string(1 + pick % 2);
        world.leaving.insert(upstream);
        world.handle(UpstreamListedLeaving{upstream, {}});
        break;
    }
    case 6: // a late event of an attempt that has been superseded
        if (world.lastEnded) {
            world.handle(*world.lastEnded);
        }
        break;
    default:
        world.handle(LoadReported{"u3", base::IncarnationId{7}, UpstreamState::Live, 2, static_cast<std::uint32_t>(pick), 0});
        break;
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(EngineTests)

RC_BOOST_PROP(promisesHoldForAnyOrderOfEvents, ())
{
    Embedder world;
    const auto steps = *rc::gen::inRange(1, 150);
    for (int i = 0; i < steps; ++i) {
        randomStep(world);
    }
    // Whatever is left must end by itself once attempts and claims have ended.
    for (int i = 0; i < 50; ++i) {
        while (!world.claims.empty()) {
            const ClaimKey claim = world.claims.back();
            world.claims.pop_back();
            world.handle(ClaimEnded{claim.id, ClaimResult::Unavailable});
        }
        while (!world.open.empty()) {
            world.endAttempt(0, AttemptResult::TimedOut, false);
        }
        world.pass(40s);
    }
    for (const auto &[id, seen] : world.requests) {
        RC_ASSERT(seen.ended);
    }
    RC_ASSERT(world.engine.statistics().held == 0U);
}

BOOST_AUTO_TEST_CASE(servesOneRequestOfEachClass)
{
    Embedder world;
    world.arrive("POST", "/orders");
    world.arrive("GET", "/status");
    world.arrive("GET", "/files/a");
    BOOST_TEST_REQUIRE(world.open.size() == 3U);
    BOOST_TEST(world.open[0].freshConnection);
    BOOST_TEST((world.open[0].priorityClass == base::PriorityClass::Urgent));
    BOOST_TEST((world.open[2].priorityClass == base::PriorityClass::Bulk));
}

BOOST_AUTO_TEST_CASE(failedOrderIsNotSentAgain)
{
    Embedder world;
    world.arrive("POST", "/orders");
    world.endAttempt(0, AttemptResult::Failed, true);
    BOOST_TEST(world.open.empty());
    BOOST_TEST_REQUIRE(world.rejects.size() == 1U);
    BOOST_TEST((world.rejects[0].outcome == Outcome::Unknown));
}

BOOST_AUTO_TEST_CASE(rejectedOrderIsSentElsewhere)
{
    Embedder world;
    world.arrive("POST", "/orders");
    const std::string first = world.open.at(0).upstream;
    world.endAttempt(0, AttemptResult::RejectedNotRun, false);
    BOOST_TEST_REQUIRE(world.open.size() == 1U);
    BOOST_TEST(world.open[0].upstream != first);
}

BOOST_AUTO_TEST_CASE(repeatGetsTheStoredResponse)
{
    Embedder world;
    const std::string key = issuedKey(world, "a");
    world.arrive("POST", "/orders", key);
    world.arrive("POST", "/orders", key); // waits for the first
    world.endAttempt(0, AttemptResult::Completed, true);
    world.arrive("POST", "/orders", key);
    BOOST_TEST(world.open.empty());
    BOOST_TEST_REQUIRE(world.replays.size() == 2U);
    BOOST_TEST(world.replays[0].response->body == "done");
}

BOOST_AUTO_TEST_CASE(repeatThatIsRejectedEarlyIsNotToldNotRun)
{
    // An earlier attempt with the key may have run at another instance, whatever this one thinks of the request.
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

BOOST_AUTO_TEST_CASE(keyOfAnotherInstanceIsRelayedOrUnknown)
{
    Embedder world;
    const std::string key = idempotency::KeyIssuer(s_peer, base::TimePoint{}).prefixFor(world.now, 1) + "a";
    world.arrive("POST", "/orders", key);
    BOOST_TEST_REQUIRE(world.relays.size() == 1U);
    BOOST_TEST(world.relays[0].address == "127.0.0.1:8");
    world.handle(RelayEnded{world.relays[0].id, false});
    world.handle(MembersUpdated{{{"e1", s_self, "127.0.0.1:9", "north", "north-a", true, false}}});
    world.arrive("POST", "/orders", key);
    BOOST_TEST_REQUIRE(world.rejects.size() == 2U);
    BOOST_TEST((world.rejects[0].outcome == Outcome::Unknown));
    BOOST_TEST((world.rejects[1].outcome == Outcome::Unknown));
    BOOST_TEST(world.open.empty());
}

BOOST_AUTO_TEST_CASE(silentUpstreamLeavesTimeForARetry)
{
    Embedder world;
    world.arrive("GET", "/");
    const Forward first = world.open.at(0);
    BOOST_TEST((first.firstByteTimeout <= 500ms)); // of 1 s
    world.pass(first.firstByteTimeout);
    world.endAttempt(0, AttemptResult::TimedOut, true);
    BOOST_TEST_REQUIRE(world.open.size() == 1U);
    BOOST_TEST(world.open[0].upstream != first.upstream);
    world.arrive("POST", "/orders");
    BOOST_TEST((world.open.at(1).firstByteTimeout == 1s)); // is not sent twice, so it gets all of its time
}

BOOST_AUTO_TEST_CASE(withoutAnyUpstreamRequestsAreRejectedAtOnce)
{
    Embedder world;
    world.leaving = {"u1", "u2", "u3"};
    world.handle(DrainsUpdated{base::Generation{1}, {{DrainKind::FailureDomain, "north-a"}}});
    world.arrive("POST", "/orders");
    BOOST_TEST_REQUIRE(world.rejects.size() == 1U);
    BOOST_TEST((world.rejects[0].reason == RejectReason::NoUpstream));
    BOOST_TEST((world.rejects[0].outcome == Outcome::NotRun));
}

BOOST_AUTO_TEST_CASE(brokenDownloadIsResumedElsewhere)
{
    Embedder world;
    world.arrive("GET", "/files/a");
    const std::string first = world.open.at(0).upstream;
    world.endAttempt(0, AttemptResult::Broken, true);
    BOOST_TEST_REQUIRE(world.open.size() == 1U);
    BOOST_TEST(world.open[0].resume);
    BOOST_TEST(world.open[0].upstream != first);
}

BOOST_AUTO_TEST_CASE(drainTakesEffectAtOnceAndIsNotTakenBackByAnOlderList)
{
    Embedder world;
    world.leaving = {"u1", "u2"};
    world.handle(DrainsUpdated{base::Generation{2}, {{DrainKind::Upstream, "u1"}, {DrainKind::Upstream, "u2"}}});
    world.handle(DrainsUpdated{base::Generation{1}, {}});
    for (int i = 0; i < 10; ++i) {
        world.arrive("GET", "/");
    }
    BOOST_TEST(!world.open.empty());
    world.handle(DrainsUpdated{base::Generation{3}, {{DrainKind::FailureDomain, "north-a"}}});
    BOOST_TEST(world.engine.leaving());
}

BOOST_AUTO_TEST_CASE(olderDocumentIsIgnored)
{
    Embedder world;
    auto other = std::make_shared<document::SteeringDocument>(document::parseDocument(s_text));
    other->services[0].hosts = {"other.example"};
    world.handle(DocumentUpdated{base::Generation{1}, other, std::make_shared<routing::BlockTable>()});
    world.arrive("GET", "/");
    BOOST_TEST(world.open.size() == 1U);
    BOOST_TEST((world.engine.generation() == base::Generation{1}));
}

BOOST_AUTO_TEST_SUITE_END()
