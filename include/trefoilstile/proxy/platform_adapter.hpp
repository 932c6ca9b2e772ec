// Interface of an adapter to the platform on which the entry process runs. The adapter translates names and formats and decides nothing.
#pragma once

#include <concepts>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "trefoilstile/base/time.hpp"
#include "trefoilstile/ingress/configuration.hpp"
#include "trefoilstile/ingress/upstream_table.hpp"
#include "trefoilstile/proxy/header_names.hpp"
#include "trefoilstile/proxy/row_store.hpp"

namespace trefoilstile::proxy
{

/// Request of a caller for the addresses of entry instances.
struct EntryLookup {
    std::string host; ///< that the caller will send requests to; lower case, without port
    std::string region; ///< of the caller
    std::string failureDomain; ///< of the caller
};

/// Interface of a platform adapter.
// clang-format off
template<typename T>
concept PlatformAdapter = RowStore<typename T::Store> && requires(std::string_view text, const StoreRow &row, const std::vector<std::string> &addresses, base::Duration lifetime)
{
    { T::headerNames() } -> std::same_as<HeaderNames>;
    { T::operatorTable() } -> std::convertible_to<std::string>;
    { T::upstreamTable() } -> std::convertible_to<std::string>;
    { T::lookupPath() } -> std::convertible_to<std::string>;
    { T::readinessPath() } -> std::convertible_to<std::string>;
    { T::isConfiguration(text) } -> std::same_as<bool>; ///< whether an operator row with this key holds the configuration
    { T::evacuatedDomain(text) } -> std::same_as<std::optional<std::string>>; ///< failure domain that an operator row with this key evacuates
    { T::decodeConfiguration(text) } -> std::same_as<ingress::Configuration>; ///< throws `base::Error`
    { T::decodeUpstream(row) } -> std::same_as<ingress::UpstreamReport>; ///< throws `base::Error`
    { T::decodeLookup(text) } -> std::same_as<EntryLookup>; ///< from the query string of a lookup
    { T::encodeEntries(addresses, lifetime) } -> std::same_as<std::string>; ///< body of the response to a lookup
};
// clang-format on

} // namespace trefoilstile::proxy
