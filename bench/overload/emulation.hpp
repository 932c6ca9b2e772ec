// One run of one variant in virtual time: callers, entry instances, upstreams.
//
// Arrivals, work and the speeds of machines depend on the seed only, so all variants get the same ones.
#pragma once

#include <memory>
#include <unordered_map>
#include <vector>

#include "emulated_upstream.hpp"
#include "load.hpp"
#include "outcome.hpp"
#include "trefoilstile/base/random.hpp"
#include "trefoilstile/ingress/placement.hpp"

namespace trefoilstile::bench::overload
{

/// A placement policy of any type.
class Chooser
{
public:
    virtual ~Chooser() = default;
    virtual void advance(const ingress::Configuration &configuration, base::TimePoint now) = 0;
    virtual ingress::PlacementResult choose(const ingress::PlacementRequest &request, const ingress::Configuration &configuration, base::TimePoint now) = 0;
};

class Emulation
{
public:
    Emulation(const Deployment &deployment, const Day &day, const Variant &variant, std::uint64_t seed);

    /// Emulates the time; requests of the first `settle` seconds are not counted by group.
    RunResult run(double length, double settle);

private:
    struct Instance {
        std::size_t domain{};
        std::unique_ptr<ingress::UpstreamTable> table;
        std::unique_ptr<Chooser> chooser;
    };

    struct Machine {
        std::unique_ptr<placement::EmulatedUpstream> upstream;
        base::SplitMix64 random; ///< for its speed
    };

    /// Requests of one kind from the callers of one region.
    struct Stream {
        std::size_t kind{};
        std::size_t region{};
        base::SplitMix64 random;
    };

    struct Request {
        std::size_t kind{};
        std::size_t region{}; ///< of the caller
        std::size_t instance{};
        const ingress::Account *account = nullptr;
        std::size_t accountGroup{}; ///< index of the group in the result; 0 without account
        std::uint64_t object{};
        base::Duration work{}; ///< when cold
        base::TimePoint sentAt;
        base::TimePoint deadline;
        bool impatient = false;
        bool mayHaveRun = false;
        std::size_t refusals{};
        std::vector<const ingress::Upstream *> tried; ///< since the last refusal
    };
    using RequestPointer = std::shared_ptr<Request>;

    // emulation.cpp: the deployment and what happens by time
    void describe();
    void addInstances(const Variant &variant);
    void addUpstreams(std::uint64_t seed);
    void advance();
    void shareLoads();
    void drawSpeed(Machine &machine);
    double rate(const Stream &stream) const;
    double hotSurplus() const;

    // emulation_requests.cpp: the life of a request
    void arriveNext(Stream &stream);
    void arrive(Stream &stream);
    void drawAccount(Request &request, base::SplitMix64 &random) const;
    base::Duration drawWork(const Kind &kind, base::SplitMix64 &random) const;
    void place(const RequestPointer &request);
    void send(const RequestPointer &request, const ingress::PlacementResult &placed);
    void take(
        const RequestPointer &request, const ingress::UpstreamTable::Pointer &upstream, base::Duration took, double load, ingress::AttemptVerdict verdict);
    void refuse(const RequestPointer &request, base::Duration retryAfter, Refusal cause);
    void finish(const Request &request, Outcome outcome);
    /// Calls the function with each group of the result that the request belongs to; none for requests that are not counted.
    template<typename Apply>
    void forGroups(const Request &request, Apply apply)
    {
        if (request.sentAt < m_countFrom) {
            return;
        }
        apply(m_result.groups[0]);
        apply(m_result.groups[1 + request.kind]);
        if (request.accountGroup != 0) {
            apply(m_result.groups[request.accountGroup]);
        }
        if (m_conductGroups != 0) {
            apply(m_result.groups[m_conductGroups + (request.impatient ? 1 : 0)]);
        }
    }

    double seconds() const
    {
        return base::toSeconds(m_clock.now() - m_start);
    }

    const Deployment &m_deployment;
    const Day &m_day;
    bool m_speedReported; ///< by the upstreams, of their machine
    base::SplitMix64 m_random; ///< for draws that depend on the variant's decisions
    placement::VirtualClock m_clock;
    base::TimePoint m_start;
    base::TimePoint m_end;
    base::TimePoint m_countFrom;
    base::TimePoint m_nextReport;
    ingress::Configuration m_configuration;
    std::vector<double> m_accountShares; ///< cumulative
    std::vector<Instance> m_instances;
    std::array<std::vector<std::size_t>, s_regions> m_instancesOfRegion;
    std::unordered_map<std::uint64_t, Machine> m_machines; ///< by `Upstream::hash`
    std::vector<Stream> m_streams;
    std::size_t m_conductGroups{}; ///< index of the group of patient callers, before that of impatient ones; 0 without them
    RunResult m_result;
};

} // namespace trefoilstile::bench::overload
