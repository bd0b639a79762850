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

/// Request scheduler of one host. A value type without threads, sockets or a clock: the embedding
/// daemon serialises the calls (a mutex) and passes the current time. Each admitted request ends in
/// exactly one of: a `deliver` verdict, an entry of `actions::refusals`, or `on_cancelled`.
struct scheduler {
    /// `self` must also be in the hosts of `set_targets`. `seed` initialises the random numbers for
    /// jitter and for sampling placement candidates.
    scheduler(host self, policy rules, std::uint64_t seed);
    ~scheduler();
    scheduler(const scheduler&) = delete;
    scheduler& operator=(const scheduler&) = delete;
    scheduler(scheduler&&) noexcept;
    scheduler& operator=(scheduler&&) noexcept;

    std::unique_ptr<scheduler_state> state;
};

/// Replaces the targets and hosts. Work in flight on a removed target continues and its responses
/// count, but the target gets no new work. Learned speeds and limits are kept by target id.
void set_targets(scheduler& all, std::span<const target> targets, std::span<const host> hosts,
                 kernel::time_point now);

/// Replaces the policy for later decisions. Subset sizes and limit caps take effect with the next
/// `set_targets`.
void set_policy(scheduler& all, policy rules);

/// Admits a request to a bounded queue, or refuses it immediately.
[[nodiscard]] admission submit(scheduler& all, request work, kernel::time_point now);

/// Dispatches all requests that can be placed now. Call it after each event that may free or add
/// capacity.
[[nodiscard]] actions next_dispatches(scheduler& all, kernel::time_point now);

/// Handles expired deadlines, retries, hedges, and the end of quarantines and ejections; includes
/// `next_dispatches`. Call it every 20 to 100 ms; a late call loses nothing.
[[nodiscard]] actions tick(scheduler& all, kernel::time_point now);

/// The first byte of a response has arrived.
void on_first_byte(scheduler& all, const kernel::request_id& request, std::uint32_t attempt,
                   kernel::time_point now);

/// This attempt has received `tokens` so far, not counting those resumed from an earlier attempt;
/// `oldest_version` is the oldest weight version among them.
void on_progress(scheduler& all, const kernel::request_id& request, std::uint32_t attempt,
                 std::uint32_t tokens, std::uint64_t oldest_version, kernel::time_point now);

/// A complete response has arrived. The first one that is not stale is delivered.
[[nodiscard]] completion_result on_complete(scheduler& all, const kernel::request_id& request,
                                            std::uint32_t attempt, const completion& answer,
                                            kernel::time_point now);

/// An attempt failed. The returned actions may hold a refusal; a retry may also follow later.
[[nodiscard]] actions on_failure(scheduler& all, const kernel::request_id& request,
                                 std::uint32_t attempt, const failure& what,
                                 kernel::time_point now);

/// The caller disconnected: drops the request and returns the attempts to cancel.
[[nodiscard]] actions on_cancelled(scheduler& all, const kernel::request_id& request,
                                   kernel::time_point now);

/// Updates what is known of a target from its own report; a report older than the latest is
/// ignored.
void on_load_report(scheduler& all, const load_report& report, kernel::time_point now);

/// Updates the record of which targets have a prefix in their cache.
void on_cache_event(scheduler& all, const cache_event& event, kernel::time_point now);

/// A target is leaving: it gets no new work from this call on.
void on_leaving(scheduler& all, const kernel::target_id& target, kernel::time_point now);

/// A weight swap was planned or postponed; the latest plan of a target applies.
void on_swap_planned(scheduler& all, const swap_plan& plan, kernel::time_point now);

/// The trainers of this pool now use `version`, from which the staleness bound is counted.
void on_new_version(scheduler& all, std::string_view pool, std::uint64_t version,
                    kernel::time_point now);

/// Another host has quarantined a digest: the content hash of a request that crashes targets.
void on_quarantine(scheduler& all, const quarantine_notice& notice, kernel::time_point now);

/// When `tick` should be called next, for a daemon that sleeps in between.
[[nodiscard]] kernel::time_point next_deadline(const scheduler& all, kernel::time_point now);

/// Counters for metrics and for `status`.
struct scheduler_counts {
    std::array<std::size_t, priority_class_count> queued{};
    /// Waiting for a retry, a weight version, a target without another crash suspect, or the
    /// confirmation of a quarantine.
    std::size_t delayed = 0;
    std::size_t in_flight = 0;   ///< Attempts, hedges included.
    std::size_t requests = 0;    ///< Admitted and not yet ended.
    std::size_t quarantined = 0; ///< Digests, not requests.
    std::size_t targets_leaving = 0;
};

[[nodiscard]] scheduler_counts counts(const scheduler& all);

/// Requests that wait because targets crashed under them.
[[nodiscard]] std::size_t held_back_count(const scheduler& all, kernel::time_point now);

/// State of one target as seen by this host, for `status` and tests.
struct target_view {
    kernel::target_id id;
    std::uint32_t in_flight = 0;
    double limit = 0;     ///< Adaptive limit over all hosts.
    double allowance = 0; ///< This host's share of the limit.
    double share = 1; ///< Share of the allowance that the target gets: below 1 during slow start.
    double slowness = 1; ///< Above 1: slower than configured.
    bool ejected = false;
    bool leaving = false;
    std::uint64_t version = 0;
};

[[nodiscard]] std::vector<target_view> view_targets(const scheduler& all, kernel::time_point now);

} // namespace cornelloom::decide
