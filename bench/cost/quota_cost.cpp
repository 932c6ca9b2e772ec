// Nanoseconds for each admission against a quota, by number of accounts. The target is 2 microseconds at 10,000 accounts.

#include <string>
#include <vector>

#include <benchmark/benchmark.h>

#include "trefoilstile/quota/quota_gate.hpp"

namespace
{

using namespace trefoilstile;
using namespace std::chrono_literals;

/// Admissions of accounts in turn, with the hash of the name as in a request. `limited` accounts have more demand than quota.
void admit(benchmark::State &state, bool limited)
{
    const auto count = static_cast<std::size_t>(state.range(0));
    quota::QuotaGate gate({5s, 0.1, 20}, 1);
    std::vector<quota::AccountQuota> accounts;
    for (std::size_t index = 0; index < count; ++index) {
        accounts.push_back({"account-" + std::to_string(index), limited ? 20.0 : 1e6, 10});
    }
    gate.setAccounts(accounts);
    gate.setMembers(72);
    base::TimePoint now(1000s);
    gate.report(now);
    quota::UsageMessage news;
    news.kind = quota::UsageKind::Reply;
    news.number = gate.reportNumber();
    for (const quota::AccountQuota &account : accounts) {
        news.usages.push_back({quota::accountId(account.name), 500, std::vector<std::uint32_t>(quota::s_slots, 4), 0, 20'000});
    }
    gate.apply(news, now);
    std::size_t next = 0;
    for (auto _ : state) {
        now += 1us;
        benchmark::DoNotOptimize(gate.admit(quota::accountId(accounts[next].name), now));
        next = (next + 1) % count;
    }
}

BENCHMARK_CAPTURE(admit, within, false)->Arg(100)->Arg(10'000);
BENCHMARK_CAPTURE(admit, limited, true)->Arg(100)->Arg(10'000);

} // namespace

BENCHMARK_MAIN();
