// Guards against new work for an upstream that is leaving, and against one that stays unused after it is back.

#include "trefoilstile/upstream/leaving_state.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace trefoilstile;
using namespace trefoilstile::upstream;
using base::Generation;
using base::IncarnationId;
using engine::UpstreamState;

BOOST_AUTO_TEST_SUITE(LeavingStates)

BOOST_AUTO_TEST_CASE(drainEndsOnlyWithAHigherGeneration)
{
    LeavingState state;
    state.drainListed(Generation{5}, true);
    BOOST_TEST(state.leaving());
    state.drainListed(Generation{4}, false);
    state.drainListed(Generation{5}, false);
    BOOST_TEST(state.leaving());
    state.reported(IncarnationId{1}, UpstreamState::Live);
    state.reported(IncarnationId{2}, UpstreamState::Live);
    BOOST_TEST(state.leaving());
    state.drainListed(Generation{6}, false);
    BOOST_TEST(!state.leaving());
}

BOOST_AUTO_TEST_CASE(platformListIsLiftedOnlyByANewIncarnation)
{
    LeavingState state;
    state.reported(IncarnationId{1}, UpstreamState::Live);
    state.platformListed(IncarnationId{1});
    BOOST_TEST(state.leaving());
    state.reported(IncarnationId{1}, UpstreamState::Live);
    BOOST_TEST(state.leaving());
    state.reported(IncarnationId{2}, UpstreamState::Cold);
    BOOST_TEST(!state.leaving());
}

// The list lags: it may name the incarnation before the present one, or the one after.
BOOST_AUTO_TEST_CASE(platformListAboutAnotherIncarnationIsKeptForIt)
{
    LeavingState state;
    state.reported(IncarnationId{1}, UpstreamState::Live);
    state.platformListed(IncarnationId{2});
    BOOST_TEST(!state.leaving());
    state.reported(IncarnationId{2}, UpstreamState::Live);
    BOOST_TEST(state.leaving());
    LeavingState unknown;
    unknown.platformListed(IncarnationId{1});
    BOOST_TEST(unknown.leaving());
    unknown.reported(IncarnationId{1}, UpstreamState::Live);
    BOOST_TEST(unknown.leaving());
    unknown.reported(IncarnationId{2}, UpstreamState::Live);
    BOOST_TEST(!unknown.leaving());
}

BOOST_AUTO_TEST_CASE(laterLiveReportLiftsHeaderAndLoadEndpoint)
{
    LeavingState state;
    state.reported(IncarnationId{1}, UpstreamState::Live);
    state.responded(IncarnationId{1});
    BOOST_TEST(state.leaving());
    state.reported(IncarnationId{1}, UpstreamState::Live);
    BOOST_TEST(!state.leaving());
    state.reported(IncarnationId{1}, UpstreamState::Leaving);
    BOOST_TEST(state.leaving());
    state.reported(IncarnationId{1}, UpstreamState::Live);
    BOOST_TEST(!state.leaving());
}

// A late response or report of the process before must not say anything about its replacement.
BOOST_AUTO_TEST_CASE(replacedIncarnationsAreNotBelieved)
{
    LeavingState state;
    state.reported(IncarnationId{1}, UpstreamState::Live);
    state.reported(IncarnationId{2}, UpstreamState::Live);
    state.responded(IncarnationId{1});
    BOOST_TEST(!state.leaving());
    BOOST_TEST(!state.reported(IncarnationId{1}, UpstreamState::Leaving));
    BOOST_TEST(!state.leaving());
    state.reported(IncarnationId{2}, UpstreamState::Leaving);
    BOOST_TEST(!state.reported(IncarnationId{1}, UpstreamState::Live));
    BOOST_TEST(state.leaving());
}

// Each source on its own; a plain model of the rules in words.
RC_BOOST_PROP(agreesWithTheRules, (const std::vector<std::pair<std::uint8_t, std::uint8_t>> &events))
{
    LeavingState state;
    std::optional<std::uint64_t> incarnation;
    std::set<std::uint64_t> replaced;
    std::set<std::uint64_t> listed;
    std::uint64_t generation = 0;
    bool drained = false;
    bool own = false;
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
            state.responded(incarnation ? std::optional(IncarnationId{id}) : std::nullopt);
            own = own || !incarnation || id == *incarnation;
            break;
        default:
            state.reported(IncarnationId{id}, value % 2 == 0 ? UpstreamState::Leaving : UpstreamState::Live);
            if (!replaced.contains(id)) {
                if (incarnation && *incarnation != id) {
                    replaced.insert(*incarnation);
                }
                incarnation = id;
                listedUnknown = false;
                own = value % 2 == 0;
            }
        }
        const bool listedNow = listedUnknown || (incarnation && listed.contains(*incarnation));
        RC_ASSERT(state.leaving() == (drained || own || listedNow));
    }
}

BOOST_AUTO_TEST_SUITE_END()
