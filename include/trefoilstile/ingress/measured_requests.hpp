// Request capacity of an entry instance, from what its requests were measured to need.
//
// The constants of instance_capacity.hpp suit the mean of all deployments. An instance whose requests are larger or need more
// processor time would otherwise get more callers than its machine can serve. docs/design/measured-capacity.md describes the
// alternatives.
#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

#include "trefoilstile/base/time.hpp"
#include "trefoilstile/ingress/instance_capacity.hpp"

namespace trefoilstile::ingress
{

/// Instances whose capacity is measured.
enum class CapacityMode : std::uint8_t {
    Off,
    On,
    Auto, ///< those whose configuration has accounts or whose upstreams report their speed
};

enum class LimitingResource : std::uint8_t {
    Processor,
    LinkIn,
    LinkOut,
    Memory, ///< the budgets for bodies
    Descriptors,
};

inline constexpr std::array s_resources{
    LimitingResource::Processor, LimitingResource::LinkIn, LimitingResource::LinkOut, LimitingResource::Memory, LimitingResource::Descriptors};

/// Name of the resource in metrics.
std::string_view resourceName(LimitingResource resource);

struct MeasuredRequestsOptions {
    base::Duration timeConstant = std::chrono::seconds(10); ///< of the moving averages
    std::uint64_t minimumRequests = 200; ///< the constants are used until so many have been measured
    base::Duration idleLimit = std::chrono::seconds(30); ///< the constants are used after this time without requests
    double maximumFactor = 4; ///< by which the capacity of a resource may differ from that of the constants
    double changePerSecond = 0.1; ///< maximum change of the capacity, as a fraction of it
    /// Mean time for which a request may wait for others on one direction of the link: half of the strictest latency objective of the
    /// known deployments (200 ms).
    base::Duration linkWait = std::chrono::milliseconds(100);
    /// Processor use of an instance without requests is taken into account up to this fraction of a processor, the bound on all control
    /// work of an instance.
    double maximumControlProcessors = 0.012;
    double usableFraction = 0.75; ///< of memory and descriptors in the mean; the rest is for variation, beyond the limit requests are refused
    double idleDescriptors = 0.25; ///< fraction of the descriptors that idle connections may use without an effect on the capacity
};

/// Bytes that one request and its response moved over the link of the machine, towards the caller and the upstreams together.
struct RequestBytes {
    std::uint64_t received{};
    std::uint64_t sent{};
};

/// State of the process at one time.
struct ResourceUse {
    std::optional<base::Duration> processorTime; ///< used since the start of the process; empty if it is not known
    double memoryFraction{}; ///< part of the body budgets that is held
    double descriptorFraction{}; ///< part of the descriptors that is in use
    bool idle = false; ///< no request is being received or served
};

class MeasuredRequests
{
public:
    explicit MeasuredRequests(InstanceResources resources, MeasuredRequestsOptions options = {});

    /// Records a request that has been answered or given up.
    void requestEnded(RequestBytes bytes);

    /// Updates the averages and the capacity. Must be called a few times per second.
    /// @param inEffect the measured capacity is used; otherwise the capacity returns to that of the constants
    void advance(const ResourceUse &use, bool inEffect, base::TimePoint now);

    /// Requests/s at which the first resource is exhausted.
    double capacity() const
    {
        return m_capacity;
    }

    /// The resource that is exhausted first.
    LimitingResource limitingResource() const
    {
        return m_limiting;
    }

    /// Bytes of all requests since the start.
    const RequestBytes &totalBytes() const
    {
        return m_totalBytes;
    }

    /// True if measured values are used and not the constants.
    bool measured() const
    {
        return m_measured;
    }

private:
    /// Bytes in one direction of the link.
    struct Direction {
        explicit Direction(base::Duration timeConstant)
            : bytes(timeConstant)
            , squares(timeConstant)
        {
        }

        MovingRate bytes;
        MovingRate squares; ///< of the bytes of each request
    };

    struct Limit {
        double capacity{};
        LimitingResource resource{};
    };

    void advanceProcessor(const ResourceUse &use, base::Duration elapsed);
    Limit constantLimit() const;
    Limit measuredLimit() const;
    double measuredProcessor(double rate) const;
    /// Processors that control work uses.
    double controlProcessors() const;
    double measuredLink(const Direction &direction, double rate) const;
    /// Capacity of a resource that is held for a time, from the mean use that `rate` requests/s cause.
    double measuredUse(const MovingRate &use, double usable, double rate) const;
    /// Bounds a measured capacity by the constant one. A value that is not a number is replaced by the constant.
    double bounded(double measured, double constant) const;

    InstanceResources m_resources;
    MeasuredRequestsOptions m_options;
    MovingRate m_requests;
    Direction m_received;
    Direction m_sent;
    MovingRate m_processor; ///< processor time (s) beyond that of control work
    MovingRate m_control; ///< processor time (s) while no request is in service, over `m_idleClock`
    MovingRate m_memory; ///< fraction in use
    MovingRate m_descriptors; ///< fraction in use beyond `idleDescriptors`
    base::TimePoint m_idleClock; ///< advances only while no request is in service
    std::optional<base::Duration> m_processorTime; ///< at the last update
    bool m_processorKnown = false;
    bool m_wasIdle = false; ///< at the last update
    RequestBytes m_totalBytes;
    std::uint64_t m_ended{}; ///< requests since the last update
    std::uint64_t m_sample{}; ///< requests since the last time without any
    std::optional<base::TimePoint> m_advancedAt;
    base::TimePoint m_lastRequestAt;
    double m_capacity;
    LimitingResource m_limiting;
    bool m_measured = false;
};

} // namespace trefoilstile::ingress
