#pragma once

#include "decide/types.hpp"

#include <array>
#include <cstddef>
#include <map>
#include <string>

namespace cornelloom::decide {

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;

/// Limits for the queue of one priority class at one destination. Under bursts and saturation, an
/// unbounded queue would make every request late.
struct class_policy {
    std::size_t max_queued = 10'000; ///< Requests; minutes of work at 25 requests/s per node.
    double floor = 0.05; ///< Share of dispatched cost guaranteed to the class while backlogged.
    double reserved_slots = 0; ///< Share of a target's allowance that lower classes may not use.
};

/// Limits of one caller. Under skewed demand, one caller must not fill the queue for all others.
struct caller_policy {
    double tokens_per_second = 0; ///< Admission rate in cost tokens; 0: unlimited.
    double burst_tokens = 0;      ///< 0: ten seconds at the admission rate.
    double weight = 1;            ///< Relative share among the callers of a class.
};

struct placement_policy {
    std::size_t subset_zone = 16;  ///< Targets per destination that a host uses in its own zone.
    std::size_t subset_region = 4; ///< Additional targets in other zones of its region.
    /// Additional targets in other regions, in case its own region fails.
    std::size_t subset_remote = 4;
    /// Candidates compared per placement; 0: all. See docs/DECISIONS.md.
    std::size_t compared_candidates = 2;
    /// Interactive work may use this multiple of the host's share of a target's limit, up to the
    /// whole limit. Bursts rarely reach all hosts at once, so a lookup held back by the share would
    /// usually wait while the target has free capacity.
    double interactive_overcommit = 2;
    /// Prefix affinity applies while load is below this multiple of the mean.
    double load_bound = 1.25;
    /// Probability that a fresh cache hint is right; events may be lost.
    double hint_confidence = 0.9;
    /// How many of a caller's next items are searched for one whose prefix the free target has
    /// cached, and how often an item may be skipped in favour of such an item.
    std::size_t lookahead = 32;
    std::uint32_t max_skips = 64;
    kernel::duration hint_lifetime = 120s;  ///< Older cache hints are ignored.
    kernel::duration report_lifetime = 5s;  ///< Half-life of a load report's weight.
    kernel::duration zone_penalty = 1ms;    ///< Added outside the zone: one round trip.
    kernel::duration region_penalty = 40ms; ///< Added outside the region: one round trip.
    /// Cost of billed cross-region traffic, as seconds of waiting per thousand tokens. A lower
    /// value makes work overflow to other regions sooner.
    double crossing_seconds_per_kilotoken = 2.0;
};

struct limit_policy {
    double floor = 1;      ///< Below one request the target could never show that it has recovered.
    double headroom = 1.0; ///< Upper bound as a multiple of the target's capacity.
    double tolerance = 2.0; ///< Latency above this multiple of the baseline counts as overload.
    double decrease = 0.85; ///< Factor applied to the limit on overload.
    double increase = 1.0;  ///< Requests added per `limit` successful responses.
    /// At most one decrease per interval, so one per burst of failures.
    kernel::duration decrease_interval = 500ms;
};

struct retry_policy {
    std::uint32_t max_attempts = 4;       ///< Over all hops, hedges included.
    double budget_share = 0.2;            ///< Long-term ratio of retries to first attempts.
    double budget_floor_per_second = 1.0; ///< Lets an idle host retry.
    double budget_cap = 64; ///< Enough to resume the whole batch of one crashed engine.
    kernel::duration base_backoff = 50ms;
    kernel::duration max_backoff = 2s;
};

struct hedge_policy {
    bool enabled = true;
    double token_share = 0.05; ///< Share of dispatched cost that hedges may use.
    /// Most that can accumulate, so that an idle hour cannot fund a burst of hedges.
    double token_cap = 20'000;
    double min_speedup = 3; ///< Factor by which the hedge must be predicted to be faster.
    /// Share of a group that must be done before a member counts as a straggler.
    double group_done = 0.6;
    kernel::duration min_elapsed = 200ms; ///< Younger attempts are never hedged.
    /// A service request is hedged after this multiple of the typical latency.
    double service_factor = 3.0;
};

struct quarantine_policy {
    std::uint32_t crash_threshold = 2; ///< Distinct targets that a digest must have crashed.
    /// A suspect is cleared after this time without another crash.
    kernel::duration suspicion_lifetime = 120s;
    /// Delay before an identified digest is refused; covers gossip propagation. Another host may
    /// have identified a different digest for the same crash, and then neither is certain.
    kernel::duration confirmation_delay = 2s;
    /// Afterwards it is admitted again: the engine may have been fixed.
    kernel::duration lifetime = 600s;
    /// Targets that end within less time than this end together: time enough for the news of one to
    /// come from another region, and for a request that is retried to be answered elsewhere.
    kernel::duration min_crash_gap = 100ms;
    /// Crashes of other targets within this time speak for a common cause outside the request.
    kernel::duration coincidence_window = 2s;
    /// Crashes are remembered for this time, until all hosts have told each other what ran there.
    kernel::duration crash_memory = 10s;
    /// Requests that may be identified as causes of crashes in the same moments. More of them look
    /// like a common cause outside all of them.
    std::size_t max_joint_culprits = 4;
    /// Trial runs of a request that goes on to crash targets, on all hosts together. Then it is
    /// refused for as long as its record is kept.
    std::uint32_t max_trials = 3;
    /// Time in which the result of a trial run is known on all hosts.
    kernel::duration trial_time = 4s;
    /// Between trial runs of hosts that can't make sure of one: time in which the next one is told.
    kernel::duration unclaimed_trial_gap = 150ms;
    /// Until the next trial run after one that reached no target.
    kernel::duration unused_trial_pause = 1s;
    /// Pause of an owed request after it has crashed `crash_threshold` targets; doubled with each
    /// further one.
    kernel::duration owed_pause = 2s;
    /// Longest pause of an owed request. One that does crash its targets ends four in a minute.
    kernel::duration max_owed_pause = 16s;
    /// Crashes of an owed request that don't lengthen its pause because other targets crashed in
    /// the same moments. Only so many, since several requests may crash targets side by side.
    std::uint32_t max_excused_crashes = 3;
    /// The record of an identified request is kept for this time after its last crash or trial run,
    /// at least until its quarantine is over.
    kernel::duration record_lifetime{};
    std::size_t max_entries =
        4096; ///< The oldest entries are evicted first, quarantined ones last.
};

struct health_policy {
    std::uint32_t consecutive_failures = 3;
    kernel::duration base_ejection = 2s;
    kernel::duration max_ejection = 60s;
    double max_ejected_share = 0.34; ///< Share of a destination's targets in the subset.
    kernel::duration slow_start = 10s;
    double slow_start_share = 0.1; ///< Share of the allowance when slow start begins.
    /// Failing share of a zone above which this host suspects its own link.
    double zone_failure_share = 0.5;
    kernel::duration zone_failure_window = 5s;
};

/// How a pool trades trainer idle time against sample staleness.
struct pool_policy {
    std::uint64_t staleness_bound = 8; ///< Accepted lag behind the trainer, in versions.
    double idle_weight = 1;            ///< Cost of one second of trainer idle time.
    double staleness_weight = 1;       ///< Cost of one version of sample lag, in seconds.
};

/// All limits and weights of a scheduler.
struct policy {
    std::array<class_policy, priority_class_count> classes{
        class_policy{.max_queued = 2'000, .floor = 0.2, .reserved_slots = 0.15},
        class_policy{.max_queued = 20'000, .floor = 0.2, .reserved_slots = 0.0},
        class_policy{.max_queued = 20'000, .floor = 0.05, .reserved_slots = 0.0}};
    double max_caller_share = 0.5; ///< Applies once a class's queue is half full.
    caller_policy default_caller;
    std::map<std::string, caller_policy, std::less<>> callers;
    placement_policy placement;
    limit_policy limit;
    retry_policy retry;
    hedge_policy hedge;
    quarantine_policy quarantine;
    health_policy health;
    pool_policy default_pool;
    std::map<std::string, pool_policy, std::less<>> pools;
    bool predict_deadlines = true; ///< Refuse at submission what cannot finish in time.
    /// Predictions are noisy, so a request is refused only if it would miss its deadline even in
    /// this share of the predicted time.
    double deadline_certainty = 0.7;
};

[[nodiscard]] const caller_policy& caller_policy_of(const policy& rules, std::string_view caller);
[[nodiscard]] const pool_policy& pool_policy_of(const policy& rules, std::string_view pool);

} // namespace cornelloom::decide
