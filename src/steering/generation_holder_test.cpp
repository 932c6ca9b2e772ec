// Tests that a node never reverts to an older document and raises alarms for conflicting versions; also tests poller selection.

#include "trefoilstile/steering/generation_holder.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include "trefoilstile/steering/poller_selector.hpp"

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

BOOST_AUTO_TEST_SUITE(GenerationHolderRules)

// Reordered announcements and answers of a restored store offer older generations, which must never be put in effect.
RC_BOOST_PROP(generationsNeverDecrease, (const std::vector<std::pair<std::uint8_t, bool>> &offers))
{
    GenerationHolder holder;
    std::uint64_t highest = 0;
    for (const auto &[generation, fromStore] : offers) {
        const DocumentVersion offered = version(generation, "a");
        const VersionComparison comparison = fromStore ? holder.compareWithStore(offered, at(0), at(0)) : holder.compareWithPeer(offered, at(0));
        RC_ASSERT((comparison == VersionComparison::Newer) == (generation > highest));
        RC_ASSERT(holder.adoptDocument(offered, at(0)) == (generation > highest));
        highest = std::max<std::uint64_t>(highest, generation);
        RC_ASSERT(holder.announcement().document.generation.value == highest);
    }
}

// A store restored from a backup must be reported, but a delayed answer from before the update must not.
BOOST_AUTO_TEST_CASE(restoredStoreRaisesAlarmUntilItCatchesUp)
{
    GenerationHolder holder;
    holder.adoptDocument(version(7, "g"), at(10));
    BOOST_TEST((holder.compareWithStore(version(5, "e"), at(9), at(11)) == VersionComparison::Older));
    BOOST_TEST(holder.alarms().empty(), "an answer to a request sent before the document came into effect raises no alarm");
    holder.compareWithStore(version(5, "e"), at(11), at(12));
    BOOST_TEST(holder.alarms().size() == 1U);
    BOOST_TEST(holder.alarms().front().name == s_documentRegressed);
    holder.compareWithStore(version(7, "g"), at(13), at(13));
    BOOST_TEST(holder.alarms().empty());
}

// After a restore, a generation number may be reused with other content; nodes must keep the known one and report it.
BOOST_AUTO_TEST_CASE(differentHashForKnownGenerationIsIgnoredAndRaisesAlarm)
{
    GenerationHolder holder;
    holder.adoptDocument(version(7, "g"), at(0));
    BOOST_TEST((holder.compareWithPeer(version(7, "x"), at(1)) == VersionComparison::Mismatch));
    BOOST_TEST(!holder.adoptDocument(version(7, "x"), at(1)));
    BOOST_TEST(holder.announcement().document.hash == "g");
    BOOST_TEST(holder.alarms().front().name == s_documentHashMismatch);
    holder.adoptDocument(version(8, "h"), at(2));
    BOOST_TEST(holder.alarms().empty());
    holder.compareWithStore(version(7, "x"), at(3), at(3));
    BOOST_TEST(holder.alarms().size() == 2U, "a restored store with a rewritten history raises both alarms");
}

// Without a poller a failure domain misses updates; with too many the read budget of the store is exceeded.
RC_BOOST_PROP(twoPollersAreSelectedFromAnySharedMemberList, (const std::set<std::uint64_t> &ids))
{
    RC_PRE(ids.size() >= 2U);
    std::vector<base::IncarnationId> view;
    for (const std::uint64_t id : ids) {
        view.push_back({id});
    }
    std::size_t pollers = 0;
    for (const base::IncarnationId id : view) {
        pollers += PollerSelector(id, "bkk-a").isPoller(view) ? 1U : 0U;
    }
    RC_ASSERT(pollers == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
