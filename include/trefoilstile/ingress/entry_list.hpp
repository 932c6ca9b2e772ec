// Which entry instances a caller is told to use.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "trefoilstile/membership/member_table.hpp"

namespace trefoilstile::ingress
{

struct EntryListOptions {
    std::size_t most = 64; ///< addresses in one answer
    /// With fewer instances in the failure domain of the caller, those of its region are named too, so that the loss of one
    /// leaves another.
    std::size_t enough = 2;
};

/// Addresses of the instances for a caller: those of its failure domain, or of its region, or all. Instances that leave or
/// are suspected are left out while others remain.
std::vector<std::string> entryAddresses(
    const membership::MemberTable &members, std::string_view region, std::string_view failureDomain, EntryListOptions options = {});

} // namespace trefoilstile::ingress
