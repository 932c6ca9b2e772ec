// Lines of the log about members.

#include "trefoilstile/proxy/member_log.hpp"

#include <string_view>

namespace trefoilstile::proxy
{

namespace
{

std::string_view stateName(membership::MemberState state)
{
    switch (state) {
    case membership::MemberState::Alive:
        return "alive";
    case membership::MemberState::Suspect:
        return "suspect";
    case membership::MemberState::Dead:
        break;
    }
    return "dead";
}

} // namespace

void MemberLog::observe(const membership::MemberTable &members, EventLog &log, base::TimePoint now)
{
    for (const auto &[incarnation, member] : members.entries()) {
        Logged &logged = m_logged[incarnation];
        const Logged current{member.status.state, member.isLeaving()};
        if (logged != current) {
            logged = current;
            LogLine line("member");
            line.text("name", member.info.name)
                .text("failure_domain", member.info.failureDomain)
                .text("state", stateName(current.state))
                .flag("leaving", current.leaving);
            log.write(line, now);
        }
    }
    std::erase_if(m_logged, [&members](const auto &entry) {
        return members.find(entry.first) == nullptr;
    });
}

} // namespace trefoilstile::proxy
