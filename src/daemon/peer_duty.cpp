// Decides what to fetch and what comes into effect.

#include "peer_duty.hpp"

#include <utility>

#include "trefoilstile/daemon/log.hpp"
#include "trefoilstile/http/clock.hpp"

namespace trefoilstile::daemon
{

namespace
{

constexpr base::Duration s_tickPeriod = std::chrono::milliseconds(50);
constexpr base::Duration s_statusPeriod = std::chrono::milliseconds(500);

} // namespace

PeerDuty::PeerDuty(boost::asio::io_context &context,
    const Settings &settings,
    base::IncarnationId incarnation,
    std::string callerAddress,
    std::uint64_t seed,
    PeerOutputs outputs)
    : m_timer(context)
    , m_settings(settings)
    , m_incarnation(incarnation)
    , m_callerAddress(std::move(callerAddress))
    , m_random(seed)
    , m_outputs(outputs)
    , m_pollerChoice(incarnation, settings.failureDomain)
{
}

void PeerDuty::start()
{
    publishMembers();
    tick();
}

void PeerDuty::take(PeerInput input)
{
    std::visit(
        [this](const auto &alternative) {
            run(alternative);
        },
        input);
}

void PeerDuty::run(const StoreRows &rows)
{
    const steering::Verdict verdict = m_holder.compareWithStore(rows.document, rows.requested, http::now());
    if (verdict == steering::Verdict::Newer && !m_fetching) {
        m_fetching = m_outputs.platform->tryPush(FetchDocument{rows.document, nullptr});
    }
    if (m_holder.adoptDrains(rows.drains.generation)) {
        log("peers", "Drain list generation {} comes into effect.", rows.drains.generation.value);
        m_outputs.decisions->push(engine::Event(engine::DrainsUpdated{rows.drains.generation, rows.drains.drains}));
    }
}

void PeerDuty::run(const FetchedDocument &fetched)
{
    m_fetching = false;
    if (m_holder.adoptDocument(fetched.version, http::now())) {
        m_outputs.decisions->push(engine::Event(engine::DocumentUpdated{fetched.version.generation, fetched.document, fetched.blocks}));
    }
}

void PeerDuty::run(const FetchFailed &)
{
    m_fetching = false; // the next poll asks for it again
}

void PeerDuty::run(const InstanceList &list)
{
    for (const platform::ListedInstance &instance : list.instances) {
        if (instance.leaving && instance.kind == platform::ListedInstance::Kind::Upstream) {
            m_outputs.decisions->push(engine::Event(engine::UpstreamListedLeaving{instance.name, instance.incarnation}));
        }
    }
}

void PeerDuty::run(const InEffect &inEffect)
{
    m_inEffect = inEffect;
    reportStatus();
}

void PeerDuty::tick()
{
    const base::TimePoint now = http::now();
    if (m_pollerChoice.due({}, now, m_random)) {
        m_outputs.platform->tryPush(PollRows{});
        m_outputs.platform->tryPush(PollInstances{});
    }
    if (now >= m_nextStatus) {
        reportStatus();
    }
    m_timer.expires_after(s_tickPeriod);
    m_timer.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            tick();
        }
    });
}

void PeerDuty::publishMembers()
{
    engine::EntryMember self{m_settings.name, m_incarnation, m_callerAddress, m_settings.region, m_settings.failureDomain, true, false};
    m_outputs.decisions->push(engine::Event(engine::MembersUpdated{{std::move(self)}}));
}

void PeerDuty::reportStatus()
{
    m_nextStatus = http::now() + s_statusPeriod;
    PeerStatus status;
    status.hash = m_holder.announcement().document.hash;
    status.notReadyReason = "neither the platform nor a peer has given a document";
    status.alarms = m_holder.alarms();
    status.members.push_back({m_settings.name,
        m_settings.region,
        m_settings.failureDomain,
        m_incarnation,
        true,
        m_inEffect.leaving,
        m_inEffect.generation,
        m_inEffect.drainGeneration});
    m_outputs.reports->tryPush(std::move(status));
}

} // namespace trefoilstile::daemon
