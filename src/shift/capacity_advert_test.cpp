// Tests that senders neither overload a region nor oscillate between regions when the capacity measurements lag.

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

/// Sender without damping and without its own history: applies `step` of its share of each measurement.
class UndampedRate
{
public:
    explicit UndampedRate(double step)
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

/// Load of the region at each second, for senders with more demand than the region has capacity, which receive the load
/// of 5 s ago. The first half of the senders joins at second 0, the others at second 60; at second 120 the capacity
/// halves.
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
                const double measured = load[static_cast<std::size_t>(second - s_lag)];
                sender.onAdvert({static_cast<std::uint64_t>(second), capacity - measured, measured, 5s}, now);
            }
            const double sent = i < s_senders / 2 || second >= 60 ? sender.rate(now) : 0;
            sender.onSent(sent, now);
            sum += sent;
        }
        load.push_back(sum);
    }
    return load;
}

/// Greatest excess over the capacity before second 120, as a fraction of the capacity.
double overshoot(const std::vector<double> &load)
{
    return *std::max_element(load.begin(), load.begin() + 120) / s_capacity - 1;
}

/// Difference between the highest and the lowest load in the last minute, as a fraction of the capacity.
double swing(const std::vector<double> &load)
{
    const auto [low, high] = std::minmax_element(load.end() - 60, load.end());
    return (*high - *low) / s_capacity;
}
} // namespace

BOOST_AUTO_TEST_SUITE(CapacityAdverts)

// Guards against overload and oscillation: without damping all senders react to the same measurement, which does not yet
// include their last steps. The load must also use the capacity and follow its decrease.
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

// Checks that the scenario above detects a missing rule: senders that apply their whole share at once, and senders that
// apply steps of 20% without their own history, overload the region.
BOOST_AUTO_TEST_CASE(undampedSendersOvershootAndOscillate)
{
    for (const double step : {1.0, 0.2}) {
        const auto load = run(UndampedRate(step));
        BOOST_TEST_MESSAGE("undamped, step " << step << ": overshoot " << overshoot(load) << ", swing " << swing(load));
        BOOST_TEST(overshoot(load) > 0.1);
    }
    BOOST_TEST(swing(run(UndampedRate(1.0))) > 0.5);
}

// Guards against a rate that increases with each copy of the same measurement.
BOOST_AUTO_TEST_CASE(repeatedMeasurementIsAppliedOnce)
{
    DampedRate rate(s_senders);
    for (int i = 0; i < 10; ++i) {
        rate.onAdvert({1, s_capacity, 0, 0s}, s_start);
    }
    BOOST_TEST(rate.rate(s_start) == 20.0, boost::test_tools::tolerance(1e-9));
}

// Guards against senders that keep their rate when no new measurements arrive, and against a jump in the rate when
// measurements resume.
BOOST_AUTO_TEST_CASE(oldMeasurementsLoseTheirWeight)
{
    DampedRate rate(1);
    rate.onAdvert({1, 100, 0, 2s}, s_start);
    double last = rate.rate(s_start);
    for (int second = 1; second < 28; ++second) {
        const double current = rate.rate(s_start + std::chrono::seconds(second));
        BOOST_TEST(current <= last);
        last = current;
    }
    BOOST_TEST(rate.rate(s_start + 28s) == 0.0);
    rate.onAdvert({2, 100, 0, 31s}, s_start + 28s);
    BOOST_TEST(rate.rate(s_start + 28s) == 0.0);
    rate.onAdvert({2, 100, 0, 1s}, s_start + 28s);
    BOOST_TEST(rate.rate(s_start + 28s) == 20.0, boost::test_tools::tolerance(1e-9));
}

// Guards against an allowance that grows with each measurement while the sender has nothing to send.
BOOST_AUTO_TEST_CASE(rateOfAnIdleSenderStaysWithinItsShare)
{
    DampedRate rate(s_senders);
    for (int second = 0; second < 100; ++second) {
        rate.onAdvert({static_cast<std::uint64_t>(second + 1), s_capacity, 0, 5s}, s_start + std::chrono::seconds(second));
    }
    BOOST_TEST(rate.rate(s_start + 99s) <= s_capacity / s_senders);
}

// Guards against full load on cold caches after a shift, and against a ramp that delays urgent work or does not restart
// after an idle warm-up period.
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

// Guards against bulk work from other regions that uses up the receiver's limit before more urgent work arrives.
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
