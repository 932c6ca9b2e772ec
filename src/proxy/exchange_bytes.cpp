// What a request needed of the link of the machine.

#include "trefoilstile/proxy/exchange.hpp"

namespace trefoilstile::proxy
{

void Exchange::recordBytes(const std::optional<CallerResponse> &response)
{
    if (m_core.settings.measuredCapacity == ingress::CapacityMode::Off) {
        return;
    }
    ingress::RequestBytes bytes;
    bytes.received = m_request.method.size() + m_request.target.size() + http::fieldBytes(m_request.headers) + m_request.body.size();
    for (const auto &attempt : m_attempts) {
        bytes.received += attempt->bytes.received;
        bytes.sent += attempt->bytes.sent;
    }
    if (response && !m_cancelled) {
        bytes.sent += http::fieldBytes(response->headers) + response->body.size();
    }
    m_core.measuredRequests.requestEnded(bytes);
}

} // namespace trefoilstile::proxy
