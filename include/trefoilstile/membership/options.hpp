// Options of failure detection, with the reason beside each number.
#pragma once

#include <chrono>
#include <cstddef>

#include "trefoilstile/base/time.hpp"

namespace trefoilstile::membership
{

/// Options of `FailureDetector`. The defaults suit 9 to 12 instances as well as 1,900 nodes in 30 failure domains.
struct Options {
    base::Duration probePeriod = std::chrono::milliseconds(500); ///< one member of the failure domain each
    base::Duration directTimeout = std::chrono::milliseconds(200); ///< above the 70 ms round trip between the farthest regions
    base::Duration probeTimeout = std::chrono::milliseconds(500); ///< direct and indirect together; then the member is suspected
    base::Duration exchangePeriod = std::chrono::milliseconds(500); ///< a relay probes one relay of another failure domain each
    double periodJitter = 0.1; ///< keeps nodes out of step
    std::size_t indirectProbes = 3; ///< others asked before a member is suspected
    base::Duration suspicion = std::chrono::seconds(2); ///< within the failure domain
    base::Duration remoteSuspicion = std::chrono::seconds(4); ///< elsewhere: the refutation comes by way of relays
    base::Duration tombstone = std::chrono::minutes(10); ///< partitions between regions last minutes; old gossip then still meets it
    base::Duration pauseGap = std::chrono::seconds(1); ///< ticks come every 50 ms; a longer gap means that the process was paused
    std::size_t relays = 2; ///< of each failure domain; one may be dead and not yet noticed
    std::size_t recordLimit = 64; ///< up to this many members in all, relays pass on records; above it only summaries
    std::size_t recordResume = 48; ///< at this many, records are passed on again; apart from the limit to prevent flapping
    std::size_t maximumMembers = 4'096; ///< bounds memory at about 1 MB
    std::size_t maximumDomains = 256; ///< bounds the summaries kept
    std::size_t transmissionFactor = 3; ///< each report is sent this many times the binary logarithm of the receivers
    std::size_t bodyBytes = 1'100; ///< of gossip in a datagram of 1,400 bytes; the rest is for the envelope and the question
    std::size_t rotatedRecords = 2; ///< records sent in turn with each message, for receivers that missed the news
    std::size_t rotatedSummaries = 2; ///< likewise for summaries of other failure domains
    std::size_t eagerFanout = 4; ///< members told at once of a new generation: reaches 98% of a domain by chains of messages
    base::Duration joinBackoffFirst = std::chrono::milliseconds(500); ///< between contacts of seeds while alone
    base::Duration joinBackoffLast = std::chrono::seconds(10); ///< largest backoff while alone
    std::size_t joinFanout = 3; ///< seeds contacted at a time while alone
    base::Duration healPeriod = std::chrono::seconds(5); ///< a relay contacts one address that seems dead each, to heal partitions
    double contactJitter = 0.5; ///< of backoff and heal period
    base::Duration reportPeriod = std::chrono::seconds(5); ///< least time between reports of spare capacity
    base::Duration reportRefresh = std::chrono::seconds(10); ///< an unchanged report is repeated, since senders trust a measurement for 30 s at most
    double reportThreshold = 0.1; ///< relative change of spare capacity worth a report
    base::Duration summaryLifetime = std::chrono::seconds(30); ///< a failure domain whose summary is older counts as out of reach
    std::size_t syncsPerSecond = 10; ///< member lists sent to newcomers; a fleet that starts at once then causes no burst
    std::size_t syncMessages = 16; ///< most messages of one member list
    std::size_t forwardedProbes = 256; ///< indirect probes served at a time
};

} // namespace trefoilstile::membership
