// Quota of the account of a request: one count for each attempt that may run.

#include "trefoilstile/http/clock.hpp"
#include "trefoilstile/proxy/exchange.hpp"

namespace trefoilstile::proxy
{

std::optional<CallerResponse> Exchange::takeQuota()
{
    if (!m_account || !m_core.quota.active()) {
        return std::nullopt;
    }
    m_quotaAccount = quota::accountId(m_account->name);
    const base::TimePoint now = http::now();
    const quota::Decision decision = m_core.quota.admit(m_quotaAccount, now);
    if (m_core.quota.urgent() && m_core.reportQuota) {
        m_core.reportQuota();
    }
    if (!decision.admitted) {
        m_outcome = "over_quota";
        return localResponse(429, decision.retryAfter);
    }
    m_unusedQuota.push_back(now);
    return std::nullopt;
}

std::optional<CallerResponse> Exchange::renewQuota()
{
    if (m_unusedQuota.empty() || !m_account || m_quotaAccount != quota::accountId(m_account->name)) {
        returnQuota(); // the key belongs to another account, or the route needs none now
        return takeQuota();
    }
    const base::TimePoint now = http::now();
    const quota::Decision decision = m_core.quota.renew(m_quotaAccount, m_unusedQuota.back(), now);
    if (!decision.admitted) {
        m_unusedQuota.clear();
        m_outcome = "over_quota";
        return localResponse(429, decision.retryAfter);
    }
    m_unusedQuota.back() = now;
    return std::nullopt;
}

bool Exchange::holdsQuota(base::TimePoint now)
{
    if (!m_account || !m_core.quota.active() || !m_unusedQuota.empty()) {
        return true;
    }
    if (!m_core.quota.admitFurther(m_quotaAccount, now)) {
        return false;
    }
    m_unusedQuota.push_back(now);
    return true;
}

void Exchange::returnQuota()
{
    for (const base::TimePoint takenAt : m_unusedQuota) {
        m_core.quota.returned(m_quotaAccount, takenAt, http::now());
    }
    m_unusedQuota.clear();
}

std::optional<CallerResponse> Exchange::identify()
{
    if (!m_core.accounts->requiresAccount(m_route->route)) {
        return std::nullopt;
    }
    const std::string *credentials = http::findHeader(m_request.headers, m_core.names.credentials);
    const auto key = credentials == nullptr ? std::nullopt : http::bearerToken(*credentials);
    if (!key) {
        m_outcome = "no_key";
        return localResponse(401);
    }
    m_keyDigest = ingress::digestOfKey(*key);
    m_account = m_core.accounts->find(m_keyDigest);
    if (!m_account) {
        m_outcome = "unknown_key";
        return localResponse(401);
    }
    return std::nullopt;
}

} // namespace trefoilstile::proxy
