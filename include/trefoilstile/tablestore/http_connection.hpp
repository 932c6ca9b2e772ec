// Synchronous HTTP/1.1 client with one kept-alive connection and bounds on time and size.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "trefoilstile/base/time.hpp"
#include "trefoilstile/tablestore/error.hpp"

namespace trefoilstile::tablestore
{

/// Address of a TCP server.
struct Endpoint {
    std::string address; ///< IP address
    std::uint16_t port{};
};

/// Endpoint read from `IP:port` (IPv6: `[IP]:port`), or nothing. Port 0 is refused.
std::optional<Endpoint> parseEndpoint(std::string_view text);

/// Text for use in a path or query: everything but unreserved characters as `%XX`.
std::string percentEncoded(std::string_view text);

struct HttpOptions {
    base::Duration connectTimeout = std::chrono::milliseconds(500); ///< 14 times the longest round trip between regions
    base::Duration readTimeout = std::chrono::seconds(2); ///< without any byte of the response
    base::Duration totalTimeout = std::chrono::seconds(10); ///< from the call to the last byte: 64 MiB at 54 Mbit/s
    std::uint64_t maximumResponseBody = 64U << 20U; ///< bytes; a document of the greatest accepted size
    /// Older idle connections are not used again: servers close idle connections, and a write that meets such a close
    /// has no known outcome.
    base::Duration maximumIdle = std::chrono::seconds(5);
};

struct HttpRequest {
    std::string_view method;
    std::string target; ///< path and query
    std::vector<std::pair<std::string, std::string>> headers;
    std::string_view body;
    /// The request may be sent a second time if the connection breaks before the response is complete.
    bool repeatable = false;
};

struct HttpResponse {
    unsigned status{};
    std::string body;
};

/// No response. Tells whether the server can have seen the request.
class HttpError : public PlatformError
{
public:
    HttpError(const std::string &message, bool nothingSent, bool timedOut);

    /// No byte of the request left this process.
    bool nothingSent() const;

    /// A time limit passed, of the options or of the call.
    bool timedOut() const;

private:
    bool m_nothingSent;
    bool m_timedOut;
};

/// Not for use by several threads at once. Connects when needed. A connection is kept only after a complete response.
class HttpConnection
{
public:
    explicit HttpConnection(Endpoint endpoint, HttpOptions options = {});
    ~HttpConnection();
    HttpConnection(const HttpConnection &) = delete;
    HttpConnection &operator=(const HttpConnection &) = delete;

    /// Makes one request and waits for its response, at most `limit`.
    /// @throws HttpError
    HttpResponse exchange(const HttpRequest &request, base::Duration limit = base::Duration::max());

private:
    class Implementation;

    std::unique_ptr<Implementation> m_implementation;
};

} // namespace trefoilstile::tablestore
