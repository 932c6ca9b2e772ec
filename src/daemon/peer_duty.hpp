// Duty of the peer thread: members, and which document and drain list come into effect.
#pragma once

#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "trefoilstile/base/ids.hpp"
#include "trefoilstile/base/random.hpp"
#include "trefoilstile/daemon/messages.hpp"
#include "trefoilstile/daemon/ring.hpp"
#include "trefoilstile/daemon/settings.hpp"
#include "trefoilstile/steering/generation_holder.hpp"
#include "trefoilstile/steering/poller_choice.hpp"

namespace trefoilstile::daemon
{

struct PeerOutputs {
    Ring<DecisionInput> *decisions = nullptr;
    Ring<PlatformInput> *platform = nullptr;
    Ring<ReportInput> *reports = nullptr;
};

class PeerDuty
{
public:
    /// @param callerAddress that other instances and callers are told
    PeerDuty(boost::asio::io_context &context,
        const Settings &settings,
        base::IncarnationId incarnation,
        std::string callerAddress,
        std::uint64_t seed,
        PeerOutputs outputs);

    void start();

    /// Takes one entry of a ring.
    void take(PeerInput input);

private:
    void run(const StoreRows &rows);
    void run(const FetchedDocument &fetched);
    void run(const FetchFailed &failed);
    void run(const InstanceList &list);
    void run(const InEffect &inEffect);
    void tick();
    void publishMembers();
    void reportStatus();

    boost::asio::steady_timer m_timer;
    Settings m_settings;
    base::IncarnationId m_incarnation;
    std::string m_callerAddress;
    base::SplitMix64 m_random;
    PeerOutputs m_outputs;
    steering::GenerationHolder m_holder;
    steering::PollerChoice m_pollerChoice;
    bool m_fetching = false; // one document at a time
    InEffect m_inEffect;
    base::TimePoint m_nextStatus;
};

} // namespace trefoilstile::daemon
