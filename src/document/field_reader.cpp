// Checks of single values and of the fields of a map.

#include "field_reader.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>

#include <fmt/format.h>

namespace trefoilstile::document
{

namespace
{

std::string joined(std::string_view path, std::string_view name)
{
    return path.empty() ? std::string(name) : fmt::format("{}.{}", path, name);
}

} // namespace

void FaultList::add(std::string path, int line, std::string message)
{
    m_faults.push_back({std::move(path), line, std::move(message)});
}

std::vector<Fault> FaultList::take()
{
    return std::move(m_faults);
}

bool FaultList::empty() const
{
    return m_faults.empty();
}

MapReader::MapReader(const Field &field, FaultList &faults)
    : m_field(field)
    , m_faults(&faults)
{
    if (!field) {
        return;
    }
    if (field.node->kind != YamlKind::Map) {
        faults.add(field.path, field.node->line, "must be a map");
        m_field.node = nullptr;
        return;
    }
    m_asked.resize(field.node->keys.size());
    for (std::size_t i = 0; i < m_asked.size(); ++i) {
        const auto &keys = field.node->keys;
        if (std::find(keys.begin(), keys.begin() + static_cast<std::ptrdiff_t>(i), keys[i]) != keys.begin() + static_cast<std::ptrdiff_t>(i)) {
            faults.add(joined(field.path, keys[i]), field.node->children[i].line, "the field is given twice");
        }
    }
}

Field MapReader::optional(std::string_view name)
{
    Field found{nullptr, joined(m_field.path, name)};
    if (!m_field) {
        return found;
    }
    for (std::size_t i = 0; i < m_asked.size(); ++i) {
        if (m_field.node->keys[i] == name) {
            m_asked[i] = true;
            found.node = &m_field.node->children[i];
        }
    }
    return found;
}

Field MapReader::required(std::string_view name)
{
    Field found = optional(name);
    if (!found && m_field) {
        m_faults->add(found.path, m_field.node->line, "the field is missing");
    }
    return found;
}

void MapReader::finish()
{
    for (std::size_t i = 0; i < m_asked.size(); ++i) {
        if (!m_asked[i]) {
            const std::string &key = m_field.node->keys[i];
            m_faults->add(joined(m_field.path, key), m_field.node->children[i].line, "unknown field");
        }
    }
}

const Field &MapReader::field() const
{
    return m_field;
}

std::vector<Field> elements(const Field &field, FaultList &faults)
{
    std::vector<Field> result;
    if (!field) {
        return result;
    }
    if (field.node->kind != YamlKind::Sequence) {
        faults.add(field.path, field.node->line, "must be a list");
        return result;
    }
    result.reserve(field.node->children.size());
    for (std::size_t i = 0; i < field.node->children.size(); ++i) {
        result.push_back({&field.node->children[i], fmt::format("{}[{}]", field.path, i)});
    }
    return result;
}

std::string readText(const Field &field, FaultList &faults)
{
    if (!field) {
        return {};
    }
    if (field.node->kind != YamlKind::Scalar || field.node->scalar.empty()) {
        faults.add(field.path, field.node->line, "must be text that is not empty");
        return {};
    }
    return field.node->scalar;
}

double readNumber(const Field &field, NumberRange range, FaultList &faults)
{
    if (!field) {
        return range.minimum;
    }
    const std::string &text = field.node->scalar;
    double value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (field.node->kind != YamlKind::Scalar || text.empty() || error != std::errc() || end != text.data() + text.size() || !std::isfinite(value)) {
        faults.add(field.path, field.node->line, fmt::format("'{}' is not a finite number", text));
        return range.minimum;
    }
    if (value < range.minimum || value > range.maximum) {
        const std::string bounds = range.maximum == std::numeric_limits<double>::max() ? fmt::format("at least {}", range.minimum)
                                                                                       : fmt::format("from {} to {}", range.minimum, range.maximum);
        faults.add(field.path, field.node->line, fmt::format("{} is out of range, it must be {}", text, bounds));
        return range.minimum;
    }
    return value;
}

void readNumberInto(double &target, const Field &field, NumberRange range, FaultList &faults)
{
    if (field) {
        target = readNumber(field, range, faults);
    }
}

void readBoolInto(bool &target, const Field &field, FaultList &faults)
{
    if (!field) {
        return;
    }
    const std::string &text = field.node->scalar;
    if (text != "true" && text != "false") {
        faults.add(field.path, field.node->line, fmt::format("'{}' must be true or false", text));
        return;
    }
    target = text == "true";
}

void readMillisecondsInto(base::Duration &target, const Field &field, NumberRange range, FaultList &faults)
{
    std::uint64_t milliseconds = 0;
    if (field) {
        readWholeInto(milliseconds, field, range, faults);
        target = std::chrono::milliseconds(milliseconds);
    }
}

} // namespace trefoilstile::document
