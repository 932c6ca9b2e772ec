// Guards against a wrong exit status: scripts act on it.

#include "trefoilstile/ctl/commands.hpp"

#include <algorithm>
#include <optional>
#include <vector>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "../tablestore/fake_store.hpp"
#include "fakes.hpp"
#include "trefoilstile/document/parse.hpp"
#include "trefoilstile/tablestore/document_store.hpp"

using namespace trefoilstile;
using namespace trefoilstile::ctl;
using ctl::testing::FakeInstance;
using ctl::testing::FakePacer;
using ctl::testing::FakePorts;
using ctl::testing::statusJson;
using tablestore::testing::FakeStore;
using tablestore::testing::Fault;
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
        follow("trial");
    }

    /// One instance that has the given generations of everything, and stays so.
    void report(const std::string &environment, std::uint64_t generation)
    {
        FakeInstance instance{"e1", "north-a", generation, generation};
        instance.environment = environment;
        answerAs(instance);
        ports.afterRound = nullptr;
    }

    /// One instance that takes up what is in the store after each round of requests.
    void follow(const std::string &environment, const std::string &domain = "north-a")
    {
        FakeInstance instance{"e1", domain};
        instance.environment = environment;
        ports.afterRound = [this, instance]() mutable {
            takeUp(instance);
        };
        ports.afterRound();
    }

    /// Moves an instance to what is in the store, if that is higher, and answers as it.
    void takeUp(FakeInstance &instance)
    {
        const auto documentRow = newest("documents/" + instance.environment);
        if (documentRow && documentRow->at("generation").get<std::uint64_t>() > instance.generation) {
            instance.generation = documentRow->at("generation").get<std::uint64_t>();
            instance.hash = documentRow->at("hash").get<std::string>();
        }
        const auto drainRow = newest("drains/" + instance.environment);
        if (drainRow) {
            instance.drainGeneration = std::max(instance.drainGeneration, drainRow->at("generation").get<std::uint64_t>());
        }
        answerAs(instance);
    }

    void answerAs(const FakeInstance &instance)
    {
        ports.answers = {{"127.0.0.1:1", 200, statusJson(instance, {instance})}};
    }

    /// Value last written to a row, whatever faults the store has in wait.
    std::optional<nlohmann::json> newest(const std::string &path) const
    {
        const auto values = store.log.find(path);
        return values == store.log.end() ? std::nullopt : std::optional(nlohmann::json::parse(values->second.back()));
    }

    /// Changes as an operator without ports makes them.
    void acceptInStore(int count)
    {
        for (int i = 0; i < count; ++i) {
            tablestore::DocumentStore(store).submit({"trial", "earlier" + std::to_string(++submissions), s_document, ""});
        }
    }

    ExitStatus drain(tablestore::DrainChange::Action action, engine::DrainKind kind, const std::string &name)
    {
        return changeDrain(context, "trial", {action, {kind, name}}).status;
    }
};

constexpr auto s_add = tablestore::DrainChange::Action::Add;
constexpr auto s_remove = tablestore::DrainChange::Action::Remove;

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
            tablestore::DocumentStore(store).submit({"trial", "other", "x", ""});
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
    follow("production");
    BOOST_TEST(promote(context, "trial", "production", std::string(64, '0')).status == ExitStatus::Rejected);
    const std::string hash = document::contentHash(s_document);
    BOOST_TEST(promote(context, "trial", "production", hash).status == ExitStatus::Done);
    BOOST_TEST(tablestore::DocumentStore(store).row("production")->hash == hash);
    store.objects[hash] += "\n";
    BOOST_TEST(promote(context, "trial", "production", {}).status == ExitStatus::Rejected);
    tablestore::DocumentStore(store).submit({"trial", "other", "[", ""});
    BOOST_TEST(promote(context, "trial", "production", {}).status == ExitStatus::Rejected);
    BOOST_TEST(store.log["documents/production"].size() == 1U);
}

// In production a failure domain that nothing is known of may be cut off with its instances running.
BOOST_AUTO_TEST_CASE(promoteWaitsForEveryDomain)
{
    apply(context, "trial", s_document, "f");
    follow("production", "south-a");
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
    BOOST_TEST(tablestore::DrainStore(store).row("trial").drains.size() == 4U);
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

// A store that lost data has a lower generation than the instances, which ignore what is submitted to it. Saying "in
// effect" would leave the operator with the old document everywhere.
BOOST_AUTO_TEST_CASE(storeBehindTheInstances)
{
    acceptInStore(3);
    FakeInstance ahead{"e1", "north-a", 7, 7};
    const auto reachableLater = [&] {
        ports.answers = {{"127.0.0.1:1", 0, "refused"}};
        ports.afterRound = [&] {
            answerAs(ahead);
        };
    };
    reachableLater();
    const Report applied = apply(context, "trial", s_document, "f");
    BOOST_TEST(applied.status == ExitStatus::Unknown);
    BOOST_TEST(applied.json["generation"] == 4);
    BOOST_TEST(applied.json["store_behind"]["row_generation"] == 4);
    BOOST_TEST(applied.json["store_behind"]["instances"][0] == "e1");

    reachableLater();
    const Report drained = changeDrain(context, "trial", {s_add, {engine::DrainKind::Region, "north"}});
    BOOST_TEST(drained.status == ExitStatus::Unknown);
    BOOST_TEST(drained.json["store_behind"]["row_generation"] == 1);

    ahead.environment = "production";
    reachableLater();
    const Report promoted = promote(context, "trial", "production", {});
    BOOST_TEST(promoted.status == ExitStatus::Unknown);
    BOOST_TEST(promoted.json["store_behind"]["row_generation"] == 1);
}

// A later submission that replaced ours counts as our success, but only the store's row can show that there is one.
BOOST_AUTO_TEST_CASE(higherGenerationNeedsTheRow)
{
    const auto replacedAfterSubmission = [&](std::size_t readFaults) {
        ports.answers = {{"127.0.0.1:1", 0, "refused"}};
        ports.afterRound = [this, readFaults, rounds = 0]() mutable {
            // The second round is the first one after the submission.
            if (++rounds == 2) {
                acceptInStore(1);
                answerAs({"e1", "north-a", newest("documents/trial")->at("generation").get<std::uint64_t>()});
                store.faults.assign(readFaults, Fault::Outage);
            }
        };
    };
    replacedAfterSubmission(0);
    BOOST_TEST(apply(context, "trial", s_document, "f").status == ExitStatus::Done);
    replacedAfterSubmission(1000);
    const Report unreadable = apply(context, "trial", s_document, "f");
    BOOST_TEST(unreadable.status == ExitStatus::Unknown);
    BOOST_TEST(!unreadable.json.contains("store_behind"));
    BOOST_TEST(unreadable.json["row_error"] == "outage");
}

// Submitting the generation after the row's would never come into effect, however often the operator tries.
BOOST_AUTO_TEST_CASE(generationIsRaisedAboveTheInstances)
{
    acceptInStore(3);
    const auto instancesHave = [&](const std::string &environment, std::uint64_t generation) {
        // The highest generation is known only of a member, not of the instance whose port is asked.
        FakeInstance asked{"e1", "north-a", 1, 1};
        asked.environment = environment;
        FakeInstance member{"e2", "north-a", generation, generation};
        member.environment = environment;
        ports.answers = {{"127.0.0.1:1", 200, statusJson(asked, {member})}};
        ports.afterRound = [this, member]() mutable {
            takeUp(member);
        };
    };
    instancesHave("trial", 7);
    const Report applied = apply(context, "trial", s_document, "f");
    BOOST_TEST(applied.status == ExitStatus::Done);
    BOOST_TEST(applied.json["generation"] == 8);
    BOOST_TEST(applied.json["generation_raised"]["row_generation"] == 3);
    BOOST_TEST(applied.json["generation_raised"]["in_effect"] == 7);
    BOOST_TEST(applied.json["messages"].dump().find("raised from 4 to 8") != std::string::npos);
    const Report next = apply(context, "trial", s_document, "f");
    BOOST_TEST(next.json["generation"] == 9);
    BOOST_TEST(!next.json.contains("generation_raised"));

    instancesHave("trial", 20);
    const Report drained = changeDrain(context, "trial", {s_add, {engine::DrainKind::Region, "north"}});
    BOOST_TEST(drained.status == ExitStatus::Done);
    BOOST_TEST(drained.json["drain_generation"] == 21);
    BOOST_TEST(drained.json["generation_raised"]["row_generation"] == 0);

    // The row has the drain already, but in a generation that the instances ignore.
    instancesHave("trial", 30);
    const Report repeated = changeDrain(context, "trial", {s_add, {engine::DrainKind::Region, "north"}});
    BOOST_TEST(repeated.status == ExitStatus::Done);
    BOOST_TEST(repeated.json["drain_generation"] == 31);

    instancesHave("production", 40);
    const Report promoted = promote(context, "trial", "production", {});
    BOOST_TEST(promoted.status == ExitStatus::Done);
    BOOST_TEST(promoted.json["generation"] == 41);
    BOOST_TEST(promoted.json["generation_raised"]["row_generation"] == 0);
}

// Instances of another environment say nothing about this one's generations.
BOOST_AUTO_TEST_CASE(nothingIsRaisedWithoutReachablePorts)
{
    acceptInStore(3);
    report("other", 100);
    const Report foreign = apply(context, "trial", s_document, "f");
    BOOST_TEST(foreign.status == ExitStatus::Unknown);
    BOOST_TEST(foreign.json["generation"] == 4);
    BOOST_TEST(!foreign.json.contains("generation_raised"));
    ports.answers = {{"127.0.0.1:1", 0, "refused"}};
    BOOST_TEST(apply(context, "trial", s_document, "f").json["generation"] == 5);
    ports.answers.clear();
    BOOST_TEST(apply(context, "trial", s_document, "f").json["generation"] == 6);
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

// Guards against an API key that leaves the tool, and against values that are not encoded for the query.
BOOST_AUTO_TEST_CASE(requestIsExplainedWithoutItsKey)
{
    ports.answers = {{"127.0.0.1:1", 200, R"({"services":[]})"}};
    BOOST_TEST(explainRequest(context, {"a.example", "/reads/1 x", "k&1", "", "secret", 900}).status == ExitStatus::Done);
    BOOST_TEST(ports.targets.back()
        == "/v1/explain-request?host=a.example&path=%2Freads%2F1%20x&object=k%261&key_digest=" + document::contentHash("secret") + "&deadline_ms=900");
    explainRequest(context, {"a.example", "/", "", "club", "", 0});
    BOOST_TEST(ports.targets.back() == "/v1/explain-request?host=a.example&path=%2F&account=club");
    ports.answers = {{"127.0.0.1:1", 400, R"({"error":"x"})"}};
    BOOST_TEST(explainRequest(context, {"a.example", "/", "", "", "", 0}).status == ExitStatus::Rejected);
}

// JSON output must stay JSON whatever bytes a file name or another instance contributes.
BOOST_AUTO_TEST_CASE(output)
{
    const Report report = validate(s_document, "a\xff\"b");
    BOOST_TEST(nlohmann::json::parse(formatted(report, OutputFormat::Json))["outcome"] == "valid");
    BOOST_TEST(formatted(report, OutputFormat::Text).ends_with(document::contentHash(s_document) + "\n"));
}

BOOST_AUTO_TEST_SUITE_END()
