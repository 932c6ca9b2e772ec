// One row of a table of the platform's store.
#pragma once

#include <cstdint>
#include <string>

namespace trefoilstile::feed
{

struct Row {
    std::string key;
    std::string value;
    std::uint64_t version{}; ///< of the last change; the versions of a store only increase
    bool removed = false; ///< the row has been deleted

    friend bool operator==(const Row &, const Row &) = default;
};

} // namespace trefoilstile::feed
