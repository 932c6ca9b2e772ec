// The commands of `trefoilctl`, over a store and operator ports that are passed in.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "trefoilstile/ctl/effect.hpp"
#include "trefoilstile/ctl/node_status.hpp"
#include "trefoilstile/ctl/report.hpp"
#include "trefoilstile/tablestore/drain_store.hpp"
#include "trefoilstile/tablestore/store.hpp"

namespace trefoilstile::ctl
{

/// Environment in which every failure domain of the document has entry instances of its own.
inline constexpr std::string_view s_production = "production";

/// What the commands work with.
struct Context {
    tablestore::Store &store;
    OperatorPorts &ports;
    Pacer &pacer;
    std::function<std::string()> newSubmissionId; ///< a new one on each call
    std::function<std::string()> wallClock; ///< RFC 3339
    base::Duration wait{}; ///< limit for settling lost answers and for coming into effect
    bool ignoreEmptyDomains = false; ///< failure domains without any known instance do not hold up a change of production
};

/// Checks a document; lists every fault by path and line.
Report validate(std::string_view bytes, std::string_view fileName);

/// Checks and submits a document and waits until it is in effect.
Report apply(Context &context, std::string_view environment, std::string_view bytes, std::string_view fileName);

/// Submits the bytes in effect in one environment to another one. Refused if they do not match their hash or do not
/// parse, or if `expectedHash` is given and differs.
Report promote(Context &context, std::string_view from, std::string_view to, const std::optional<std::string> &expectedHash);

/// Adds or removes a drain and waits until it is in effect. Names that are not known, or not drained, are rejected.
Report changeDrain(Context &context, std::string_view environment, const tablestore::DrainChange &change);

/// State of the instances behind the operator ports.
Report status(Context &context);

/// Accepted submissions of an environment, newest first.
Report history(Context &context, std::string_view environment);

/// Why a caller is steered where it is, as one instance explains it.
Report explain(Context &context, std::string_view service, std::string_view client);

/// A request that an entry process is asked about.
struct RequestQuery {
    std::string host;
    std::string path;
    std::string object;
    std::string account;
    std::string key; ///< API key in place of the account's name; only its digest is sent
    std::int64_t deadlineMs = 0; ///< 0: the timeout of the route
};

/// Where the first entry process that answers would send a request now, and why. Nothing is sent to an upstream.
Report explainRequest(Context &context, const RequestQuery &query);

} // namespace trefoilstile::ctl
