// Choice of readers by rendezvous hashing.

#include "trefoilstile/feed/readers.hpp"

#include <algorithm>
#include <map>

#include "trefoilstile/base/ids.hpp"
#include "trefoilstile/base/random.hpp"
#include "trefoilstile/steering/rendezvous.hpp"

namespace trefoilstile::feed
{

Readers chooseReaders(std::span<const ReaderCandidate> candidates, std::string_view self, ReaderOptions options)
{
    std::map<base::IncarnationId, std::string> addresses; // by the hash of the name
    for (const ReaderCandidate &candidate : candidates) {
        addresses.emplace(base::IncarnationId{base::stableHash(candidate.name)}, candidate.address);
    }
    const base::IncarnationId own{base::stableHash(self)};
    addresses.emplace(own, std::string());
    std::vector<base::IncarnationId> members;
    for (const auto &[id, address] : addresses) {
        members.push_back(id);
    }
    const std::size_t count = members.size() <= options.smallDomain ? members.size() : options.readers;
    std::vector<base::IncarnationId> chosen = steering::rendezvousChoice(members, "store-reader", count);
    Readers readers;
    readers.count = std::max<std::size_t>(1, chosen.size());
    if (const auto found = std::find(chosen.begin(), chosen.end(), own); found != chosen.end()) {
        readers.self = true;
        readers.rank = static_cast<std::size_t>(found - chosen.begin());
        chosen.erase(found);
    }
    std::sort(chosen.begin(), chosen.end(), [own](base::IncarnationId left, base::IncarnationId right) {
        return base::mixBits(own.value ^ left.value) > base::mixBits(own.value ^ right.value);
    });
    for (const base::IncarnationId reader : chosen) {
        readers.others.push_back(addresses[reader]);
    }
    return readers;
}

} // namespace trefoilstile::feed
