// Conversion of drain lists to and from JSON.

#include "drains_text.hpp"

#include <nlohmann/json.hpp>

#include "trefoilstile/tablestore/drain_store.hpp"

namespace trefoilstile::daemon
{

std::string drainsToText(std::span<const engine::Drain> drains)
{
    nlohmann::json list = nlohmann::json::array();
    for (const engine::Drain &drain : drains) {
        list.push_back({{"kind", tablestore::toString(drain.kind)}, {"name", drain.name}});
    }
    return list.dump();
}

std::vector<engine::Drain> drainsFromText(std::string_view text)
{
    try {
        std::vector<engine::Drain> drains;
        for (const nlohmann::json &item : nlohmann::json::parse(text)) {
            const auto kind = tablestore::drainKindFromString(item.at("kind").get<std::string>());
            if (!kind) {
                throw MalformedDrains("unknown kind of drain");
            }
            drains.push_back({*kind, item.at("name").get<std::string>()});
        }
        return drains;
    } catch (const nlohmann::json::exception &error) {
        throw MalformedDrains(error.what());
    }
}

} // namespace trefoilstile::daemon
