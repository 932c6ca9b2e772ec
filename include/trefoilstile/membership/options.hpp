// Options of failure detection and the reasons for their defaults.
#pragma once

#include <chrono>
#include <cstddef>

#include "trefoilstile/base/time.hpp"

namespace trefoilstile::membership
{

/// Options of `FailureDetector`. The defaults suit 9 to 12 instances as well as 1,900 nodes in 30 failure domains.
struct Options {
    base::Duration probePeriod = std::chrono::milliseconds(500); ///< each node probes one member of its failure domain per period
    base::Duration directTimeout = std::chrono::milliseconds(200); ///< above the 70 ms round trip between the farthest regions
    base::Duration probeTimeout = std::chrono::milliseconds(500); ///< for direct and indirect probes together; after it the member is suspected
    base::Duration exchangePeriod = std::chrono::milliseconds(500); ///< a relay probes one relay of another failure domain per period
    double periodJitter = 0.1; ///< prevents nodes from probing in lockstep
    std::size_t indirectProbes = 3; ///< members asked to probe before a member is suspected
    /// Further members probed when a probe has failed, so that the time until lost members are noticed does not grow with their number:
    /// 64 lost ones are known after three further rounds of `probeTimeout`. Kept low, because a node that loses a third of its messages
    /// must not cause more probes than it answers.
    std::size_t checksPerFailure = 4;
    std::size_t maximumChecks = 64; ///< open at a time; bounds what the loss of many members costs
    base::Duration isolation = std::chrono::milliseconds(1'500); ///< without any message, after which members that do not answer count as silent
    base::Duration suspicion = std::chrono::seconds(2); ///< within the failure domain
    base::Duration remoteSuspicion = std::chrono::seconds(4); ///< in other failure domains: the refutation arrives through relays
    base::Duration tombstone =
        std::chrono::minutes(10); ///< partitions between regions last minutes; the tombstone must still be there when old gossip arrives after them
    base::Duration pauseGap = std::chrono::seconds(1); ///< ticks come every 50 ms; a longer gap means that the process was paused
    std::size_t relays = 2; ///< per failure domain; one may be dead and not yet detected
    std::size_t recordLimit = 64; ///< up to this many members in total, relays forward records; above it only summaries
    std::size_t recordResume = 48; ///< at or below this many, records are forwarded again; lower than the limit to prevent flapping
    std::size_t maximumMembers = 4'096; ///< bounds memory at about 1 MB
    std::size_t maximumDomains = 256; ///< bounds the summaries kept
    std::size_t transmissionFactor = 3; ///< each report is sent this many times the binary logarithm of the number of receivers
    std::size_t bodyBytes = 1'100; ///< of gossip in a datagram of 1,400 bytes; the rest is for the envelope and the probe fields
    std::size_t rotatedRecords = 2; ///< records repeated in round-robin order with each message, for receivers that missed a report
    std::size_t rotatedSummaries = 2; ///< likewise for summaries of other failure domains
    std::size_t eagerFanout = 4; ///< members notified immediately of a new generation; forwarding reaches 98% of a domain
    base::Duration joinBackoffFirst = std::chrono::milliseconds(500); ///< between contacts of seeds while alone
    base::Duration joinBackoffLast = std::chrono::seconds(10); ///< largest backoff while alone
    std::size_t joinFanout = 3; ///< seeds contacted at a time while alone
    base::Duration healPeriod = std::chrono::seconds(5); ///< a relay contacts one address of a dead or unreachable node per period, to heal partitions
    double contactJitter = 0.5; ///< of backoff and heal period
    base::Duration reportPeriod = std::chrono::seconds(5); ///< minimum time between reports of spare capacity
    base::Duration reportRefresh = std::chrono::seconds(10); ///< an unchanged report is repeated, since senders use a measurement for at most 30 s
    double reportThreshold = 0.1; ///< relative change of spare capacity that triggers a report
    base::Duration summaryLifetime = std::chrono::seconds(30); ///< a failure domain with an older summary is considered unreachable
    std::size_t syncsPerSecond = 10; ///< member lists sent to joining members; prevents a burst when all instances start simultaneously
    std::size_t syncMessages = 16; ///< maximum messages per member list
    std::size_t forwardedProbes = 256; ///< maximum concurrent indirect probes on behalf of other members
};

} // namespace trefoilstile::membership
