// The path of a document from trefoilctl to the instances, and what operators are told of it.

#include <algorithm>

#include <boost/test/unit_test.hpp>

#include "fleet.hpp"

using namespace process_test;
using nlohmann::json;

namespace
{

std::size_t historyLength(Fleet &fleet, const std::string &environment)
{
    const CtlResult history = fleet.ctl({"history", "--env", environment});
    BOOST_REQUIRE_MESSAGE(history.status == 0, history.text);
    return history.report.at("history").size();
}

std::string replaced(std::string text, const std::string &what, const std::string &by)
{
    const std::size_t place = text.find(what);
    BOOST_REQUIRE(place != std::string::npos);
    return text.replace(place, what.size(), by);
}

/// Line number of the first line that contains the text, from 1.
long lineOf(const std::string &text, const std::string &what)
{
    return 1 + std::count(text.begin(), text.begin() + static_cast<std::ptrdiff_t>(text.find(what)), '\n');
}

/// True if the report has an error whose path contains `path`, at the line.
bool reports(const json &report, const std::string &path, long line)
{
    const json &errors = report.at("errors");
    return std::any_of(errors.begin(), errors.end(), [&](const json &error) {
        return error.at("path").get<std::string>().find(path) != std::string::npos && error.at("line") == line;
    });
}

} // namespace

BOOST_AUTO_TEST_SUITE(Operators)

// Guards against a break anywhere on the path from trefoilctl over the platform and the peers to a served request:
// P8 (in effect everywhere) and P3 (each caller gets its own response).
BOOST_AUTO_TEST_CASE(documentReachesCallersOfAllInstances)
{
    Fleet fleet(4);
    fleet.startInstances(4);
    fleet.start("trial-0", "dom-a", "trial");
    const std::string document = fleet.document();
    const std::string file = fleet.folder.write("document.yaml", document);

    const CtlResult applied = fleet.ctl({"apply", file, "--env", "trial"}, "trial");
    BOOST_REQUIRE_MESSAGE(applied.status == 0, applied.text);
    const CtlResult promoted = fleet.ctl({"promote", "--from", "trial", "--to", "production"});
    BOOST_REQUIRE_MESSAGE(promoted.status == 0, promoted.text);
    BOOST_TEST(promoted.report.at("hash") == applied.report.at("hash"));

    for (const auto &instance : fleet.instances) {
        BOOST_TEST_CONTEXT(instance->name)
        {
            const json status = instance->status();
            BOOST_REQUIRE(!status.is_null());
            BOOST_TEST(status.at("generation") == 1);
            BOOST_TEST(status.at("hash") == applied.report.at("hash"));
            BOOST_TEST(call(instance->operators, {"GET", "/readyz", {}, {}}).status == 200U);
        }
    }
    for (int i = 0; i < 4; ++i) {
        Instance &instance = fleet.instance("entry-" + std::to_string(i));
        BOOST_TEST_CONTEXT(instance.name)
        {
            const std::vector<std::string> names = instance.lookedUp();
            BOOST_TEST(names.size() == 4U);
            const std::string key = instance.keyPrefix() + "order";
            const HttpResponse ordered = call(instance.callers, order(key));
            BOOST_TEST(ordered.status == 200U);
            BOOST_TEST(json::parse(ordered.body, nullptr, false).value("key", "") == key);
            BOOST_TEST(fleet.executionsOf(key) == 1U);
            BOOST_TEST(call(instance.callers, statusCheck()).status == 200U);
            const HttpResponse downloaded = call(instance.callers, download(200'000));
            BOOST_TEST(downloaded.complete);
            BOOST_TEST((downloaded.body == objectBytes(200'000)));
        }
    }
}

// Guards against accepting a faulty document, and against naming only the first of its faults.
BOOST_AUTO_TEST_CASE(faultyDocumentIsRejectedWithEveryFault)
{
    Fleet fleet;
    fleet.start("trial-0", "dom-a", "trial");
    std::string document = replaced(fleet.document(), "capacity_rps: 2000", "capacity_rps: -5");
    document = replaced(document, "class: bulk", "class: bulky");
    const CtlResult applied = fleet.ctl({"apply", fleet.folder.write("faulty.yaml", document), "--env", "trial"}, "trial");
    BOOST_TEST(applied.status == 1, applied.text);
    BOOST_REQUIRE(applied.report.contains("errors"));
    BOOST_TEST(applied.report.at("errors").size() == 2U, applied.text);
    BOOST_TEST(reports(applied.report, "capacity_rps", lineOf(document, "capacity_rps: -5")), applied.text);
    BOOST_TEST(reports(applied.report, "class", lineOf(document, "class: bulky")), applied.text);
    BOOST_TEST(historyLength(fleet, "trial") == 0U);
}

// Guards against a mistyped command that looks like a rejection or, worse, like success to a script.
BOOST_AUTO_TEST_CASE(usageErrorsHaveTheirOwnStatus)
{
    Fleet fleet(0);
    BOOST_TEST(fleet.ctl({"applly", "x.yaml"}).status == 2);
    BOOST_TEST(fleet.ctl({"apply", fleet.folder.file("absent.yaml"), "--env", "trial"}).status == 2);
    BOOST_TEST(fleet.ctl({"apply", fleet.folder.write("x.yaml", "{}"), "--env", "production"}).status == 2);
    BOOST_TEST(fleet.ctl({"drain", "rack", "r1", "--env", "production"}).status == 2);
    BOOST_TEST(fleet.ctl({"promote", "--from", "trial", "--to", "trial"}).status == 2);
}

// Guards against a second generation, or a false failure, when the write took effect and its answer was lost (P8).
BOOST_AUTO_TEST_CASE(lostAnswerOfAnAcceptedWriteIsResolved)
{
    Fleet fleet;
    fleet.start("trial-0", "dom-a", "trial");
    fleet.setPlatformFaults({{"lose_write_answers", 1}});
    const CtlResult applied = fleet.ctl({"apply", fleet.folder.write("document.yaml", fleet.document()), "--env", "trial"}, "trial");
    BOOST_TEST(applied.status == 0, applied.text);
    const json counters = json::parse(call(fleet.platform.address, {"GET", "/_counters", {}, {}}).body);
    BOOST_TEST(counters.at("answers_lost") == 1);
    BOOST_TEST(historyLength(fleet, "trial") == 1U);
    BOOST_TEST(fleet.instance("trial-0").generation() == 1U);
}

// Guards against two operators who race and both believe that theirs is in effect (P8).
BOOST_AUTO_TEST_CASE(oneOfTwoRacingOperatorsWins)
{
    Fleet fleet;
    fleet.start("trial-0", "dom-a", "trial");
    const std::string first = fleet.folder.write("first.yaml", fleet.document());
    const std::string second = fleet.folder.write("second.yaml", replaced(fleet.document(), "entries: 4", "entries: 3"));
    const auto objectWrites = [&] {
        return json::parse(call(fleet.platform.address, {"GET", "/_counters", {}, {}}).body).at("objects").at("writes").get<int>();
    };
    // Slow answers hold the first writer back until the second has read the same row.
    fleet.setPlatformFaults({{"latency_ms", 1500}});
    const auto one = fleet.startCtl({"apply", first, "--env", "trial"}, "trial");
    const auto other = fleet.startCtl({"apply", second, "--env", "trial"}, "trial");
    BOOST_REQUIRE(waitUntil([&] {
        return objectWrites() == 2;
    }));
    fleet.setPlatformFaults({{"latency_ms", 0}});
    const CtlResult results[] = {Fleet::resultOf(*one), Fleet::resultOf(*other)};
    const bool firstWon = results[0].status == 0;
    const CtlResult &winner = results[firstWon ? 0 : 1];
    const CtlResult &loser = results[firstWon ? 1 : 0];
    BOOST_TEST(winner.status == 0, winner.text);
    BOOST_REQUIRE_MESSAGE(loser.status == 1, loser.text);
    BOOST_TEST(loser.report.at("winner").at("submission") == winner.report.at("submission"));
    BOOST_TEST(loser.report.at("winner").at("generation") == 1);
    BOOST_TEST(historyLength(fleet, "trial") == 1U);
    BOOST_TEST(fleet.instance("trial-0").status().at("hash") == winner.report.at("hash"));
}

BOOST_AUTO_TEST_SUITE_END()
