#pragma once

#include "decide/policy.hpp"
#include "decide/types.hpp"

#include <array>
#include <memory>
#include <span>
#include <string_view>
#include <vector>

namespace cornelloom::decide {

struct scheduler_state;

/// All decisions of one host about its requests. A plain value without threads, sockets or clock:
/// the embedding daemon serialises the calls (a mutex) and passes the time. Each request that was
/// admitted ends in exactly one of: a `deliver` verdict, one entry of `actions::refusals`, or
/// `on_cancelled`.
struct scheduler {
    /// `self` must also be in the hosts of `set_targets`. `seed` feeds jitter and two choices.
    scheduler(host self, policy rules, std::uint64_t seed);
    ~scheduler();
    scheduler(const scheduler&) = delete;
    scheduler& operator=(const scheduler&) = delete;
    scheduler(scheduler&&) noexcept;
    scheduler& operator=(scheduler&&) noexcept;

    std::unique_ptr<scheduler_state> state;
};

/// Puts another set of targets and hosts in force. Work in flight on a target that is gone goes on
/// and its answers count; the target gets nothing new. Learned speeds and limits are kept by id.
void set_targets(scheduler& all, std::span<const target> targets, std::span<const host> hosts,
                 kernel::time_point now);

/// Puts other limits and weights in force for decisions from now on; sizes of subsets and caps of
/// limits count from the next `set_targets`.
void set_policy(scheduler& all, policy rules);

/// Admits a request into a bounded queue, or refuses it at once.
[[nodiscard]] admission submit(scheduler& all, request work, kernel::time_point now);

/// Places what can be placed now. Call it after each event that may free or add capacity.
[[nodiscard]] actions next_dispatches(scheduler& all, kernel::time_point now);

/// Expires, retries, hedges, and ends quarantines and ejections whose time has come; includes
/// `next_dispatches`. Call it every 20 to 100 ms; nothing is lost when it is late.
[[nodiscard]] actions tick(scheduler& all, kernel::time_point now);

/// The first byte of an answer has come.
void on_first_byte(scheduler& all, const kernel::request_id& request, std::uint32_t attempt,
                   kernel::time_point now);

/// `tokens` received by this attempt so far (without resumed ones), the oldest by `oldest_version`.
void on_progress(scheduler& all, const kernel::request_id& request, std::uint32_t attempt,
                 std::uint32_t tokens, std::uint64_t oldest_version, kernel::time_point now);

/// A whole answer has come. The first one wins, unless it is stale.
[[nodiscard]] completion_result on_complete(scheduler& all, const kernel::request_id& request,
                                            std::uint32_t attempt, const completion& answer,
                                            kernel::time_point now);

/// A sending failed. What follows (a retry, possibly later, or a refusal) is in the actions.
[[nodiscard]] actions on_failure(scheduler& all, const kernel::request_id& request,
                                 std::uint32_t attempt, const failure& what,
                                 kernel::time_point now);

/// The caller left: the request is forgotten, its sendings are to be cancelled.
[[nodiscard]] actions on_cancelled(scheduler& all, const kernel::request_id& request,
                                   kernel::time_point now);

void on_load_report(scheduler& all, const load_report& report, kernel::time_point now);
void on_cache_event(scheduler& all, const cache_event& event, kernel::time_point now);

/// First knowledge that a target is leaving: it gets no new work from this call on.
void on_leaving(scheduler& all, const kernel::target_id& target, kernel::time_point now);

/// A weight order is planned or has been put off; the latest plan of a target counts.
void on_swap_planned(scheduler& all, const swap_plan& plan, kernel::time_point now);

/// The trainers of this pool work with `version` now; the pool's staleness bound counts from it.
void on_new_version(scheduler& all, std::string_view pool, std::uint64_t version,
                    kernel::time_point now);

/// Another host has quarantined a digest.
void on_quarantine(scheduler& all, const quarantine_notice& notice, kernel::time_point now);

/// When `tick` next has something to do, for a daemon that sleeps in between.
[[nodiscard]] kernel::time_point next_deadline(const scheduler& all, kernel::time_point now);

/// Counts for metrics and for `status`.
struct scheduler_counts {
    std::array<std::size_t, priority_class_count> queued{};
    std::size_t delayed = 0;   ///< Waiting for a retry, a version or a target apart from suspects.
    std::size_t in_flight = 0; ///< Sendings, hedges included.
    std::size_t requests = 0;  ///< Admitted and without a final answer.
    std::size_t quarantined = 0;
    std::size_t targets_leaving = 0;
};

[[nodiscard]] scheduler_counts counts(const scheduler& all);

/// How one target stands with this host; for `status` and tests.
struct target_view {
    kernel::target_id id;
    std::uint32_t in_flight = 0;
    double limit = 0;     ///< Adaptive, over all hosts.
    double allowance = 0; ///< This host's part of it.
    double share = 1;     ///< Under 1: slow start.
    double slowness = 1;  ///< Over 1: slower than configured.
    bool ejected = false;
    bool leaving = false;
    std::uint64_t version = 0;
};

[[nodiscard]] std::vector<target_view> view_targets(const scheduler& all, kernel::time_point now);

} // namespace cornelloom::decide
