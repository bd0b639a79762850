#pragma once

#include "decide/policy.hpp"

#include <unordered_map>
#include <vector>

namespace cornelloom::decide {

/// What is known of one digest's crashes.
struct crash_record {
    std::vector<std::uint64_t>
        targets; ///< Hashes of the distinct targets that it may have crashed.
    kernel::time_point last{};
    kernel::time_point quarantined_until{};
    kernel::time_point named{};     ///< When it was named.
    std::uint64_t named_by = 0;     ///< The target whose crash named it; 0: not named.
    kernel::duration longest_run{}; ///< How long it had run when a target crashed.
};

/// Finds the one request that crashes each target which runs it.
///
/// All requests in flight on a crashed target are suspects. Suspects are placed apart from each
/// other, so a second crash has one suspect on it and names the culprit; if there are several or
/// none, nobody's count grows. A suspect that has run longer than it had before the crash is
/// proven and no longer counts as one, unless it was alone on the target.
struct crash_ledger {
    std::unordered_map<std::uint64_t, crash_record> digests;
};

/// A request that was in flight on a crashed target.
struct crash_suspect {
    std::uint64_t digest = 0;
    kernel::duration ran{}; ///< Since it was sent.
    bool unproven = false;  ///< It was a suspect already and had not been proven.
};

/// Judges one crash; gives the digest that is now quarantined, or 0.
[[nodiscard]] std::uint64_t judge_crash(crash_ledger& ledger, const quarantine_policy& rules,
                                        std::uint64_t target,
                                        const std::vector<crash_suspect>& in_flight,
                                        kernel::time_point now);

/// For how much longer the digest is refused; zero if it isn't.
[[nodiscard]] kernel::duration quarantined_for(const crash_ledger& ledger, std::uint64_t digest,
                                               kernel::time_point now);
[[nodiscard]] bool is_suspect(const crash_ledger& ledger, const quarantine_policy& rules,
                              std::uint64_t digest, kernel::time_point now);

/// How long a suspect must run on a target to be proven.
[[nodiscard]] kernel::duration proof_time(const crash_ledger& ledger, std::uint64_t digest);

/// Whether its time of confirmation is over; only then it is refused.
[[nodiscard]] bool is_confirmed(const crash_ledger& ledger, const quarantine_policy& rules,
                                std::uint64_t digest, kernel::time_point now);

/// Takes over what another host has found. If another digest was named for the crash of the same
/// target just now, two hosts had a suspect each on it: both go back to being suspects. Every host
/// that hears both comes to the same end.
void quarantine(crash_ledger& ledger, const quarantine_policy& rules,
                const quarantine_notice& notice, kernel::time_point now);

/// It was answered whole.
void clear_suspicion(crash_ledger& ledger, std::uint64_t digest);

/// The host doubts its own link: what it recorded since `from` blames nobody.
void forgive(crash_ledger& ledger, kernel::time_point from);

void expire(crash_ledger& ledger, const quarantine_policy& rules, kernel::time_point now);
[[nodiscard]] std::size_t quarantined_count(const crash_ledger& ledger, kernel::time_point now);

} // namespace cornelloom::decide
