// Versions of the document and the drain list, as nodes announce them to each other.
#pragma once

#include <string>

#include "trefoilstile/base/ids.hpp"

namespace trefoilstile::steering
{

/// A steering document by its place in the history and its content.
struct DocumentVersion {
    base::Generation generation; ///< 0: none
    std::string hash; ///< SHA-256 in hexadecimal; empty if there is none

    friend bool operator==(const DocumentVersion &, const DocumentVersion &) = default;
};

/// What a node has in effect. Every message that carries gossip holds the announcement of its sender.
struct Announcement {
    DocumentVersion document;
    base::Generation drains; ///< generation of the drain list; 0: none

    friend bool operator==(const Announcement &, const Announcement &) = default;
};

} // namespace trefoilstile::steering
