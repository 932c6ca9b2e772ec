// Body of a response that is held until it is complete, within limits on its size and on the memory of all responses.
//
// An upstream may send without end. Its response must then be given up before it takes the memory that other responses need.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "trefoilstile/http/request_reader.hpp"

namespace trefoilstile::proxy
{

/// Maximum size of a response body, far above the largest download; a larger response is not forwarded.
inline constexpr std::uint64_t s_maximumResponseBytes = 16U << 20U;

class ResponseBody
{
public:
    /// @param budget memory for all responses together
    explicit ResponseBody(std::shared_ptr<http::BodyBudget> budget, std::uint64_t maximumBytes = s_maximumResponseBytes)
        : m_share(std::move(budget))
        , m_maximumBytes(maximumBytes)
    {
    }

    /// Takes memory for a body whose length is known. False if it exceeds the maximum or does not fit now; the response must then
    /// be given up.
    bool reserve(std::uint64_t length);

    /// Appends received bytes. False if the body exceeds the maximum or does not fit now; the response must then be given up.
    bool append(std::string_view bytes);

    std::uint64_t size() const
    {
        return m_text.size();
    }

    std::string takeText()
    {
        return std::move(m_text);
    }

    /// The memory that the text holds; to be kept as long as the text.
    http::BodyShare takeShare()
    {
        return std::move(m_share);
    }

private:
    std::string m_text;
    http::BodyShare m_share; ///< covers the capacity of `m_text`
    std::uint64_t m_maximumBytes;
};

} // namespace trefoilstile::proxy
