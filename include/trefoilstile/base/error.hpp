// Base of the error types. Each module derives its own type and translates the errors of the modules that it uses.
#pragma once

#include <stdexcept>

namespace trefoilstile::base
{

/// Base of all exceptions that the library throws.
class Error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

} // namespace trefoilstile::base
