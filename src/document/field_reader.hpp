// Typed access to the nodes of a document text. Faults are collected, so that one pass reports all of them.
#pragma once

#include <chrono>
#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <limits>
#include <string>
#include <string_view>
#include <vector>

#include "trefoilstile/base/time.hpp"
#include "yaml_tree.hpp"

namespace trefoilstile::document
{

/// Faults found so far.
class FaultList
{
public:
    void add(std::string path, int line, std::string message);
    std::vector<Fault> take();
    bool empty() const;

private:
    std::vector<Fault> m_faults;
};

/// Node with its path; the path appears in faults.
struct Field {
    const YamlNode *node = nullptr; ///< null if the field is absent
    std::string path;

    explicit operator bool() const
    {
        return node != nullptr;
    }
};

/// Range of a number, bounds included.
struct NumberRange {
    double minimum = 0;
    double maximum = std::numeric_limits<double>::max();
};

/// Smallest number that counts as positive in documents.
inline constexpr double s_smallestPositive = 1e-9;

/// Reads one map: each known field is asked for by name, and `finish` reports fields that were not.
class MapReader
{
public:
    /// Reports a fault if the node is not a map or has a field twice.
    MapReader(const Field &field, FaultList &faults);

    /// The field, or an absent one.
    Field optional(std::string_view name);

    /// The field; a fault is reported if it is absent.
    Field required(std::string_view name);

    /// Reports fields that were never asked for.
    void finish();

    const Field &field() const;

private:
    Field m_field;
    FaultList *m_faults;
    std::vector<bool> m_asked;
};

/// Elements of a list; a fault is reported if the node is not a list. An absent field has no elements.
std::vector<Field> elements(const Field &field, FaultList &faults);

/// Text of a scalar that is not empty, or an empty text with a fault reported.
std::string readText(const Field &field, FaultList &faults);

/// Finite number within the range, or the lower bound with a fault reported.
double readNumber(const Field &field, NumberRange range, FaultList &faults);

/// Sets `target` if the field is present.
void readNumberInto(double &target, const Field &field, NumberRange range, FaultList &faults);
void readBoolInto(bool &target, const Field &field, FaultList &faults);

/// Reads milliseconds; `minimum` and `maximum` in milliseconds.
void readMillisecondsInto(base::Duration &target, const Field &field, NumberRange range, FaultList &faults);

/// Reads a whole number.
template<std::unsigned_integral T>
void readWholeInto(T &target, const Field &field, NumberRange range, FaultList &faults)
{
    if (!field) {
        return;
    }
    range.maximum = std::min(range.maximum, static_cast<double>(std::numeric_limits<T>::max()));
    const double value = readNumber(field, range, faults);
    if (value != static_cast<double>(static_cast<std::uint64_t>(value))) {
        faults.add(field.path, field.node->line, "must be a whole number");
        return;
    }
    target = static_cast<T>(value);
}

} // namespace trefoilstile::document
