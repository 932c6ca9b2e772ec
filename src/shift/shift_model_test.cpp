// Tests P1 (docs/proofs.md): within any second of true time, all instances together use at most the largest cap in effect.
// The histories contain loan messages that are late, lost and repeated, returned loans, pauses longer than leases, clocks
// that run 10% fast or slow, kills with immediate replacement, lookup commitments, and documents adopted at different
// times.

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include "shift_model.hpp"
#include "trefoilstile/base/random.hpp"

using namespace trefoilstile;
using namespace trefoilstile::shift;
using namespace trefoilstile::shift::model;

namespace
{
constexpr int s_steps = 600;

void runHistory(Model &model, std::uint64_t seed)
{
    base::SplitMix64 random(seed);
    const auto draw = [&] {
        return static_cast<std::uint32_t>(random.next());
    };
    for (int i = 0; i < s_steps && !model.violation; ++i) {
        const std::uint32_t kind = draw();
        const std::uint32_t a = draw();
        model.apply({kind, a, draw()});
    }
}
} // namespace

BOOST_AUTO_TEST_SUITE(ShiftModel)

// Guards against sequences of messages, pauses, kills and document changes in which the cap is exceeded; rapidcheck shrinks
// them.
RC_BOOST_PROP(useStaysWithinTheCap, ())
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

// Guards against faults that need longer histories than rapidcheck generates; without shrinking. The histories must reach
// the cap and use loans and commitments, since otherwise they would not exercise the rules.
BOOST_AUTO_TEST_CASE(useStaysWithinTheCapInLongHistories)
{
    int loans = 0;
    int extensions = 0;
    int responses = 0;
    int saturated = 0;
    for (std::uint64_t seed = 0; seed < 3000; ++seed) {
        Model model(Fault::None);
        runHistory(model, seed);
        BOOST_TEST(!model.violation.has_value(), "seed " << seed << ": " << model.violation.value_or(""));
        loans += model.grantsAccepted;
        extensions += model.extensions;
        responses += model.responses;
        saturated += model.peakUse > 0.99 ? 1 : 0;
    }
    BOOST_TEST_MESSAGE("3,000 histories: " << loans << " grants, " << extensions << " of them extensions, " << responses << " lookup responses, " << saturated
                                           << " reached the cap");
    BOOST_TEST(loans > 3000);
    BOOST_TEST(extensions > 300);
    BOOST_TEST(responses > 3000);
    BOOST_TEST(saturated > 1000);
}

// Guards against a model that cannot fail: it must detect the omission of each rule.
BOOST_AUTO_TEST_CASE(omissionOfEachRuleIsDetected)
{
    for (const Fault fault :
        {Fault::NoStartHold, Fault::StaleClock, Fault::NoDriftAllowance, Fault::UsesReturnedLoans, Fault::DividesByLiveMembers, Fault::KeepsOldLoans}) {
        int violations = 0;
        std::string example;
        for (std::uint64_t seed = 0; seed < 1000; ++seed) {
            Model model(fault);
            runHistory(model, seed);
            if (model.violation) {
                example = example.empty() ? *model.violation : example;
                ++violations;
            }
        }
        BOOST_TEST_MESSAGE("fault " << static_cast<int>(fault) << ": " << violations << " of 1000 histories, " << example);
        BOOST_TEST(violations > 0);
    }
}

BOOST_AUTO_TEST_SUITE_END()
