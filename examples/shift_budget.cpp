// Two instances that share one shift cap. One lends a part of its quota to the other; the sum stays within the cap.

#include <chrono>
#include <cstdio>
#include <exception>

#include "trefoilstile/document/steering_document.hpp"
#include "trefoilstile/shift/shift_budget.hpp"

using namespace std::chrono_literals;
using namespace trefoilstile;

namespace
{

constexpr double s_cap = 20; // requests/s of both instances together

/// Requests that the budget allows at this instant.
unsigned takeAll(shift::ShiftBudget &budget, const shift::RegionPair &link, base::TimePoint now)
{
    unsigned taken = 0;
    while (budget.tryTakeRequest(link, base::PriorityClass::Urgent, now)) {
        ++taken;
    }
    return taken;
}

bool run()
{
    const shift::RegionPair link{"north", "south"};
    document::SteeringDocument document; // only the fields that a budget reads
    document.maximumEntryInstances = 2;
    document.shiftCaps.push_back({link.from, link.to, s_cap, 1e6});

    base::TimePoint now{};
    const base::IncarnationId lenderId{1};
    const base::IncarnationId holderId{2};
    shift::ShiftBudget lender(lenderId, now);
    shift::ShiftBudget holder(holderId, now);
    for (shift::ShiftBudget *budget : {&lender, &holder}) {
        budget->adopt(base::Generation{1}, document);
    }
    std::printf("right after the start: lender %u, holder %u\n", takeAll(lender, link, now), takeAll(holder, link, now));

    now += lender.options().startHold + 1s; // until then a started instance leaves its fixed quota unused
    const auto request = holder.loans().requestLoan(lenderId, link, shift::Resource::Requests, 5 * shift::s_unitsPerRequest, 5s, now);
    if (!request) {
        return false;
    }
    const auto grant = lender.onLoanRequest(*request, now); // a program sends both messages over its own protocol
    if (!grant || !holder.loans().accept(*grant, now)) {
        return false;
    }
    const unsigned byLender = takeAll(lender, link, now);
    const unsigned byHolder = takeAll(holder, link, now);
    std::printf("with a loan of %.3f requests/s: lender %u, holder %u, cap %.0f\n",
        static_cast<double>(grant->amount) / shift::s_unitsPerRequest,
        byLender,
        byHolder,
        s_cap);
    return byHolder > byLender && byLender + byHolder <= s_cap;
}

} // namespace

int main()
{
    try {
        return run() ? 0 : 1;
    } catch (const std::exception &error) {
        std::fprintf(stderr, "shift_budget: %s\n", error.what());
        return 1;
    }
}
