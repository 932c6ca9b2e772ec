// Guards against traffic that is moved to another region beyond the cap or without known spare capacity, and against
// traffic that is not moved although the own region cannot serve it.

#include <algorithm>
#include <deque>
#include <utility>

#include <boost/test/unit_test.hpp>

#include "trefoilstile/document/parse.hpp"
#include "trefoilstile/engine/engine.hpp"

using namespace std::chrono_literals;
using namespace trefoilstile;
using namespace trefoilstile::engine;

namespace
{

constexpr std::string_view s_documentText = R"(max_entry_instances: 2
regions:
  - {name: north, capacity_rps: 1000, failure_domains: [{name: north-a, capacity_rps: 1000}]}
  - {name: south, capacity_rps: 1000, failure_domains: [{name: south-a, capacity_rps: 1000}]}
classes:
  urgent: {weight: 16, minimum_share: 0.3}
  interactive: {weight: 4, minimum_share: 0.3}
  bulk: {weight: 1, minimum_share: 0.1}
shift_caps:
  - {from: north, to: south, requests_per_second: 40, bytes_per_second: 10000000}
lookup: {ttl_ms: 10000, jitter: 0, requests_per_response: 1}
services:
  - name: shop
    hosts: [shop.example]
    timeout_ms: 1000
    warm_up_ms: 0
    routes:
      - {path_prefix: /, class: interactive, idempotent: true}
    upstreams:
      - {name: n1, failure_domain: north-a, address: '127.0.0.1:1', slots: 2, connections: 100}
      - {name: s1, failure_domain: south-a, address: '127.0.0.1:2', slots: 100, connections: 1000}
sites:
  - {name: north-site, failure_domain: north-a, blocks: [10.0.0.0/8]}
  - {name: south-site, failure_domain: south-a, blocks: [20.0.0.0/8]}
default_site: north-site
)";

constexpr double s_quota = 20; // 40 requests/s over 2 instances

/// An engine in region north with simulated time; records its commands.
struct EngineFixture {
    EngineFixture()
        : engine({"e1", "production", "north", "north-a", base::IncarnationId{1}, 1, 2s, {}, {}}, now)
    {
        auto document = std::make_shared<document::SteeringDocument>(document::parseDocument(s_documentText));
        auto blocks = std::make_shared<routing::BlockTable>(document->clientBlocks, document->defaultSite);
        handle(DocumentUpdated{base::Generation{1}, document, blocks, "hash-1"});
        setMembers(true, true);
        advanceTime(61s); // longer than the 60 s for which a started instance does not use its quota
    }

    void setMembers(bool northAlive, bool southAlive)
    {
        handle(MembersUpdated{{{"e1", base::IncarnationId{1}, "127.0.0.1:9", "north", "north-a", northAlive, false},
            {"e2", base::IncarnationId{2}, "127.0.0.1:8", "south", "south-a", southAlive, false}}});
    }

    void handle(Event event)
    {
        engine.handle(std::move(event), now, [this](Command command) {
            onCommand(command);
        });
    }

    void advanceTime(base::Duration span)
    {
        now += span;
        engine.tick(now, [this](Command command) {
            onCommand(command);
        });
    }

    void onCommand(const Command &command)
    {
        if (const auto *forward = std::get_if<Forward>(&command)) {
            (forward->remoteRegion.empty() ? local : remote).push_back(*forward);
            if (!forward->remoteRegion.empty()) {
                forwardedAt.push_back(now);
            }
        } else if (const auto *reject = std::get_if<Reject>(&command)) {
            rejects.push_back(*reject);
        }
    }

    void arrive(std::string_view client = "10.0.0.1")
    {
        RequestArrived event;
        event.id = base::RequestId{++lastRequest};
        event.host = "shop.example";
        event.path = "/";
        event.method = "GET";
        event.client = base::parseIpAddress(client).value();
        handle(std::move(event));
    }

    void advertise(double spare)
    {
        shift::CapacityAdvert advert;
        advert.sequence = ++sequence;
        advert.spare = spare;
        advert.age = 1s;
        handle(CapacityReported{"south", advert});
        handle(LoadReported{"s1", base::IncarnationId{5}, UpstreamState::Live, 100, 0, 0});
    }

    void endRemoteAttempts()
    {
        for (const Forward &forward : std::exchange(remote, {})) { // the end of one may start another
            AttemptEnded event;
            event.id = forward.id;
            event.attemptId = forward.attemptId;
            event.result = AttemptResult::Completed;
            event.latency = 20ms;
            handle(std::move(event));
        }
    }

    /// Greatest number of requests forwarded within any second.
    std::size_t maximumInOneSecond() const
    {
        std::size_t maximum = 0;
        for (auto first = forwardedAt.begin(); first != forwardedAt.end(); ++first) {
            const auto end = std::upper_bound(first, forwardedAt.end(), *first + 1s - 1ns);
            maximum = std::max(maximum, static_cast<std::size_t>(end - first));
        }
        return maximum;
    }

    base::TimePoint now{1s};
    std::vector<Forward> local;
    std::vector<Forward> remote;
    std::deque<base::TimePoint> forwardedAt;
    std::vector<Reject> rejects;
    std::uint64_t lastRequest = 0;
    std::uint64_t sequence = 0;
    engine::Engine engine;
};

/// Drains the own upstreams and offers far more requests than the cap allows, for 20 s.
void overloadWithoutLocalUpstreams(EngineFixture &fixture, double spare)
{
    fixture.handle(DrainsUpdated{base::Generation{1}, {{DrainKind::Upstream, "n1"}}});
    for (int step = 0; step < 400; ++step) {
        if (step % 20 == 0) {
            fixture.advertise(spare);
        }
        for (int i = 0; i < 5; ++i) {
            fixture.arrive();
        }
        fixture.advanceTime(50ms);
        fixture.endRemoteAttempts();
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(EngineShift)

// Without the cap, the instance would forward all requests that its own region cannot serve. A rate that stays far below
// the cap would reject requests that the other region could serve.
BOOST_AUTO_TEST_CASE(usesTheCapAndNeverExceedsIt)
{
    EngineFixture fixture;
    overloadWithoutLocalUpstreams(fixture, 1000);
    BOOST_TEST(fixture.maximumInOneSecond() <= s_quota);
    BOOST_TEST(fixture.forwardedAt.size() >= 0.5 * s_quota * 20); // most of 20 s, after the damped increase
    BOOST_TEST(fixture.local.empty());
    for (const Reject &reject : fixture.rejects) {
        BOOST_TEST((reject.outcome == Outcome::NotRun));
    }
}

// Requests forwarded without a report of spare capacity could overload the other region.
BOOST_AUTO_TEST_CASE(movesNothingWithoutKnownSpareCapacity)
{
    EngineFixture fixture;
    fixture.handle(DrainsUpdated{base::Generation{1}, {{DrainKind::Upstream, "n1"}}});
    for (int i = 0; i < 100; ++i) {
        fixture.arrive();
        fixture.advanceTime(50ms);
    }
    BOOST_TEST(fixture.remote.empty());
    EngineFixture full;
    overloadWithoutLocalUpstreams(full, 0);
    BOOST_TEST(full.forwardedAt.empty());
}

// Forwarding adds the round trip to the latency, so spare capacity elsewhere must not attract requests.
BOOST_AUTO_TEST_CASE(keepsRequestsInTheOwnRegionWhileTheyFit)
{
    EngineFixture fixture;
    fixture.advertise(1000);
    fixture.advanceTime(1s);
    fixture.advertise(1000);
    fixture.arrive();
    BOOST_TEST(fixture.local.size() == 1U);
    BOOST_TEST(fixture.remote.empty());
}

// Callers of a region without entry instances need lookup responses that name another region, but responses without a grant
// would move more traffic than the cap allows. Grants end when the region has entry instances again.
BOOST_AUTO_TEST_CASE(regionWithoutEntriesGetsLookupGrantsWithinTheCap)
{
    EngineFixture fixture;
    BOOST_TEST(fixture.engine.grants().empty());
    fixture.setMembers(false, true);
    std::uint32_t granted = 0;
    for (int i = 0; i < 20; ++i) {
        fixture.advanceTime(50ms);
        for (const PlacedGrant &grant : std::vector<PlacedGrant>(fixture.engine.grants())) {
            BOOST_TEST(grant.from == "north");
            BOOST_TEST(grant.to == "south");
            granted += grant.responses;
            fixture.handle(GrantUsed{grant.id, grant.responses, 0});
        }
    }
    BOOST_TEST(granted > 0U);
    BOOST_TEST(granted <= s_quota); // one request/s for each response, until its TTL has passed
    fixture.advanceTime(20s);
    fixture.advanceTime(1s);
    BOOST_TEST(!fixture.engine.grants().empty());
    fixture.setMembers(true, true);
    fixture.advanceTime(50ms);
    BOOST_TEST(fixture.engine.grants().empty());
}

// Senders that exceed their caps must not overload this region: it limits requests from other regions itself.
BOOST_AUTO_TEST_CASE(callersOfOtherRegionsAreLimitedByTheOwnCapacity)
{
    EngineFixture fixture;
    for (int i = 0; i < 2000; ++i) {
        fixture.arrive("20.0.0.1");
    }
    const auto limited = std::count_if(fixture.rejects.begin(), fixture.rejects.end(), [](const Reject &reject) {
        return reject.reason == RejectReason::ShiftCap;
    });
    BOOST_TEST(limited >= 1000); // the region serves 1000 requests/s
}

BOOST_AUTO_TEST_SUITE_END()
