// The response of a completed request, kept for repeats with the same key.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

namespace trefoilstile::idempotency
{

/// Response kept so that a repeat with the same key gets the same one.
struct StoredResponse {
    std::uint16_t status{};
    std::string contentType;
    std::string body; ///< bounded by the embedder; see `truncated`
    bool truncated = false; ///< the body was too large to keep; repeats get the status and an empty body

    friend bool operator==(const StoredResponse &, const StoredResponse &) = default;
};

using StoredResponsePointer = std::shared_ptr<const StoredResponse>;

} // namespace trefoilstile::idempotency
