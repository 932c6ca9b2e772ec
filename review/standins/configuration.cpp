// Encoding of configurations.

#include "configuration.hpp"

#include <nlohmann/json.hpp>

namespace review
{

std::string configuration(int version, const std::vector<Route> &routes, const std::vector<std::string> &services)
{
    using Json = nlohmann::json;
    Json body{{"version", version}, {"base_version", version - 1}, {"resources", Json::array()}};
    for (const Route &route : routes) {
        Json spec{{"host", "ficu95.example"},
            {"prefix", route.prefix},
            {"kind", route.kind},
            {"timeout", route.timeout},
            {"target_latency", "300ms"},
            {"priority", 1},
            {"service", route.service},
            {"max_attempts", 2},
            {"sticky_sessions", true},
            {"allowed_regions", Json::array()}};
        body["resources"].push_back({{"resource_kind", "routes"}, {"metadata", {{"name", route.name}}}, {"spec", std::move(spec)}});
    }
    for (const std::string &service : services) {
        const Json spec{{"health_path", "/health"}, {"max_conns", 390}, {"protocol", "h1"}, {"tls", false}, {"warmup", "3s"}, {"warmup_per_s", 16.0}};
        body["resources"].push_back({{"resource_kind", "services"}, {"metadata", {{"name", service}}}, {"spec", spec}});
    }
    body["resources"].push_back({{"resource_kind", "limits"},
        {"metadata", Json::object()},
        {"spec", {{"max_header_bytes", 16384}, {"max_body_bytes", 67108864}, {"header_timeout", "3000ms"}, {"idle_timeout", "15000ms"}}}});
    return body.dump();
}

} // namespace review
