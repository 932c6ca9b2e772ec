// Actor of the reporting thread: metrics and the operator port.
#pragma once

#include <string>

#include <boost/asio/io_context.hpp>

#include "trefoilstile/base/ids.hpp"
#include "trefoilstile/daemon/messages.hpp"
#include "trefoilstile/daemon/settings.hpp"
#include "trefoilstile/http/operator_server.hpp"
#include "trefoilstile/metrics/registry.hpp"

namespace trefoilstile::daemon
{

class ReportingActor
{
public:
    ReportingActor(boost::asio::io_context &context, const Settings &settings, base::IncarnationId incarnation);

    /// `IP:port` of the operator port.
    std::string address() const;

    /// Handles one message from another thread.
    void handle(ReportInput input);

private:
    void record(const LatencySample &sample);
    void record(const CountSample &sample);
    void record(const DecisionStatus &status);
    void record(const PeerStatus &status);
    void record(const PlatformStatus &status);

    http::OperatorResponse ready() const;
    http::OperatorResponse status() const;
    http::OperatorResponse explain(std::string_view query) const;

    Settings m_settings;
    base::IncarnationId m_incarnation;
    metrics::Registry m_registry;
    DecisionStatus m_decisions;
    PeerStatus m_peers;
    PlatformStatus m_platform;
    http::OperatorServer m_server;
};

} // namespace trefoilstile::daemon
