// Drains of upstreams and instances by trefoilctl.

#include <algorithm>
#include <atomic>
#include <thread>

#include <boost/test/unit_test.hpp>

#include "fleet.hpp"

using namespace process_test;

namespace
{

/// Callers of every instance that send status checks until the object is destroyed.
class Callers
{
public:
    explicit Callers(const Fleet &fleet)
    {
        for (const auto &instance : fleet.instances) {
            m_threads.emplace_back([this, address = instance->callers] {
                while (!m_stop) {
                    const HttpResponse response = call(address, statusCheck());
                    ++(response.status == 200 && response.complete ? m_served : m_failed);
                }
            });
        }
    }

    ~Callers()
    {
        m_stop = true;
        for (std::thread &thread : m_threads) {
            thread.join();
        }
    }

    /// Waits until this many more requests have been served.
    bool waitForServed(int more) const
    {
        const int goal = m_served + more;
        return waitUntil([&] {
            return m_served >= goal;
        });
    }

    int failed() const
    {
        return m_failed;
    }

private:
    std::atomic<bool> m_stop{false};
    std::atomic<int> m_served{0};
    std::atomic<int> m_failed{0};
    std::vector<std::thread> m_threads;
};

} // namespace

BOOST_AUTO_TEST_SUITE(Drain)

// Guards against work for an upstream that is leaving (P6), against requests that fail because of a drain (P7), and
// against an upstream that stays out after its undrain.
BOOST_AUTO_TEST_CASE(drainedUpstreamGetsNoNewWork)
{
    Fleet fleet;
    fleet.startInstances(3);
    fleet.apply();
    const Callers callers(fleet);
    BOOST_REQUIRE(waitUntil([&] {
        return fleet.executionsAt(0) > 0;
    }));

    const CtlResult drained = fleet.ctl({"--env", "production", "drain", "upstream", "upstream-0"});
    BOOST_REQUIRE_MESSAGE(drained.status == 0, drained.text);
    // What was sent before the drain came into effect may still arrive.
    BOOST_REQUIRE(callers.waitForServed(20));
    const std::uint64_t before = fleet.executionsAt(0);
    BOOST_REQUIRE(callers.waitForServed(200));
    BOOST_TEST(fleet.executionsAt(0) == before);

    const CtlResult undrained = fleet.ctl({"--env", "production", "undrain", "upstream", "upstream-0"});
    BOOST_REQUIRE_MESSAGE(undrained.status == 0, undrained.text);
    BOOST_TEST(waitUntil([&] {
        return fleet.executionsAt(0) > before;
    }));
    BOOST_TEST(callers.failed() == 0);
}

// Guards against lookups that still name a drained instance, and against one that stays out after its undrain (P6).
BOOST_AUTO_TEST_CASE(drainedInstanceIsLeftOutOfLookups)
{
    Fleet fleet;
    fleet.startInstances(3);
    fleet.apply();
    const auto allName = [&](bool wanted) {
        return waitUntil([&] {
            return std::all_of(fleet.instances.begin(), fleet.instances.end(), [&](const auto &instance) {
                const auto names = instance->lookedUp();
                return !names.empty() && (std::find(names.begin(), names.end(), "entry-1") != names.end()) == wanted;
            });
        });
    };
    BOOST_REQUIRE(allName(true));
    const CtlResult drained = fleet.ctl({"--env", "production", "drain", "entry", "entry-1"});
    BOOST_REQUIRE_MESSAGE(drained.status == 0, drained.text);
    BOOST_TEST(allName(false));
    BOOST_TEST(call(fleet.instance("entry-1").callers, statusCheck()).status == 200U); // callers with cached responses
    const CtlResult undrained = fleet.ctl({"--env", "production", "undrain", "entry", "entry-1"});
    BOOST_REQUIRE_MESSAGE(undrained.status == 0, undrained.text);
    BOOST_TEST(allName(true));
}

BOOST_AUTO_TEST_SUITE_END()
