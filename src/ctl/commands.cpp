// Commands that only read, and the steps that the others share.

#include "trefoilstile/ctl/commands.hpp"

#include <algorithm>

#include <fmt/format.h>

#include "command_support.hpp"
#include "trefoilstile/document/parse.hpp"
#include "trefoilstile/tablestore/document_store.hpp"
#include "trefoilstile/tablestore/http_connection.hpp"

namespace trefoilstile::ctl
{

namespace
{

using nlohmann::ordered_json;

/// Pause between attempts to settle: no burst on a store that is coming back, little against the wait.
constexpr base::Duration s_settlePeriod = std::chrono::milliseconds(250);

/// Limit for the response of an operator port.
constexpr base::Duration s_portLimit = std::chrono::seconds(2);

RowState readRow(tablestore::Store &store, const EffectTarget &target)
{
    try {
        if (target.kind == EffectTarget::Kind::Drains) {
            return {tablestore::DrainStore(store).row(target.environment).generation, {}};
        }
        const std::optional<tablestore::DocumentRow> row = tablestore::DocumentStore(store).row(target.environment);
        return {row ? row->generation : base::Generation{}, {}};
    } catch (const tablestore::PlatformError &error) {
        return {std::nullopt, error.what()};
    }
}

void describeStatus(const PortView &view, Report &report)
{
    if (!view.status) {
        report.lines.push_back(fmt::format("{}: {}", view.address, view.error));
        report.json["operators"].push_back({{"address", view.address}, {"error", view.error}});
        return;
    }
    const NodeStatus &status = *view.status;
    report.lines.push_back(fmt::format("{}: {} in {}, environment {}, document generation {}, drain generation {}, platform {}",
        view.address,
        status.self.name,
        status.self.failureDomain,
        status.environment,
        status.self.generation.value,
        status.self.drainGeneration.value,
        status.breaker));
    ordered_json alarms = ordered_json::array();
    for (const Alarm &alarm : status.alarms) {
        report.lines.push_back(fmt::format("  alarm {}: {}", alarm.name, alarm.detail));
        alarms.push_back({{"name", alarm.name}, {"detail", alarm.detail}});
    }
    ordered_json members = ordered_json::array();
    for (const MemberStatus &member : status.members) {
        const std::string_view state = !member.alive ? "not alive" : member.leaving ? "leaving" : "alive";
        report.lines.push_back(fmt::format("  {} in {}: {}, document generation {}, drain generation {}",
            member.name,
            member.failureDomain,
            state,
            member.generation.value,
            member.drainGeneration.value));
        members.push_back({{"name", member.name},
            {"region", member.region},
            {"failure_domain", member.failureDomain},
            {"incarnation", member.incarnation},
            {"alive", member.alive},
            {"leaving", member.leaving},
            {"generation", member.generation.value},
            {"drain_generation", member.drainGeneration.value}});
    }
    report.json["operators"].push_back({{"address", view.address},
        {"name", status.self.name},
        {"environment", status.environment},
        {"region", status.self.region},
        {"failure_domain", status.self.failureDomain},
        {"incarnation", status.self.incarnation},
        {"generation", status.self.generation.value},
        {"hash", status.hash},
        {"drain_generation", status.self.drainGeneration.value},
        {"breaker", status.breaker},
        {"alarms", alarms},
        {"members", members}});
}

} // namespace

Report newReport(std::string_view command)
{
    Report report;
    report.json["command"] = command;
    return report;
}

Report rejected(Report report, std::string message)
{
    report.say(std::move(message));
    report.conclude(ExitStatus::Rejected, "rejected");
    return report;
}

Report unknown(Report report, std::string message)
{
    report.say(std::move(message));
    report.conclude(ExitStatus::Unknown, "unknown");
    return report;
}

tablestore::SubmitResult settleUntil(Context &context, tablestore::SubmitResult result, base::TimePoint deadline)
{
    while (auto *unsettled = std::get_if<tablestore::Unsettled>(&result)) {
        const base::TimePoint now = context.pacer.now();
        if (now >= deadline) {
            break;
        }
        context.pacer.sleep(std::min(s_settlePeriod, deadline - now));
        result = tablestore::settle(context.store, std::move(unsettled->pending), {});
    }
    return result;
}

std::vector<std::string> requiredDomains(const Context &context, std::string_view environment, const document::SteeringDocument &document)
{
    std::vector<std::string> names;
    if (environment != s_production || context.ignoreEmptyDomains) {
        return names;
    }
    for (const document::Region &region : document.regions) {
        for (const document::FailureDomain &domain : region.failureDomains) {
            names.push_back(domain.name);
        }
    }
    return names;
}

void noteRaisedGeneration(Report &report, base::Generation previous, base::Generation generation, base::Generation highestInEffect)
{
    if (generation.value <= previous.value + 1) {
        return;
    }
    report.json["generation_raised"] = {{"row_generation", previous.value}, {"in_effect", highestInEffect.value}};
    report.say(fmt::format("generation raised from {} to {}: the store's row had generation {}, but generation {} is in effect on instances, which "
                           "ignore lower ones; the store has lost data or was restored from a backup",
        previous.value + 1,
        generation.value,
        previous.value,
        highestInEffect.value));
}

Report concludeWhenInEffect(Context &context, Report report, const EffectTarget &target, base::TimePoint deadline)
{
    if (context.ports.count() == 0) {
        report.say("not verified on any instance: no operator port was given");
        report.conclude(ExitStatus::Unknown, "accepted");
        return report;
    }
    const EffectReport effect = waitUntilInEffect(context.ports, context.pacer, target, deadline, [&] {
        return readRow(context.store, target);
    });
    if (effect.complete) {
        report.say("in effect on all known instances");
        report.conclude(ExitStatus::Done, "in_effect");
    } else {
        report.say("accepted, but not known to be in effect everywhere");
        report.conclude(ExitStatus::Unknown, "accepted");
    }
    describe(effect, report);
    return report;
}

Report status(Context &context)
{
    Report report = newReport("status");
    report.json["operators"] = ordered_json::array();
    const std::vector<PortView> views = pollStatus(context.ports, {}, s_portLimit);
    for (const PortView &view : views) {
        describeStatus(view, report);
    }
    const bool all = std::all_of(views.begin(), views.end(), [](const PortView &view) {
        return view.status.has_value();
    });
    report.conclude(all ? ExitStatus::Done : ExitStatus::Unknown, all ? "complete" : "incomplete");
    return report;
}

Report history(Context &context, std::string_view environment)
{
    Report report = newReport("history");
    report.json["environment"] = environment;
    std::optional<tablestore::DocumentRow> row;
    try {
        row = tablestore::DocumentStore(context.store).row(environment);
    } catch (const tablestore::PlatformError &error) {
        return unknown(std::move(report), error.what());
    }
    report.json["history"] = ordered_json::array();
    if (!row) {
        report.say(fmt::format("no document has been accepted in {}", environment));
    } else {
        for (auto entry = row->history.rbegin(); entry != row->history.rend(); ++entry) {
            report.lines.push_back(fmt::format("generation {}  {}  {}  {}", entry->generation.value, entry->acceptedAt, entry->hash, entry->submission));
            report.json["history"].push_back(
                {{"generation", entry->generation.value}, {"accepted_at", entry->acceptedAt}, {"hash", entry->hash}, {"submission", entry->submission}});
        }
    }
    report.conclude(ExitStatus::Done, "complete");
    return report;
}

namespace
{

/// Asks the operator ports one after the other; the answer of the first one that knows is the explanation.
Report askPorts(Context &context, Report report, const std::string &target)
{
    for (std::size_t index = 0; index < context.ports.count(); ++index) {
        const PortAnswer answer = context.ports.get(index, target, s_portLimit);
        if (answer.status == 0 || answer.status >= 500) {
            report.say(fmt::format("operator port {}: {}", answer.address, answer.status == 0 ? answer.body : fmt::format("status {}", answer.status)));
            continue;
        }
        report.json["operator"] = answer.address;
        const ordered_json body = ordered_json::parse(answer.body, nullptr, false);
        report.json["explanation"] = body.is_discarded() ? ordered_json(answer.body) : body;
        report.lines.push_back(body.is_discarded() ? answer.body : body.dump(2, ' ', false, ordered_json::error_handler_t::replace));
        const bool explained = answer.status == 200;
        report.conclude(explained ? ExitStatus::Done : ExitStatus::Rejected, explained ? "complete" : "rejected");
        return report;
    }
    return unknown(std::move(report), "no operator port answered");
}

} // namespace

Report explain(Context &context, std::string_view service, std::string_view client)
{
    const std::string target = fmt::format("/v1/explain?service={}&client={}", tablestore::percentEncoded(service), tablestore::percentEncoded(client));
    return askPorts(context, newReport("explain"), target);
}

Report explainRequest(Context &context, const RequestQuery &query)
{
    std::string target = fmt::format("/v1/explain-request?host={}&path={}", tablestore::percentEncoded(query.host), tablestore::percentEncoded(query.path));
    const auto append = [&target](std::string_view name, const std::string &value) {
        if (!value.empty()) {
            target += fmt::format("&{}={}", name, tablestore::percentEncoded(value));
        }
    };
    append("object", query.object);
    append("account", query.account);
    append("key_digest", query.key.empty() ? std::string() : document::contentHash(query.key));
    append("deadline_ms", query.deadlineMs == 0 ? std::string() : std::to_string(query.deadlineMs));
    return askPorts(context, newReport("explain-request"), target);
}

} // namespace trefoilstile::ctl
