#pragma once

#include "kernel/clock.hpp"
#include "kernel/finding.hpp"
#include "kernel/result.hpp"
#include "rollout/sample.hpp"
#include "rollout/token_account.hpp"
#include "rollout/types.hpp"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace cornelloom::rollout {

/// When a finished sample may be given to the trainer.
enum class release_mode {
    whole_group, ///< All samples of a group in one answer.
    each_sample,
};

/// What a pool declares that the step logic needs. Read again by a new owner, so it is no part of
/// a step's identity.
struct pool_rules {
    kernel::pool_id pool;
    release_mode release = release_mode::whole_group;
    weight_version staleness_bound = 0; ///< Largest allowed difference to the newest version.
    std::string scoring_service;        ///< Empty: samples are delivered without a score.
    std::string adapter;                ///< Spans made with another adapter are unusable.
    std::uint32_t max_samples = 512;    ///< In a step.
    std::size_t max_prompt_bytes = 256U << 10U;
    /// How long a sample of a version that nobody has announced waits for the announcement, which
    /// spreads to all hosts in seconds. Then the engine had weights that are not of this pool.
    kernel::duration announcement_wait = std::chrono::seconds{10};
    kernel::duration first_retry = std::chrono::milliseconds{100}; ///< Doubles with each failure.
    kernel::duration longest_retry = std::chrono::seconds{10};
};

/// How engines are asked to sample. Passed on; the step logic reads only the seed.
struct sampling_parameters {
    std::uint32_t max_tokens = 1024;
    double temperature = 1.0;
    double top_p = 1.0;
    std::uint64_t seed = 0; ///< Of slot 0; each further slot adds one.
    bool operator==(const sampling_parameters&) const = default;
};

/// One prompt and the number of samples wanted of it.
struct prompt_group {
    std::string prompt;
    std::uint32_t samples = 1;
    bool operator==(const prompt_group&) const = default;
};

/// What a trainer sends to open a step.
struct step_request {
    step_key key;
    kernel::pool_id pool;
    std::vector<prompt_group> groups;
    sampling_parameters sampling;
    kernel::wall_time deadline;                    ///< Crosses hosts, so it is wall time.
    std::optional<weight_version> staleness_bound; ///< May only tighten the pool's bound.
    weight_version trainer_version = 0;            ///< What the trainer trains on now.
};

enum class step_state {
    collecting, ///< A new owner asks other hosts which samples they hold.
    open,
    complete,   ///< The trainer has every sample that could be made.
    cancelled,  ///< By the trainer.
    expired,    ///< The deadline passed; what is held can still be pulled.
    superseded, ///< Another owner has a larger epoch.
};

[[nodiscard]] std::string_view to_string(step_state state);

enum class slot_state {
    wanted,
    running,
    finished,     ///< A whole answer is held here.
    acknowledged, ///< The trainer has it.
    failed,       ///< Given up, with a reason for the trainer.
};

[[nodiscard]] std::string_view to_string(slot_state state);

/// A submission that is under way. Its text continues the `carried` text of its slot.
struct attempt {
    attempt_id id;
    kernel::target_id engine; ///< Empty until placed.
    kernel::time_point started;
    kernel::time_point last_piece;
    token_count received = 0; ///< Of this attempt, also those that moved into `carried`.
    generation own;
};

/// A submission that was given up, kept until the engine says how many tokens it made.
struct ended_attempt {
    attempt_id id;
    token_count seen = 0;
    waste_cause cause = waste_cause::cancelled;
};

/// Where the second copy of a finished sample is.
enum class replica_state {
    none,    ///< No finished sample.
    retry,   ///< The request failed; made again at `hold_retry_at`.
    asked,   ///< A hold request is under way.
    held,    ///< Another host has confirmed that it holds the sample.
    single,  ///< No other host can be reached; asked again later.
    released ///< The trainer has the sample; the replica may drop it.
};

enum class score_state { none, asked, retry, known };

struct slot {
    group_index group = 0;
    slot_state state = slot_state::wanted;
    std::vector<attempt> attempts; ///< All of them continue `carried`.
    std::vector<ended_attempt> ended;
    generation carried; ///< Text of broken attempts that the next one resumes from.
    kernel::time_point not_before;
    std::uint32_t failures = 0;
    sample_ptr body;
    kernel::time_point finished_at; ///< When `body` was stored here.
    bool sent = false;              ///< Was part of an answer; the trainer may have it.
    replica_state replica = replica_state::none;
    kernel::host_id replica_host;
    kernel::time_point hold_retry_at;
    kernel::time_point score_retry_at;
    score_state scoring = score_state::none;
    std::optional<double> score;
    std::string failure; ///< For the trainer, in state `failed`.
};

struct group {
    slot_index first = 0;
    std::uint32_t samples = 0;
};

/// An engine is to stop an attempt whose tokens nobody wants any more.
struct cancel_attempt {
    attempt_ref ref;
    kernel::target_id engine;
    waste_cause cause = waste_cause::cancelled;
};

/// A finished sample is to be held by a second host.
struct hold_wanted {
    slot_index slot = 0;
    sample_ptr body;
};

/// A second host may drop its copy.
struct release_wanted {
    slot_index slot = 0;
    kernel::host_id host;
};

/// A finished sample is to be scored.
struct score_wanted {
    slot_index slot = 0;
    group_index group = 0;
    sample_ptr body;
};

/// What the daemon is to do after a call of this library; see `take_effects`.
struct step_effects {
    std::vector<cancel_attempt> cancel;
    std::vector<hold_wanted> hold;
    std::vector<release_wanted> release;
    std::vector<score_wanted> score;
};

/// What the previous owner had paid for, as far as its replicas were told.
struct inherited_account {
    owner_epoch epoch = 0; ///< 0: nothing is known.
    token_account tokens;
    token_count collected = 0;     ///< In whole or partial samples that hosts gave to this owner.
    token_count presumed_lost = 0; ///< Counted as crashed because nobody held them.
};

/// A step as its owner keeps it. Not thread-safe: the owner locks one step at a time.
struct step {
    step_request request;
    std::string digest;
    pool_rules rules;
    owner_epoch epoch = 0;
    kernel::time_point deadline;
    weight_version newest = 0; ///< Newest version announced by the trainer or for the pool.
    weight_version bound = 0;
    step_state state = step_state::open;
    std::vector<group> groups;
    std::vector<slot> slots;
    token_account tokens;
    std::uint64_t last_attempt = 0;
    std::uint64_t last_pull = 0;           ///< Order of the newest pull that was believed.
    std::set<kernel::host_id> uncollected; ///< Hosts that have not yet said what they hold.
    kernel::time_point collect_until;
    inherited_account inherited;
    step_effects effects;
};

/// The same for two requests exactly when they ask for the same step: covers everything but the
/// trainer's version, which moves on between two openings of one step.
[[nodiscard]] std::string digest_of(const step_request& request);

/// Every fault of a request, with its JSON path.
[[nodiscard]] kernel::findings check(const step_request& request, const pool_rules& rules);

/// A new step at its first owner. `invalid_input` names the faults.
[[nodiscard]] kernel::result<step> open_step(const step_request& request, const pool_rules& rules,
                                             owner_epoch epoch, kernel::time_point now,
                                             kernel::wall_time wall_now);

/// Opening again is the same step, and moves the trainer's version on; `conflict` when the content
/// differs. Changes nothing on conflict.
[[nodiscard]] kernel::result<void> reopen_step(step& open, const step_request& request,
                                               kernel::time_point now);

/// A newer version exists. Discards held samples that became stale and gives up attempts that
/// cannot become fresh any more. Older versions than the newest known are ignored.
void observe_version(step& open, weight_version version, kernel::time_point now);

/// The trainer wants nothing more of this step.
void cancel_step(step& open, kernel::time_point now);

/// A larger epoch was seen: this owner stops at once. What it holds, text so far included, stays
/// readable for the next owner; see `surrender`.
void supersede_step(step& open, owner_epoch newer, kernel::time_point now);

/// Ends the step when its deadline has passed, and the collection when it took too long; asks
/// again for copies and scores that failed and are due.
void on_time(step& open, kernel::time_point now);

/// What is to be done now; empties the list.
[[nodiscard]] step_effects take_effects(step& open);

/// Whether the step still submits work.
[[nodiscard]] bool is_running(const step& open);

/// Compares the account with the slots; findings when a token is missing or counted twice.
[[nodiscard]] kernel::findings check(const step& open);

/// Bytes of memory that the step holds, bodies included; replicas elsewhere not.
[[nodiscard]] std::size_t memory_bytes(const step& open);

} // namespace cornelloom::rollout
