// Sizes of a document that is split into content-addressed sections. The split is a model: the system does not do it yet.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "generated.hpp"

namespace trefoilstile::bench
{

/// Bytes of the parts that a change sends.
struct SectionSizes {
    std::size_t wholeDocument{}; ///< text as it is sent today
    std::size_t head{}; ///< regions, classes, caps, lookup policy, site list
    std::vector<std::size_t> services;
    std::vector<std::size_t> blocks; ///< each thousandth of the blocks in order of address
    std::vector<base::IpBlock> blockStarts; ///< first block of each of `blocks`

    std::size_t sections() const;
    std::size_t sum() const;

    /// One list of all sections: hash in hexadecimal and name, a line each.
    std::size_t flatManifest() const;

    /// The same with 32-byte hashes and without names, which the order gives.
    std::size_t binaryManifest() const;

    /// A change's part of a two-level manifest: the root list and one list of about the square root of all sections.
    std::size_t treeManifest() const;
};

inline constexpr std::size_t s_blockSections = 1'000;

SectionSizes splitDocument(const DocumentSize &size, std::uint64_t seed = s_seed);

/// Block sections touched by changes of that many blocks drawn at random.
std::vector<std::size_t> touchedSections(const SectionSizes &sizes, const DocumentSize &size, std::size_t changed, std::uint64_t seed = s_seed);

} // namespace trefoilstile::bench
