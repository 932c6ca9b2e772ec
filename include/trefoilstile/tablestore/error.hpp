// Errors of the platform module. A write conflict is reported as a result, not as an error.
#pragma once

#include "trefoilstile/base/error.hpp"

namespace trefoilstile::tablestore
{

/// Base of the errors of this module.
class PlatformError : public base::Error
{
public:
    using base::Error::Error;
};

/// The platform could not be reached or rejected the request. A write has not taken effect and will not do so later.
class Unavailable : public PlatformError
{
public:
    using PlatformError::PlatformError;
};

/// Not sent, or rejected by the platform, because too many requests were made or the circuit breaker is open.
class Throttled : public Unavailable
{
public:
    using Unavailable::Unavailable;
};

/// The answer to a write was lost. It may have taken effect, and may still do so later.
class OutcomeUnknown : public PlatformError
{
public:
    using PlatformError::PlatformError;
};

/// Data that was read does not have the expected format, or an object's bytes do not match its hash.
class MalformedData : public PlatformError
{
public:
    using PlatformError::PlatformError;
};

} // namespace trefoilstile::tablestore
