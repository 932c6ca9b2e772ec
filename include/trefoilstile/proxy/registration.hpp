// Row of an instance in the register of the fleet, which the entry processes keep in the store.
#pragma once

#include <algorithm>
#include <string>

#include "trefoilstile/http/connection.hpp"
#include "trefoilstile/http/error.hpp"

namespace trefoilstile::proxy
{

struct Registration {
    std::string peerAddress; ///< `IP:port`
    std::string failureDomain;

    friend bool operator==(const Registration &, const Registration &) = default;

    /// The two fields, separated by a space.
    std::string text() const
    {
        return peerAddress + ' ' + failureDomain;
    }

    static Registration fromText(const std::string &text)
    {
        const auto space = std::min(text.find(' '), text.size());
        return {text.substr(0, space), text.substr(std::min(space + 1, text.size()))};
    }

    /// False if another writer left a row without a usable address.
    bool valid() const
    {
        try {
            return http::parseEndpoint(peerAddress).port() != 0;
        } catch (const http::Error &) {
            return false; // the caller logs what it ignores
        }
    }
};

} // namespace trefoilstile::proxy
