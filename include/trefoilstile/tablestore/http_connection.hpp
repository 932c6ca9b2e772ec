// Synchronous HTTP/1.1 client with one persistent connection and limits on time and size.
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

/// Parses `IP:port` (IPv6: `[IP]:port`). Returns nothing if the text is malformed or the port is 0.
std::optional<Endpoint> parseEndpoint(std::string_view text);

/// Percent-encodes text for use in a path or query: all characters except the unreserved ones become `%XX`.
std::string percentEncoded(std::string_view text);

struct HttpOptions {
    base::Duration connectTimeout = std::chrono::milliseconds(500); ///< 14 times the longest round trip between regions
    base::Duration readTimeout = std::chrono::seconds(2); ///< maximum time without receiving a byte of the response
    base::Duration totalTimeout = std::chrono::seconds(10); ///< from the call to the last byte; enough for 64 MiB at 54 Mbit/s
    std::uint64_t maximumResponseBody = 64U << 20U; ///< bytes; the size limit of a document
    /// Connections idle for longer are not reused: servers close idle connections, and the outcome of a write on a
    /// connection that is being closed is unknown.
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

/// No complete response was received. Carries whether the server may have received the request.
class HttpError : public PlatformError
{
public:
    HttpError(const std::string &message, bool nothingSent, bool timedOut);

    /// True if no byte of the request was sent.
    bool nothingSent() const;

    /// True if a time limit of the options or of the call was exceeded.
    bool timedOut() const;

private:
    bool m_nothingSent;
    bool m_timedOut;
};

/// HTTP client of one endpoint; not thread-safe. Connects on demand and keeps the connection only after a complete response.
class HttpConnection
{
public:
    explicit HttpConnection(Endpoint endpoint, HttpOptions options = {});
    ~HttpConnection();
    HttpConnection(const HttpConnection &) = delete;
    HttpConnection &operator=(const HttpConnection &) = delete;

    /// Sends one request and waits for its response, for at most `limit`.
    /// @throws HttpError
    HttpResponse exchange(const HttpRequest &request, base::Duration limit = base::Duration::max());

private:
    class Implementation;

    std::unique_ptr<Implementation> m_implementation;
};

} // namespace trefoilstile::tablestore
