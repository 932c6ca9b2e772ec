// Log lines about changes of the known state of other instances.
#pragma once

#include <map>

#include "trefoilstile/base/ids.hpp"
#include "trefoilstile/membership/member_table.hpp"
#include "trefoilstile/proxy/event_log.hpp"

namespace trefoilstile::proxy
{

class MemberLog
{
public:
    /// Logs each member whose state differs from the one in the last line about it.
    void observe(const membership::MemberTable &members, EventLog &log, base::TimePoint now);

private:
    struct Logged {
        membership::MemberState state = membership::MemberState::Dead;
        bool leaving = false;

        friend bool operator==(const Logged &, const Logged &) = default;
    };

    std::map<base::IncarnationId, Logged> m_logged; ///< state in the last line, of members that are still known
};

} // namespace trefoilstile::proxy
