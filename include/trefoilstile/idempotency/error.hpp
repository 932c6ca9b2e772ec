// Errors of the idempotency module.
#pragma once

#include "trefoilstile/base/error.hpp"

namespace trefoilstile::idempotency
{

/// Wrong use of the key table: a transition that the record's state forbids, or invalid options. It is thrown before
/// anything changes, so a request whose transition was refused has neither been sent nor been declared not run.
class Error : public base::Error
{
public:
    using base::Error::Error;
};

} // namespace trefoilstile::idempotency
