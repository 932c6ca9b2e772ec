// Growth of a held response body.

#include "trefoilstile/proxy/response_body.hpp"

#include <algorithm>

namespace trefoilstile::proxy
{

bool ResponseBody::reserve(std::uint64_t length)
{
    if (length > m_maximumBytes || !m_share.growTo(length)) {
        return false;
    }
    m_text.reserve(length);
    return true;
}

bool ResponseBody::append(std::string_view bytes)
{
    const std::uint64_t needed = m_text.size() + bytes.size();
    if (needed > m_maximumBytes) {
        return false;
    }
    if (needed > m_text.capacity()) {
        // Doubling keeps the number of copies small. If memory is short, only what is needed is taken.
        const std::uint64_t doubled = std::min(std::max(needed, 2 * m_text.size()), m_maximumBytes);
        if (!m_share.growTo(doubled) && !m_share.growTo(needed)) {
            return false;
        }
        m_text.reserve(doubled);
    }
    m_text.append(bytes);
    return true;
}

} // namespace trefoilstile::proxy
