// One caller's request and the state of its response.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "trefoilstile/base/ids.hpp"
#include "trefoilstile/http/message.hpp"
#include "trefoilstile/http/request_reader.hpp"

namespace trefoilstile::http
{

class CallerSession;

/// Runs on behalf of a request: an attempt at an upstream, or a relay.
class Transfer
{
public:
    virtual ~Transfer() = default;

    /// The caller is gone or another command has taken over. The transfer passes nothing more on; it stops unless it
    /// has to run to its end.
    virtual void abandon() = 0;
};

struct Exchange {
    base::RequestId id;
    Request request;
    BodyShare bodyShare; ///< for `request.body`
    std::shared_ptr<CallerSession> caller; ///< null once the caller is gone
    std::shared_ptr<Transfer> current; ///< the only one that may pass on bytes; null if none

    bool headPassed = false; ///< part of a response has been passed on, so no other response can be
    std::uint64_t delivered{}; ///< body bytes of the response passed on
    std::optional<std::uint64_t> total; ///< length of the whole body, if known
    std::string etag; ///< strong entity tag of the response being passed on; empty if it cannot be resumed
};

} // namespace trefoilstile::http
