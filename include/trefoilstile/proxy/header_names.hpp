// Names of the header fields that the entry process exchanges with callers and upstreams. The defaults are the product's
// own; an adapter to a platform gives the names that are used there.
#pragma once

#include <string>

namespace trefoilstile::proxy
{

struct HeaderNames {
    std::string requestId = "Trefoilstile-Request-Id"; ///< of one attempt of a caller; echoed by upstreams
    std::string timeLeft = "Trefoilstile-Deadline-Ms"; ///< how long the sender waits, in milliseconds
    std::string objectKey = "Trefoilstile-Object-Key"; ///< the same for requests about the same object
    std::string expectedUpstream = "Trefoilstile-Expect-Upstream"; ///< id of the only upstream that may run the request
    std::string upstreamId = "Trefoilstile-Upstream-Id"; ///< id of the upstream that responds
    std::string signature = "Trefoilstile-Signature"; ///< proves that a response is an upstream's
    std::string notRun = "Trefoilstile-Not-Run"; ///< present on a response: the upstream has not run the request
    std::string load = "Trefoilstile-Load"; ///< running, waiting and slots of the upstream, separated by commas
};

} // namespace trefoilstile::proxy
