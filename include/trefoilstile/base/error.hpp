// Root of the error types. Each module derives its own and translates the errors of the modules below.
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
