// Commands that check and submit documents.

#include <fmt/format.h>

#include "command_support.hpp"
#include "trefoilstile/document/parse.hpp"
#include "trefoilstile/tablestore/document_store.hpp"

namespace trefoilstile::ctl
{

namespace
{

using nlohmann::ordered_json;

/// Adds every fault of a document by path and line.
Report rejectedDocument(Report report, const document::DocumentError &error, std::string_view fileName)
{
    report.json["errors"] = ordered_json::array();
    for (const document::Fault &fault : error.faults()) {
        report.json["errors"].push_back({{"path", fault.path}, {"line", fault.line}, {"message", fault.message}});
        report.lines.push_back(fmt::format("{}:{}: {}: {}", fileName, fault.line, fault.path, fault.message));
    }
    report.conclude(ExitStatus::Rejected, "rejected");
    return report;
}

Report concludeLostRace(Report report, const tablestore::LostRace &lost)
{
    const tablestore::HistoryEntry &winner = lost.winner;
    if (winner.generation.value == 0) {
        return rejected(std::move(report), "not accepted: the row was changed by someone else");
    }
    report.json["winner"] = {{"generation", winner.generation.value}, {"submission", winner.submission}, {"hash", winner.hash}};
    return rejected(std::move(report), fmt::format("not accepted: submission {} won generation {}", winner.submission, winner.generation.value));
}

/// Submits the bytes of a checked document and waits until it is in effect.
Report submit(Context &context, Report report, std::string_view environment, std::string_view bytes, const document::SteeringDocument &document)
{
    // Asked before the row is read, so that the row of a sound store is at least as high. Ports that hang do not use up
    // the time for settling the write.
    const base::Generation highestInEffect = highestGeneration(pollStatus(context.ports, environment, s_submissionPollLimit), EffectTarget::Kind::Document);
    const base::TimePoint deadline = context.pacer.now() + context.wait;
    const std::string hash = document::contentHash(bytes);
    const tablestore::Submission submission{std::string(environment), context.newSubmissionId(), std::string(bytes), context.wallClock()};
    report.json["environment"] = environment;
    report.json["hash"] = hash;
    report.json["submission"] = submission.id;

    std::optional<tablestore::SubmitResult> result;
    try {
        result = tablestore::DocumentStore(context.store).submit(submission, highestInEffect);
    } catch (const tablestore::PlatformError &error) {
        return rejected(std::move(report), fmt::format("not accepted: {}", error.what()));
    }
    result = settleUntil(context, std::move(*result), deadline);
    if (const auto *lost = std::get_if<tablestore::LostRace>(&*result)) {
        return concludeLostRace(std::move(report), *lost);
    }
    if (const auto *unsettled = std::get_if<tablestore::Unsettled>(&*result)) {
        return unknown(std::move(report), fmt::format("not known whether submission {} was accepted: {}", submission.id, unsettled->reason));
    }
    const auto accepted = std::get<tablestore::Accepted>(*result);
    const base::Generation generation = accepted.generation;
    report.json["generation"] = generation.value;
    report.say(fmt::format("accepted in {} as generation {}, hash {}, submission {}", environment, generation.value, hash, submission.id));
    noteRaisedGeneration(report, accepted.previous, generation, highestInEffect);
    const EffectTarget target{EffectTarget::Kind::Document, std::string(environment), generation, hash, requiredDomains(context, environment, document)};
    return concludeWhenInEffect(context, std::move(report), target, deadline);
}

} // namespace

Report validate(std::string_view bytes, std::string_view fileName)
{
    Report report = newReport("validate");
    report.json["file"] = fileName;
    try {
        document::parseDocument(bytes);
    } catch (const document::DocumentError &error) {
        return rejectedDocument(std::move(report), error, fileName);
    }
    const std::string hash = document::contentHash(bytes);
    report.json["hash"] = hash;
    report.say(fmt::format("{}: valid, hash {}", fileName, hash));
    report.conclude(ExitStatus::Done, "valid");
    return report;
}

Report apply(Context &context, std::string_view environment, std::string_view bytes, std::string_view fileName)
{
    Report report = newReport("apply");
    try {
        const document::SteeringDocument document = document::parseDocument(bytes);
        return submit(context, report, environment, bytes, document);
    } catch (const document::DocumentError &error) {
        return rejectedDocument(std::move(report), error, fileName);
    }
}

Report promote(Context &context, std::string_view from, std::string_view to, const std::optional<std::string> &expectedHash)
{
    Report report = newReport("promote");
    report.json["from"] = from;
    std::string bytes;
    try {
        tablestore::DocumentStore documents(context.store);
        const std::optional<tablestore::DocumentRow> row = documents.row(from);
        if (!row) {
            return rejected(std::move(report), fmt::format("no document has been accepted in {}", from));
        }
        report.json["from_generation"] = row->generation.value;
        if (expectedHash && *expectedHash != row->hash) {
            return rejected(std::move(report), fmt::format("refused: generation {} of {} has the hash {}", row->generation.value, from, row->hash));
        }
        bytes = documents.bytes(row->hash);
    } catch (const tablestore::PlatformError &error) {
        return rejected(std::move(report), fmt::format("refused: {}", error.what()));
    }
    try {
        const document::SteeringDocument document = document::parseDocument(bytes);
        return submit(context, report, to, bytes, document);
    } catch (const document::DocumentError &error) {
        return rejectedDocument(std::move(report), error, from);
    }
}

} // namespace trefoilstile::ctl
