// Actor of the caller I/O thread: requests and lookups of callers, attempts at upstreams, load polling.
#pragma once

#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "grant_tracker.hpp"
#include "trefoilstile/base/random.hpp"
#include "trefoilstile/daemon/messages.hpp"
#include "trefoilstile/daemon/ring.hpp"
#include "trefoilstile/daemon/settings.hpp"
#include "trefoilstile/http/caller_server.hpp"
#include "trefoilstile/http/load_poller.hpp"
#include "trefoilstile/http/upstream_client.hpp"
#include "trefoilstile/shift/shift_budget.hpp"

namespace trefoilstile::daemon
{

/// Maximum number of held requests; each needs at most `s_entriesPerRequest` unread entries in the ring to the decision thread.
inline constexpr std::size_t s_maximumRequests = 2048;

/// Events that one request can have unread: its arrival, the end of the running attempt and the disconnect.
inline constexpr std::size_t s_entriesPerRequest = 3;

class CallerActor
{
public:
    CallerActor(
        boost::asio::io_context &context, const Settings &settings, idempotency::KeyIssuer keyIssuer, std::uint64_t seed, Ring<DecisionInput> &toDecisions);

    /// `IP:port` that callers use.
    std::string address() const;

    /// Handles one message from the decision thread.
    void handle(CallerInput input);

private:
    void onEvent(engine::Event event);
    http::LookupResponse lookup(const http::LookupRequest &request);
    void replaceLookupTable(LookupTable table);
    base::Duration paceLink(std::string_view region, std::uint64_t bytes, base::PriorityClass priorityClass);
    void reportGrants();
    void reportWork();

    boost::asio::steady_timer m_workTimer;
    boost::asio::steady_timer m_grantTimer;
    std::string m_region;
    idempotency::KeyIssuer m_keyIssuer;
    base::SplitMix64 m_random;
    Ring<DecisionInput> &m_toDecisions;
    std::shared_ptr<const routing::EntryTable> m_entries; // null until a document is in effect
    GrantTracker m_grants;
    shift::ShiftBudget m_linkBytes; // limits bytes only; the decision thread limits requests
    http::UpstreamClient m_upstreams;
    http::CallerServer m_server;
    http::LoadPoller m_loadPoller;
};

} // namespace trefoilstile::daemon
