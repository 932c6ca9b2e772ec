// Errors of the http module.
#pragma once

#include "trefoilstile/base/error.hpp"

namespace trefoilstile::http
{

/// A server or client cannot be set up: malformed address, or the address cannot be bound.
class Error : public base::Error
{
public:
    using base::Error::Error;
};

} // namespace trefoilstile::http
