// Errors of the idempotency module.
#pragma once

#include "trefoilstile/base/error.hpp"

namespace trefoilstile::idempotency
{

/// Misuse of the key table: a transition that the record's state forbids, or invalid options. It is thrown before any
/// state changes, so the refused transition has neither marked the request as sent nor declared it not run.
class Error : public base::Error
{
public:
    using base::Error::Error;
};

} // namespace trefoilstile::idempotency
