// Duty of the peer thread: members, and which document and drain list come into effect.
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

    /// `IP:port` that peers use.
    std::string address() const;

    /// Sinks of the decision modules.
    void send(membership::Outgoing outgoing);
    void command(steering::Command command);

private:
    /// Spare capacity of a region as its members report it.
    struct RegionCapacity {
        std::uint64_t sequence{}; ///< sum of the members' report numbers
        std::uint32_t spare{};
        base::TimePoint seen; ///< when the sequence changed
    };

    void run(const RowsRead &read);
    void run(const RowsFailed &failed);
    void run(const ObjectFetched &fetched);
    void run(const DocumentParsed &parsed);
    void run(const DocumentRefused &refused);
    void run(const InstanceList &list);
    void run(const InEffect &inEffect);
    void run(const KeysImported &imported);
    void run(const HandOffKeys &handOff);

    void run(const steering::FetchDocument &fetch);
    void run(const steering::FetchDrains &fetch);
    void run(const steering::ReadStore &read);
    void run(const steering::DocumentReady &ready);
    void run(const steering::DrainsReady &ready);

    PeerNetworkHandlers networkHandlers();
    void handOffTo(std::vector<std::string> addresses, std::shared_ptr<const std::vector<idempotency::SealedPart>> parts);
    void takeMessage(base::IncarnationId sender, const membership::Message &message);
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
    HeldVersions m_held;
    InEffect m_inEffect;
    std::uint64_t m_publishedVersion = ~0ULL; // of the member table
    std::unordered_map<std::string, RegionCapacity> m_capacities; // by region
    base::TimePoint m_nextInstances;
    base::TimePoint m_nextStatus;
};

} // namespace trefoilstile::daemon
