// What became of the requests of a run, and its mean and spread over seeds.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <numeric>
#include <string>
#include <vector>

namespace trefoilstile::bench::overload
{

/// Each request ends in one of these.
enum class Outcome : std::uint8_t {
    InTime, ///< served within the latency objective
    Late, ///< served after it, before the deadline
    Refused, ///< refused; the caller did not come back
    RefusedAgain, ///< the caller came back and was refused
    Failed, ///< no response before the deadline, or a broken one
};

inline constexpr std::size_t s_outcomes = 5;
inline constexpr std::array<const char *, s_outcomes> s_outcomeNames{"in time", "late", "refused", "refused again", "failed"};

struct Tally {
    std::array<std::uint64_t, s_outcomes> counts{};

    void add(Outcome outcome)
    {
        ++counts[static_cast<std::size_t>(outcome)];
    }
    std::uint64_t sent() const
    {
        return std::accumulate(counts.begin(), counts.end(), std::uint64_t{});
    }
    double served() const
    {
        return share(Outcome::InTime) + share(Outcome::Late);
    }
    double share(Outcome outcome) const
    {
        return sent() == 0 ? 0.0 : static_cast<double>(counts[static_cast<std::size_t>(outcome)]) / static_cast<double>(sent());
    }

    friend bool operator==(const Tally &, const Tally &) = default;
};

/// Why a try was refused. A request has as many tries as its caller makes.
enum class Refusal : std::uint8_t {
    Price, ///< by overload control, because of its value
    Early, ///< by overload control, because it came back too early
    NoRoom, ///< no upstream had room for it
    Shed, ///< by the upstreams
};

inline constexpr std::size_t s_refusals = 4;
inline constexpr std::array<const char *, s_refusals> s_refusalNames{"price", "early", "no room", "shed"};

struct Group {
    std::string name; ///< of a kind, or of a group of accounts or callers
    Tally tally;
    std::array<std::uint64_t, s_refusals> refusedTries{}; ///< by `Refusal`

    friend bool operator==(const Group &, const Group &) = default;
};

/// Result of one seed.
struct RunResult {
    std::vector<Group> groups; ///< "all", the kinds, then the groups of accounts and callers
    std::vector<Tally> seconds; ///< by the time of arrival; includes the time that the groups leave out
    std::vector<Tally> accounts; ///< without the hot account
    std::uint64_t served{}; ///< attempts that upstreams completed
    std::uint64_t cold{}; ///< those of them whose object was cold there

    friend bool operator==(const RunResult &, const RunResult &) = default;
};

struct Spread {
    double mean{};
    double deviation{}; ///< standard deviation of the sample; 0 with one value
};

/// A share of the requests of each account: over all accounts, and of the accounts that get least.
struct AccountShares {
    Spread mean; ///< of all accounts, each with the same weight
    Spread worstTenth; ///< mean of the tenth of the accounts with the lowest share
    Spread worst; ///< of the account with the lowest share
};

Spread spreadOf(const std::vector<double> &values);

struct GroupSummary {
    std::string name;
    double sent{}; ///< mean number of requests
    std::array<Spread, s_outcomes> shares{};
    std::array<double, s_refusals> refusedTries{}; ///< mean number for each request sent
};

/// Results of one variant on one day over all seeds.
struct Summary {
    std::string day;
    std::string variant;
    std::vector<GroupSummary> groups;
    AccountShares inTime; ///< of the requests of an account, without the hot account; 0 without accounts
    AccountShares served;
    Spread cold; ///< share of the completed attempts whose object was cold
    std::vector<std::array<double, s_outcomes>> seconds; ///< mean number of requests in each second
};

/// @param runs not empty, of one variant and day
Summary summarize(std::string day, std::string variant, const std::vector<RunResult> &runs);

/// Tables in Markdown for each day: one line for each group and variant, the shares by account, and the shares of cold work.
std::string markdownTables(const std::vector<Summary> &summaries);

} // namespace trefoilstile::bench::overload
