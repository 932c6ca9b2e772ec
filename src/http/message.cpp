#include "trefoilstile/http/message.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstddef>

#include "trefoilstile/http/query.hpp"

namespace trefoilstile::http
{

namespace
{

char lower(char character)
{
    return character >= 'A' && character <= 'Z' ? static_cast<char>(character - 'A' + 'a') : character;
}

std::string_view trimmed(std::string_view text)
{
    const auto first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

bool isConnectionField(std::string_view name)
{
    static constexpr std::array<std::string_view, 11> names{"connection",
        "keep-alive",
        "proxy-connection",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect"};
    return std::any_of(names.begin(), names.end(), [&](std::string_view other) {
        return equalsIgnoreCase(name, other);
    });
}

int hexDigit(char character)
{
    if (character >= '0' && character <= '9') {
        return character - '0';
    }
    const char letter = lower(character);
    return letter >= 'a' && letter <= 'f' ? letter - 'a' + 10 : -1;
}

std::optional<std::string> percentDecoded(std::string_view text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] != '%') {
            decoded += text[i] == '+' ? ' ' : text[i];
            continue;
        }
        if (i + 2 >= text.size() || hexDigit(text[i + 1]) < 0 || hexDigit(text[i + 2]) < 0) {
            return std::nullopt;
        }
        decoded += static_cast<char>(hexDigit(text[i + 1]) * 16 + hexDigit(text[i + 2]));
        i += 2;
    }
    return decoded;
}

} // namespace

bool equalsIgnoreCase(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](char a, char b) {
        return lower(a) == lower(b);
    });
}

std::string lowerCase(std::string_view text)
{
    std::string result(text);
    std::transform(result.begin(), result.end(), result.begin(), lower);
    return result;
}

const std::string *findHeader(const Headers &headers, std::string_view name)
{
    const auto found = std::find_if(headers.begin(), headers.end(), [&](const Header &header) {
        return equalsIgnoreCase(header.name, name);
    });
    return found == headers.end() ? nullptr : &found->value;
}

std::size_t countHeader(const Headers &headers, std::string_view name)
{
    return static_cast<std::size_t>(std::count_if(headers.begin(), headers.end(), [&](const Header &header) {
        return equalsIgnoreCase(header.name, name);
    }));
}

std::optional<std::uint64_t> parseNumber(std::string_view text)
{
    if (text.empty() || text.find_first_not_of("0123456789") != std::string_view::npos) {
        return std::nullopt;
    }
    std::uint64_t number{};
    const auto result = std::from_chars(text.data(), text.data() + text.size(), number);
    return result.ec == std::errc() ? std::optional(number) : std::nullopt;
}

std::optional<base::Duration> parseRetryAfter(std::string_view value)
{
    constexpr double longest = 1e7; // a hundred days; keeps the conversion within the range of a duration
    const std::string_view text = trimmed(value);
    const auto dot = std::min(text.find('.'), text.size());
    const std::string_view fraction = text.substr(std::min(dot + 1, text.size()));
    const auto digitsOnly = [](std::string_view digits) {
        return !digits.empty() && digits.find_first_not_of("0123456789") == std::string_view::npos;
    };
    if (!digitsOnly(text.substr(0, dot)) || (dot < text.size() && !digitsOnly(fraction))) {
        return std::nullopt;
    }
    double seconds = longest;
    std::from_chars(text.data(), text.data() + text.size(), seconds, std::chars_format::fixed); // leaves `longest` if it is out of range
    return base::fromSeconds(std::min(seconds, longest));
}

std::optional<std::string_view> bearerToken(std::string_view value)
{
    constexpr std::string_view scheme = "Bearer";
    const std::size_t schemeEnd = value.find(' ');
    if (schemeEnd == std::string_view::npos || !equalsIgnoreCase(value.substr(0, schemeEnd), scheme)) {
        return std::nullopt;
    }
    const std::size_t first = value.find_first_not_of(' ', schemeEnd);
    if (first == std::string_view::npos) {
        return std::nullopt;
    }
    const std::string_view token = value.substr(first, value.find_last_not_of(" \t") + 1 - first);
    const bool single = token.find_first_of(" \t,") == std::string_view::npos;
    return single ? std::optional(token) : std::nullopt;
}

std::optional<std::string> hostWithoutPort(std::string_view value)
{
    std::string_view host = value;
    const auto bracket = value.starts_with('[') ? value.find(']') : 0;
    if (bracket == std::string_view::npos) {
        return std::nullopt;
    }
    if (const auto colon = value.find(':', bracket); colon != std::string_view::npos) {
        const auto port = value.substr(colon + 1);
        if (!port.empty() && !parseNumber(port)) {
            return std::nullopt;
        }
        host = value.substr(0, colon);
    }
    if (host.empty() || host.find_first_of(" \t/?#@\\,") != std::string_view::npos) {
        return std::nullopt;
    }
    return lowerCase(host);
}

std::optional<ContentRange> parseContentRange(std::string_view value)
{
    const auto dash = value.find('-');
    const auto slash = value.find('/');
    if (!value.starts_with("bytes ") || dash == std::string_view::npos || slash == std::string_view::npos || slash < dash) {
        return std::nullopt;
    }
    const auto first = parseNumber(value.substr(6, dash - 6));
    const auto last = parseNumber(value.substr(dash + 1, slash - dash - 1));
    const auto total = parseNumber(value.substr(slash + 1));
    if (!first || !last || !total || *first > *last || *last >= *total) {
        return std::nullopt;
    }
    return ContentRange{*first, *last, *total};
}

bool isStrongETag(std::string_view value)
{
    return value.size() >= 2 && value.front() == '"' && value.find('"', 1) == value.size() - 1;
}

void removeHeader(Headers &headers, std::string_view name)
{
    std::erase_if(headers, [&](const Header &header) {
        return equalsIgnoreCase(header.name, name);
    });
}

void removeHopByHop(Headers &headers)
{
    std::vector<std::string> named;
    for (const Header &header : headers) {
        if (!equalsIgnoreCase(header.name, "connection")) {
            continue;
        }
        std::string_view rest = header.value;
        while (!rest.empty()) {
            const auto comma = std::min(rest.find(','), rest.size());
            named.emplace_back(trimmed(rest.substr(0, comma)));
            rest.remove_prefix(std::min(comma + 1, rest.size()));
        }
    }
    std::erase_if(headers, [&](const Header &header) {
        return isConnectionField(header.name) || std::any_of(named.begin(), named.end(), [&](const std::string &name) {
            return equalsIgnoreCase(name, header.name);
        });
    });
}

void removeOwnFields(Headers &headers)
{
    static constexpr std::string_view prefix = "trefoilstile-";
    std::erase_if(headers, [](const Header &header) {
        return equalsIgnoreCase(std::string_view(header.name).substr(0, prefix.size()), prefix);
    });
}

void appendField(std::string &text, std::string_view name, std::string_view value)
{
    text.append(name).append(": ").append(value).append("\r\n");
}

void appendFields(std::string &text, const Headers &headers)
{
    for (const Header &header : headers) {
        appendField(text, header.name, header.value);
    }
}

std::uint64_t fieldBytes(const Headers &headers)
{
    constexpr std::size_t separators = 4; // ": " and the line end
    std::uint64_t sum = 0;
    for (const Header &header : headers) {
        sum += header.name.size() + header.value.size() + separators;
    }
    return sum;
}

std::optional<std::string> queryParameter(std::string_view query, std::string_view name)
{
    while (!query.empty()) {
        const auto end = std::min(query.find('&'), query.size());
        const std::string_view item = query.substr(0, end);
        const auto equals = std::min(item.find('='), item.size());
        if (percentDecoded(item.substr(0, equals)) == name) {
            return percentDecoded(item.substr(std::min(equals + 1, item.size())));
        }
        query.remove_prefix(std::min(end + 1, query.size()));
    }
    return std::nullopt;
}

} // namespace trefoilstile::http
