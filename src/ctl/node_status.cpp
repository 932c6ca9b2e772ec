// Reading of the operator ports' status.

#include "trefoilstile/ctl/node_status.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace trefoilstile::ctl
{

namespace
{

using nlohmann::json;

constexpr unsigned s_ok = 200;

/// Generation, which may be null while there is none.
base::Generation generation(const json &value)
{
    return {value.is_null() ? 0 : value.get<std::uint64_t>()};
}

MemberStatus member(const json &object)
{
    return {object.at("name").get<std::string>(),
        object.at("region").get<std::string>(),
        object.at("failure_domain").get<std::string>(),
        object.at("incarnation").get<std::string>(),
        object.at("alive").get<bool>(),
        object.at("leaving").get<bool>(),
        generation(object.at("generation")),
        generation(object.at("drain_generation"))};
}

NodeStatus nodeStatus(json object)
{
    NodeStatus status;
    status.environment = object.at("environment").get<std::string>();
    status.hash = object.at("hash").is_null() ? std::string() : object.at("hash").get<std::string>();
    status.breaker = object.at("platform").at("breaker").get<std::string>();
    for (const json &alarm : object.at("alarms")) {
        status.alarms.push_back({alarm.at("name").get<std::string>(), alarm.at("detail").get<std::string>()});
    }
    for (const json &element : object.at("members")) {
        status.members.push_back(member(element));
    }
    object["alive"] = true;
    object["leaving"] = false;
    status.self = member(object);
    return status;
}

} // namespace

std::optional<NodeStatus> parseNodeStatus(std::string_view text)
{
    try {
        return nodeStatus(json::parse(text));
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

std::vector<PortView> pollStatus(OperatorPorts &ports, std::string_view environment, base::Duration limit)
{
    std::vector<PortView> views;
    for (std::size_t index = 0; index < ports.count(); ++index) {
        PortAnswer answer = ports.get(index, "/v1/status", limit);
        PortView &view = views.emplace_back();
        view.address = answer.address;
        if (answer.status != s_ok) {
            view.error = answer.status == 0 ? answer.body : fmt::format("status {}", answer.status);
            continue;
        }
        view.status = parseNodeStatus(answer.body);
        if (!view.status) {
            view.error = "the response is not a status";
        } else if (!environment.empty() && view.status->environment != environment) {
            view.error = fmt::format("belongs to environment {}", view.status->environment);
            view.status.reset();
        }
    }
    return views;
}

} // namespace trefoilstile::ctl
