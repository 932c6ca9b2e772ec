// Steps that several commands share.
#pragma once

#include <chrono>
#include <optional>
#include <string_view>
#include <vector>

#include "trefoilstile/ctl/commands.hpp"
#include "trefoilstile/document/steering_document.hpp"
#include "trefoilstile/tablestore/error.hpp"
#include "trefoilstile/tablestore/submission.hpp"

namespace trefoilstile::ctl
{

/// Limit for one poll of one operator port before a submission.
inline constexpr base::Duration s_submissionPollLimit = std::chrono::seconds(1);

/// Report with the command's name in the JSON.
Report newReport(std::string_view command);

/// Ends a report with a rejection.
Report rejected(Report report, std::string message);

/// Ends a report whose outcome is not known.
Report unknown(Report report, std::string message);

/// Settles a write until its outcome is known or the deadline has passed. The result is `Unsettled` only in that case.
tablestore::SubmitResult settleUntil(Context &context, tablestore::SubmitResult result, base::TimePoint deadline);

/// Failure domains that must have an instance in the environment: in production those of the document.
std::vector<std::string> requiredDomains(const Context &context, std::string_view environment, const document::SteeringDocument &document);

/// Says that a submission skipped generations, and why; nothing if it did not.
void noteRaisedGeneration(Report &report, base::Generation previous, base::Generation generation, base::Generation highestInEffect);

/// Waits for the change and ends the report accordingly.
Report concludeWhenInEffect(Context &context, Report report, const EffectTarget &target, base::TimePoint deadline);

} // namespace trefoilstile::ctl
