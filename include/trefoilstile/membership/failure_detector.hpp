// Failure detection and dissemination of the member list. Each node has one detector, driven by ticks and received messages.
#pragma once

#include <concepts>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "trefoilstile/base/ids.hpp"
#include "trefoilstile/base/random.hpp"
#include "trefoilstile/base/time.hpp"
#include "trefoilstile/membership/contacts.hpp"
#include "trefoilstile/membership/domain_view.hpp"
#include "trefoilstile/membership/gossip_queue.hpp"
#include "trefoilstile/membership/member_table.hpp"
#include "trefoilstile/membership/messages.hpp"
#include "trefoilstile/membership/options.hpp"
#include "trefoilstile/membership/probe_round.hpp"

namespace trefoilstile::membership
{

/// Receives messages to be sent as datagrams. Called during the calls of `FailureDetector` and must not call back into it.
template<typename T>
concept MessageSink = requires(T sink, Outgoing outgoing)
{
    sink.send(std::move(outgoing));
};

/// Counters for metrics.
struct DetectorCounters {
    std::uint64_t probes{};
    std::uint64_t probesFailed{}; ///< without a direct or indirect answer
    std::uint64_t suspicions{}; ///< raised by this node
    std::uint64_t refutations{}; ///< of suspect or dead reports about this node
    std::uint64_t deaths{}; ///< declared by this node
    std::uint64_t pauses{}; ///< of this process, detected as gaps between ticks
    std::uint64_t contacts{}; ///< seeds and addresses of dead members contacted
};

/// Failure detector of one node. Call `tick` about every 50 ms.
class FailureDetector
{
public:
    /// `info` and `incarnation` describe this node; `random` seeds the internal random generator.
    template<base::RandomSource R>
    FailureDetector(Options options, base::IncarnationId incarnation, MemberInfo info, const std::vector<std::string> &seeds, R &random)
        : FailureDetector(options, incarnation, std::move(info), seeds, random.next())
    {
    }

    /// Sends due probes, exchanges and reports, and declares members dead whose suspicion has expired.
    template<MessageSink S>
    void tick(base::TimePoint now, S &sink)
    {
        advance(now);
        flush(sink);
    }

    /// Handles an authenticated message. `sender` is the incarnation in its envelope.
    template<MessageSink S>
    void receive(base::IncarnationId sender, const Message &message, base::TimePoint now, S &sink)
    {
        handle(sender, message, now);
        flush(sink);
    }

    /// Sets the generations in effect at this node. A few members are notified immediately, the others by gossip.
    template<MessageSink S>
    void setAnnouncement(const steering::Announcement &announcement, base::TimePoint now, S &sink)
    {
        announce(announcement, now);
        flush(sink);
    }

    /// Announces that this node is leaving; this cannot be undone.
    template<MessageSink S>
    void announceLeaving(base::TimePoint now, S &sink)
    {
        leave(now);
        flush(sink);
    }

    /// Sets the spare capacity of this node in requests/s; reported when it has changed by more than a tenth.
    void setSpareCapacity(std::uint32_t requestsPerSecond);

    /// Adds a peer address from the platform's instance list.
    void addSeed(const std::string &peerAddress);

    /// Marks a member that is leaving according to the platform's instance list. The list never revives a member.
    void markListedLeaving(base::IncarnationId incarnation);

    /// All known members including this node; above the record limit only those of this failure domain.
    const MemberTable &table() const
    {
        return m_table;
    }

    /// Summaries of the other failure domains with their current ages.
    std::vector<DomainSummary> summaries(base::TimePoint now) const;

    /// Alive members of this failure domain including this node; input to the selection of pollers.
    std::vector<base::IncarnationId> localAlive() const
    {
        return m_table.aliveIn(m_domain);
    }

    /// True if this node is one of the relays that exchange gossip with other failure domains.
    bool isRelay();

    /// True while relays forward the records of all members to other failure domains, false while they send summaries only.
    bool forwardsRecords() const
    {
        return m_forwardsRecords;
    }

    const DetectorCounters &counters() const
    {
        return m_counters;
    }

private:
    /// Reason for an open probe.
    enum class Purpose : std::uint8_t {
        Local, ///< probe of a member of this failure domain
        Remote, ///< probe of a relay of another failure domain whose record is known
        Check, ///< of a member that was not heard of since a probe that failed
        Contact, ///< no conclusion is drawn from a missing answer
    };

    struct OpenProbe {
        Purpose purpose = Purpose::Contact;
        base::IncarnationId target; ///< 0 if the incarnation at the address is unknown
        std::string address;
        base::TimePoint sent;
        bool indirect = false; ///< indirect probes have been requested
    };

    /// A probe sent on behalf of another member.
    struct ForwardedProbe {
        std::string requesterAddress;
        std::uint64_t requesterNonce{};
        base::TimePoint sent;
    };

    FailureDetector(Options options, base::IncarnationId incarnation, MemberInfo info, const std::vector<std::string> &seeds, std::uint64_t randomSeed);

    template<MessageSink S>
    void flush(S &sink)
    {
        for (Outgoing &outgoing : m_outgoing) {
            sink.send(std::move(outgoing));
        }
        m_outgoing.clear();
    }

    // failure_detector.cpp: ticks
    void advance(base::TimePoint now);
    void handlePause(base::TimePoint now);
    void sendProbeRequests(std::uint64_t nonce, const OpenProbe &probe);
    void expireSuspicions(base::TimePoint now);
    void probeLocal(base::TimePoint now);
    void exchange(base::TimePoint now);
    void exchangeBySummaries(base::TimePoint now);
    void contact(base::TimePoint now);
    std::vector<std::string> contactCandidates(base::TimePoint now) const;
    void sendProbe(Purpose purpose, base::IncarnationId target, const std::string &address, base::TimePoint now);
    void reportCapacity(base::TimePoint now);
    void refreshViews(base::TimePoint now);

    // failure_detector_checks.cpp: probes that fail
    void expireProbes(base::TimePoint now);
    void probeFailed(const OpenProbe &probe, base::TimePoint now);
    void checkOthers(const OpenProbe &failed, base::TimePoint now);
    void checkSilent(base::TimePoint now);
    void heardFrom(base::IncarnationId sender, base::TimePoint now);

    // failure_detector_receive.cpp: messages and merging
    void handle(base::IncarnationId sender, const Message &message, base::TimePoint now);
    void answer(std::uint64_t nonce, const GossipBody &body);
    void handleAck(base::IncarnationId sender, const Ack &ack, base::TimePoint now);
    void handleProbeRequest(const ProbeRequest &request, base::TimePoint now);
    void mergeBody(const GossipBody &body, base::TimePoint now);
    void mergeUpdate(const MemberUpdate &update, base::TimePoint now);
    void mergeAboutSelf(const MemberUpdate &update, base::TimePoint now);
    void mergeSummary(const DomainSummary &summary, base::TimePoint now);
    void resolveAddress(const MemberEntry &entry, base::TimePoint now);
    void setState(base::IncarnationId incarnation, MemberState state, base::TimePoint now);
    void enqueueChange(base::IncarnationId incarnation, Change change);

    // failure_detector_gossip.cpp: composing and sending messages
    void announce(const steering::Announcement &announcement, base::TimePoint now);
    void leave(base::TimePoint now);
    void raiseStatus(base::TimePoint now);
    void reportSelf(base::TimePoint now, bool eager);
    GossipBody makeBody(const MemberInfo *receiver, base::IncarnationId receiverId);
    void addSummaries(GossipBody &body, const MemberInfo *receiver, std::size_t &bytes);
    void addRotated(GossipBody &body, std::size_t &bytes);
    DomainSummary ownSummary();
    void sendEagerly();
    void sendMemberList(const MemberEntry &receiver, base::TimePoint now);
    void send(const std::string &address, Message message);
    bool isLocal(const MemberInfo &info) const
    {
        return info.failureDomain == m_domain;
    }
    const MemberEntry &self() const
    {
        return *m_table.find(m_self);
    }

    Options m_options;
    base::IncarnationId m_self;
    std::string m_domain;
    std::string m_address;
    base::SplitMix64 m_random;
    steering::Announcement m_announcement;

    MemberTable m_table; ///< always contains this node, as alive
    DomainView m_domains; ///< never contains this node's failure domain
    GossipQueue m_localQueue; ///< for members of this failure domain
    GossipQueue m_remoteQueue; ///< for relays of other failure domains; used while records are forwarded
    ContactSchedule m_contacts;
    bool m_forwardsRecords = true;
    base::IncarnationId m_lastRotated; ///< record sent last by the round-robin repetition

    ProbeRound<base::IncarnationId> m_localRound;
    ProbeRound<base::IncarnationId> m_remoteRound;
    ProbeRound<std::string> m_domainRound;
    std::map<std::uint64_t, OpenProbe> m_openProbes; ///< by nonce; bounded by the rates of sending and the timeouts
    std::map<base::IncarnationId, base::TimePoint> m_heard; ///< last message of each member in the table
    base::TimePoint m_lastHeard; ///< last message of any member
    base::TimePoint m_connectedSince; ///< first message after a time without any
    bool m_silentMembers = false; ///< some are marked in the table
    std::map<std::uint64_t, ForwardedProbe> m_forwarded; ///< by nonce, at most Options::forwardedProbes

    std::uint64_t m_viewVersion = ~0ULL; ///< table version from which the three lists below were built
    base::TimePoint m_viewMade; ///< the lists are rebuilt after s_viewLifetime, since summaries expire
    std::vector<base::IncarnationId> m_localAlive; ///< other members of this failure domain
    std::vector<base::IncarnationId> m_ownRelays;
    std::vector<base::IncarnationId> m_remoteRelays; ///< of all other failure domains, by their records

    std::optional<base::TimePoint> m_lastTick;
    base::TimePoint m_now; ///< of the call in progress
    std::optional<base::TimePoint> m_nextProbe;
    std::optional<base::TimePoint> m_nextExchange;
    base::TimePoint m_nextReport;
    base::TimePoint m_nextLocalContact; ///< earliest next contact with a relay of this failure domain listed in a summary
    base::TimePoint m_syncWindow; ///< start of the second in which m_syncs counts
    std::size_t m_syncs{};
    std::optional<std::uint32_t> m_spareCapacity; ///< unknown until set
    DetectorCounters m_counters;
    std::vector<Outgoing> m_outgoing; ///< empty between calls
};

} // namespace trefoilstile::membership
