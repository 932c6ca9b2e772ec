// Tests of the leaving state: an upstream that is leaving must get no new attempts, and one that has returned must be used
// again.

#include "trefoilstile/upstream/leaving_state.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace trefoilstile;
using namespace trefoilstile::upstream;
using base::Generation;
using base::IncarnationId;
using engine::UpstreamState;

BOOST_AUTO_TEST_SUITE(LeavingStates)

// Drain lists can arrive out of order. An older list, an equal one or a load report must not end a drain.
BOOST_AUTO_TEST_CASE(drainEndsOnlyWithAHigherGeneration)
{
    LeavingState state;
    state.drainListed(Generation{5}, true);
    BOOST_TEST(state.leaving());
    state.drainListed(Generation{4}, false);
    state.drainListed(Generation{5}, false);
    BOOST_TEST(state.leaving());
    state.loadReported(IncarnationId{1}, UpstreamState::Live);
    state.loadReported(IncarnationId{2}, UpstreamState::Live);
    BOOST_TEST(state.leaving());
    state.drainListed(Generation{6}, false);
    BOOST_TEST(!state.leaving());
}

// Load reports can state that an upstream is live while the platform is about to stop it. They must not clear the mark of
// the platform list.
BOOST_AUTO_TEST_CASE(platformLeavingIsClearedOnlyByANewIncarnation)
{
    LeavingState state;
    state.loadReported(IncarnationId{1}, UpstreamState::Live);
    state.platformListed(IncarnationId{1});
    BOOST_TEST(state.leaving());
    state.loadReported(IncarnationId{1}, UpstreamState::Live);
    BOOST_TEST(state.leaving());
    state.loadReported(IncarnationId{2}, UpstreamState::Cold);
    BOOST_TEST(!state.leaving());
}

// The platform list lags or is ahead of load reports: it may name an earlier or a later incarnation than the current one. An
// entry must affect only the incarnation that it names; before the first load report it must take effect at once.
BOOST_AUTO_TEST_CASE(platformListAppliesToTheIncarnationItNames)
{
    LeavingState state;
    state.loadReported(IncarnationId{1}, UpstreamState::Live);
    state.platformListed(IncarnationId{2});
    BOOST_TEST(!state.leaving());
    state.loadReported(IncarnationId{2}, UpstreamState::Live);
    BOOST_TEST(state.leaving());
    LeavingState unknown;
    unknown.platformListed(IncarnationId{1});
    BOOST_TEST(unknown.leaving());
    unknown.loadReported(IncarnationId{1}, UpstreamState::Live);
    BOOST_TEST(unknown.leaving());
    unknown.loadReported(IncarnationId{2}, UpstreamState::Live);
    BOOST_TEST(!unknown.leaving());
}

// An upstream that cancels its shutdown without a restart must be used again after its next live report.
BOOST_AUTO_TEST_CASE(laterLiveReportClearsSelfReportedLeaving)
{
    LeavingState state;
    state.loadReported(IncarnationId{1}, UpstreamState::Live);
    state.leavingResponseReceived(IncarnationId{1});
    BOOST_TEST(state.leaving());
    state.loadReported(IncarnationId{1}, UpstreamState::Live);
    BOOST_TEST(!state.leaving());
    state.loadReported(IncarnationId{1}, UpstreamState::Leaving);
    BOOST_TEST(state.leaving());
    state.loadReported(IncarnationId{1}, UpstreamState::Live);
    BOOST_TEST(!state.leaving());
}

// A late response or load report of a replaced process must not change the state of its replacement.
BOOST_AUTO_TEST_CASE(signalsOfReplacedIncarnationsAreIgnored)
{
    LeavingState state;
    state.loadReported(IncarnationId{1}, UpstreamState::Live);
    state.loadReported(IncarnationId{2}, UpstreamState::Live);
    state.leavingResponseReceived(IncarnationId{1});
    BOOST_TEST(!state.leaving());
    BOOST_TEST(!state.loadReported(IncarnationId{1}, UpstreamState::Leaving));
    BOOST_TEST(!state.leaving());
    state.loadReported(IncarnationId{2}, UpstreamState::Leaving);
    BOOST_TEST(!state.loadReported(IncarnationId{1}, UpstreamState::Live));
    BOOST_TEST(state.leaving());
}

// Combinations of sources can hide a wrong rule of one source. After random events, the state must equal a reference model
// that keeps each source separately.
RC_BOOST_PROP(agreesWithReferenceModel, (const std::vector<std::pair<std::uint8_t, std::uint8_t>> &events))
{
    LeavingState state;
    std::optional<std::uint64_t> incarnation;
    std::set<std::uint64_t> replaced;
    std::set<std::uint64_t> listed;
    std::uint64_t generation = 0;
    bool drained = false;
    bool selfReported = false;
    bool listedUnknown = false;
    for (const auto &[kind, value] : events) {
        const std::uint64_t id = 1 + value % 3;
        switch (kind % 4) {
        case 0:
            state.drainListed(Generation{id + kind / 16U}, value % 2 == 0);
            drained = id + kind / 16U > generation ? value % 2 == 0 : drained;
            generation = std::max<std::uint64_t>(generation, id + kind / 16U);
            break;
        case 1:
            state.platformListed(IncarnationId{id});
            listed.insert(id);
            listedUnknown = listedUnknown || !incarnation;
            break;
        case 2:
            state.leavingResponseReceived(incarnation ? std::optional(IncarnationId{id}) : std::nullopt);
            selfReported = selfReported || !incarnation || id == *incarnation;
            break;
        default:
            state.loadReported(IncarnationId{id}, value % 2 == 0 ? UpstreamState::Leaving : UpstreamState::Live);
            if (!replaced.contains(id)) {
                if (incarnation && *incarnation != id) {
                    replaced.insert(*incarnation);
                }
                incarnation = id;
                listedUnknown = false;
                selfReported = value % 2 == 0;
            }
        }
        const bool listedNow = listedUnknown || (incarnation && listed.contains(*incarnation));
        RC_ASSERT(state.leaving() == (drained || selfReported || listedNow));
    }
}

BOOST_AUTO_TEST_SUITE_END()
