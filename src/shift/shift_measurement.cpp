// Measures in virtual time which fraction of a cap 12 instances can use, for several states of the instances and several
// lease lengths. Prints a table; `docs/measurements/shift.md` has the results.

#include <algorithm>
#include <cstdio>
#include <map>
#include <string>
#include <vector>

#include "trefoilstile/base/random.hpp"
#include "trefoilstile/shift/shift_budget.hpp"

using namespace trefoilstile;
using namespace trefoilstile::shift;
using namespace std::chrono_literals;

namespace
{
const RegionPair s_link{"bkk", "cnx"};
constexpr std::size_t s_instances = 12; ///< 4 in each region, 2 in each failure domain
constexpr double s_cap = 1200; ///< requests/s
constexpr base::Duration s_step = 10ms;
constexpr base::Duration s_latency = 35ms; ///< of each message between regions, as in the Register deployment
constexpr base::Duration s_requestPeriod = 1s;
constexpr base::Duration s_startHold = 60s; ///< default of `ShiftOptions::startHold`
constexpr base::Duration s_settling = 30s;
constexpr base::Duration s_measured = 120s;

struct Case {
    std::string name;
    std::size_t demanding = s_instances; ///< number of instances with unlimited demand, from the first on
    std::vector<std::size_t> dead{};
    std::size_t isolated = 0; ///< number of instances, from the first on, that reach only each other
    bool loans = true;
    double loss = 0;
    base::Duration lease = 5s;
    base::PriorityClass priorityClass = base::PriorityClass::Urgent;
};

struct Message {
    base::TimePoint at{};
    std::size_t to{};
    std::optional<LoanRequest> request{};
    std::optional<LoanGrant> grant{};
};

struct Loan {
    std::size_t lender{};
    base::TimePoint renewAt;
};

/// Instances of one case, their loans and the network between them.
class Fleet
{
public:
    explicit Fleet(const Case &options)
        : m_case(options)
    {
        document::SteeringDocument document;
        document.maximumEntryInstances = s_instances;
        document.shiftCaps = {{s_link.from, s_link.to, s_cap, 0}};
        for (std::size_t i = 0; i < s_instances; ++i) {
            m_budgets.emplace_back(base::IncarnationId{i + 1}, base::TimePoint{});
            m_budgets.back().adopt({1}, document);
        }
        m_loans.resize(s_instances);
    }

    /// Fraction of the cap used during the measured span.
    double run()
    {
        double used = 0;
        for (m_now = base::TimePoint{} + s_startHold; m_now < base::TimePoint{} + s_startHold + s_settling + s_measured; m_now += s_step) {
            deliver();
            for (std::size_t i = 0; i < m_case.demanding; ++i) {
                const double taken = alive(i) ? spend(i) : 0;
                used += m_now >= base::TimePoint{} + s_startHold + s_settling ? taken : 0;
            }
        }
        return used / (s_cap * base::toSeconds(s_measured));
    }

    /// Time in seconds from the stop of all holders until the last lender has regained its whole quota.
    double recoverySeconds()
    {
        run();
        const base::TimePoint stoppedAt = m_now;
        for (; m_now < stoppedAt + 60s; m_now += s_step) {
            Units lent = 0;
            for (ShiftBudget &budget : m_budgets) {
                lent += budget.loans().lent(s_link, Resource::Requests, m_now);
            }
            if (lent == 0) {
                break;
            }
        }
        return base::toSeconds(m_now - stoppedAt);
    }

private:
    bool alive(std::size_t i) const
    {
        return std::find(m_case.dead.begin(), m_case.dead.end(), i) == m_case.dead.end();
    }

    bool reachable(std::size_t a, std::size_t b) const
    {
        return alive(a) && alive(b) && (a < m_case.isolated) == (b < m_case.isolated);
    }

    double spend(std::size_t i)
    {
        double taken = 0;
        while (m_budgets[i].tryTakeRequest(s_link, m_case.priorityClass, m_now)) {
            ++taken;
        }
        if (m_case.loans) {
            borrow(i);
        }
        return taken;
    }

    /// Extends loans after a third of the lease and requests from the instances without demand all that they can lend.
    void borrow(std::size_t i)
    {
        LoanBook &book = m_budgets[i].loans();
        for (auto &[sequence, loan] : m_loans[i]) {
            if (m_now >= loan.renewAt) {
                loan.renewAt = m_now + m_case.lease / 3;
                send(i, loan.lender, {.request = book.renew({{i + 1}, sequence}, m_now)});
            }
        }
        const bool requests = m_now.time_since_epoch() % s_requestPeriod == base::Duration::zero();
        for (std::size_t lender = m_case.demanding; requests && lender < s_instances; ++lender) {
            const auto request = book.requestLoan({lender + 1}, s_link, Resource::Requests, 100 * s_unitsPerRequest, m_case.lease, m_now);
            send(i, lender, {.request = request});
        }
    }

    void send(std::size_t from, std::size_t to, Message message)
    {
        if (reachable(from, to) && base::uniformUnit(m_random) >= m_case.loss) {
            message.to = to;
            message.at = m_now + s_latency;
            m_network.emplace(message.at, message);
        }
    }

    void deliver()
    {
        while (!m_network.empty() && m_network.begin()->first <= m_now) {
            const Message message = m_network.begin()->second;
            m_network.erase(m_network.begin());
            ShiftBudget &budget = m_budgets[message.to];
            if (message.request) {
                const auto grant = budget.onLoanRequest(*message.request, m_now);
                if (grant) {
                    send(message.to, static_cast<std::size_t>(grant->id.holder.value - 1), {.grant = grant});
                }
            } else if (message.grant && budget.loans().accept(*message.grant, m_now)) {
                m_loans[message.to][message.grant->id.sequence].lender = static_cast<std::size_t>(message.grant->lender.value - 1);
                m_loans[message.to][message.grant->id.sequence].renewAt = m_now + m_case.lease / 3;
            }
        }
    }

    Case m_case;
    base::TimePoint m_now{};
    std::vector<ShiftBudget> m_budgets;
    std::vector<std::map<std::uint64_t, Loan>> m_loans; ///< by holder and sequence
    std::multimap<base::TimePoint, Message> m_network;
    base::SplitMix64 m_random{20261204};
};

void print(const Case &options)
{
    std::printf("%-64s %5.1f%%\n", options.name.c_str(), 100 * Fleet(options).run());
}

void printStates()
{
    const std::vector<std::size_t> three{1, 5, 9};
    std::printf("Share of the cap used, unlimited urgent demand, lease 5 s\n");
    print({.name = "all up, demand at all 12, fixed quotas only", .loans = false});
    print({.name = "all up, demand at all 12, with loans"});
    print({.name = "all up, demand at 4, fixed quotas only", .demanding = 4, .loans = false});
    print({.name = "all up, demand at 4, with loans", .demanding = 4});
    print({.name = "all up, demand at 4, with loans, bulk", .demanding = 4, .priorityClass = base::PriorityClass::Bulk});
    print({.name = "all up, demand at 4, with loans, 10% of messages lost", .demanding = 4, .loss = 0.1});
    print({.name = "9 of 12 up, demand at all, with loans", .dead = three});
    print({.name = "9 of 12 up, demand at 3, with loans", .demanding = 4, .dead = three});
    print({.name = "failure domain of 2 cut off, demand at all, with loans", .isolated = 2});
    print({.name = "failure domain of 2 cut off, demand at 4, with loans", .demanding = 4, .isolated = 2});
    print({.name = "each instance alone, demand at 4", .demanding = 4, .loans = false});
}

void printLeases()
{
    std::printf("\nDemand at 4 of 12, by lease\nlease  no loss  10%% lost  time until lenders regain all quota after the holders stop\n");
    for (const base::Duration lease : {1s, 2s, 5s, 10s, 20s}) {
        const Case options{.name = "", .demanding = 4, .lease = lease};
        Case lossy = options;
        lossy.loss = 0.1;
        std::printf("%3.0f s   %5.1f%%   %5.1f%%   %.2f s\n",
            base::toSeconds(lease),
            100 * Fleet(options).run(),
            100 * Fleet(lossy).run(),
            Fleet(options).recoverySeconds());
    }
}
} // namespace

int main()
{
    printStates();
    printLeases();
}
