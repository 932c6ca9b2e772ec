// Names of the rejection reasons in metrics.

#include "trefoilstile/engine/command.hpp"

namespace trefoilstile::engine
{

std::string_view toString(RejectReason reason)
{
    switch (reason) {
    case RejectReason::NotReady:
        return "not_ready";
    case RejectReason::NoRoute:
        return "no_route";
    case RejectReason::QueueFull:
        return "queue_full";
    case RejectReason::DeadlineTooShort:
        return "deadline_too_short";
    case RejectReason::DeadlinePassed:
        return "deadline_passed";
    case RejectReason::NoUpstream:
        return "no_upstream";
    case RejectReason::ShiftCap:
        return "shift_cap";
    case RejectReason::RetriesExhausted:
        return "retries_exhausted";
    case RejectReason::UpstreamFailed:
        return "upstream_failed";
    case RejectReason::IssuerUnreachable:
        return "issuer_unreachable";
    case RejectReason::ClaimUnavailable:
        return "claim_unavailable";
    case RejectReason::ClaimTaken:
        return "claim_taken";
    case RejectReason::OutcomeLost:
        return "outcome_lost";
    case RejectReason::KeyMismatch:
        return "key_mismatch";
    case RejectReason::KeyInvalid:
        return "key_invalid";
    case RejectReason::PathNotCanonical:
        return "path_not_canonical";
    case RejectReason::Stopping:
        return "stopping";
    case RejectReason::RecordsFull:
        return "records_full";
    case RejectReason::CallerDisconnected:
        return "caller_disconnected";
    }
    return "unknown";
}

} // namespace trefoilstile::engine
