// Reasons for which an upstream must not get requests, in one set for each upstream.
#pragma once

#include <cstdint>

namespace trefoilstile::ingress
{

enum class OutOfServiceReason : std::uint8_t {
    Draining, ///< discovery reports it as draining
    Leaving, ///< it announced in a response, to this instance or another, that it leaves; lasts until it starts anew
    Evacuated, ///< its failure domain is evacuated
    Removed, ///< its entry was removed from discovery
    Superseded, ///< another upstream has registered the same address since
};

/// Set of the reasons that apply. An upstream may get requests only while the set is empty.
class OutOfService
{
public:
    /// Adds or removes a reason; returns whether the set changed.
    bool set(OutOfServiceReason reason, bool applies = true)
    {
        const unsigned before = m_reasons;
        m_reasons = applies ? m_reasons | bit(reason) : m_reasons & ~bit(reason);
        return m_reasons != before;
    }

    bool has(OutOfServiceReason reason) const
    {
        return (m_reasons & bit(reason)) != 0;
    }

    bool any() const
    {
        return m_reasons != 0;
    }

private:
    static unsigned bit(OutOfServiceReason reason)
    {
        return 1U << static_cast<unsigned>(reason);
    }

    unsigned m_reasons{};
};

} // namespace trefoilstile::ingress
