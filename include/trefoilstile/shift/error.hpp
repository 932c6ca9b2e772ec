// Errors of the shift module.
#pragma once

#include "trefoilstile/base/error.hpp"

namespace trefoilstile::shift
{

/// Wrong use of a budget: more released than held, an unknown grant, or options under which the sums are not safe.
class Error : public base::Error
{
public:
    using base::Error::Error;
};

} // namespace trefoilstile::shift
