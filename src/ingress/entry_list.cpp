// Choice of entry instances for a caller.

#include "trefoilstile/ingress/entry_list.hpp"

namespace trefoilstile::ingress
{

std::vector<std::string> entryAddresses(
    const membership::MemberTable &members, std::string_view region, std::string_view failureDomain, EntryListOptions options)
{
    const auto select = [&](auto &&matches) {
        std::vector<std::string> addresses;
        for (const auto &[incarnation, member] : members.entries()) {
            if (member.isAlive() && !member.isLeaving() && matches(member) && addresses.size() < options.most) {
                addresses.push_back(member.info.callerAddress);
            }
        }
        return addresses;
    };
    std::vector<std::string> addresses = select([&](const membership::MemberEntry &member) {
        return member.info.failureDomain == failureDomain;
    });
    if (addresses.size() < options.enough) {
        addresses = select([&](const membership::MemberEntry &member) {
            return member.info.region == region;
        });
    }
    if (addresses.empty()) {
        addresses = select([](const membership::MemberEntry &) {
            return true;
        });
    }
    return addresses;
}

} // namespace trefoilstile::ingress
