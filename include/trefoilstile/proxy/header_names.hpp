// Names of the header fields that the entry process exchanges with callers and upstreams. The defaults apply without a
// platform; a platform adapter replaces them by the names of its platform.
#pragma once

#include <string>

namespace trefoilstile::proxy
{

struct HeaderNames {
    std::string requestId = "Trefoilstile-Request-Id"; ///< identifies one attempt of a caller; echoed by upstreams
    std::string timeLeft = "Trefoilstile-Deadline-Ms"; ///< time for which the sender waits for the response, in milliseconds
    std::string objectKey = "Trefoilstile-Object-Key"; ///< equal for requests for the same object
    std::string expectedUpstream = "Trefoilstile-Expect-Upstream"; ///< id of the only upstream that may execute the request
    std::string upstreamId = "Trefoilstile-Upstream-Id"; ///< id of the upstream that sent the response
    std::string signature = "Trefoilstile-Signature"; ///< proves that an upstream generated the response
    std::string notRun = "Trefoilstile-Not-Run"; ///< present on a response if the upstream has not executed the request
    std::string leaving = "Trefoilstile-Leaving"; ///< `1` in each response of an upstream that leaves and wants no further requests
    std::string credentials = "Authorization"; ///< `Bearer` and the API key of the caller's account; never forwarded to upstreams
    std::string account = "Trefoilstile-Account"; ///< name of the caller's account, set for upstreams by the entry process
    std::string load = "Trefoilstile-Load"; ///< numbers of running requests, queued requests and slots of the upstream, separated by commas; a fourth may state
                                            ///< the speed of its machine in percent
};

} // namespace trefoilstile::proxy
