// One row of a table of the platform's store.
#pragma once

#include <string>

#include "trefoilstile/feed/position.hpp"

namespace trefoilstile::feed
{

struct Row {
    std::string key;
    std::string value;
    Position position; ///< of the last change
    bool removed = false; ///< the row has been deleted

    friend bool operator==(const Row &, const Row &) = default;
};

} // namespace trefoilstile::feed
