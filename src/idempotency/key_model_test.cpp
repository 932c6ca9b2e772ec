// Guards P4 and P5 over several instances: kills, replacements, planned stops, partitions, store outages, and messages
// that are lost, late, repeated and reordered. After each step: no key ran twice, no attempt up to one that was told
// not-run ran or runs, and replayed responses are those of the key.

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include "key_model.hpp"
#include "trefoilstile/base/random.hpp"

using namespace trefoilstile;
using namespace trefoilstile::idempotency;
using namespace trefoilstile::idempotency::model;

namespace
{
/// Steps of one history drawn from a seed.
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

RC_BOOST_PROP(noPromiseIsBroken, ())
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

// Longer histories than rapidcheck makes, without shrinking.
BOOST_AUTO_TEST_CASE(noPromiseIsBrokenInLongHistories)
{
    std::map<KeyDecision, int> decisions;
    for (std::uint64_t seed = 0; seed < 4000; ++seed) {
        const auto violation = firstViolation(Fault::None, seed, &decisions);
        BOOST_TEST(!violation.has_value(), "seed " << seed << ": " << violation.value_or(""));
    }
    // The histories must reach every decision, or they prove nothing about it.
    for (const KeyDecision decision : {KeyDecision::Run,
             KeyDecision::NeedsClaim,
             KeyDecision::Wait,
             KeyDecision::Replay,
             KeyDecision::NotRun,
             KeyDecision::Unknown,
             KeyDecision::Full,
             KeyDecision::TooManyWaiters,
             KeyDecision::NotOwner}) {
        BOOST_TEST(decisions[decision] > 100, "decision " << static_cast<int>(decision) << " seen " << decisions[decision] << " times");
    }
}

// Callers that do not number their attempts: all promises hold except for copies that arrive after a not-run.
BOOST_AUTO_TEST_CASE(withoutNumbersOnlyDelayedCopiesMayRunAfterNotRun)
{
    for (std::uint64_t seed = 0; seed < 2000; ++seed) {
        const auto violation = firstViolation(Fault::NoNumbers, seed, nullptr, true);
        BOOST_TEST(!violation.has_value(), "seed " << seed << ": " << violation.value_or(""));
    }
}

// Each rule left out is noticed by the checks.
BOOST_AUTO_TEST_CASE(theChecksFailWithoutTheRules)
{
    for (const Fault fault :
        {Fault::NoNumbers, Fault::RunsForeignKeys, Fault::ForeignNotRun, Fault::TrustsUnavailable, Fault::RunsAfterSealing, Fault::SendsExpired}) {
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
