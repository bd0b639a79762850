#pragma once

#include "decide/policy.hpp"

#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

namespace cornelloom::decide {

/// A target that a request may have crashed.
struct crashed_target {
    std::uint64_t target = 0; ///< Hash of the target's id.
    kernel::time_point crashed_at{};
    kernel::duration run_time{}; ///< Time that the request had run there.
    bool coincident = false;     ///< Targets without the request crashed in the same moments.
};

/// Crash history of one digest.
struct crash_record {
    std::vector<crashed_target> crashes; ///< Of distinct targets, since it was last answered.
    kernel::time_point last_crash{};
    kernel::time_point quarantined_until{};
    kernel::time_point identified_at{}; ///< When it was identified as the cause of a crash.
    std::uint64_t identified_by = 0; ///< The target whose crash identified it; 0: not identified.
    kernel::duration longest_run{};  ///< Longest time that it had run when a target crashed.
    kernel::time_point cleared_at{}; ///< Crashes up to then don't count: it was answered.
    std::uint64_t clearance = 0;     ///< Identifies that answer on all hosts; 0: unknown.
    /// Identifications up to then don't count: another digest was identified by the same crash.
    kernel::time_point disputed_at{};
    std::uint32_t trials = 0;        ///< Trial runs since it crashed `crash_threshold` targets.
    std::uint32_t unused_trials = 0; ///< Those that reached no target.
    kernel::time_point first_trial{};
    kernel::time_point last_trial{};
    kernel::time_point last_unused{}; ///< When it was known that a trial run reached no target.
    kernel::time_point last_try{};    ///< Start of its last run as a suspect that is owed.
    kernel::time_point try_ended{};   ///< When such a run last ended without a crash.
};

/// A crash of a target, whatever ran there.
struct observed_crash {
    std::uint64_t target = 0; ///< Hash of the target's id.
    kernel::time_point when{};
};

/// Crash records by digest, used to find a request that crashes every target it runs on.
///
/// All requests in flight on a crashed target become suspects. Suspects are placed on different
/// targets, so a second crash usually involves one suspect and identifies the cause. Suspects that
/// were on the same crashed targets can't be told apart, and none of them is quarantined until they
/// differ. A suspect that has run longer than it had before the crash is proven safe and no longer
/// counts, unless it was alone on the target.
///
/// A rack, a zone or a release can end many targets at once, and a request that is retried may be
/// on several of them. So targets that end together count once, and nothing is quarantined while at
/// least as many other targets crash without it. Targets that another identified request has
/// crashed are not counted, so that several causes at once are found.
///
/// A request that has crashed `crash_threshold` targets is sent only in trial runs, each granted to
/// one host for all, whether or not it is identified as the cause. If it crashes targets in them,
/// their number is limited for as long as the record is kept, which a pause or the end of a
/// quarantine doesn't shorten. If they end without an answer and without a crash, as in an outage,
/// only the pauses between them grow.
///
/// A request that is owed, because it was accepted to be run later, is never refused. After the
/// same number of crashes it is tried on one target at a time, with pauses that grow up to a bound.
struct crash_ledger {
    std::unordered_map<std::uint64_t, crash_record> digests;
    std::vector<observed_crash> recent_crashes; ///< Of distinct targets, within `crash_memory`.
};

/// A request that was in flight on a crashed target.
struct crash_suspect {
    std::uint64_t digest = 0;
    kernel::duration run_time{}; ///< Time since it was sent.
    bool unproven = false;       ///< It was already a suspect and not yet proven safe.
};

/// Attributes one crash, which happened at `now`; returns the digest that is now quarantined, or 0.
/// There may be more of them: see `identify_culprits`.
[[nodiscard]] std::uint64_t attribute_crash(crash_ledger& ledger, const quarantine_policy& rules,
                                            std::uint64_t target,
                                            const std::vector<crash_suspect>& in_flight,
                                            kernel::time_point now);

/// Quarantines every digest that the known crashes identify as a cause; returns those that were not
/// identified before. To be called after `attribute_crash` and `clear_suspicion`.
std::vector<std::uint64_t> identify_culprits(crash_ledger& ledger, const quarantine_policy& rules,
                                             kernel::time_point now);

/// Whether a request may be sent to a target.
enum class send_permission {
    granted,
    trial,   ///< Only as a trial run: see `begin_trial`.
    pending, ///< Not before the result of the last trial run, or just after a crash.
    refused,
};

struct send_verdict {
    send_permission permission = send_permission::granted;
    kernel::duration delay{}; ///< Until the verdict may change; zero: it may be sent.
};

/// Decides whether the digest may be sent now.
[[nodiscard]] send_verdict judge_send(const crash_ledger& ledger, const quarantine_policy& rules,
                                      std::uint64_t digest, request_duty duty,
                                      kernel::time_point now);

/// Records that a request with `request_duty::result` is sent after `send_permission::trial`.
void begin_try(crash_ledger& ledger, std::uint64_t digest, kernel::time_point now);

/// Records that its run ended without an answer, but didn't crash the target.
void end_try(crash_ledger& ledger, std::uint64_t digest, kernel::time_point now);

/// How long a host that can't make sure of a trial run of a caller's request waits for those of
/// other hosts before it starts one all the same; unset: it starts none. `position`: its place in
/// an order that all hosts know.
[[nodiscard]] std::optional<kernel::duration>
wait_before_unclaimed_trial(const crash_ledger& ledger, const quarantine_policy& rules,
                            std::uint64_t digest, std::size_t position);

/// Records a trial run of the digest. Only for a host that has made sure that no other one starts
/// the same trial run.
void begin_trial(crash_ledger& ledger, const quarantine_policy& rules, std::uint64_t digest,
                 kernel::time_point now);

/// Records that the last trial run of the digest, begun by this host, reached no target.
void return_trial(crash_ledger& ledger, std::uint64_t digest, kernel::time_point now);

/// Remaining quarantine time of the digest; zero if it is not quarantined.
[[nodiscard]] kernel::duration quarantined_for(const crash_ledger& ledger, std::uint64_t digest,
                                               kernel::time_point now);
[[nodiscard]] bool is_suspect(const crash_ledger& ledger, const quarantine_policy& rules,
                              std::uint64_t digest, kernel::time_point now);

/// How long a suspect must run on a target to be proven safe.
[[nodiscard]] kernel::duration proof_time(const crash_ledger& ledger, std::uint64_t digest);

/// Whether the digest is quarantined and its confirmation delay is over; only then is it refused.
[[nodiscard]] bool is_confirmed(const crash_ledger& ledger, const quarantine_policy& rules,
                                std::uint64_t digest, kernel::time_point now);

/// A target that a request may have crashed, as told to another host. Ages, since clocks differ.
struct shared_crashed_target {
    std::uint64_t target = 0;
    kernel::duration age{};
    kernel::duration run_time{};
    bool coincident = false;
};

/// What a host knows of one digest, as told to another host.
struct shared_crash_record {
    std::uint64_t digest = 0;
    std::vector<shared_crashed_target> crashes;
    kernel::duration last_crash_age{};
    kernel::duration longest_run{};
    kernel::duration quarantine_left{}; ///< Zero: not quarantined.
    kernel::duration identified_age{};
    std::uint64_t identified_by = 0;
    std::optional<kernel::duration> cleared_age; ///< Unset: never answered.
    std::uint64_t clearance = 0;
    std::uint32_t trials = 0;
    std::uint32_t unused_trials = 0;
    kernel::duration first_trial_age{};
    kernel::duration trial_age{};                  ///< Of the last trial run.
    std::optional<kernel::duration> try_age;       ///< Unset: never tried as an owed suspect.
    std::optional<kernel::duration> try_ended_age; ///< Unset: no such run ended without a crash.
};

/// A crash of a target, as told to another host.
struct shared_crash {
    std::uint64_t target = 0;
    kernel::duration age{};
};

struct shared_crashes {
    std::vector<shared_crash_record> records;
    std::vector<shared_crash> crashes;
};

/// Selects the records that another host is told of.
using record_filter = std::function<bool(std::uint64_t digest, const crash_record& record)>;

/// Whether every host should know the record: it is identified, or may have crashed several
/// targets. Most suspects are cleared before that.
[[nodiscard]] bool is_repeated(const crash_record& record, kernel::time_point now);

/// What this host knows, for another host: the newest `max_records` records that `is_wanted`, and
/// as many crashes.
[[nodiscard]] shared_crashes export_crashes(const crash_ledger& ledger, kernel::time_point now,
                                            std::size_t max_records,
                                            const record_filter& is_wanted);

/// Adds what another host knows and identifies culprits by it; returns whether any of it was new.
/// Telling the same twice, or through a third host, changes nothing.
bool merge_crashes(crash_ledger& ledger, const quarantine_policy& rules,
                   const shared_crashes& received, kernel::time_point now);

/// Applies a quarantine notice of another host. If a different digest was recently identified for
/// the crash of the same target, two hosts each had a suspect on it, and both digests become
/// suspects again. Every host that receives both notices reaches the same result.
void quarantine(crash_ledger& ledger, const quarantine_policy& rules,
                const quarantine_notice& notice, kernel::time_point now);

/// Clears a digest whose request was answered completely. The record stays until it expires, so
/// that other hosts learn of it.
void clear_suspicion(crash_ledger& ledger, std::uint64_t digest, kernel::time_point now);

/// Clears an owed request that runs for longer than `proof_time`. Its longest run before a crash is
/// kept, so one that crashes targets after runs of any length is not cleared each time.
void clear_proven(crash_ledger& ledger, std::uint64_t digest, kernel::time_point now);

/// Drops suspicions recorded since `from`, because the host assumes that its own link failed.
void drop_suspicions_since(crash_ledger& ledger, kernel::time_point from);

void expire(crash_ledger& ledger, const quarantine_policy& rules, kernel::time_point now);
[[nodiscard]] std::size_t quarantined_count(const crash_ledger& ledger, kernel::time_point now);

} // namespace cornelloom::decide
