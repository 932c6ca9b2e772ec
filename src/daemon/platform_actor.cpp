// Sends requests to the platform, each with its own deadline, and parses documents.

#include "platform_actor.hpp"

#include <chrono>

#include "drains_text.hpp"
#include "trefoilstile/daemon/log.hpp"
#include "trefoilstile/document/parse.hpp"
#include "trefoilstile/http/clock.hpp"

namespace trefoilstile::daemon
{

namespace
{

/// Bounds the delay that one poll causes to the next.
constexpr base::Duration s_pollLimit = std::chrono::seconds(1);

/// Their sum is below the poll limit, so that an unresponsive platform counts as a failure and opens the circuit breaker:
/// a request that ends by its own deadline is not counted as a platform failure. Connecting takes 70 ms between the most distant regions.
constexpr base::Duration s_connectTimeout = std::chrono::milliseconds(250);
constexpr base::Duration s_readTimeout = std::chrono::milliseconds(700);
constexpr base::Duration s_fetchLimit = std::chrono::seconds(10);

/// Retries with a caller-generated key are not expected after 24 hours; its row may then be removed.
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

PlatformActor::PlatformActor(const Settings &settings, std::uint64_t seed, PlatformOutputs outputs)
    : m_environment(settings.environment)
    , m_client(clientOptions(settings), http::now, seed)
    , m_documents(m_client)
    , m_drains(m_client)
    , m_claims(m_client)
    , m_outputs(outputs)
{
}

void PlatformActor::handle(PlatformInput input)
{
    std::visit(
        [this](const auto &alternative) {
            on(alternative);
        },
        input);
    reportBreaker();
}

void PlatformActor::on(const engine::ClaimKey &claim)
{
    const std::int64_t expiresAt = wallClockMs() + std::chrono::duration_cast<std::chrono::milliseconds>(s_claimLifetime).count();
    const tablestore::Call call{tablestore::Purpose::Claims, http::now() + claim.timeout};
    const engine::ClaimResult result = m_claims.claim(m_environment, document::contentHash(claim.key), claim.claimId, expiresAt, call);
    m_outputs.decisions->push(engine::Event(engine::ClaimEnded{claim.id, result}));
}

void PlatformActor::on(const PollRows &poll)
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

void PlatformActor::logChange(bool reachable, std::string_view reason)
{
    if (reachable == m_reachable) {
        return; // logs state changes only, not every failed poll during an outage
    }
    m_reachable = reachable;
    if (reachable) {
        log("platform", "The platform answers.");
    } else {
        log("platform", "The platform does not answer: {}", reason);
    }
}

void PlatformActor::on(const FetchObject &fetch)
{
    ObjectFetched fetched{fetch.fetch, steering::FetchResult::Failed, {}};
    try {
        fetched.bytes = m_documents.bytes(fetch.hash, {tablestore::Purpose::Documents, http::now() + s_fetchLimit});
        fetched.result = steering::FetchResult::Found;
    } catch (const tablestore::MalformedData &error) {
        fetched.result = steering::FetchResult::Absent;
        log("platform", "Document {} is missing from the object store or invalid: {}", fetch.hash, error.what());
    } catch (const tablestore::PlatformError &error) {
        log("platform", "Document {} could not be fetched: {}", fetch.hash, error.what());
    }
    m_outputs.peers->push(fetched);
}

void PlatformActor::on(const ParseDocument &parse)
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

void PlatformActor::on(const PollInstances &)
{
    try {
        m_outputs.peers->tryPush(InstanceList{m_client.instances({tablestore::Purpose::Statistics, http::now() + s_pollLimit})});
    } catch (const tablestore::PlatformError &) {
        return; // the list is one of several sources and is polled again after a few seconds
    }
}

void PlatformActor::reportBreaker()
{
    m_outputs.reports->tryPush(PlatformStatus{m_client.breakerState()});
}

} // namespace trefoilstile::daemon
