// The three priority classes of requests, in order of urgency.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace trefoilstile::base
{

/// Class of a request, assigned by its route in the document. A lower value is more urgent.
enum class PriorityClass : std::uint8_t {
    Urgent, ///< holds, transfers, payments
    Interactive, ///< status checks and browsing
    Bulk, ///< downloads
};

inline constexpr std::size_t s_priorityClassCount = 3;

/// All classes, most urgent first.
inline constexpr std::array<PriorityClass, s_priorityClassCount> s_priorityClasses{PriorityClass::Urgent, PriorityClass::Interactive, PriorityClass::Bulk};

/// Array with one element for each class, indexed by class.
template<typename T>
struct PerClass {
    std::array<T, s_priorityClassCount> values{};

    constexpr T &operator[](PriorityClass priorityClass)
    {
        return values[static_cast<std::size_t>(priorityClass)];
    }

    constexpr const T &operator[](PriorityClass priorityClass) const
    {
        return values[static_cast<std::size_t>(priorityClass)];
    }

    friend bool operator==(const PerClass &, const PerClass &) = default;
};

/// Name of the class in documents, headers and metrics.
constexpr std::string_view toString(PriorityClass priorityClass)
{
    constexpr std::array<std::string_view, s_priorityClassCount> names{"urgent", "interactive", "bulk"};
    return names[static_cast<std::size_t>(priorityClass)];
}

/// Class with the given name, if there is one.
constexpr std::optional<PriorityClass> priorityClassFromString(std::string_view name)
{
    for (const PriorityClass priorityClass : s_priorityClasses) {
        if (toString(priorityClass) == name) {
            return priorityClass;
        }
    }
    return std::nullopt;
}

} // namespace trefoilstile::base
