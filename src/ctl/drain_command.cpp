// Commands that change the drain list.

#include <algorithm>
#include <set>

#include <fmt/format.h>
#include <fmt/ranges.h>

#include "command_support.hpp"
#include "trefoilstile/document/parse.hpp"
#include "trefoilstile/tablestore/document_store.hpp"

namespace trefoilstile::ctl
{

namespace
{

using Names = std::set<std::string>;
using tablestore::DrainChange;

std::optional<document::SteeringDocument> documentInEffect(Context &context, std::string_view environment)
{
    tablestore::DocumentStore documents(context.store);
    const std::optional<tablestore::DocumentRow> row = documents.row(environment);
    if (!row) {
        return std::nullopt;
    }
    return document::parseDocument(documents.bytes(row->hash));
}

Names namesInDocument(const document::SteeringDocument &document, engine::DrainKind kind)
{
    Names names;
    for (const document::Region &region : document.regions) {
        if (kind == engine::DrainKind::Region) {
            names.insert(region.name);
        }
        for (const document::FailureDomain &domain : region.failureDomains) {
            if (kind == engine::DrainKind::FailureDomain) {
                names.insert(domain.name);
            }
        }
    }
    for (const document::Service &service : document.services) {
        for (const document::Upstream &upstream : service.upstreams) {
            if (kind == engine::DrainKind::Upstream) {
                names.insert(upstream.name);
            }
        }
    }
    return names;
}

Names entryNames(const std::vector<PortView> &views)
{
    Names names;
    for (const PortView &view : views) {
        if (!view.status) {
            continue;
        }
        names.insert(view.status->self.name);
        for (const MemberStatus &member : view.status->members) {
            names.insert(member.name);
        }
    }
    return names;
}

Names drainedNames(Context &context, std::string_view environment, engine::DrainKind kind)
{
    Names names;
    for (const engine::Drain &drain : tablestore::DrainStore(context.store).row(environment).drains) {
        if (drain.kind == kind) {
            names.insert(drain.name);
        }
    }
    return names;
}

/// Names that the change may have: known ones for a drain, drained ones for an undrain.
Names allowedNames(Context &context,
    std::string_view environment,
    const DrainChange &change,
    const std::optional<document::SteeringDocument> &document,
    const std::vector<PortView> &views)
{
    const engine::DrainKind kind = change.drain.kind;
    if (change.action == DrainChange::Action::Remove) {
        return drainedNames(context, environment, kind);
    }
    if (kind == engine::DrainKind::Entry) {
        return entryNames(views);
    }
    return document ? namesInDocument(*document, kind) : Names();
}

Report rejectedName(Report report, const DrainChange &change, const Names &allowed)
{
    const std::string_view kind = tablestore::toString(change.drain.kind);
    const bool adds = change.action == DrainChange::Action::Add;
    report.json[adds ? "known" : "drained"] = allowed;
    return rejected(std::move(report),
        fmt::format("{} {} is not {}; {} names of that kind: {}",
            kind,
            change.drain.name,
            adds ? "known" : "drained",
            adds ? "known" : "drained",
            allowed.empty() ? "none" : fmt::format("{}", fmt::join(allowed, ", "))));
}

/// Makes the change, starting anew when a lost answer turns out to be a lost race.
tablestore::DrainResult makeChange(Context &context,
    std::string_view environment,
    const DrainChange &change,
    const std::string &submission,
    base::Generation highestInEffect,
    base::TimePoint deadline)
{
    for (;;) {
        tablestore::DrainResult result = tablestore::DrainStore(context.store).change(environment, change, submission, highestInEffect);
        auto *unsettled = std::get_if<tablestore::Unsettled>(&result);
        if (unsettled == nullptr) {
            return result;
        }
        tablestore::SubmitResult settled = settleUntil(context, std::move(*unsettled), deadline);
        if (const auto *accepted = std::get_if<tablestore::Accepted>(&settled)) {
            return tablestore::DrainApplied{accepted->generation, true, accepted->previous};
        }
        if (auto *stillUnsettled = std::get_if<tablestore::Unsettled>(&settled)) {
            return std::move(*stillUnsettled);
        }
    }
}

} // namespace

Report changeDrain(Context &context, std::string_view environment, const DrainChange &change)
{
    const bool adds = change.action == DrainChange::Action::Add;
    // Asked before the row is read, so that the row of a sound store is at least as high. Ports that hang do not use up
    // the time for settling the write.
    const std::vector<PortView> views = pollStatus(context.ports, environment, s_submissionPollLimit);
    const base::Generation highestInEffect = highestGeneration(views, EffectTarget::Kind::Drains);
    const base::TimePoint deadline = context.pacer.now() + context.wait;
    const std::string submission = context.newSubmissionId();
    Report report = newReport(adds ? "drain" : "undrain");
    report.json["environment"] = environment;
    report.json["kind"] = tablestore::toString(change.drain.kind);
    report.json["name"] = change.drain.name;

    std::optional<document::SteeringDocument> document;
    std::optional<tablestore::DrainResult> result;
    try {
        document = documentInEffect(context, environment);
        const Names allowed = allowedNames(context, environment, change, document, views);
        if (!allowed.contains(change.drain.name)) {
            return rejectedName(std::move(report), change, allowed);
        }
        result = makeChange(context, environment, change, submission, highestInEffect, deadline);
    } catch (const base::Error &error) {
        return rejected(std::move(report), fmt::format("not changed: {}", error.what()));
    }
    if (const auto *unsettled = std::get_if<tablestore::Unsettled>(&*result)) {
        return unknown(std::move(report), fmt::format("not known whether submission {} was accepted: {}", submission, unsettled->reason));
    }
    const auto applied = std::get<tablestore::DrainApplied>(*result);
    report.json["drain_generation"] = applied.generation.value;
    report.json["submission"] = applied.changed ? nlohmann::ordered_json(submission) : nlohmann::ordered_json();
    report.say(fmt::format("{} {} {} in {}, drain generation {}",
        tablestore::toString(change.drain.kind),
        change.drain.name,
        applied.changed ? (adds ? "is drained" : "is no longer drained") : (adds ? "was drained before" : "was not drained"),
        environment,
        applied.generation.value));
    if (applied.changed) {
        noteRaisedGeneration(report, applied.previous, applied.generation, highestInEffect);
    }
    EffectTarget target{EffectTarget::Kind::Drains, std::string(environment), applied.generation, {}, {}};
    if (document) {
        target.requiredDomains = requiredDomains(context, environment, *document);
    }
    return concludeWhenInEffect(context, std::move(report), target, deadline);
}

} // namespace trefoilstile::ctl
