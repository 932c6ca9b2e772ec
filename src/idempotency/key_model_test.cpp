// Tests P4 and P5 (docs/proofs.md) over several instances, with kills, replacements, planned stops, partitions, store
// outages, and messages that are lost, late, repeated and reordered. After each step: no key ran twice, no attempt up to
// one that was answered not-run has run, and replayed responses belong to the key.

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include "key_model.hpp"
#include "trefoilstile/base/random.hpp"

using namespace trefoilstile;
using namespace trefoilstile::idempotency;
using namespace trefoilstile::idempotency::model;

namespace
{
/// Number of steps of a history generated from a seed.
constexpr int s_steps = 400;

std::optional<std::string> firstViolation(Fault fault, std::uint64_t seed, std::map<KeyDecision, int> *decisions = nullptr, bool allowLateRuns = false)
{
    base::SplitMix64 random(seed);
    const auto draw = [&] {
        return static_cast<std::uint32_t>(random.next());
    };
    Model model(fault);
    model.allowLateRuns = allowLateRuns;
    for (int i = 0; i < s_steps && !model.violation; ++i) {
        const std::uint32_t kind = draw();
        const std::uint32_t a = draw();
        model.apply({kind, a, draw()});
    }
    if (decisions) {
        for (const auto &[decision, count] : model.decisions) {
            (*decisions)[decision] += count;
        }
    }
    return model.violation;
}
} // namespace

BOOST_AUTO_TEST_SUITE(KeyModel)

// Guards against sequences of messages, stops and outages in which a key runs twice or an answer is wrong; rapidcheck
// shrinks them.
RC_BOOST_PROP(keysRunAtMostOnceWithCorrectAnswers, ())
{
    const auto small = rc::gen::inRange<std::uint32_t>(0, 4096);
    const auto step = rc::gen::build<Step>(rc::gen::set(&Step::kind, small), rc::gen::set(&Step::a, small), rc::gen::set(&Step::b, small));
    const auto steps = *rc::gen::resize(300, rc::gen::container<std::vector<Step>>(step));
    Model model(Fault::None);
    for (const Step &next : steps) {
        model.apply(next);
        RC_ASSERT(!model.violation.has_value());
    }
}

// Guards against faults that need longer histories than rapidcheck generates; without shrinking.
BOOST_AUTO_TEST_CASE(keysRunAtMostOnceInLongHistories)
{
    std::map<KeyDecision, int> decisions;
    for (std::uint64_t seed = 0; seed < 4000; ++seed) {
        const auto violation = firstViolation(Fault::None, seed, &decisions);
        BOOST_TEST(!violation.has_value(), "seed " << seed << ": " << violation.value_or(""));
    }
    // The histories must reach every decision, since otherwise they would not test it.
    for (const KeyDecision decision : {KeyDecision::Run,
             KeyDecision::NeedsClaim,
             KeyDecision::Wait,
             KeyDecision::Replay,
             KeyDecision::NotRun,
             KeyDecision::Unknown,
             KeyDecision::Full,
             KeyDecision::TooManyWaiters,
             KeyDecision::NotOwner}) {
        BOOST_TEST(decisions[decision] > 100, "decision " << static_cast<int>(decision) << " occurred " << decisions[decision] << " times");
    }
}

// Guards against faults with callers that do not number their attempts: all guarantees must hold, except that a delayed copy
// may run after a not-run.
BOOST_AUTO_TEST_CASE(withoutNumbersOnlyDelayedCopiesMayRunAfterNotRun)
{
    for (std::uint64_t seed = 0; seed < 2000; ++seed) {
        const auto violation = firstViolation(Fault::NoAttemptNumbers, seed, nullptr, true);
        BOOST_TEST(!violation.has_value(), "seed " << seed << ": " << violation.value_or(""));
    }
}

// Guards against a model that cannot fail: it must detect the omission of each rule.
BOOST_AUTO_TEST_CASE(omissionOfEachRuleIsDetected)
{
    for (const Fault fault : {Fault::NoAttemptNumbers,
             Fault::RunsForeignKeys,
             Fault::ForeignNotRun,
             Fault::NotRunAfterUnavailableClaim,
             Fault::RunsAfterSealing,
             Fault::SendsExpired}) {
        int violations = 0;
        std::string example;
        for (std::uint64_t seed = 0; seed < 1000; ++seed) {
            if (const auto violation = firstViolation(fault, seed)) {
                example = example.empty() ? *violation : example;
                ++violations;
            }
        }
        BOOST_TEST_MESSAGE("fault " << static_cast<int>(fault) << ": " << violations << " of 1000 histories, " << example);
        BOOST_TEST(violations > 0);
    }
}

BOOST_AUTO_TEST_SUITE_END()
