// Tests of what the measured capacity learns from requests over sockets, and of where it is in effect.

#include "trefoilstile/proxy/capacity_meter.hpp"

#include <optional>
#include <string>

#include <boost/test/unit_test.hpp>

#include "entry_fixture.hpp"
#include "test_pipe.hpp"

namespace trefoilstile::proxy
{

using namespace testing;

namespace
{

constexpr std::size_t s_responseBytes = 300'000;

/// An entry on a slow link whose requests are answered with `s_responseBytes`, and its meter.
struct MeterFixture {
    explicit MeterFixture(ingress::CapacityMode mode)
        : entry([](const std::string &received) {
            return ScriptedReply{signedResponse(idOf(received), std::string(s_responseBytes, 'x'))};
        })
    {
        entry.core.settings.measuredCapacity = mode;
        entry.core.settings.resources.linkMegabits = 10;
        entry.core.measuredRequests = ingress::MeasuredRequests(entry.core.settings.resources, {.minimumRequests = 3});
    }

    /// Capacity relative to that of the constants, some time after three requests.
    double relativeCapacity()
    {
        base::TimePoint now = http::now();
        meter.tick(entry.listener->bodyBudget(), now);
        for (int number = 0; number < 3; ++number) {
            entry.send(request("/reads/1", "r" + std::to_string(number)), std::string(1'000, 'x'));
        }
        for (int tick = 0; tick < 20; ++tick) {
            meter.tick(entry.listener->bodyBudget(), now += 1s);
        }
        meter.setGauges();
        return entry.core.measuredRequests.capacity() / ingress::instanceCapacity(entry.core.settings.resources);
    }

    EntryFixture entry;
    std::optional<base::Duration> processor = 1s; ///< reading of the processor clock
    CapacityMeter meter = CapacityMeter(entry.core, [this] {
        return processor;
    });
};

} // namespace

BOOST_AUTO_TEST_SUITE(CapacityMeters)

// Guards against bytes of responses that are not recorded, and against a metric that names another resource.
BOOST_AUTO_TEST_CASE(largeResponsesLowerTheCapacity)
{
    MeterFixture fixture(ingress::CapacityMode::On);
    BOOST_TEST(fixture.relativeCapacity() < 0.35);
    constexpr std::size_t bodies = 3 * s_responseBytes;
    const ingress::RequestBytes bytes = fixture.entry.core.measuredRequests.totalBytes();
    BOOST_TEST((bytes.received > bodies && bytes.received < bodies + 3'000), bytes.received);
    BOOST_TEST((bytes.sent > bodies && bytes.sent < bodies + 3'000), bytes.sent);
    const std::string metrics = fixture.entry.core.metrics.prometheusText();
    BOOST_TEST(metrics.find("trefoilstile_capacity_limited_by{resource=\"link_") != std::string::npos);
    BOOST_TEST(metrics.find("trefoilstile_capacity_limited_by{resource=\"processor\"} 0") != std::string::npos);
}

// Guards against deployments without accounts and reported speeds whose callers are moved, against one with them that is not measured, and
// against work for each request while the setting is off.
BOOST_AUTO_TEST_CASE(autoIsInEffectWithAccountsOnly)
{
    MeterFixture without(ingress::CapacityMode::Auto);
    BOOST_TEST(without.relativeCapacity() == 1);
    MeterFixture with(ingress::CapacityMode::Auto);
    ingress::Configuration configuration = with.entry.core.configuration;
    ++configuration.version;
    configuration.accounts.emplace_back().name = "club";
    configuration.routes[0].access = ingress::RouteAccess::Public;
    with.entry.core.applyConfiguration(std::move(configuration), http::now());
    BOOST_TEST(with.relativeCapacity() < 0.35);
    MeterFixture off(ingress::CapacityMode::Off);
    off.entry.core.applyConfiguration(with.entry.core.configuration, http::now());
    BOOST_TEST(off.relativeCapacity() == 1);
    BOOST_TEST(off.entry.core.measuredRequests.totalBytes().sent == 0U);
}

// Guards against a processor clock that fails unnoticed, or that fills the log.
BOOST_AUTO_TEST_CASE(unreadableClockIsLoggedOnce)
{
    const Pipe pipe;
    MeterFixture fixture(ingress::CapacityMode::On);
    fixture.entry.core.log = EventLog({pipe.ends[1]});
    fixture.processor.reset();
    for (int tick = 0; tick < 3; ++tick) {
        fixture.meter.tick(fixture.entry.listener->bodyBudget(), http::now() + tick * 100ms);
    }
    fixture.entry.core.log.flush();
    const std::string log = pipe.read();
    BOOST_TEST(log.find("\"event\":\"processor_clock\"") != std::string::npos, log);
    BOOST_TEST(log.find("processor_clock") == log.rfind("processor_clock"));
    BOOST_TEST(processorTime().has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace trefoilstile::proxy
