// Chooses the instances of a failure domain that follow the tables of the store themselves. The others follow these readers.
//
// All instances choose from the members that they know, without a vote: with equal views they choose the same readers. While views
// differ there are more readers than needed, which costs calls to the store and nothing else.
#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace trefoilstile::feed
{

struct ReaderOptions {
    /// Per failure domain. Two instances may be cut off from the store at the same moment without noticing; the third then still
    /// gets the changes.
    std::size_t readers = 3;
    /// In a failure domain with at most this many instances all are readers: following would save few calls.
    std::size_t smallDomain = 4;
};

/// An instance of the failure domain that may be a reader. It is known by its name, so that it stays a reader when it starts anew.
struct ReaderCandidate {
    std::string name;
    std::string address; ///< peer address

    friend bool operator==(const ReaderCandidate &, const ReaderCandidate &) = default;
};

struct Readers {
    bool self = false; ///< this instance is a reader
    std::size_t rank{}; ///< of this instance among the readers, the same at all instances with equal views; 0 if it is none
    std::size_t count = 1; ///< readers of the failure domain
    std::vector<std::string> others; ///< addresses of the other readers, the one to follow first; followers differ, so that readers share them evenly
};

/// @param candidates instances of the failure domain that run, or are registered while the members are not known yet; with or without
/// this instance
/// @param self name of this instance
Readers chooseReaders(std::span<const ReaderCandidate> candidates, std::string_view self, ReaderOptions options = {});

} // namespace trefoilstile::feed
