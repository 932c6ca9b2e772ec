// Guards against a change that is reported as in effect everywhere while some instance does not have it.

#include "trefoilstile/ctl/effect.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include "fakes.hpp"

using namespace trefoilstile;
using namespace trefoilstile::ctl;
using ctl::testing::FakeInstance;
using ctl::testing::FakePacer;
using ctl::testing::FakePorts;
using ctl::testing::statusJson;
using namespace std::chrono_literals;

namespace
{

const EffectTarget s_target{EffectTarget::Kind::Document, "trial", {5}, "h", {}};

PortView view(const FakeInstance &self, const std::vector<FakeInstance> &members)
{
    return {"127.0.0.1:1", parseNodeStatus(statusJson(self, members)), {}};
}

} // namespace

BOOST_AUTO_TEST_SUITE(Effects)

// Complete exactly if every instance that any port names, and that has not left, is known to have the generation, or a
// higher one that the row has reached as well.
RC_BOOST_PROP(completeOnlyIfAllHaveIt, (const std::vector<std::tuple<std::uint8_t, bool, bool>> &states, std::uint8_t rowGeneration, bool portFails))
{
    const RowState row{base::Generation{rowGeneration % 8U}, {}};
    std::vector<FakeInstance> members;
    bool all = !portFails;
    for (const auto &[generation, alive, leaving] : states) {
        const std::string name = "e" + std::to_string(members.size());
        members.push_back({name, "d" + std::to_string(generation % 3), generation % 8U, 0, alive, leaving});
        const std::uint64_t has = generation % 8U;
        all = all && (has == 5 || (has > 5 && has <= row.generation->value) || (!alive && leaving));
    }
    std::vector<PortView> views{view({"self", "d0", 5, 0, true, false, "0000000000000001", "h"}, members)};
    if (portFails) {
        views.push_back({"127.0.0.1:2", std::nullopt, "refused"});
    }
    RC_ASSERT(evaluateEffect(views, s_target, row).complete == all);
}

// Two ports on the two sides of a partition: what one of them sees of the other side is not enough.
BOOST_AUTO_TEST_CASE(namesWhereItIsNot)
{
    const FakeInstance here{"e1", "a", 5, 0, true, false, "0000000000000001", "h"};
    const FakeInstance slow{"e2", "a", 4};
    const FakeInstance cutOff{"e3", "b", 4, 0, false};
    const EffectReport report = evaluateEffect({view(here, {here, slow, cutOff})}, s_target);
    BOOST_TEST(!report.complete);
    BOOST_REQUIRE(report.domains.size() == 2U);
    BOOST_TEST(report.domains[0].missing == std::vector<std::string>{"e2"}, boost::test_tools::per_element());
    BOOST_TEST(report.domains[1].unreachable == std::vector<std::string>{"e3"}, boost::test_tools::per_element());
    BOOST_TEST(!report.domains[1].reachable);
}

// A failure domain whose instances have all dropped out of the member lists must not go unnoticed in production.
BOOST_AUTO_TEST_CASE(requiredDomainsMustBeReached)
{
    const FakeInstance here{"e1", "a", 5, 0, true, false, "0000000000000001", "h"};
    EffectTarget target = s_target;
    BOOST_TEST(evaluateEffect({view(here, {})}, target).complete);
    target.requiredDomains = {"a", "b"};
    BOOST_TEST(!evaluateEffect({view(here, {})}, target).complete);
}

// Another document under the same generation is not the change that was submitted.
BOOST_AUTO_TEST_CASE(conflictingHash)
{
    const FakeInstance other{"e1", "a", 5, 0, true, false, "0000000000000001", "x"};
    const EffectReport report = evaluateEffect({view(other, {other})}, s_target);
    BOOST_TEST(!report.complete);
    BOOST_TEST(report.conflictingHashes.size() == 1U);
}

// A dead incarnation that was replaced would otherwise hold up every change for as long as it is listed.
BOOST_AUTO_TEST_CASE(replacedInstancesDoNotCount)
{
    const FakeInstance renewed{"e1", "a", 5, 0, true, false, "0000000000000002", "h"};
    const FakeInstance old{"e1", "a", 4, 0, false};
    BOOST_TEST(evaluateEffect({view(renewed, {renewed, old})}, s_target).complete);
}

// A higher generation shows that the change was replaced only if the row has it; otherwise the store lost data and the
// instance never takes the change up. The same holds for drains.
BOOST_AUTO_TEST_CASE(higherGenerationsNeedTheRow)
{
    const FakeInstance here{"e1", "a", 5, 5, true, false, "0000000000000001", "h"};
    const FakeInstance higher{"e2", "a", 7, 7};
    for (const auto kind : {EffectTarget::Kind::Document, EffectTarget::Kind::Drains}) {
        EffectTarget target = s_target;
        target.kind = kind;
        const auto evaluate = [&](const RowState &row) {
            return evaluateEffect({view(here, {here, higher})}, target, row);
        };
        BOOST_TEST(evaluate({base::Generation{7}, {}}).complete);
        BOOST_TEST(evaluate({base::Generation{7}, {}}).ahead.empty());
        for (const RowState &row : {RowState{base::Generation{6}, {}}, RowState{base::Generation{0}, {}}, RowState{{}, "outage"}}) {
            const EffectReport report = evaluate(row);
            BOOST_TEST(!report.complete);
            BOOST_TEST(report.ahead == std::vector<std::string>{"e2"}, boost::test_tools::per_element());
            BOOST_TEST(report.domains.at(0).missing == std::vector<std::string>{"e2"}, boost::test_tools::per_element());
        }
        BOOST_TEST(highestGeneration({view(here, {here, higher}), {"127.0.0.1:2", std::nullopt, "refused"}}, kind).value == 7U);
    }
}

BOOST_AUTO_TEST_CASE(nothingKnownIsNotComplete)
{
    BOOST_TEST(!evaluateEffect({}, s_target).complete);
    BOOST_TEST(!parseNodeStatus("{}").has_value());
    BOOST_TEST(!parseNodeStatus("[").has_value());
}

BOOST_AUTO_TEST_CASE(waitsUntilItIsSo)
{
    FakePorts ports;
    FakePacer pacer;
    FakeInstance instance{"e1", "a", 4, 0, true, false, "0000000000000001", "h"};
    ports.answers = {{"127.0.0.1:1", 200, statusJson(instance, {})}};
    ports.afterRound = [&] {
        if (ports.targets.size() == 3) {
            instance.generation = 5;
            ports.answers[0].body = statusJson(instance, {});
        }
    };
    int rowReads = 0;
    const auto readRow = [&] {
        ++rowReads;
        return RowState{base::Generation{6}, {}};
    };
    BOOST_TEST(waitUntilInEffect(ports, pacer, s_target, pacer.now() + 10s, readRow).complete);
    BOOST_TEST(ports.targets.size() == 4U);

    instance.generation = 4;
    ports.answers[0].body = statusJson(instance, {});
    const auto start = pacer.now();
    BOOST_TEST(!waitUntilInEffect(ports, pacer, s_target, start + 10s, readRow).complete);
    BOOST_TEST((pacer.now() - start == 10s));
    // The read budget of the store is small; the row is needed only for an instance with a higher generation.
    BOOST_TEST(rowReads == 0);
    instance.generation = 6;
    ports.answers[0].body = statusJson(instance, {});
    BOOST_TEST(waitUntilInEffect(ports, pacer, s_target, start, readRow).complete);
    BOOST_TEST(rowReads == 1);
    instance.generation = 7;
    ports.answers[0].body = statusJson(instance, {});
    BOOST_TEST(!waitUntilInEffect(ports, pacer, s_target, start, readRow).complete);

    instance.environment = "other";
    ports.answers[0].body = statusJson(instance, {});
    BOOST_TEST(waitUntilInEffect(ports, pacer, s_target, start, readRow).unreachablePorts.at(0).error == "belongs to environment other");
}

BOOST_AUTO_TEST_SUITE_END()
