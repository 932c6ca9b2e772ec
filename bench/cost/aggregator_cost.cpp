// Processor time of a usage aggregator and of the codec of its messages, per second of virtual time: 300 instances in 6 failure domains and
// 78 accounts. The members of one failure domain are modelled; the sums of the other five arrive every 300 ms. The time is that of the
// aggregator's thread. Counters: milliseconds per second in the aggregator and in the codec, messages received and sent per second.

#include <cmath>
#include <ctime>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <benchmark/benchmark.h>

#include "trefoilstile/base/random.hpp"
#include "trefoilstile/peer/envelope_codec.hpp"
#include "trefoilstile/quota/quota_gate.hpp"
#include "trefoilstile/quota/usage_aggregator.hpp"

namespace
{

using namespace trefoilstile;
using namespace std::chrono_literals;

constexpr std::size_t s_instances = 300;
constexpr std::size_t s_domains = 6;
constexpr std::size_t s_members = s_instances / s_domains;
constexpr base::Duration s_step = 10ms;
constexpr base::Duration s_reportPeriod = 300ms;
constexpr base::Duration s_pushPause = 50ms;
const quota::QuotaOptions s_options{5s, 0.1, 20};

double processorSeconds()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

/// A few large accounts and many small ones, as in deployment A.
std::vector<quota::AccountQuota> accountQuotas()
{
    std::vector<quota::AccountQuota> quotas;
    for (std::size_t index = 0; index < 78; ++index) {
        const double rate = index < 3 ? 300 : index < 13 ? 50 : 6;
        quotas.push_back({"account-" + std::to_string(index), rate, rate});
    }
    return quotas;
}

peer::EnvelopeCodec makeCodec(std::size_t instance)
{
    return peer::EnvelopeCodec({"a key of the fleet, of 32 bytes.", "production", "entry-" + std::to_string(instance), {instance + 1}});
}

struct Member {
    std::string name;
    std::unique_ptr<quota::QuotaGate> gate;
    peer::EnvelopeCodec codec;
    base::TimePoint nextReport;
    base::TimePoint reportedAt;
};

class Domain
{
public:
    /// The accounts send `use` times their rate, and the first one `firstUse` times.
    Domain(double use, double firstUse)
        : m_use(use)
        , m_firstUse(firstUse)
        , m_quotas(accountQuotas())
        , m_aggregator(s_options, "east")
        , m_codec(makeCodec(0))
    {
        m_aggregator.setAccounts(m_quotas);
        m_aggregator.setFleet(s_instances, s_members, s_domains - 1);
        for (std::size_t index = 0; index < s_members + s_domains - 1; ++index) {
            m_members.push_back({"entry-" + std::to_string(index), std::make_unique<quota::QuotaGate>(s_options, index), makeCodec(index + 1), m_now, m_now});
            m_members.back().gate->setAccounts(m_quotas);
            m_members.back().gate->setMembers(s_instances);
            m_members.back().nextReport += base::fromSeconds(base::uniformUnit(m_random) * 0.3);
        }
    }

    void run(base::Duration time)
    {
        for (const base::TimePoint end = m_now + time; m_now < end;) {
            m_now += s_step;
            arrivals();
            for (std::size_t index = 0; index < m_members.size(); ++index) {
                tick(index);
            }
            if (m_now >= m_nextSums) {
                m_nextSums = m_now + s_reportPeriod;
                sendSums();
            }
        }
    }

    double aggregatorSeconds{};
    double codecSeconds{};
    double received{};
    double sent{};

private:
    template<typename Work>
    static auto timed(double &seconds, Work work)
    {
        const double start = processorSeconds();
        auto result = work();
        seconds += processorSeconds() - start;
        return result;
    }

    /// The last members stand for the other failure domains, with the requests of 50 instances each.
    void arrivals()
    {
        for (std::size_t account = 0; account < m_quotas.size(); ++account) {
            const double perStep = m_quotas[account].requestsPerSecond * (account == 0 ? m_firstUse : m_use) * base::toSeconds(s_step);
            for (m_due.resize(m_quotas.size()); m_due[account] < perStep; m_due[account] -= std::log(1 - base::uniformUnit(m_random))) {
                const std::size_t index = base::uniformBelow(m_random, s_instances);
                const std::size_t receiver = index < s_members ? index : s_members + (index - s_members) / s_members;
                m_members[receiver].gate->admit(quota::accountId(m_quotas[account].name), m_now);
            }
            m_due[account] -= perStep;
        }
    }

    void tick(std::size_t index)
    {
        Member &member = m_members[index];
        const bool other = index >= s_members;
        const bool urgent = member.gate->urgent() && m_now >= member.reportedAt + s_pushPause && !other;
        if (m_now < member.nextReport && !urgent) {
            return;
        }
        member.nextReport = m_now + s_reportPeriod;
        member.reportedAt = m_now;
        quota::UsageMessage report;
        report.kind = other ? quota::UsageKind::Domain : quota::UsageKind::Member;
        report.sender = member.name;
        report.failureDomain = other ? member.name : "east";
        report.peerAddress = "10.0.0." + std::to_string(index) + ":7946";
        report.incarnation = {index + 1};
        report.replyWanted = !other;
        report.usages = member.gate->report(m_now);
        report.number = member.gate->reportNumber();
        for (const quota::UsageMessage &part : quota::splitMessage(report)) {
            receive(index, member.codec.encode(part));
        }
    }

    void receive(std::size_t index, const std::string &bytes)
    {
        ++received;
        const peer::DecodeResult decoded = timed(codecSeconds, [&] {
            return m_codec.decode(bytes, peer::Channel::Datagram);
        });
        const auto &message = std::get<quota::UsageMessage>(std::get<peer::Received>(decoded).payload);
        timed(aggregatorSeconds, [&] {
            m_aggregator.apply(message, m_now);
            return 0;
        });
        push();
        if (message.replyWanted && m_aggregator.ready(m_now)) {
            reply(index, &message, message.number);
        }
    }

    void reply(std::size_t index, const quota::UsageMessage *report, std::uint64_t number)
    {
        quota::UsageMessage answer;
        answer.kind = quota::UsageKind::Reply;
        answer.sender = "entry-0";
        answer.failureDomain = "east";
        answer.peerAddress = "10.0.0.1:7946";
        answer.number = number;
        answer.incarnation = {index + 1};
        answer.usages = timed(aggregatorSeconds, [&] {
            return m_aggregator.usagesFor(m_members[index].name, report, m_now);
        });
        if (report != nullptr || !answer.usages.empty()) {
            send(answer, 1);
            m_members[index].gate->apply(answer, m_now);
        }
    }

    void push()
    {
        if (m_now < m_nextPush || !m_aggregator.ready(m_now)) {
            return;
        }
        m_nextPush = m_now + s_pushPause;
        const bool changed = timed(aggregatorSeconds, [&] {
            return m_aggregator.changedMuch(m_now);
        });
        if (changed) {
            sendSums();
        }
        for (std::size_t index = 0; index < s_members; ++index) {
            reply(index, nullptr, m_members[index].gate->reportNumber());
        }
    }

    void sendSums()
    {
        quota::UsageMessage sums;
        sums.kind = quota::UsageKind::Domain;
        sums.sender = "entry-0";
        sums.failureDomain = "east";
        sums.peerAddress = "10.0.0.1:7946";
        sums.number = ++m_sumsNumber;
        sums.usages = timed(aggregatorSeconds, [&] {
            return m_aggregator.domainUsages(m_now);
        });
        send(sums, s_domains - 1);
    }

    void send(const quota::UsageMessage &message, std::size_t receivers)
    {
        for (std::size_t receiver = 0; receiver < receivers; ++receiver) {
            for (const quota::UsageMessage &part : quota::splitMessage(message)) {
                ++sent;
                benchmark::DoNotOptimize(timed(codecSeconds, [&] {
                    return m_codec.encode(part);
                }));
            }
        }
    }

    double m_use;
    double m_firstUse;
    std::vector<quota::AccountQuota> m_quotas;
    std::vector<double> m_due;
    quota::UsageAggregator m_aggregator;
    peer::EnvelopeCodec m_codec;
    std::vector<Member> m_members;
    base::SplitMix64 m_random{1};
    base::TimePoint m_now{1000s};
    base::TimePoint m_nextPush;
    base::TimePoint m_nextSums;
    std::uint64_t m_sumsNumber{};
};

/// One second of an aggregator after the first ten.
void second(benchmark::State &state)
{
    const double use = static_cast<double>(state.range(0)) / 100;
    Domain domain(use, static_cast<double>(state.range(1)) / 100);
    domain.run(10s);
    domain.aggregatorSeconds = domain.codecSeconds = domain.received = domain.sent = 0;
    for (auto _ : state) {
        const double before = domain.aggregatorSeconds + domain.codecSeconds;
        domain.run(1s);
        state.SetIterationTime(domain.aggregatorSeconds + domain.codecSeconds - before);
    }
    const auto perSecond = [&state](double total) {
        return benchmark::Counter(total / static_cast<double>(state.iterations()));
    };
    state.counters["aggregator_ms"] = perSecond(domain.aggregatorSeconds * 1e3);
    state.counters["codec_ms"] = perSecond(domain.codecSeconds * 1e3);
    state.counters["received"] = perSecond(domain.received);
    state.counters["sent"] = perSecond(domain.sent);
}

BENCHMARK(second)
    ->ArgNames({"use", "first"})
    ->Args({30, 30})
    ->Args({70, 70})
    ->Args({90, 90})
    ->Args({90, 600})
    ->Iterations(20)
    ->UseManualTime()
    ->Unit(benchmark::kMillisecond);

} // namespace

BENCHMARK_MAIN();
