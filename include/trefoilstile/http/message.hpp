// Heads of HTTP messages as plain values, and the rules about header fields. Free of Beast, so that few files pay for it.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "trefoilstile/base/time.hpp"

namespace trefoilstile::http
{

struct Header {
    std::string name;
    std::string value;
};

using Headers = std::vector<Header>;

struct Request {
    std::string method;
    std::string target; ///< origin form, query included
    Headers headers;
    std::string body;
    bool http11 = true;
    bool keepAlive = true; ///< the caller wants the connection kept
};

struct ResponseHead {
    std::uint16_t status{};
    std::string reason;
    Headers headers;
    std::optional<std::uint64_t> contentLength;
};

/// Part of an object that a 206 response carries.
struct ContentRange {
    std::uint64_t first{};
    std::uint64_t last{};
    std::uint64_t total{};
};

bool equalsIgnoreCase(std::string_view left, std::string_view right);
std::string lowerCase(std::string_view text);

/// Value of the first field with that name, or null.
const std::string *findHeader(const Headers &headers, std::string_view name);

std::size_t countHeader(const Headers &headers, std::string_view name);

/// Number of decimal digits only, or nothing; signs, spaces and overflow are malformed.
std::optional<std::uint64_t> parseNumber(std::string_view text);

/// `Retry-After` in seconds, with or without a fraction, at most 1e7 s; nothing for dates and for anything else that is not a
/// decimal number.
std::optional<base::Duration> parseRetryAfter(std::string_view value);

/// Token of a `Bearer` authorization value; nothing for another scheme or without a token.
std::optional<std::string_view> bearerToken(std::string_view value);

/// `Host` value in lower case without its port; nothing if it is malformed.
std::optional<std::string> hostWithoutPort(std::string_view value);

/// `bytes first-last/total`; nothing if it is malformed or the total is unknown.
std::optional<ContentRange> parseContentRange(std::string_view value);

/// True for an entity tag that identifies the exact bytes.
bool isStrongETag(std::string_view value);

/// Removes fields that concern one connection only, the ones that `Connection` names included, and the fields that
/// frame a body; the sender frames it anew.
void removeHopByHop(Headers &headers);

/// Removes fields whose name starts with `Trefoilstile-`: they are agreed between neighbours and are set anew by each.
void removeOwnFields(Headers &headers);

void removeHeader(Headers &headers, std::string_view name);

/// Appends `name: value` and a line end.
void appendField(std::string &text, std::string_view name, std::string_view value);

/// Appends all fields and no empty line.
void appendFields(std::string &text, const Headers &headers);

/// Bytes that `appendFields` appends.
std::uint64_t fieldBytes(const Headers &headers);

} // namespace trefoilstile::http
