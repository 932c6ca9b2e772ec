// Actor of the peer thread: tracks members and selects the document and drain list to apply.
#pragma once

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "trefoilstile/base/ids.hpp"
#include "trefoilstile/base/random.hpp"
#include "trefoilstile/daemon/messages.hpp"
#include "trefoilstile/daemon/peer_network.hpp"
#include "trefoilstile/daemon/ring.hpp"
#include "trefoilstile/daemon/settings.hpp"
#include "trefoilstile/membership/failure_detector.hpp"
#include "trefoilstile/steering/dissemination.hpp"

namespace trefoilstile::daemon
{

struct PeerOutputs {
    Ring<DecisionInput> *decisions = nullptr;
    Ring<PlatformInput> *platform = nullptr;
    Ring<ReportInput> *reports = nullptr;
};

class PeerActor
{
public:
    /// @param callerAddress announced to other instances, which return it in lookup responses
    PeerActor(boost::asio::io_context &context,
        const Settings &settings,
        base::IncarnationId incarnation,
        std::string callerAddress,
        std::uint64_t seed,
        PeerOutputs outputs);

    void start();

    /// Handles one message from another thread.
    void handle(PeerInput input);

    /// `IP:port` that peers use.
    std::string address() const;

    /// Called by the failure detector and by the dissemination with their output.
    void send(membership::Outgoing outgoing);
    void command(steering::Command command);

private:
    /// Spare capacity of a region as reported by its members, requests/s.
    struct RegionCapacity {
        std::uint64_t sequence{}; ///< sum of the members' report numbers
        std::uint32_t spare{};
        base::TimePoint lastChange; ///< when the sequence changed
    };

    void on(const RowsRead &read);
    void on(const RowsFailed &failed);
    void on(const ObjectFetched &fetched);
    void on(const DocumentParsed &parsed);
    void on(const DocumentRefused &refused);
    void on(const InstanceList &list);
    void on(const EffectiveState &state);
    void on(const KeysImported &imported);
    void on(const HandOffKeys &handOff);

    void execute(const steering::FetchDocument &fetch);
    void execute(const steering::FetchDrains &fetch);
    void execute(const steering::ReadStore &read);
    void execute(const steering::DocumentReady &ready);
    void execute(const steering::DrainsReady &ready);

    PeerNetworkHandlers networkHandlers();
    void handOffTo(std::vector<std::string> addresses, std::shared_ptr<const std::vector<idempotency::SealedPart>> parts);
    void handleMessage(base::IncarnationId sender, const membership::Message &message);
    void tick();
    void pollInstances(base::TimePoint now);
    void publishMembers();
    void publishCapacity(base::TimePoint now);
    void reportStatus();

    boost::asio::steady_timer m_timer;
    Settings m_settings;
    base::IncarnationId m_incarnation;
    base::SplitMix64 m_random;
    PeerOutputs m_outputs;
    PeerNetwork m_network;
    membership::FailureDetector m_detector;
    steering::Dissemination m_dissemination;
    ServedVersions m_served;
    EffectiveState m_effectiveState;
    std::uint64_t m_publishedVersion = ~0ULL; // of the member table
    std::unordered_map<std::string, RegionCapacity> m_capacities; // by region
    base::TimePoint m_nextInstances;
    base::TimePoint m_nextStatus;
};

} // namespace trefoilstile::daemon
