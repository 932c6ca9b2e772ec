// Byte strings that are larger than a frame: cut into parts and put together again.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "trefoilstile/base/error.hpp"
#include "trefoilstile/peer/payload.hpp"

namespace trefoilstile::peer
{

/// Most bytes of one part: a frame less 4 KiB for the envelope and the other fields.
inline constexpr std::size_t s_maximumPartBytes = (1U << 20U) - 4'096U;

/// Parts that do not belong together. The transfer is to be given up.
class PartError : public base::Error
{
public:
    using base::Error::Error;
};

/// Number of parts that a byte string takes; at least 1.
std::uint32_t partCount(std::size_t totalBytes);

/// The part with the given index, which must be below `partCount(whole.size())`.
Part partOf(std::uint64_t transfer, std::string_view whole, std::uint32_t index);

/// Puts one transfer together. Parts must come in order, as a TCP connection delivers them; a repeated part is ignored.
class PartAssembler
{
public:
    /// `limit` is the most bytes that the whole may have.
    explicit PartAssembler(std::uint64_t transfer, std::size_t limit)
        : m_transfer(transfer)
        , m_limit(limit)
    {
    }

    /// Adds a part. Returns whether the whole is complete.
    /// @throws PartError if the part contradicts earlier ones or the limit.
    bool add(const Part &part);

    /// Parts received so far.
    std::uint32_t received() const
    {
        return m_received;
    }

    /// The whole, once `add` has returned true; the assembler is empty afterwards.
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
