// Errors of the shift module.
#pragma once

#include "trefoilstile/base/error.hpp"

namespace trefoilstile::shift
{

/// Misuse of a budget: releasing more than is held, an unknown grant, or options with which the cap is not guaranteed.
class Error : public base::Error
{
public:
    using base::Error::Error;
};

} // namespace trefoilstile::shift
