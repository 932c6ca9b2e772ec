// Splits byte strings that are larger than a frame into parts, and reassembles them.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "trefoilstile/base/error.hpp"
#include "trefoilstile/peer/payload.hpp"

namespace trefoilstile::peer
{

/// Maximum size of one part in bytes: a frame less 4 KiB for the envelope and the other fields.
inline constexpr std::size_t s_maximumPartBytes = (1U << 20U) - 4'096U;

/// Inconsistent parts. The receiver must abort the transfer.
class PartError : public base::Error
{
public:
    using base::Error::Error;
};

/// Number of parts for a byte string of the given size; at least 1.
std::uint32_t partCount(std::size_t totalBytes);

/// The part with the given index, which must be below `partCount(whole.size())`.
Part partOf(std::uint64_t transfer, std::string_view whole, std::uint32_t index);

/// Reassembles one transfer. Parts must arrive in order, as a TCP connection delivers them; a repeated part is ignored.
class PartAssembler
{
public:
    /// @param limit maximum size of the whole transfer in bytes
    explicit PartAssembler(std::uint64_t transfer, std::size_t limit)
        : m_transfer(transfer)
        , m_limit(limit)
    {
    }

    /// Adds a part. Returns true if the transfer is complete.
    /// @throws PartError if the part is inconsistent with earlier ones or the transfer exceeds the limit
    bool add(const Part &part);

    /// Number of parts received.
    std::uint32_t received() const
    {
        return m_received;
    }

    /// Returns the reassembled bytes and empties the assembler. Call it only after `add` has returned true.
    std::string take();

private:
    std::uint64_t m_transfer;
    std::size_t m_limit;
    std::optional<std::uint32_t> m_count; ///< from the first part
    std::uint64_t m_totalBytes{};
    std::uint32_t m_received{}; ///< parts 0 to m_received - 1 are in m_bytes
    std::string m_bytes;
};

} // namespace trefoilstile::peer
