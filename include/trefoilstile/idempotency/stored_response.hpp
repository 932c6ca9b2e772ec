// Response of a completed request, stored for repeats with the same key.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

namespace trefoilstile::idempotency
{

/// Stored response that a repeat with the same key receives.
struct StoredResponse {
    std::uint16_t status{};
    std::string contentType;
    std::string body; ///< size bounded by the embedder; empty if `truncated`
    bool truncated = false; ///< the body was too large to store; repeats get the status and an empty body

    friend bool operator==(const StoredResponse &, const StoredResponse &) = default;
};

using StoredResponsePointer = std::shared_ptr<const StoredResponse>;

} // namespace trefoilstile::idempotency
