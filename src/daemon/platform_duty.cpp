// Requests to the platform, each with a deadline of its own.

#include "platform_duty.hpp"

#include <chrono>

#include "trefoilstile/daemon/log.hpp"
#include "trefoilstile/document/parse.hpp"
#include "trefoilstile/http/clock.hpp"

namespace trefoilstile::daemon
{

namespace
{

/// One poll may not hold up the next for long.
constexpr base::Duration s_pollLimit = std::chrono::seconds(1);
constexpr base::Duration s_fetchLimit = std::chrono::seconds(10);

/// Repeats of a caller-generated key are not expected after a day; the row may be removed then.
constexpr std::chrono::hours s_claimLifetime{24};

std::int64_t wallClockMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

platform::PlatformClientOptions clientOptions(const Settings &settings)
{
    platform::PlatformClientOptions options;
    options.endpoint = platform::parseEndpoint(settings.platformAddress).value();
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
    const platform::Call call{platform::Purpose::Claims, http::now() + claim.timeout};
    const engine::ClaimResult result = m_claims.claim(m_environment, document::contentHash(claim.key), claim.claimId, expiresAt, call);
    m_outputs.decisions->push(engine::Event(engine::ClaimEnded{claim.id, result}));
}

void PlatformDuty::run(const PollRows &)
{
    const base::TimePoint requested = http::now();
    const platform::Call call{platform::Purpose::Documents, requested + s_pollLimit};
    try {
        StoreRows rows;
        rows.requested = requested;
        if (const auto row = m_documents.row(m_environment, call)) {
            rows.document = {row->generation, row->hash};
        }
        rows.drains = m_drains.row(m_environment, call);
        m_outputs.peers->tryPush(rows); // the next poll brings the same or newer
    } catch (const platform::PlatformError &error) {
        log("platform", "Reading the rows failed: {}", error.what());
    }
}

void PlatformDuty::run(const FetchDocument &fetch)
{
    try {
        const auto bytes = fetch.bytes
            ? fetch.bytes
            : std::make_shared<const std::string>(m_documents.bytes(fetch.version.hash, {platform::Purpose::Documents, http::now() + s_fetchLimit}));
        auto document = std::make_shared<const document::SteeringDocument>(document::parseDocument(*bytes));
        auto blocks = std::make_shared<const routing::BlockTable>(document->clientBlocks, document->defaultSite);
        m_outputs.peers->push(FetchedDocument{fetch.version, std::move(document), std::move(blocks), bytes});
    } catch (const base::Error &error) {
        log("platform", "Document generation {} could not be taken: {}", fetch.version.generation.value, error.what());
        m_outputs.peers->push(FetchFailed{fetch.version});
    }
}

void PlatformDuty::run(const PollInstances &)
{
    try {
        m_outputs.peers->tryPush(InstanceList{m_client.instances({platform::Purpose::Statistics, http::now() + s_pollLimit})});
    } catch (const platform::PlatformError &) {
        return; // the list is one source among several and is read again soon
    }
}

void PlatformDuty::reportBreaker()
{
    m_outputs.reports->tryPush(PlatformStatus{m_client.breakerState()});
}

} // namespace trefoilstile::daemon
