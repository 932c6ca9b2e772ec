// Tests of the capacity of an instance from measured requests, and of what it does to the callers that lookups send there.

#include "trefoilstile/ingress/measured_requests.hpp"

#include <algorithm>
#include <limits>
#include <vector>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include "trefoilstile/ingress/entry_list.hpp"

namespace trefoilstile::ingress
{

namespace
{

using namespace std::chrono_literals;

constexpr base::Duration s_tick = 100ms;
constexpr RequestBytes s_upload{200'000, 200'000};
constexpr RequestBytes s_read{5'000, 5'000};

/// An instance that is updated every `s_tick`, with requests at a constant rate.
struct Instance {
    explicit Instance(InstanceResources machine)
        : resources(machine)
        , measured(machine)
    {
    }

    void run(base::Duration duration, double perSecond, RequestBytes bytes)
    {
        for (const base::TimePoint end = now + duration; now < end;) {
            now += s_tick;
            due += perSecond * base::toSeconds(s_tick);
            use.idle = due < 1;
            for (; due >= 1; due -= 1) {
                measured.requestEnded(bytes);
                processorTime += secondsPerRequest;
            }
            processorTime += controlProcessors * base::toSeconds(s_tick);
            use.processorTime = clockReadable ? std::optional(base::fromSeconds(processorTime)) : std::nullopt;
            measured.advance(use, true, now);
            history.push_back(measured.capacity());
        }
    }

    double ofConstants() const
    {
        return instanceCapacity(resources);
    }

    InstanceResources resources;
    MeasuredRequests measured;
    ResourceUse use;
    base::TimePoint now{100s};
    double due = 0;
    double processorTime = 0;
    double secondsPerRequest = 0.6e-3;
    double controlProcessors = 0;
    bool clockReadable = true;
    std::vector<double> history; ///< the capacity after each update
};

} // namespace

BOOST_AUTO_TEST_SUITE(Measured)

// Guards against an instance with a slow link that is announced with more requests than its link carries, because they are uploads.
BOOST_AUTO_TEST_CASE(slowLinkWithUploadsGetsFewerCallers)
{
    Instance slow({1, 10});
    Instance fast({1, 200});
    slow.run(100s, 4, s_upload);
    fast.run(60s, 60, s_upload);
    constexpr double carriedBySlow = 10e6 / 8 / 200e3;
    BOOST_TEST(slow.measured.capacity() < carriedBySlow);
    BOOST_TEST(fast.measured.capacity() < 20 * carriedBySlow);
    BOOST_TEST(fast.measured.capacity() > 20 * slow.measured.capacity());
    BOOST_TEST((slow.measured.limitingResource() == LimitingResource::LinkIn));
    const auto listed = inclusionProbabilities(
        {{"fast", static_cast<double>(spareCapacity(fast.measured.capacity(), 0))}, {"slow", static_cast<double>(spareCapacity(slow.measured.capacity(), 0))}});
    BOOST_TEST(listed[1] < 0.05);
}

// Guards against callers that are kept away from an instance whose requests are small, and against a mean that hides large requests.
BOOST_AUTO_TEST_CASE(sizesCountWithTheirTail)
{
    Instance small({1, 10});
    small.run(60s, 10, s_read);
    BOOST_TEST(small.measured.capacity() == 4 * small.ofConstants(), boost::test_tools::tolerance(1e-9));
    Instance mixed({1, 10});
    Instance even({1, 10});
    for (int second = 0; second < 60; ++second) {
        mixed.run(900ms, 10, s_read);
        mixed.run(100ms, 10, s_upload);
        even.run(1s, 10, {24'500, 24'500}); // the same mean
    }
    BOOST_TEST(mixed.measured.capacity() < 0.8 * even.measured.capacity());
}

// Guards against wrong measurements, such as a clock that jumps, that turn an instance away or overload it, and against callers that move
// at once because the capacity jumps.
RC_BOOST_PROP(wrongMeasurementIsBounded, ())
{
    Instance instance({0.5, 50});
    MeasuredRequests &measured = instance.measured;
    double last = instance.ofConstants();
    RC_ASSERT(measured.capacity() == last);
    const double nan = std::numeric_limits<double>::quiet_NaN();
    for (int step = 0; step < 300; ++step) {
        const auto requests = *rc::gen::inRange(0, 40);
        for (int i = 0; i < requests; ++i) {
            measured.requestEnded({*rc::gen::element(0ULL, 1'000ULL, ~0ULL), *rc::gen::element(0ULL, 400'000ULL, ~0ULL)});
        }
        ResourceUse use;
        use.processorTime = base::Duration(*rc::gen::element(-1'000'000'000LL, 0LL, 5LL, 90'000'000'000LL));
        use.memoryFraction = *rc::gen::element(-1.0, 0.0, 0.9, 1e300, nan);
        use.descriptorFraction = *rc::gen::element(0.0, 2.0, nan);
        use.idle = *rc::gen::inRange(0, 2) == 1;
        instance.now += s_tick;
        measured.advance(use, true, instance.now);
        RC_ASSERT(measured.capacity() >= instance.ofConstants() / 4 && measured.capacity() <= instance.ofConstants() * 4);
        RC_ASSERT(measured.capacity() >= last * 0.989 && measured.capacity() <= last * 1.01); // a tenth per second
        last = measured.capacity();
    }
}

// Guards against a few requests after a start or a pause that decide alone.
BOOST_AUTO_TEST_CASE(constantsAreUsedWithoutEnoughRequests)
{
    Instance instance({1, 10});
    instance.run(19s, 10, s_upload);
    BOOST_TEST(instance.measured.capacity() == instance.ofConstants());
    instance.run(20s, 10, s_upload);
    BOOST_TEST(instance.measured.capacity() < 0.5 * instance.ofConstants());
    instance.run(29s, 0, {});
    BOOST_TEST(instance.measured.capacity() < 0.5 * instance.ofConstants());
    instance.run(25s, 0, {});
    BOOST_TEST(instance.measured.capacity() == instance.ofConstants());
    instance.run(10s, 10, s_upload);
    BOOST_TEST(!instance.measured.measured());
}

// Guards against callers that leave an instance at each burst and come back after it.
BOOST_AUTO_TEST_CASE(burstsDoNotMoveCallersBackAndForth)
{
    Instance instance({1, 50});
    instance.run(60s, 10, s_read);
    const auto bursts = [&](int count) {
        for (int i = 0; i < count; ++i) {
            instance.run(4s, 10, s_read);
            instance.run(1s, 40, s_upload);
        }
    };
    bursts(10);
    instance.history.clear();
    bursts(10);
    const auto [least, most] = std::minmax_element(instance.history.begin(), instance.history.end());
    BOOST_TEST(*most < 1.4 * *least); // callers of an instance that is listed in every answer stay if its spare capacity is halved
    // A single burst lowers the capacity once, and it rises once.
    instance.run(100s, 10, s_read);
    instance.history.clear();
    bursts(1);
    instance.run(100s, 10, s_read);
    int turns = 0;
    for (std::size_t i = 2; i < instance.history.size(); ++i) {
        const double before = instance.history[i - 1] - instance.history[i - 2];
        turns += before * (instance.history[i] - instance.history[i - 1]) < 0 ? 1 : 0;
    }
    BOOST_TEST(turns <= 1);
    BOOST_TEST(*std::min_element(instance.history.begin(), instance.history.end()) > EntryListOptions().alwaysListedShare * 4 * instance.ofConstants());
}

// Guards against requests that are taken for expensive because the instance has few of them beside its control work.
BOOST_AUTO_TEST_CASE(controlWorkIsNotAttributedToRequests)
{
    Instance instance({0.2, 1'000});
    instance.controlProcessors = 0.01;
    instance.run(60s, 0, {});
    instance.run(120s, 4, s_read);
    BOOST_TEST(instance.measured.capacity() > 0.85 * instance.ofConstants());
    instance.secondsPerRequest = 1.2e-3;
    instance.run(60s, 40, s_read);
    BOOST_TEST(instance.measured.capacity() < 0.55 * instance.ofConstants());
    BOOST_TEST((instance.measured.limitingResource() == LimitingResource::Processor));
    instance.clockReadable = false;
    instance.run(30s, 40, s_read);
    BOOST_TEST(instance.measured.capacity() == instance.ofConstants());
}

// Guards against callers that are sent to an instance whose memory or descriptors are held by slow callers.
BOOST_AUTO_TEST_CASE(heldMemoryAndDescriptorsLimit)
{
    Instance instance({0.1, 1'000});
    instance.use.memoryFraction = std::numeric_limits<double>::quiet_NaN(); // must not stay in the average
    instance.run(1s, 40, s_read);
    instance.use.memoryFraction = 0.5;
    instance.run(60s, 40, s_read);
    BOOST_TEST(instance.measured.capacity() == 60.0, boost::test_tools::tolerance(0.02)); // 40/s hold two thirds of what may be used
    BOOST_TEST((instance.measured.limitingResource() == LimitingResource::Memory));
    instance.use.memoryFraction = 0;
    instance.use.descriptorFraction = 0.5;
    instance.run(60s, 40, s_read);
    BOOST_TEST(instance.measured.capacity() == 80.0, boost::test_tools::tolerance(0.02)); // half of the connections that are not idle
    BOOST_TEST((instance.measured.limitingResource() == LimitingResource::Descriptors));
    instance.use.descriptorFraction = 0.2;
    instance.run(60s, 40, s_read);
    BOOST_TEST((instance.measured.limitingResource() == LimitingResource::Processor));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace trefoilstile::ingress
