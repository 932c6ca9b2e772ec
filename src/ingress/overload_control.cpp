// The refused fraction of a service, its division among kinds and accounts, and the limits of queues.

#include "trefoilstile/ingress/overload_control.hpp"

#include <cmath>

#include "trefoilstile/base/ids.hpp"
#include "trefoilstile/base/random.hpp"

namespace trefoilstile::ingress
{

namespace
{

/// Fractions below this count as 0: a service that refuses less than one request in a thousand is not short of capacity.
constexpr double s_negligible = 0.001;

/// Recent requests from which on the fraction placed of a kind is known well enough to limit others.
constexpr double s_minimumSample = 5;

} // namespace

OverloadControl::Admission OverloadControl::arrived(const Request &request, double loadPerSlot, base::TimePoint now)
{
    update(loadPerSlot, now);
    Admission result;
    Tier tier = withinShare(request, now) ? Tier::InShare : Tier::BeyondShare;
    base::Duration elapsed = timeSinceFirstTry(request);
    if (Return *earlier = earlierTry(request, now)) {
        if (now < earlier->dueAt && m_refused > s_negligible) {
            earlier->dueAt = earlier->latestAt; // a caller that does not wait gets no further try before those that do
            // Not counted as an arrival: who returns early neither raises the demand nor gets a further chance.
            result.kind = kindOf(request, tier);
            result.refusal = RefusalReason::Early;
            return result;
        }
        elapsed = std::max(elapsed, now - earlier->firstArrival);
    }
    // No instance asks for a return sooner than half of the minimum (with jitter), so who returns sooner did not wait.
    const bool early = elapsed > m_options.returnTolerance && elapsed < m_options.minimumRetryAfter / 2;
    tier = early || elapsed + request.cost.warmWork > request.cost.objective ? Tier::Late : tier;
    result.kind = kindOf(request, tier);
    Kind &kind = m_kinds[result.kind];
    const double work = base::toSeconds(request.cost.warmWork);
    kind.work += work;
    kind.arrived += 1;
    m_offered += work;
    // Deterministic thinning, so that the fraction is exact also for few requests.
    kind.credit = std::min(kind.credit + kind.admitted, 2.0);
    if (kind.credit < 1) {
        result.refusal = RefusalReason::Price;
        return result;
    }
    kind.credit -= 1;
    return result;
}

void OverloadControl::advance(base::TimePoint now)
{
    if (m_refused > 0 && now - m_loadAt > std::chrono::seconds(1)) {
        m_refused = 0;
        m_integral = 0;
        assignFractions();
    }
}

QueueLimit OverloadControl::queueLimit(const RequestCost &cost, bool cold) const
{
    const base::Duration work = cost.work(cold);
    const double share = cost.repeatable ? m_options.deadlineShare : m_options.unrepeatableDeadlineShare;
    QueueLimit limit;
    limit.deadlineWait = std::chrono::duration_cast<base::Duration>(cost.timeLeft * share) - work;
    // What is worth the price gets the shorter queue. What is worth less is admitted for its least share only, which a full queue would
    // take away again.
    const bool atPrice = std::abs(cost.density() - m_price) <= s_negligible * m_price;
    limit.minimumPerSlot = atPrice ? m_options.minimumQueuePerSlot : m_options.urgentQueuePerSlot;
    limit.maximumPerSlot = m_options.maximumQueuePerSlot;
    limit.wait = std::chrono::duration_cast<base::Duration>((cost.objective - work) * m_options.waitMargin);
    return limit;
}

void OverloadControl::placed(const Request &request, const Admission &admission)
{
    const double work = base::toSeconds(request.cost.warmWork);
    Kind &kind = m_kinds[admission.kind];
    kind.placed += 1;
    if (request.account != nullptr && kind.tier != Tier::BeyondShare) {
        if (const auto found = m_accounts.find(request.account->name); found != m_accounts.end()) {
            found->second.credit = std::max(0.0, found->second.credit - work);
        }
    }
}

base::Duration OverloadControl::refused(const Request &request, const Admission &admission, base::TimePoint now)
{
    if (m_returns.empty()) {
        m_returns.resize(std::max<std::size_t>(1, m_options.maximumReturns));
    }
    Return &slot = returnSlot(request, now + request.cost.timeLeft);
    const Return *earlier = earlierTry(request, now);
    if (admission.refusal == RefusalReason::Early && earlier != nullptr) {
        return std::max<base::Duration>(m_options.minimumRetryAfter, earlier->dueAt - now);
    }
    // There is room for a kind again once the refused fraction has fallen to the part of the work that is worth less. While the
    // load falls, the refused fraction falls on average at half of its greatest speed.
    double below = 0;
    for (const Kind &kind : m_kinds) {
        below += kind.density < m_kinds[admission.kind].density ? kind.work : 0;
    }
    const double excess = std::max(0.0, m_refused - below / std::max(m_offered, 1e-9));
    const base::Duration expected = m_options.minimumRetryAfter + base::fromSeconds(2 * excess / m_options.fallPerSecond);
    const auto honoured = std::chrono::duration_cast<base::Duration>(request.cost.timeLeft * m_options.retryAfterShare);
    const base::Duration result = std::max(m_options.minimumRetryAfter, std::min(expected, honoured));
    const base::TimePoint firstArrival = earlier == nullptr ? now : earlier->firstArrival;
    // Jitter makes the time stated up to half longer or shorter.
    slot = {identity(request), now + request.cost.timeLeft, now + result / 2, now + result * 3 / 2, firstArrival};
    return result;
}

void OverloadControl::update(double loadPerSlot, base::TimePoint now)
{
    if (m_updatedAt == base::TimePoint()) {
        m_load = loadPerSlot;
        m_loadAt = now;
        m_updatedAt = now;
        return;
    }
    const double kept = std::exp(-base::toSeconds(now - m_loadAt) / base::toSeconds(m_options.loadTimeConstant));
    m_load = kept * m_load + (1 - kept) * loadPerSlot;
    m_loadAt = now;
    const base::Duration elapsed = now - m_updatedAt;
    if (elapsed >= m_options.updateInterval) {
        m_updatedAt = now;
        moveRefusedFraction(base::toSeconds(elapsed));
        decay(elapsed, now);
        assignFractions();
    }
}

void OverloadControl::moveRefusedFraction(double seconds)
{
    // One update stands for at most a second, so that a pause without requests does not count as overload.
    const double span = std::min(seconds, 1.0);
    const double error = m_load - m_options.targetLoad;
    double change = m_options.loadGain * error * span;
    // Free slots are certain evidence that nothing has to be refused.
    constexpr double freeRange = 0.4;
    change -= m_options.fallPerSecond * seconds * std::clamp((m_options.freeLoad - m_load) / freeRange, 0.0, 1.0);
    m_integral = std::clamp(m_integral + change, 0.0, m_options.maximumRefused);
    const double aim = std::clamp(m_integral + m_options.loadProportion * error, 0.0, m_options.maximumRefused);
    m_refused = std::clamp(aim, m_refused - m_options.fallPerSecond * seconds, m_refused + m_options.risePerSecond * span);
}

void OverloadControl::decay(base::Duration elapsed, base::TimePoint now)
{
    const double kept = std::exp(-base::toSeconds(elapsed) / base::toSeconds(m_options.mixTimeConstant));
    m_offered = 0;
    for (Kind &kind : m_kinds) {
        kind.work *= kept;
        kind.arrived *= kept;
        kind.placed *= kept;
        m_offered += kind.work;
    }
    constexpr double forgotten = 0.001;
    std::erase_if(m_kinds, [](const Kind &kind) {
        return kind.arrived < forgotten;
    });
    // An account that sent nothing for several burst times has its whole burst available again.
    const base::Duration idle = base::fromSeconds(4 * m_options.accountBurstSeconds);
    m_accountWeights = 0;
    std::erase_if(m_accounts, [&](const auto &entry) {
        return now - entry.second.updatedAt > idle;
    });
    for (const auto &[name, account] : m_accounts) {
        m_accountWeights += account.weight;
    }
}

void OverloadControl::assignFractions()
{
    std::sort(m_kinds.begin(), m_kinds.end(), [](const Kind &left, const Kind &right) {
        return left.density < right.density;
    });
    // Requests that are tried again count once: what is admitted is compared with the work of new requests.
    double newWork = 0;
    for (const Kind &kind : m_kinds) {
        newWork += kind.tier == Tier::Late ? 0 : kind.work;
    }
    m_minimumAdmitted = m_options.minimumShare * std::min(1.0, (1 - m_refused) * m_offered / std::max(newWork, 1e-9));
    double toRefuse = m_refused > s_negligible ? m_refused * m_offered : 0.0;
    m_price = 0;
    for (Kind &kind : m_kinds) {
        // What is late already has had its chance; the least fraction of a kind is kept by its new requests.
        const double least = kind.tier == Tier::Late ? 0 : m_minimumAdmitted;
        const double refusedHere = std::min(toRefuse, (1 - least) * kind.work);
        kind.admitted = kind.work > 0 ? 1 - refusedHere / kind.work : 1;
        m_price = refusedHere > 0 ? kind.density : m_price;
        toRefuse -= refusedHere;
    }
    if (m_refused > s_negligible) {
        limitInversions();
    }
}

void OverloadControl::limitInversions()
{
    struct Fractions {
        double arrived{};
        double placed{};
        double admitted{};
    };
    std::map<std::uint32_t, Fractions> byPriority;
    for (const Kind &kind : m_kinds) {
        Fractions &fractions = byPriority[kind.routePriority];
        fractions.arrived += kind.arrived;
        fractions.placed += kind.placed;
        fractions.admitted += kind.admitted * kind.arrived;
    }
    double limit = 1;
    for (const auto &[priority, fractions] : byPriority) {
        const double admitted = fractions.admitted / std::max(fractions.arrived, 1e-9);
        const double factor = std::min(1.0, limit / std::max(admitted, 1e-9));
        for (Kind &kind : m_kinds) {
            kind.admitted *= kind.routePriority == priority ? factor : 1;
        }
        // The fraction placed is below the fraction admitted where requests find no room.
        const bool known = fractions.arrived >= s_minimumSample;
        const double served = std::min(admitted * factor, known ? fractions.placed / fractions.arrived : 1.0);
        limit = std::min(limit, served + m_options.maximumInversion);
    }
}

bool OverloadControl::withinShare(const Request &request, base::TimePoint now)
{
    if (request.account == nullptr) {
        return true;
    }
    const double work = base::toSeconds(request.cost.warmWork);
    const double weight = request.account->requestsPerSecond > 0 ? request.account->requestsPerSecond : m_options.defaultAccountRate;
    auto found = m_accounts.find(request.account->name);
    if (found == m_accounts.end()) {
        if (m_accounts.size() >= m_options.maximumAccounts) {
            return true;
        }
        found = m_accounts.emplace(request.account->name, AccountShare{weight, m_options.accountBurstRequests * work, now}).first;
        m_accountWeights += weight;
    }
    AccountShare &account = found->second;
    m_accountWeights += weight - account.weight;
    account.weight = weight;
    const double capacity = m_offered / base::toSeconds(m_options.mixTimeConstant) * (1 - m_refused);
    const double rate = capacity * weight / std::max(m_accountWeights, 1e-9);
    const double maximum = std::max(rate * m_options.accountBurstSeconds, m_options.accountBurstRequests * work);
    account.credit = std::min(maximum, account.credit + rate * base::toSeconds(now - account.updatedAt));
    account.updatedAt = now;
    return account.credit >= work;
}

base::Duration OverloadControl::timeSinceFirstTry(const Request &request)
{
    auto found = m_allowances.find(request.route.name);
    if (found == m_allowances.end()) {
        if (m_allowances.size() >= m_options.maximumKinds) {
            return {};
        }
        found = m_allowances.emplace(request.route.name, Allowance{}).first;
    }
    Allowance &allowance = found->second;
    const base::Duration left = request.cost.timeLeft;
    if (m_refused == 0) {
        constexpr double weight = 0.02;
        if (left > allowance.longest + m_options.returnTolerance) {
            allowance = {left, 0};
        }
        const double common = left + m_options.returnTolerance >= allowance.longest ? 1 : 0;
        allowance.common += weight * (common - allowance.common);
    }
    return allowance.common >= m_options.commonAllowance ? std::max(base::Duration::zero(), allowance.longest - left) : base::Duration::zero();
}

std::size_t OverloadControl::kindOf(const Request &request, Tier tier)
{
    const auto found = std::find_if(m_kinds.begin(), m_kinds.end(), [&](const Kind &kind) {
        return kind.tier == tier && kind.priority == request.cost.priority && kind.route == request.route.name;
    });
    if (found != m_kinds.end()) {
        return static_cast<std::size_t>(found - m_kinds.begin());
    }
    if (m_kinds.size() >= m_options.maximumKinds) {
        return m_kinds.size() - 1;
    }
    Kind created;
    created.route = request.route.name;
    created.priority = request.cost.priority;
    created.routePriority = request.route.priority;
    created.tier = tier;
    created.density = tier == Tier::Late ? request.cost.lateDensity() : request.cost.density() * (tier == Tier::BeyondShare ? m_options.beyondShareFactor : 1);
    // Until the next update, the least fraction for what is worth less than the price.
    created.admitted = created.density < m_price ? m_minimumAdmitted : 1;
    m_kinds.push_back(std::move(created));
    return m_kinds.size() - 1;
}

std::uint64_t OverloadControl::identity(const Request &request)
{
    return base::mixBits(request.key ^ base::stableHash(request.route.name));
}

OverloadControl::Return &OverloadControl::returnSlot(const Request &request, base::TimePoint deadline)
{
    const auto period = static_cast<std::uint64_t>(deadline.time_since_epoch() / (2 * m_options.returnTolerance));
    return m_returns[base::mixBits(identity(request) + period) % m_returns.size()];
}

OverloadControl::Return *OverloadControl::earlierTry(const Request &request, base::TimePoint now)
{
    if (m_returns.empty()) {
        return nullptr;
    }
    // A request of another caller for the same object has another deadline.
    const base::TimePoint deadline = now + request.cost.timeLeft;
    for (const base::TimePoint bound : {deadline - m_options.returnTolerance, deadline + m_options.returnTolerance}) {
        Return &found = returnSlot(request, bound);
        if (found.identity == identity(request) && std::chrono::abs(deadline - found.deadline) <= m_options.returnTolerance) {
            return &found;
        }
    }
    return nullptr;
}

} // namespace trefoilstile::ingress
