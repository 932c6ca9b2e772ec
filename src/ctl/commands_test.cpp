// Guards against a wrong exit status: scripts act on it.

#include "trefoilstile/ctl/commands.hpp"

#include <boost/test/unit_test.hpp>

#include "../platform/fake_store.hpp"
#include "fakes.hpp"
#include "trefoilstile/document/parse.hpp"
#include "trefoilstile/platform/document_store.hpp"

using namespace trefoilstile;
using namespace trefoilstile::ctl;
using ctl::testing::FakeInstance;
using ctl::testing::FakePacer;
using ctl::testing::FakePorts;
using ctl::testing::statusJson;
using platform::testing::FakeStore;
using platform::testing::Fault;
using namespace std::chrono_literals;

namespace
{

const std::string s_document = R"(max_entry_instances: 12
regions:
  - {name: north, capacity_rps: 100, failure_domains: [{name: north-a, capacity_rps: 50}]}
classes:
  urgent: {weight: 16, minimum_share: 0.3}
  interactive: {weight: 4, minimum_share: 0.3}
  bulk: {weight: 1, minimum_share: 0.1}
services:
  - name: shop
    hosts: [shop.example]
    routes: [{path_prefix: /, class: urgent, idempotent: false}]
    upstreams: [{name: shop-1, failure_domain: north-a, address: '127.0.0.1:8080', slots: 4, connections: 40}]
sites: [{name: north-site, failure_domain: north-a, blocks: [10.0.0.0/8]}]
default_site: north-site
)";

struct Fixture {
    FakeStore store;
    FakePorts ports;
    FakePacer pacer;
    int submissions = 0;
    Context context{store,
        ports,
        pacer,
        [this] {
            return "s" + std::to_string(++submissions);
        },
        [] {
            return std::string("2026-12-04T10:00:00Z");
        },
        10s};

    Fixture()
    {
        report("trial", 100);
    }

    /// One instance that has the given generations of everything.
    void report(const std::string &environment, std::uint64_t generation)
    {
        FakeInstance instance{"e1", "north-a", generation, generation};
        instance.environment = environment;
        ports.answers = {{"127.0.0.1:1", 200, statusJson(instance, {instance})}};
    }

    ExitStatus drain(platform::DrainChange::Action action, engine::DrainKind kind, const std::string &name)
    {
        return changeDrain(context, "trial", {action, {kind, name}}).status;
    }
};

constexpr auto s_add = platform::DrainChange::Action::Add;
constexpr auto s_remove = platform::DrainChange::Action::Remove;

} // namespace

BOOST_TEST_DONT_PRINT_LOG_VALUE(ExitStatus)

BOOST_FIXTURE_TEST_SUITE(Commands, Fixture)

BOOST_AUTO_TEST_CASE(validateListsEveryFault)
{
    BOOST_TEST(validate(s_document, "f").status == ExitStatus::Done);
    const Report report = validate("max_entry_instances: 0\nregions: 3\n", "f.yaml");
    BOOST_TEST(report.status == ExitStatus::Rejected);
    BOOST_TEST(report.json["errors"].size() > 1U);
    BOOST_TEST(report.lines.front().starts_with("f.yaml:1: max_entry_instances: "));
}

BOOST_AUTO_TEST_CASE(applyIsDoneOnlyWhenInEffect)
{
    BOOST_TEST(apply(context, "trial", s_document, "f").status == ExitStatus::Done);
    report("trial", 1);
    const Report late = apply(context, "trial", s_document, "f");
    BOOST_TEST(late.status == ExitStatus::Unknown);
    BOOST_TEST(late.json["generation"] == 2);
    BOOST_TEST(late.json["failure_domains"][0]["missing"][0] == "e1");
    ports.answers.clear();
    BOOST_TEST(apply(context, "trial", s_document, "f").status == ExitStatus::Unknown);
    BOOST_TEST(apply(context, "trial", "[", "f").status == ExitStatus::Rejected);
    BOOST_TEST(store.log["documents/trial"].size() == 3U);
}

// The loser of a race must learn who won, and must not be told that the outcome is unknown.
BOOST_AUTO_TEST_CASE(applyNamesTheWinner)
{
    int requests = 0;
    store.beforeRequest = [&] {
        if (++requests == 3) {
            platform::DocumentStore(store).submit({"trial", "other", "x", ""});
        }
    };
    const Report report = apply(context, "trial", s_document, "f");
    BOOST_TEST(report.status == ExitStatus::Rejected);
    BOOST_TEST(report.json["winner"]["submission"] == "other");
    BOOST_TEST(report.json["winner"]["generation"] == 1);
}

// Certainly not accepted is 1, perhaps accepted is 3.
BOOST_AUTO_TEST_CASE(applyDuringAnOutage)
{
    store.faults = {Fault::Outage};
    BOOST_TEST(apply(context, "trial", s_document, "f").status == ExitStatus::Rejected);
    store.faults = {Fault::None, Fault::None, Fault::AnswerLost};
    store.faults.insert(store.faults.end(), 20, Fault::Outage);
    BOOST_TEST(apply(context, "trial", s_document, "f").status == ExitStatus::Done);
    store.faults = {Fault::None, Fault::None, Fault::AnswerLost};
    store.faults.insert(store.faults.end(), 1000, Fault::Outage);
    BOOST_TEST(apply(context, "trial", s_document, "f").status == ExitStatus::Unknown);
}

BOOST_AUTO_TEST_CASE(promoteTakesTheSameBytes)
{
    BOOST_TEST(promote(context, "trial", "production", {}).status == ExitStatus::Rejected);
    apply(context, "trial", s_document, "f");
    report("production", 100);
    BOOST_TEST(promote(context, "trial", "production", std::string(64, '0')).status == ExitStatus::Rejected);
    const std::string hash = document::contentHash(s_document);
    BOOST_TEST(promote(context, "trial", "production", hash).status == ExitStatus::Done);
    BOOST_TEST(platform::DocumentStore(store).row("production")->hash == hash);
    store.objects[hash] += "\n";
    BOOST_TEST(promote(context, "trial", "production", {}).status == ExitStatus::Rejected);
    platform::DocumentStore(store).submit({"trial", "other", "[", ""});
    BOOST_TEST(promote(context, "trial", "production", {}).status == ExitStatus::Rejected);
    BOOST_TEST(store.log["documents/production"].size() == 1U);
}

// In production a failure domain that nothing is known of may be cut off with its instances running.
BOOST_AUTO_TEST_CASE(promoteWaitsForEveryDomain)
{
    apply(context, "trial", s_document, "f");
    FakeInstance elsewhere{"e1", "south-a", 100};
    elsewhere.environment = "production";
    ports.answers = {{"127.0.0.1:1", 200, statusJson(elsewhere, {})}};
    const Report report = promote(context, "trial", "production", {});
    BOOST_TEST(report.status == ExitStatus::Unknown);
    BOOST_TEST(report.json["unreachable_failure_domains"][0] == "north-a");
    context.ignoreEmptyDomains = true;
    BOOST_TEST(promote(context, "trial", "production", {}).status == ExitStatus::Done);
}

BOOST_AUTO_TEST_CASE(drainsKnownNamesOnly)
{
    using engine::DrainKind;
    BOOST_TEST(drain(s_add, DrainKind::Upstream, "shop-1") == ExitStatus::Rejected);
    apply(context, "trial", s_document, "f");
    for (const auto &[kind, name] :
        {std::pair(DrainKind::Upstream, "shop-1"), {DrainKind::Entry, "e1"}, {DrainKind::FailureDomain, "north-a"}, {DrainKind::Region, "north"}}) {
        BOOST_TEST(drain(s_remove, kind, name) == ExitStatus::Rejected);
        BOOST_TEST(drain(s_add, kind, name) == ExitStatus::Done);
        BOOST_TEST(drain(s_add, kind, name) == ExitStatus::Done);
        const Report unknownName = changeDrain(context, "trial", {s_add, {kind, "x"}});
        BOOST_TEST(unknownName.status == ExitStatus::Rejected);
        BOOST_TEST(unknownName.json["known"][0] == name);
    }
    BOOST_TEST(platform::DrainStore(store).row("trial").drains.size() == 4U);
    BOOST_TEST(drain(s_remove, DrainKind::Region, "north") == ExitStatus::Done);
    report("trial", 1);
    BOOST_TEST(drain(s_add, DrainKind::Region, "north") == ExitStatus::Unknown);
}

// A lost answer that turns out to be a lost race is made again; one that cannot be settled is unknown.
BOOST_AUTO_TEST_CASE(drainDuringAnOutage)
{
    apply(context, "trial", s_document, "f");
    const std::deque<Fault> before{Fault::None, Fault::None, Fault::None};
    store.faults = before;
    store.faults.push_back(Fault::AnswerLost);
    store.faults.insert(store.faults.end(), 20, Fault::Outage);
    BOOST_TEST(drain(s_add, engine::DrainKind::Region, "north") == ExitStatus::Done);
    store.faults = before;
    store.faults.push_back(Fault::RequestLost);
    store.faults.insert(store.faults.end(), 1000, Fault::Outage);
    BOOST_TEST(drain(s_add, engine::DrainKind::Upstream, "shop-1") == ExitStatus::Unknown);
}

BOOST_AUTO_TEST_CASE(readingCommands)
{
    BOOST_TEST(history(context, "trial").status == ExitStatus::Done);
    apply(context, "trial", s_document, "f");
    apply(context, "trial", s_document, "f");
    const Report listed = history(context, "trial");
    BOOST_TEST(listed.json["history"][0]["generation"] == 2);
    BOOST_TEST(listed.json["history"][1]["accepted_at"] == "2026-12-04T10:00:00Z");
    store.faults = {Fault::Outage};
    BOOST_TEST(history(context, "trial").status == ExitStatus::Unknown);

    BOOST_TEST(status(context).status == ExitStatus::Done);
    ports.answers.push_back({"127.0.0.1:2", 0, "refused"});
    const Report incomplete = status(context);
    BOOST_TEST(incomplete.status == ExitStatus::Unknown);
    BOOST_TEST(incomplete.json["operators"][1]["error"] == "refused");

    ports.answers = {{"127.0.0.1:2", 0, "refused"}, {"127.0.0.1:1", 200, R"({"entries":[]})"}};
    BOOST_TEST(explain(context, "a b", "10.0.0.1").status == ExitStatus::Done);
    BOOST_TEST(ports.targets.back() == "/v1/explain?service=a%20b&client=10.0.0.1");
    ports.answers = {{"127.0.0.1:1", 404, R"({"error":"no such service"})"}};
    BOOST_TEST(explain(context, "x", "10.0.0.1").status == ExitStatus::Rejected);
    ports.answers = {{"127.0.0.1:1", 0, "refused"}};
    BOOST_TEST(explain(context, "x", "10.0.0.1").status == ExitStatus::Unknown);
}

// JSON output must stay JSON whatever bytes a file name or another instance contributes.
BOOST_AUTO_TEST_CASE(output)
{
    const Report report = validate(s_document, "a\xff\"b");
    BOOST_TEST(nlohmann::json::parse(formatted(report, OutputFormat::Json))["outcome"] == "valid");
    BOOST_TEST(formatted(report, OutputFormat::Text).ends_with(document::contentHash(s_document) + "\n"));
}

BOOST_AUTO_TEST_SUITE_END()
