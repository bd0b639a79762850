#pragma once

#include "decide/types.hpp"

#include <array>
#include <cstddef>
#include <map>
#include <string>

namespace cornelloom::decide {

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;

/// Bounds of the queue of one class at one destination. Made for bursts and full saturation: a
/// queue without a bound turns overload into lateness for everybody.
struct class_policy {
    std::size_t max_queued = 10'000; ///< Requests; at 25 a second and node this is minutes of work.
    double floor = 0.05;       ///< Share of dispatched cost kept for the class when backlogged.
    double reserved_slots = 0; ///< Share of a target's allowance that lower classes leave free.
};

/// What one caller may use. Made for skewed demand: one caller must not fill the queue for all.
struct caller_policy {
    double tokens_per_second = 0; ///< Admission rate in cost tokens; 0: not limited.
    double burst_tokens = 0;      ///< 0: ten seconds of the rate.
    double weight = 1;            ///< Relative share among the callers of a class.
};

struct placement_policy {
    std::size_t subset_zone = 16;  ///< Targets of the own zone that a host sees, for a destination.
    std::size_t subset_region = 4; ///< More from the own region's other zones.
    std::size_t subset_remote = 4; ///< More from other regions, for when the own one is lost.
    std::size_t choices = 2;       ///< Candidates compared; 0: all. See docs/DECISIONS.md.
    /// Interactive work may take this times the host's part of a limit, up to the limit: bursts
    /// seldom come to all hosts at once, and a lookup that waits here waits for nothing.
    double interactive_overcommit = 2;
    double load_bound = 1.25; ///< Affinity holds while load is below this times the mean.
    double prefix_hit = 0.9;  ///< Belief in a fresh cache hint; events may be missing.
    /// How many of a caller's next items are looked through for one whose prefix the free target
    /// holds, and how often an item may be passed over for such a one.
    std::size_t lookahead = 32;
    std::uint32_t most_passed_over = 64;
    kernel::duration hint_lifetime = 120s;  ///< A hint older than this is not believed.
    kernel::duration report_lifetime = 5s;  ///< A report's weight halves with each of these.
    kernel::duration zone_penalty = 1ms;    ///< For leaving the zone: a round trip.
    kernel::duration region_penalty = 40ms; ///< For leaving the region: a round trip.
    /// Price of paid traffic as the seconds of waiting that a thousand tokens sent across a region
    /// border are worth. Lower: work flows over sooner.
    double crossing_seconds_per_kilotoken = 2.0;
};

struct limit_policy {
    double floor = 1;       ///< Under one request the target could never show that it recovered.
    double headroom = 1.0;  ///< Cap as a multiple of the target's capacity.
    double tolerance = 2.0; ///< Latency over the baseline by this factor counts as overload.
    double decrease = 0.85; ///< Factor for an overload.
    double increase = 1.0;  ///< Requests added for each limit's worth of good answers.
    kernel::duration decrease_interval = 500ms; ///< One decrease for each burst of bad answers.
};

struct retry_policy {
    std::uint32_t max_attempts = 4;       ///< Over all hops and hedges.
    double budget_share = 0.2;            ///< Retries per first sending, over time.
    double budget_floor_per_second = 1.0; ///< A quiet host may still retry.
    double budget_cap = 64;               ///< One crashed engine's whole batch may be resumed.
    kernel::duration base_backoff = 50ms;
    kernel::duration max_backoff = 2s;
};

struct hedge_policy {
    bool enabled = true;
    double token_share = 0.05; ///< Of dispatched cost that second copies may use.
    double token_cap = 20'000; ///< Saved up at most, so that a quiet hour buys no storm.
    double gain = 3;           ///< The copy must be predicted this much faster.
    double group_done = 0.6;   ///< Share of a group that is done before a member is a straggler.
    kernel::duration min_elapsed = 200ms; ///< Not before: answers this young are no stragglers.
    double service_factor = 3.0; ///< A lookup is hedged after this times the usual latency.
};

struct quarantine_policy {
    std::uint32_t crashes = 2;         ///< Distinct targets that a digest must have crashed.
    kernel::duration suspicion = 120s; ///< After this without another crash a suspect is clear.
    /// A named digest is refused only after this, the time that gossip takes: another host may
    /// have named another digest for the same crash, and then neither is certain.
    kernel::duration confirmation = 2s;
    kernel::duration lifetime = 600s; ///< Then it may try again: the engine may be mended.
    std::size_t max_entries = 4096;   ///< Oldest go first.
};

struct health_policy {
    std::uint32_t consecutive_failures = 3;
    kernel::duration base_ejection = 2s;
    kernel::duration max_ejection = 60s;
    double max_ejected_share = 0.34; ///< Of a destination's targets in the subset.
    kernel::duration slow_start = 10s;
    double slow_start_share = 0.1; ///< Of the allowance, on return.
    double observer_share = 0.5;   ///< More of a zone failing at once: doubt the own link.
    kernel::duration observer_window = 5s;
};

/// How a pool weighs a late step against an old sample.
struct pool_policy {
    std::uint64_t staleness_bound = 8; ///< Versions behind the trainer's that are still accepted.
    double idle_weight = 1;            ///< Cost of a second of trainer idle time.
    double staleness_weight = 1;       ///< Cost of a sample's lag of one version, in seconds.
};

/// Every limit and weight in force at one time.
struct policy {
    std::array<class_policy, priority_class_count> classes{
        class_policy{.max_queued = 2'000, .floor = 0.2, .reserved_slots = 0.15},
        class_policy{.max_queued = 20'000, .floor = 0.2, .reserved_slots = 0.0},
        class_policy{.max_queued = 20'000, .floor = 0.05, .reserved_slots = 0.0}};
    double max_caller_share = 0.5; ///< Of a class's queue, once the queue is half full.
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
    bool predict_deadlines = true; ///< Refuse at once what cannot finish in time.
    /// Predictions are noisy: refused is what misses its deadline even at this share of the
    /// predicted time.
    double deadline_certainty = 0.7;
};

[[nodiscard]] const caller_policy& policy_of(const policy& rules, std::string_view caller);
[[nodiscard]] const pool_policy& pool_policy_of(const policy& rules, std::string_view pool);

} // namespace cornelloom::decide
