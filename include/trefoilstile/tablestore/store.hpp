// Interface to the platform's table service, object store and instance list.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "trefoilstile/base/ids.hpp"
#include "trefoilstile/base/time.hpp"
#include "trefoilstile/tablestore/purpose.hpp"

namespace trefoilstile::tablestore
{

/// Row of a table.
struct Row {
    std::uint64_t version{}; ///< 0: the row does not exist; otherwise opaque and never reused for the same row
    std::string value; ///< JSON text; empty if the row does not exist

    friend bool operator==(const Row &, const Row &) = default;
};

struct KeyedRow {
    std::string key;
    Row row;
};

/// Result of a conditional write that was answered.
struct WriteResult {
    bool applied = false;
    /// If applied: the new version (0 after a removal) and no value. Otherwise the current row, which caused the conflict.
    Row row;
};

/// Element of the platform's instance list, which may lag behind the actual state.
struct ListedInstance {
    enum class Kind : std::uint8_t { Entry, Upstream };

    std::string name;
    Kind kind = Kind::Entry;
    std::string failureDomain;
    std::string address; ///< `IP:port`
    base::IncarnationId incarnation;
    bool leaving = false;
};

/// Options of one operation. If it makes several requests, they share the deadline.
struct Call {
    Purpose purpose = Purpose::Documents;
    base::TimePoint deadline = base::TimePoint::max(); ///< the implementation's own time limits apply as well
};

/// Synchronous access to the platform. Every function throws `Unavailable` if the request did not and will not take
/// effect; functions that write throw `OutcomeUnknown` if the answer was lost. Implementations never resend a conditional
/// write on their own, so a call never conflicts with itself.
class Store
{
public:
    virtual ~Store() = default;

    /// Returns the row, with version 0 if it does not exist.
    virtual Row readRow(std::string_view table, std::string_view key, const Call &call) = 0;

    /// Returns the rows whose keys begin with `prefix`.
    virtual std::vector<KeyedRow> listRows(std::string_view table, std::string_view prefix, const Call &call) = 0;

    /// Writes the row if it has version `ifVersion` (0: does not exist).
    virtual WriteResult writeRow(std::string_view table, std::string_view key, std::uint64_t ifVersion, std::string_view value, const Call &call) = 0;

    /// Removes the row if it has version `ifVersion`.
    virtual WriteResult removeRow(std::string_view table, std::string_view key, std::uint64_t ifVersion, const Call &call) = 0;

    /// Returns the bytes stored under the hash, not verified against it; nothing if the object does not exist.
    virtual std::optional<std::string> readObject(std::string_view hash, const Call &call) = 0;

    /// Stores bytes under their hash; idempotent.
    virtual void writeObject(std::string_view hash, std::string_view bytes, const Call &call) = 0;

    /// Returns the instance list, which may lag behind the actual state.
    virtual std::vector<ListedInstance> instances(const Call &call) = 0;

protected:
    Store() = default;
    Store(const Store &) = default;
    Store &operator=(const Store &) = default;
};

} // namespace trefoilstile::tablestore
