// Requests to the platform, each with a deadline of its own.

#include "platform_duty.hpp"

#include <chrono>

#include "drains_text.hpp"
#include "trefoilstile/daemon/log.hpp"
#include "trefoilstile/document/parse.hpp"
#include "trefoilstile/http/clock.hpp"

namespace trefoilstile::daemon
{

namespace
{

/// One poll may not hold up the next for long.
constexpr base::Duration s_pollLimit = std::chrono::seconds(1);

/// Together below the limit of a poll, so that a platform that hangs counts as a failure and opens the circuit breaker:
/// an end by the caller's own limit says nothing about the platform. Connecting takes 70 ms between the farthest regions.
constexpr base::Duration s_connectTimeout = std::chrono::milliseconds(250);
constexpr base::Duration s_readTimeout = std::chrono::milliseconds(700);
constexpr base::Duration s_fetchLimit = std::chrono::seconds(10);

/// Repeats of a caller-generated key are not expected after a day; the row may be removed then.
constexpr std::chrono::hours s_claimLifetime{24};

std::int64_t wallClockMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

tablestore::PlatformClientOptions clientOptions(const Settings &settings)
{
    tablestore::PlatformClientOptions options;
    options.endpoint = tablestore::parseEndpoint(settings.platformAddress).value();
    options.http.connectTimeout = s_connectTimeout;
    options.http.readTimeout = s_readTimeout;
    return options;
}

} // namespace

PlatformDuty::PlatformDuty(const Settings &settings, std::uint64_t seed, PlatformOutputs outputs)
    : m_environment(settings.environment)
    , m_client(clientOptions(settings), http::now, seed)
    , m_documents(m_client)
    , m_drains(m_client)
    , m_claims(m_client)
    , m_outputs(outputs)
{
}

void PlatformDuty::take(PlatformInput input)
{
    std::visit(
        [this](const auto &alternative) {
            run(alternative);
        },
        input);
    reportBreaker();
}

void PlatformDuty::run(const engine::ClaimKey &claim)
{
    const std::int64_t expiresAt = wallClockMs() + std::chrono::duration_cast<std::chrono::milliseconds>(s_claimLifetime).count();
    const tablestore::Call call{tablestore::Purpose::Claims, http::now() + claim.timeout};
    const engine::ClaimResult result = m_claims.claim(m_environment, document::contentHash(claim.key), claim.claimId, expiresAt, call);
    m_outputs.decisions->push(engine::Event(engine::ClaimEnded{claim.id, result}));
}

void PlatformDuty::run(const PollRows &poll)
{
    const tablestore::Call call{tablestore::Purpose::Documents, http::now() + s_pollLimit};
    try {
        steering::StoreRows rows;
        if (const auto row = m_documents.row(m_environment, call)) {
            rows.document = {row->generation, row->hash};
        }
        const tablestore::DrainRow drains = m_drains.row(m_environment, call);
        rows.drains = drains.generation;
        rows.drainsBody = drainsToText(drains.drains);
        m_outputs.peers->push(RowsRead{poll.poll, std::move(rows)});
        logChange(true, {});
    } catch (const tablestore::PlatformError &error) {
        m_outputs.peers->push(RowsFailed{poll.poll});
        logChange(false, error.what());
    }
}

void PlatformDuty::logChange(bool reachable, std::string_view reason)
{
    if (reachable == m_reachable) {
        return; // one line for each change, not for each poll of an outage
    }
    m_reachable = reachable;
    if (reachable) {
        log("platform", "The platform answers.");
    } else {
        log("platform", "The platform does not answer: {}", reason);
    }
}

void PlatformDuty::run(const FetchObject &fetch)
{
    ObjectFetched fetched{fetch.fetch, steering::FetchResult::Failed, {}};
    try {
        fetched.bytes = m_documents.bytes(fetch.hash, {tablestore::Purpose::Documents, http::now() + s_fetchLimit});
        fetched.result = steering::FetchResult::Found;
    } catch (const tablestore::MalformedData &error) {
        fetched.result = steering::FetchResult::Absent;
        log("platform", "Document {} is not in the object store as it should be: {}", fetch.hash, error.what());
    } catch (const tablestore::PlatformError &error) {
        log("platform", "Document {} could not be fetched: {}", fetch.hash, error.what());
    }
    m_outputs.peers->push(fetched);
}

void PlatformDuty::run(const ParseDocument &parse)
{
    try {
        auto document = std::make_shared<const document::SteeringDocument>(document::parseDocument(*parse.bytes));
        auto blocks = std::make_shared<const routing::BlockTable>(document->clientBlocks, document->defaultSite);
        m_outputs.peers->push(DocumentParsed{parse.version, std::move(document), std::move(blocks), parse.bytes});
    } catch (const base::Error &error) {
        log("platform", "Document generation {} cannot be read: {}", parse.version.generation.value, error.what());
        m_outputs.peers->push(DocumentRefused{parse.version});
    }
}

void PlatformDuty::run(const PollInstances &)
{
    try {
        m_outputs.peers->tryPush(InstanceList{m_client.instances({tablestore::Purpose::Statistics, http::now() + s_pollLimit})});
    } catch (const tablestore::PlatformError &) {
        return; // the list is one source among several and is read again soon
    }
}

void PlatformDuty::reportBreaker()
{
    m_outputs.reports->tryPush(PlatformStatus{m_client.breakerState()});
}

} // namespace trefoilstile::daemon
