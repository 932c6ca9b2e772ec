// Steps of the shift model: actions of instances, network, operators and callers.

#include "shift_model.hpp"

#include <algorithm>

namespace trefoilstile::shift::model
{

namespace
{
using namespace std::chrono_literals;

const RegionPair s_link{"bkk", "cnx"};
constexpr double s_drift = 0.1; ///< far above that of real clocks, so that faults show within few steps
constexpr base::Duration s_ttl = 5s;

ShiftOptions optionsFor(Fault fault)
{
    ShiftOptions options;
    options.clockDrift = fault == Fault::NoDriftAllowance ? 0 : s_drift;
    options.leaseMargin = fault == Fault::NoDriftAllowance ? 0 : s_drift;
    options.startHold = 10s;
    options.maximumLease = 5s;
    return options;
}
} // namespace

Model::Model(Fault fault)
    : m_fault(fault)
    , m_options(optionsFor(fault))
{
    m_documents.push_back({1, 40, s_instances, m_now});
    for (Instance &instance : m_instances) {
        replace(instance, static_cast<std::uint32_t>(m_nextIncarnation) * 7);
    }
    m_now += 20s;
}

base::TimePoint Model::local(const Instance &instance) const
{
    // Clock origins differ, so that a rule that compares times of two instances by mistake fails.
    return base::TimePoint(std::chrono::hours(instance.incarnation.value)) + scaled(m_now - instance.startedAt, instance.clockRate);
}

base::TimePoint Model::decisionTime(Instance &instance) const
{
    return m_fault == Fault::StaleClock && instance.pausedAt ? *instance.pausedAt : local(instance);
}

void Model::replace(Instance &instance, std::uint32_t a)
{
    instance.openGrants.clear();
    instance.sentGrants.clear();
    instance.requestedLoans.clear();
    instance.pausedAt.reset();
    instance.incarnation = {m_nextIncarnation++};
    instance.startedAt = m_now;
    constexpr std::array<double, 3> rates{1 / (1 + s_drift), 1, 1 + s_drift};
    instance.clockRate = rates[a % rates.size()];
    const base::Duration earlier = m_fault == Fault::NoStartHold ? 1h : 0s;
    instance.ledger.reset();
    instance.budget.emplace(instance.incarnation, local(instance) - earlier, m_options);
    instance.ledger.emplace(*instance.budget);
    adopt(instance, m_documents[m_documents.size() - 1 - a % std::min<std::size_t>(m_documents.size(), 2)]);
}

void Model::adopt(Instance &instance, const Document &document)
{
    // The snapshot that contained the old grants is replaced.
    for (const LookupGrant &grant : instance.openGrants) {
        instance.ledger->cancel(grant.id, grant.responses);
    }
    instance.openGrants.clear();
    document::SteeringDocument steering;
    steering.maximumEntryInstances = document.instances;
    steering.shiftCaps = {{s_link.from, s_link.to, document.cap, 0}};
    // With this fault the generation of loans never changes, so that none is closed.
    instance.budget->adopt({m_fault == Fault::KeepsOldLoans ? 1 : document.generation}, steering);
    instance.generation = document.generation;
}

void Model::record(const Instance &instance, Units units, base::Duration span)
{
    const auto document = std::find_if(m_documents.begin(), m_documents.end(), [&](const Document &d) {
        return d.generation == instance.generation;
    });
    document->lastInEffect = std::max(document->lastInEffect, m_now + span);
    m_uses.push_back({m_now, m_now + span, units});
    check();
}

void Model::check()
{
    std::erase_if(m_uses, [this](const Use &use) {
        return use.to <= m_now - 1s;
    });
    Units used = 0;
    for (const Use &use : m_uses) {
        used += use.units;
    }
    double cap = 0;
    for (const Document &document : m_documents) {
        const bool inEffect = std::any_of(m_instances.begin(), m_instances.end(), [&](const Instance &i) {
            return i.generation == document.generation;
        });
        cap = inEffect || document.lastInEffect > m_now - 1s ? std::max(cap, document.cap) : cap;
    }
    const double part = static_cast<double>(used) / (cap * static_cast<double>(s_unitsPerRequest));
    peakUse = std::max(peakUse, part);
    if (part > 1) {
        violation = "use within one second is " + std::to_string(part) + " times the largest cap in effect";
    }
}

/// Checks that all holders together borrow at most the amount that all lenders count as lent.
void Model::checkLoans()
{
    Units borrowed = 0;
    Units lent = 0;
    for (Instance &instance : m_instances) {
        borrowed += instance.budget->loans().borrowed(s_link, Resource::Requests, local(instance));
        lent += instance.budget->loans().lent(s_link, Resource::Requests, local(instance));
    }
    if (!m_killed && borrowed > lent) {
        violation = std::to_string(borrowed) + " units are borrowed but only " + std::to_string(lent) + " are lent";
    }
}

void Model::spend(Instance &instance, std::uint32_t a)
{
    const base::TimePoint now = decisionTime(instance);
    instance.pausedAt.reset();
    for (std::uint32_t i = 0; i <= a % 16; ++i) {
        if (instance.budget->tryTakeRequest(s_link, base::s_priorityClasses[a % 3], now)) {
            record(instance, s_unitsPerRequest, {});
        }
    }
}

/// All instances that are not paused use all of their available quota.
void Model::spendAll()
{
    for (Instance &instance : m_instances) {
        while (!instance.pausedAt && instance.budget->tryTakeRequest(s_link, base::PriorityClass::Urgent, local(instance))) {
            record(instance, s_unitsPerRequest, {});
        }
    }
}

void Model::handleLookups(Instance &instance, std::uint32_t a, std::uint32_t b)
{
    instance.ledger->releaseExpired(local(instance));
    if (a % 3 == 0) {
        const LookupGrant grant = instance.ledger->grant(s_link, 1 + b % 8, 500, s_ttl, local(instance));
        if (grant.responses != 0) {
            instance.openGrants.push_back(grant);
        }
    } else if (a % 3 == 1 && !instance.openGrants.empty()) {
        const LookupGrant grant = instance.openGrants.back();
        instance.openGrants.pop_back();
        instance.sentGrants.push_back(grant);
        responses += static_cast<int>(grant.responses);
        // A TTL lasts longest on the slowest clock of a caller.
        record(instance, grant.responses * Units{500}, scaled(s_ttl, 1 + s_drift));
    } else if (!instance.sentGrants.empty()) {
        instance.ledger->commit(instance.sentGrants.back().id, instance.sentGrants.back().responses, s_ttl, local(instance));
        instance.sentGrants.pop_back();
    }
}

void Model::borrow(Instance &instance, std::uint32_t a, std::uint32_t b)
{
    if (b % 3 == 0 && !instance.requestedLoans.empty()) {
        const auto renewal = instance.budget->loans().renew(
            instance.requestedLoans[instance.requestedLoans.size() - 1 - a % std::min<std::size_t>(instance.requestedLoans.size(), 3)], local(instance));
        if (renewal) {
            m_network.push_back({renewal->lender, renewal, {}, {}});
        }
        return;
    }
    const Instance &lender = m_instances[a % s_instances];
    const base::Duration lease = std::chrono::milliseconds(500 + 500 * (b % 10));
    const auto request = instance.budget->loans().requestLoan(lender.incarnation, s_link, Resource::Requests, 500 * (1 + b % 20), lease, local(instance));
    if (request && lender.incarnation != instance.incarnation) {
        instance.requestedLoans.push_back(request->id);
        m_network.push_back({lender.incarnation, request, {}, {}});
    }
}

void Model::returnLoan(Instance &instance, std::uint32_t a)
{
    if (instance.requestedLoans.empty()) {
        return;
    }
    const LoanId id = instance.requestedLoans[instance.requestedLoans.size() - 1 - a % std::min<std::size_t>(instance.requestedLoans.size(), 3)];
    // The model does not record lenders: a return is sent to all instances, and those that did not lend ignore it.
    if (m_fault != Fault::UsesReturnedLoans && !instance.budget->loans().returnLoan(id)) {
        return;
    }
    for (const Instance &lender : m_instances) {
        m_network.push_back({lender.incarnation, {}, {}, LoanReturn{id, lender.incarnation}});
    }
}

void Model::deliver(std::uint32_t a, std::uint32_t b)
{
    if (m_network.empty()) {
        return;
    }
    // Most messages arrive early; the others at any time.
    const std::size_t candidates = (b >> 2U) % 4 == 0 ? m_network.size() : std::min<std::size_t>(m_network.size(), 4);
    const auto position = m_network.end() - 1 - static_cast<std::ptrdiff_t>(a % candidates);
    const auto to = std::find_if(m_instances.begin(), m_instances.end(), [&](const Instance &i) {
        return i.incarnation == position->to;
    });
    if (to != m_instances.end() && to->pausedAt) {
        return;
    }
    const Message message = *position;
    if (b % 4 != 0) {
        m_network.erase(position); // otherwise the message is delivered again later
    }
    if (to == m_instances.end()) {
        return;
    }
    if (message.request) {
        if (const auto grant = to->budget->onLoanRequest(*message.request, local(*to))) {
            m_network.push_back({grant->id.holder, {}, grant, {}});
        }
    } else if (message.grant) {
        const bool accepted = to->budget->loans().accept(*message.grant, local(*to));
        grantsAccepted += accepted ? 1 : 0;
        extensions += accepted && message.grant->round != 0 ? 1 : 0;
        const auto renewal = (b >> 4U) % 2 == 0 ? to->budget->loans().renew(message.grant->id, local(*to)) : std::nullopt;
        if (renewal) {
            m_network.push_back({renewal->lender, renewal, {}, {}});
        }
    } else if (message.loanReturn) {
        to->budget->loans().onReturn(*message.loanReturn, local(*to));
    }
}

/// Publishes a document. It reaches either all instances that are not paused at once, or each one separately later.
void Model::publish(std::uint32_t a, std::uint32_t b)
{
    m_documents.push_back({m_documents.back().generation + 1, 10.0 + b % 40, static_cast<std::uint32_t>(s_instances + b % 3), m_now});
    for (Instance &instance : m_instances) {
        if (a % 2 == 0 && !instance.pausedAt) {
            update(instance);
        }
    }
}

void Model::update(Instance &instance)
{
    if (Document &document = m_documents.back(); document.generation > instance.generation) {
        Document adopted = document;
        adopted.instances = m_fault == Fault::DividesByLiveMembers ? 2 : adopted.instances;
        adopt(instance, adopted);
    }
}

void Model::act(Instance &instance, std::uint32_t a, std::uint32_t b)
{
    if (m_fault == Fault::StaleClock && instance.pausedAt) {
        spend(instance, a);
        return;
    }
    instance.pausedAt.reset(); // any action ends the pause
    switch (b % 8) {
    case 0:
        instance.pausedAt = local(instance);
        break;
    case 1:
        returnLoan(instance, a);
        break;
    case 2:
    case 3:
        borrow(instance, a, b >> 3U);
        break;
    case 4:
        handleLookups(instance, a, b >> 3U);
        break;
    case 5:
        update(instance);
        break;
    default:
        spend(instance, a);
    }
}

void Model::apply(const Step &step)
{
    switch (step.kind % 32) {
    case 0:
        if (step.a % 4 == 0) {
            m_killed = true;
            replace(m_instances[step.b % s_instances], step.a >> 2U);
        }
        break;
    case 1:
        if (step.a % 4 == 0) {
            publish(step.a >> 2U, step.b);
        }
        break;
    case 2:
        if (!m_network.empty()) {
            m_network.erase(m_network.begin() + static_cast<std::ptrdiff_t>(step.a % m_network.size()));
        }
        break;
    case 3:
        m_now += std::chrono::milliseconds(step.a % 4000);
        break;
    case 4:
    case 5:
    case 6:
        m_now += std::chrono::milliseconds(step.a % 300);
        break;
    case 7:
    case 8:
        spendAll();
        break;
    default:
        if (step.kind % 32 < 22) {
            act(m_instances[step.a % s_instances], step.a >> 2U, step.b);
        } else {
            deliver(step.a, step.b);
        }
    }
    checkLoans();
}

} // namespace trefoilstile::shift::model
