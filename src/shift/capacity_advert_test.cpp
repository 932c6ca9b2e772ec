// Guards against a fleet that overloads a region, or swings between regions, on measurements that lag.

#include "trefoilstile/shift/capacity_advert.hpp"

#include <algorithm>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "trefoilstile/shift/region_admission.hpp"

using namespace trefoilstile;
using namespace trefoilstile::shift;
using namespace std::chrono_literals;
using base::PriorityClass;

namespace
{
constexpr int s_senders = 12;
constexpr double s_capacity = 1200; // requests/s
constexpr int s_lag = 5; // measurement periods of 1 s
constexpr base::TimePoint s_start{};

/// Sender without damping: takes its whole share of each measurement.
class GreedyRate
{
public:
    explicit GreedyRate(double step)
        : m_step(step)
    {
    }

    void onSent(double, base::TimePoint)
    {
    }

    void onAdvert(const CapacityAdvert &advert, base::TimePoint)
    {
        m_rate = std::max(0.0, m_rate + m_step * advert.spare / s_senders);
    }

    double rate(base::TimePoint) const
    {
        return m_rate;
    }

private:
    double m_step;
    double m_rate = 0;
};

/// Load of the region at each second, with senders that want more than it has and see the load of 5 s ago. The first
/// half of the senders joins at second 0, the others at second 60; at second 120 the capacity halves.
template<typename Sender>
std::vector<double> run(const Sender &prototype)
{
    std::vector<Sender> senders(s_senders, prototype);
    std::vector<double> load;
    for (int second = 0; second < 240; ++second) {
        const base::TimePoint now = s_start + std::chrono::seconds(second);
        const double capacity = second - s_lag < 120 ? s_capacity : s_capacity / 2;
        double sum = 0;
        for (int i = 0; i < s_senders; ++i) {
            auto &sender = senders[static_cast<std::size_t>(i)];
            if (second >= s_lag) {
                const double seen = load[static_cast<std::size_t>(second - s_lag)];
                sender.onAdvert({static_cast<std::uint64_t>(second), capacity - seen, seen, 5s}, now);
            }
            const double sent = i < s_senders / 2 || second >= 60 ? sender.rate(now) : 0;
            sender.onSent(sent, now);
            sum += sent;
        }
        load.push_back(sum);
    }
    return load;
}

/// Greatest excess over the capacity before it halves, as a part of it.
double overshoot(const std::vector<double> &load)
{
    return *std::max_element(load.begin(), load.begin() + 120) / s_capacity - 1;
}

/// Difference between the highest and the lowest load in the last minute, as a part of the capacity.
double swing(const std::vector<double> &load)
{
    const auto [low, high] = std::minmax_element(load.end() - 60, load.end());
    return (*high - *low) / s_capacity;
}
} // namespace

BOOST_AUTO_TEST_SUITE(CapacityAdverts)

BOOST_AUTO_TEST_CASE(twelveSendersWithALagOf5sDoNotOscillate)
{
    const auto load = run(DampedRate(s_senders));
    BOOST_TEST_MESSAGE("damped: overshoot " << overshoot(load) << ", swing " << swing(load) << ", load at 59 s " << load[59] << ", 119 s " << load[119]
                                            << ", 135 s " << load[135] << ", 239 s " << load[239]);
    BOOST_TEST(overshoot(load) < 0.01);
    BOOST_TEST(swing(load) < 0.01);
    BOOST_TEST(load[119] > 0.95 * s_capacity);
    BOOST_TEST(load[150] < 0.55 * s_capacity);
    BOOST_TEST(load[239] > 0.45 * s_capacity);
}

// The same check fails for senders that take their whole share, and for steps of 20% without the own history.
BOOST_AUTO_TEST_CASE(theCheckFailsWithoutDamping)
{
    for (const double step : {1.0, 0.2}) {
        const auto load = run(GreedyRate(step));
        BOOST_TEST_MESSAGE("greedy, step " << step << ": overshoot " << overshoot(load) << ", swing " << swing(load));
        BOOST_TEST(overshoot(load) > 0.1);
    }
    BOOST_TEST(swing(run(GreedyRate(1.0))) > 0.5);
}

BOOST_AUTO_TEST_CASE(oneStepForEachMeasurement)
{
    DampedRate rate(s_senders);
    for (int i = 0; i < 10; ++i) {
        rate.onAdvert({1, s_capacity, 0, 0s}, s_start);
    }
    BOOST_TEST(rate.rate(s_start) == 20.0, boost::test_tools::tolerance(1e-9));
}

// Guards against senders that go on with a measurement that has stopped, and against a jump when it comes back.
BOOST_AUTO_TEST_CASE(oldMeasurementsLoseTheirWeight)
{
    DampedRate rate(1);
    rate.onAdvert({1, 100, 0, 2s}, s_start);
    double last = rate.rate(s_start);
    for (int second = 1; second < 28; ++second) {
        const double present = rate.rate(s_start + std::chrono::seconds(second));
        BOOST_TEST(present <= last);
        last = present;
    }
    BOOST_TEST(rate.rate(s_start + 28s) == 0.0);
    rate.onAdvert({2, 100, 0, 31s}, s_start + 28s);
    BOOST_TEST(rate.rate(s_start + 28s) == 0.0);
    rate.onAdvert({2, 100, 0, 1s}, s_start + 28s);
    BOOST_TEST(rate.rate(s_start + 28s) == 20.0, boost::test_tools::tolerance(1e-9));
}

// Guards against an allowance that grows while there is nothing to send.
BOOST_AUTO_TEST_CASE(idleSenderKeepsToItsShare)
{
    DampedRate rate(s_senders);
    for (int second = 0; second < 100; ++second) {
        rate.onAdvert({static_cast<std::uint64_t>(second + 1), s_capacity, 0, 5s}, s_start + std::chrono::seconds(second));
    }
    BOOST_TEST(rate.rate(s_start + 99s) <= s_capacity / s_senders);
}

BOOST_AUTO_TEST_CASE(bulkAndInteractiveRampOntoColdCaches)
{
    WarmUpRamp ramp(30s);
    BOOST_TEST(ramp.factor(PriorityClass::Urgent, s_start) == 1.0);
    BOOST_TEST(ramp.factor(PriorityClass::Bulk, s_start) == 0.1);
    for (int second = 0; second <= 30; ++second) {
        ramp.onSent(s_start + std::chrono::seconds(second));
    }
    BOOST_TEST(ramp.factor(PriorityClass::Interactive, s_start + 15s) == 0.55, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(ramp.factor(PriorityClass::Bulk, s_start + 30s) == 1.0);
    BOOST_TEST(ramp.factor(PriorityClass::Bulk, s_start + 60s) == 0.1);
}

BOOST_AUTO_TEST_CASE(receiverRefusesTheLeastUrgentFirst)
{
    RegionAdmission admission;
    admission.setCapacity(100, 60, 4);
    const auto admit = [&](PriorityClass priorityClass) {
        int admitted = 0;
        while (admission.tryAdmit(priorityClass, s_start)) {
            ++admitted;
        }
        return admitted;
    };
    BOOST_TEST(admit(PriorityClass::Bulk) == 6);
    BOOST_TEST(admit(PriorityClass::Interactive) == 2);
    BOOST_TEST(admit(PriorityClass::Urgent) == 2);
}

BOOST_AUTO_TEST_SUITE_END()
