// The platform's table service, object store and instance list as the rest of the system sees them.
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
    std::uint64_t version{}; ///< 0 stands for a row that does not exist; otherwise opaque, never used twice by one row
    std::string value; ///< JSON text; empty if the row does not exist

    friend bool operator==(const Row &, const Row &) = default;
};

struct KeyedRow {
    std::string key;
    Row row;
};

/// Result of a conditional write that got an answer.
struct WriteResult {
    bool applied = false;
    /// If applied: the new version (0 after a removal) and no value. Otherwise the row that stood in the way.
    Row row;
};

/// Element of the platform's lagging instance list.
struct ListedInstance {
    enum class Kind : std::uint8_t { Entry, Upstream };

    std::string name;
    Kind kind = Kind::Entry;
    std::string failureDomain;
    std::string address; ///< `IP:port`
    base::IncarnationId incarnation;
    bool leaving = false;
};

/// Precedence and end of one operation. An operation that makes several requests spends one deadline on all of them.
struct Call {
    Purpose purpose = Purpose::Documents;
    base::TimePoint deadline = base::TimePoint::max(); ///< the implementation's own limits apply as well
};

/// Synchronous access to the platform. Every function throws `Unavailable` if the request certainly did not take
/// effect; those that write throw `OutcomeUnknown` if the answer was lost. Implementations never send a conditional
/// write a second time by themselves, so a conflict is never one with the same call.
class Store
{
public:
    virtual ~Store() = default;

    /// The row, with version 0 if it does not exist.
    virtual Row readRow(std::string_view table, std::string_view key, const Call &call) = 0;

    /// Rows whose keys begin with `prefix`.
    virtual std::vector<KeyedRow> listRows(std::string_view table, std::string_view prefix, const Call &call) = 0;

    /// Writes the row if it has version `ifVersion` (0: does not exist).
    virtual WriteResult writeRow(std::string_view table, std::string_view key, std::uint64_t ifVersion, std::string_view value, const Call &call) = 0;

    /// Removes the row if it has version `ifVersion`.
    virtual WriteResult removeRow(std::string_view table, std::string_view key, std::uint64_t ifVersion, const Call &call) = 0;

    /// Bytes stored under the hash, not checked against it; nothing if there are none.
    virtual std::optional<std::string> readObject(std::string_view hash, const Call &call) = 0;

    /// Stores bytes under their hash. Doing so twice is the same as once.
    virtual void writeObject(std::string_view hash, std::string_view bytes, const Call &call) = 0;

    /// The lagging instance list.
    virtual std::vector<ListedInstance> instances(const Call &call) = 0;

protected:
    Store() = default;
    Store(const Store &) = default;
    Store &operator=(const Store &) = default;
};

} // namespace trefoilstile::tablestore
