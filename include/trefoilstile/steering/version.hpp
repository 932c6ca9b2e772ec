// Versions of the document and the drain list that nodes announce to each other.
#pragma once

#include <string>

#include "trefoilstile/base/ids.hpp"

namespace trefoilstile::steering
{

/// Identifies a steering document by its generation and the hash of its content.
struct DocumentVersion {
    base::Generation generation; ///< 0: none
    std::string hash; ///< SHA-256 in hexadecimal; empty if there is none

    friend bool operator==(const DocumentVersion &, const DocumentVersion &) = default;
};

/// Versions in effect at a node. Every message that carries gossip contains the announcement of its sender.
struct Announcement {
    DocumentVersion document;
    base::Generation drains; ///< generation of the drain list; 0: none

    friend bool operator==(const Announcement &, const Announcement &) = default;
};

} // namespace trefoilstile::steering
