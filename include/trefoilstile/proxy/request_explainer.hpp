// Explains to operators where this instance would send a request now, and why, without sending it.
//
// The decision is made on a copy of the placement, so that no count, budget or rotation changes.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "trefoilstile/proxy/entry_core.hpp"

namespace trefoilstile::proxy
{

/// A request to explain.
struct ExplainedRequest {
    std::string host;
    std::string path;
    std::string objectKey; ///< empty: a request without an object
    std::string account; ///< name of an account; empty: none
    std::optional<ingress::KeyDigest> keyDigest; ///< SHA-256 of an API key, in place of the name of an account
    std::optional<base::Duration> timeLeft; ///< the caller's deadline; none: the timeout of the route
};

/// Reads the query `host=H&path=P[&object=O][&account=A|&key_digest=HEX][&deadline_ms=N]`; nothing if it is malformed.
std::optional<ExplainedRequest> parseExplainedRequest(std::string_view query);

/// JSON text: the route, the account, and for each service of the route what would happen and the best candidates.
std::string explainRequest(const EntryCore &core, const ExplainedRequest &request, base::TimePoint now);

} // namespace trefoilstile::proxy
