// Tests of sliding windows of counts.

#include "trefoilstile/quota/usage_window.hpp"

#include <numeric>

#include <boost/test/unit_test.hpp>

using namespace trefoilstile;
using namespace trefoilstile::quota;
using namespace std::chrono_literals;

namespace
{

constexpr base::TimePoint s_start(100s);
constexpr base::Duration s_window = 5s;

} // namespace

BOOST_AUTO_TEST_SUITE(UsageWindows)

// Guards against an event that is forgotten before it has left the window, which would allow more than the quota.
BOOST_AUTO_TEST_CASE(eventCountsForTheWholeWindow)
{
    UsageWindow window(s_window);
    window.add(s_start + 40ms);
    BOOST_TEST(window.total(s_start + 40ms + s_window - 1ns) == 1U);
    BOOST_TEST(window.total(s_start + 40ms + s_window + s_window / 50) == 0U);
}

// Guards against counts that survive a suspension of the process longer than the window.
BOOST_AUTO_TEST_CASE(longPauseEmptiesTheWindow)
{
    UsageWindow window(s_window);
    for (int event = 0; event < 7; ++event) {
        window.add(s_start + event * 100ms);
    }
    BOOST_TEST(window.total(s_start + 1000s) == 0U);
    window.add(s_start + 1000s);
    BOOST_TEST(window.total(s_start + 1000s) == 1U);
}

// Guards against a credit that is returned for an event that no longer counts, which would make room for another attempt.
BOOST_AUTO_TEST_CASE(eventIsTakenBackOnlyWhileItCounts)
{
    UsageWindow window(s_window);
    window.add(s_start);
    window.add(s_start + 6s);
    window.remove(s_start, s_start + 6s);
    BOOST_TEST(window.total(s_start + 6s) == 1U);
    window.remove(s_start + 6s, s_start + 7s);
    window.remove(s_start + 6s, s_start + 7s);
    BOOST_TEST(window.total(s_start + 7s) == 0U);
}

// Guards against slots in a message that do not add up to the total, or that are in the wrong order.
BOOST_AUTO_TEST_CASE(slotsAddUpToTheTotal)
{
    UsageWindow window(s_window);
    for (int event = 0; event < 30; ++event) {
        window.add(s_start + event * 200ms);
    }
    const base::TimePoint now = s_start + 29 * 200ms;
    const std::vector<std::uint32_t> slots = window.slots(now);
    BOOST_TEST(std::accumulate(slots.begin(), slots.end(), std::uint64_t(0)) == window.total(now));
    UsageWindow recent(s_window);
    recent.add(now);
    BOOST_TEST(recent.slots(now) == std::vector<std::uint32_t>{1});
}

// Guards against received counts that leave the window too early while no further message arrives.
BOOST_AUTO_TEST_CASE(receivedCountsLeaveTheWindowSlotBySlot)
{
    const SlotCounts counts({1, 0, 2, 4}, s_start);
    const base::Duration slot = s_window / s_slots;
    BOOST_TEST(counts.total(slot, s_start + s_window - 4 * slot) == 7.0);
    BOOST_TEST(counts.total(slot, s_start + s_window - 3 * slot) == 3.0);
    BOOST_TEST(counts.total(slot, s_start + s_window - 1ns) == 1.0);
    BOOST_TEST(counts.total(slot, s_start + s_window) == 0.0);
}

BOOST_AUTO_TEST_SUITE_END()
