// Guards against a node that reverts to an older document, and against contradictions that nobody is told of.

#include "trefoilstile/steering/generation_holder.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include "trefoilstile/steering/poller_choice.hpp"

using namespace trefoilstile;
using namespace trefoilstile::steering;

namespace
{

base::TimePoint at(int seconds)
{
    return base::TimePoint{} + std::chrono::seconds(seconds);
}

DocumentVersion version(std::uint64_t generation, const char *hash)
{
    return {base::Generation{generation}, hash};
}

} // namespace

BOOST_AUTO_TEST_SUITE(GenerationHolding)

RC_BOOST_PROP(generationsNeverGoDown, (const std::vector<std::pair<std::uint8_t, bool>> &offers))
{
    GenerationHolder holder;
    std::uint64_t highest = 0;
    for (const auto &[generation, fromStore] : offers) {
        const DocumentVersion offered = version(generation, "a");
        const Verdict verdict = fromStore ? holder.compareWithStore(offered, at(0), at(0)) : holder.compareWithPeer(offered, at(0));
        RC_ASSERT((verdict == Verdict::Newer) == (generation > highest));
        RC_ASSERT(holder.adoptDocument(offered, at(0)) == (generation > highest));
        highest = std::max<std::uint64_t>(highest, generation);
        RC_ASSERT(holder.announcement().document.generation.value == highest);
    }
}

BOOST_AUTO_TEST_CASE(restoredStoreRaisesAnAlarmUntilItHasCaughtUp)
{
    GenerationHolder holder;
    holder.adoptDocument(version(7, "g"), at(10));
    BOOST_TEST((holder.compareWithStore(version(5, "e"), at(9), at(11)) == Verdict::Older));
    BOOST_TEST(holder.alarms().empty(), "an answer to a request sent before the document came into effect is no proof");
    holder.compareWithStore(version(5, "e"), at(11), at(12));
    BOOST_TEST(holder.alarms().size() == 1U);
    BOOST_TEST(holder.alarms().front().name == s_documentRegressed);
    holder.compareWithStore(version(7, "g"), at(13), at(13));
    BOOST_TEST(holder.alarms().empty());
}

BOOST_AUTO_TEST_CASE(otherHashForKnownGenerationIsIgnoredWithAnAlarm)
{
    GenerationHolder holder;
    holder.adoptDocument(version(7, "g"), at(0));
    BOOST_TEST((holder.compareWithPeer(version(7, "x"), at(1)) == Verdict::Mismatch));
    BOOST_TEST(!holder.adoptDocument(version(7, "x"), at(1)));
    BOOST_TEST(holder.announcement().document.hash == "g");
    BOOST_TEST(holder.alarms().front().name == s_documentHashMismatch);
    holder.adoptDocument(version(8, "h"), at(2));
    BOOST_TEST(holder.alarms().empty());
    holder.compareWithStore(version(7, "x"), at(3), at(3));
    BOOST_TEST(holder.alarms().size() == 2U, "a restored store with a rewritten history has both faults");
}

RC_BOOST_PROP(eachDomainHasTwoPollersByAnySharedView, (const std::set<std::uint64_t> &ids))
{
    RC_PRE(ids.size() >= 2U);
    std::vector<base::IncarnationId> view;
    for (const std::uint64_t id : ids) {
        view.push_back({id});
    }
    std::size_t pollers = 0;
    for (const base::IncarnationId id : view) {
        pollers += PollerChoice(id, "bkk-a").isPoller(view) ? 1U : 0U;
    }
    RC_ASSERT(pollers == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
