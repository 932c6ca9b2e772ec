// Tests that the emulation measures what its files describe.

#include <filesystem>

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include "emulation.hpp"
#include "page.hpp"
#include "read_experiment.hpp"

namespace trefoilstile::bench::overload
{

namespace
{

/// Capacity: 3 regions x 4 upstreams x 2 slots / 100 ms = 240 requests/s. All work is cold, as objects are not kept.
constexpr const char *s_deployment = R"(
name: small
instances: [[1, 1], [1, 1], [1, 1]]
callers: [1, 1, 1]
latency_ms: {caller: 1, within_region: 1, between_regions: 5}
warm_part: 1
services:
  - {name: work, upstreams: [4, 4, 4], slots: 2, queue: 6, warm_objects: 0}
kinds:
  - {name: reads, service: work, per_second: 480, work_ms: 100, objective_ms: 1000, deadline_ms: 2000, priority: 0, repeatable: true, objects: 10}
accounts: {count: 10, large_shares: [0.2]}
)";

Deployment smallDeployment()
{
    return parseDeployment(s_deployment, "small.yaml");
}

Day dayOf(const std::string &fields)
{
    return parseDay("name: test\n" + fields, "day.yaml", smallDeployment());
}

RunResult runOf(const Day &day, const Variant &variant, std::uint64_t seed)
{
    static const Deployment deployment = smallDeployment();
    return Emulation(deployment, day, variant, seed).run(20, 4);
}

/// Sends work wherever a queue has room, so that all slots are busy under overload.
Variant leastLoad()
{
    Variant variant;
    variant.name = "least load";
    variant.policy = PolicyName::LeastLoad;
    return variant;
}

double servedShare(const std::string &day)
{
    const Tally tally = runOf(dayOf(day), leastLoad(), 1).groups.front().tally;
    return tally.share(Outcome::InTime) + tally.share(Outcome::Late);
}

const Tally &groupNamed(const RunResult &result, const std::string &name)
{
    for (const Group &group : result.groups) {
        if (group.name == name) {
            return group.tally;
        }
    }
    throw std::runtime_error("no group " + name);
}

/// The message of the error with which the text is rejected.
template<typename Parse>
std::string rejection(Parse parse)
{
    try {
        parse();
    } catch (const InputError &error) {
        return error.what();
    }
    return "accepted";
}

std::string replaced(std::string text, const std::string &what, const std::string &by)
{
    return text.replace(text.find(what), what.size(), by);
}

/// Upstreams differ in speed by 15%, which moves the capacity of twelve of them by a few parts in 100.
constexpr double s_tolerance = 0.04;

} // namespace

BOOST_AUTO_TEST_SUITE(OverloadBench)

// Guards against slots, work or rates that the emulation does not take as described.
BOOST_AUTO_TEST_CASE(servesTheCalculatedShareOfAnOverload)
{
    BOOST_TEST(std::abs(servedShare("load: 1") - 0.5) < s_tolerance);
    BOOST_TEST(std::abs(servedShare("load: 2") - 0.25) < s_tolerance);
    BOOST_TEST(servedShare("load: 0.3") > 0.999);
    const RunResult result = runOf(dayOf("load: 0.3"), leastLoad(), 1);
    BOOST_TEST(result.cold == result.served);
    BOOST_TEST(result.served == groupNamed(result, "all").sent());
}

// Guards against machines that are slow for another part of the time or by another factor than the day says, and against long
// work that changes the mean.
BOOST_AUTO_TEST_CASE(slowMachinesAndLongWorkChangeTheCapacityAsCalculated)
{
    BOOST_TEST(std::abs(servedShare("load: 1\nmachine_speed: {slow_part: 1, slow_factor: 2}") - 0.25) < s_tolerance);
    BOOST_TEST(std::abs(servedShare("load: 1\nmachine_speed: {slow_part: 0.4, slow_factor: 4}") - 0.5 * (0.6 + 0.4 / 4)) < s_tolerance);
    BOOST_TEST(std::abs(servedShare("load: 1\nlong_work: {part: 0.03, factor: 7}") - 0.5) < s_tolerance);
}

// Guards against hidden inputs, and against variants that are compared on different arrivals.
BOOST_AUTO_TEST_CASE(theSeedAloneDecidesTheArrivals)
{
    const Day day = dayOf("load: 1\nswell: {part: 0.5, period_s: 9}\nmachine_speed: {slow_part: 0.2, slow_factor: 3}\n"
                          "callers: {impatient_part: 0.3, impatient_tries: 3}\nbroken_part: 0.01");
    const RunResult first = runOf(day, Variant{}, 7);
    BOOST_TEST((first == runOf(day, Variant{}, 7)));
    BOOST_TEST((first != runOf(day, Variant{}, 8)));
    const RunResult other = runOf(day, leastLoad(), 7);
    BOOST_TEST((first != other));
    for (std::size_t group = 0; group < first.groups.size(); ++group) {
        BOOST_TEST(first.groups[group].tally.sent() == other.groups[group].tally.sent());
    }
}

// Guards against a hot account whose additional requests are counted for others, or replace theirs.
BOOST_AUTO_TEST_CASE(theHotAccountSendsItsMultipleInAdditionToTheOthers)
{
    const RunResult usual = runOf(dayOf("load: 1"), leastLoad(), 3);
    const RunResult hot = runOf(dayOf("load: 1\nhot_account: {account: 0, from_s: 0, to_s: 60, factor: 6}"), leastLoad(), 3);
    const auto sent = [](const RunResult &result, const std::string &group) {
        return static_cast<double>(groupNamed(result, group).sent());
    };
    BOOST_TEST(std::abs(sent(hot, "hot account") / sent(usual, "large accounts") - 6) < 0.4);
    BOOST_TEST(std::abs(sent(hot, "small accounts") / sent(usual, "small accounts") - 1) < 0.05);
    BOOST_TEST(std::abs(sent(hot, "all") / sent(usual, "all") - (1 + 0.2 * 5)) < 0.05);
    BOOST_TEST(sent(hot, "large accounts") == 0);
    std::uint64_t others = 0;
    for (const Tally &account : hot.accounts) {
        others += account.sent();
    }
    BOOST_TEST(hot.accounts.size() == 10);
    BOOST_TEST(others == groupNamed(hot, "small accounts").sent());
}

// Guards against tries whose refusal is counted for another cause, and against an option of a variant that has no effect.
BOOST_AUTO_TEST_CASE(refusedTriesAreCountedByCause)
{
    const Day day = dayOf("load: 1\ncallers: {returns: 0}");
    const Group without = runOf(day, Variant{}, 5).groups.front();
    BOOST_TEST(without.refusedTries[0] + without.refusedTries[1] == 0);
    BOOST_TEST(std::accumulate(without.refusedTries.begin(), without.refusedTries.end(), std::uint64_t{})
        == without.tally.counts[static_cast<std::size_t>(Outcome::Refused)]);
    Variant controlled;
    controlled.placement.overloadMode = ingress::OverloadMode::On;
    BOOST_TEST(runOf(day, controlled, 5).groups.front().refusedTries[0] > 0);
}

// Guards against variants that differ in name only.
BOOST_AUTO_TEST_CASE(waysOfChoosingDiffer)
{
    const Day day = dayOf("load: 0.4\nmachine_speed: {slow_part: 0.3, slow_factor: 4, reported: true}");
    std::vector<RunResult> results;
    Variant variant;
    results.push_back(runOf(day, variant, 4));
    variant.speedReported = false;
    results.push_back(runOf(day, variant, 4));
    for (const PolicyName policy : {PolicyName::LeastLoad, PolicyName::PowerOfTwoChoices, PolicyName::PowerOfTwoByKey}) {
        variant.policy = policy;
        results.push_back(runOf(day, variant, 4));
    }
    for (std::size_t i = 0; i < results.size(); ++i) {
        for (std::size_t j = 0; j < i; ++j) {
            BOOST_TEST((results[i] != results[j]));
        }
    }
}

// Guards against callers that come back although the day says otherwise, and against requests that end twice or never.
BOOST_AUTO_TEST_CASE(refusedCallersComeBackAsTheDaySays)
{
    const RunResult never = runOf(dayOf("load: 1\ncallers: {returns: 0}"), leastLoad(), 5);
    BOOST_TEST(groupNamed(never, "all").share(Outcome::RefusedAgain) == 0);
    BOOST_TEST(std::abs(groupNamed(never, "all").share(Outcome::Refused) - 0.5) < s_tolerance);
    const RunResult once = runOf(dayOf("load: 1\ncallers: {returns: 1}"), leastLoad(), 5);
    BOOST_TEST(groupNamed(once, "all").share(Outcome::Refused) == 0); // 300 ms, below a third of 2 s
    BOOST_TEST(std::abs(groupNamed(once, "all").share(Outcome::RefusedAgain) - 0.5) < s_tolerance);
    BOOST_TEST(std::abs(static_cast<double>(groupNamed(once, "reads").sent()) - 480.0 * 16) < 4 * std::sqrt(480.0 * 16));
    const RunResult mixed = runOf(dayOf("load: 1\ncallers: {returns: 0, impatient_part: 0.25, impatient_tries: 3}"), leastLoad(), 5);
    const double impatient = static_cast<double>(groupNamed(mixed, "impatient callers").sent());
    BOOST_TEST(std::abs(impatient / static_cast<double>(groupNamed(mixed, "all").sent()) - 0.25) < 0.03);
    BOOST_TEST(groupNamed(mixed, "patient callers").share(Outcome::RefusedAgain) == 0);
    BOOST_TEST(groupNamed(mixed, "impatient callers").share(Outcome::Refused) == 0);
    BOOST_TEST(groupNamed(mixed, "impatient callers").share(Outcome::RefusedAgain) > 0);
}

// Guards against messages that leave the writer of a file in search of the fault.
BOOST_AUTO_TEST_CASE(faultsNameFileLineAndField)
{
    const auto deployment = [](const std::string &what, const std::string &by) {
        return rejection([&] {
            parseDeployment(replaced(s_deployment, what, by), "small.yaml");
        });
    };
    BOOST_TEST(deployment("work_ms: 100", "work_ms: -1").starts_with("small.yaml:10: kinds[0].work_ms: -1 is out of range"));
    BOOST_TEST(deployment("service: work", "service: play") == "small.yaml:10: kinds[0].service: there is no service 'play'");
    BOOST_TEST(deployment("slots: 2, ", "") == "small.yaml:8: services[0].slots: the field is missing");
    BOOST_TEST(deployment("[0.2]", "[0.2, 0.9]") == "small.yaml:11: accounts.large_shares: must leave accounts and requests that are not large");
    BOOST_TEST(rejection([] {
        dayOf("load: 1\nswells: 2");
    }) == "day.yaml:3: swells: unknown field");
    BOOST_TEST(rejection([] {
        dayOf("load: 1\nbursts: [{kind: reads, from_s: 1, to_s: 2, factor: 2}, {kind: writes, from_s: 1, to_s: 2, factor: 2}]");
    }) == "day.yaml:3: bursts[1].kind: there is no kind 'writes'");
    BOOST_TEST(rejection([] {
        readExperiment("no_such_folder/experiment.yaml");
    }) == "no_such_folder/experiment.yaml: the file cannot be read or is empty");
}

// Guards against experiment files that the program no longer reads, and against options that do not reach the placement.
BOOST_AUTO_TEST_CASE(experimentsOfTheRepositoryAreRead)
{
    const std::filesystem::path folder(TREFOILSTILE_OVERLOAD_EXPERIMENTS);
    for (const char *name : {"a.yaml",
             "b.yaml",
             "a-cold.yaml",
             "b-cold.yaml",
             "short.yaml",
             "a-choice.yaml",
             "b-choice.yaml",
             "a-overload.yaml",
             "b-overload.yaml",
             "a-data.yaml",
             "a-start.yaml"}) {
        BOOST_TEST(!readExperiment(folder / name).variants.empty());
    }
    const Experiment experiment = readExperiment(folder / "b.yaml");
    BOOST_TEST(experiment.variants.at(0).placement.queuePerSlot == ingress::PlacementOptions().queuePerSlot);
    BOOST_TEST(experiment.variants.at(1).placement.queuePerSlot == 2);
    BOOST_TEST(experiment.days.at(1).machines.reported);
    const Experiment overload = readExperiment(folder / "b-overload.yaml");
    BOOST_TEST((overload.variants.at(0).placement.overloadMode == ingress::OverloadMode::Off));
    BOOST_TEST((overload.variants.at(1).placement.overloadMode == ingress::OverloadMode::On));
    BOOST_TEST(overload.variants.at(2).placement.overload.urgentQueuePerSlot == 2);
    BOOST_TEST(overload.variants.at(3).placement.overload.coldUtilizationLimit == 0.75);
}

// Guards against a wrong mean or standard deviation, and against names that break the page.
BOOST_AUTO_TEST_CASE(resultsAreSummedOverSeeds)
{
    RunResult half{{{"all", {{1, 1, 0, 0, 0}}, {}}}, {{{1, 1, 0, 0, 0}}}, {}, 2, 1};
    RunResult all{{{"all", {{2, 0, 0, 0, 0}}, {}}}, {{{2, 0, 0, 0, 0}}}, {}, 2, 0};
    half.groups.front().refusedTries = {1, 0, 0, 0};
    half.accounts = {{{1, 1, 2, 0, 0}}, {{4, 0, 0, 0, 0}}, {}};
    all.accounts = {{{4, 0, 0, 0, 0}}, {{4, 0, 0, 0, 0}}, {{0, 1, 0, 0, 0}}};
    const Summary summary = summarize("day", "a<b", {half, all});
    BOOST_TEST(summary.groups.front().refusedTries[0] == 0.25);
    BOOST_TEST(summary.inTime.mean.mean == (0.625 + 2.0 / 3) / 2);
    BOOST_TEST(summary.inTime.worst.mean == 0.125);
    BOOST_TEST(summary.served.worstTenth.mean == 0.75);
    const Spread &inTime = summary.groups.front().shares[0];
    BOOST_TEST(inTime.mean == 0.75);
    BOOST_TEST(std::abs(inTime.deviation - std::sqrt(0.125)) < 1e-12);
    BOOST_TEST(markdownTables({summary}).find("| all | a<b | 2 | 0.750 ± 0.354 | 0.250 ± 0.354 |") != std::string::npos);
    BOOST_TEST(markdownTables({summary}).find("a<b 0.250 ± 0.354.") != std::string::npos);
    Experiment experiment;
    experiment.variants.emplace_back().name = "a<b";
    const std::string html = page(experiment, {summary});
    BOOST_TEST(html.find("a&lt;b") != std::string::npos);
    BOOST_TEST(html.find("a<b") == std::string::npos);
    BOOST_TEST(html.find("http") == std::string::npos); // self-contained
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace trefoilstile::bench::overload
