#pragma once

#include "decide/pace_model.hpp"
#include "front/types.hpp"
#include "kernel/clock.hpp"
#include "loop/connection_pool.hpp"

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cornelloom::front {

using kernel::time_point;

/// The state that this host keeps for one target: its entry in the target list and statistics of
/// the requests that this host has sent to it.
struct target_state {
    target_entry entry;
    int running = 0;              ///< Requests of this host in flight at the target.
    int awaiting_first_event = 0; ///< Items of this host in flight without an event yet.
    int leaving = 0;              ///< Items of this host that are being moved away from it.
    int running_elsewhere = 0;    ///< Runs of other hosts at the target, as last announced.
    double memory_tokens = 0;     ///< Memory that this host's items in flight are expected to take.
    time_point reserved_since{};  ///< Since when slots are reserved for other hosts unused.
    /// Requests that this host may have in flight there; unset: as many as it has slots.
    std::optional<int> slot_limit{};
    double latency_ms = 0;        ///< Moving average over non-streaming requests; 0: no sample.
    double event_interval_ms = 0; ///< Moving average between stream events; 0: no sample.
    double long_term_event_interval_ms =
        0;                     ///< Long-term average; excludes samples during a slowdown.
    int interval_samples = 0;  ///< Number of samples in `long_term_event_interval_ms`, capped.
    decide::pace_state pace{}; ///< Usual pace, and the slowdown that it is in.
    double failure_rate = 0;   ///< Moving average of requests that failed without a response.
    int consecutive_failures = 0;
    time_point backoff_until{};  ///< Until then selected only if no other target is available.
    time_point draining_since{}; ///< When it was first seen draining; zero: not draining.
    /// Models that the target is loading, and until when it is assumed to reject their requests.
    std::map<std::string, time_point, std::less<>> loading_until;
};

/// All known targets, by id.
struct target_table {
    std::map<std::string, target_state, std::less<>> by_id;
    /// Removals before this time are deferred until then: after a platform outage the list may lack
    /// running targets whose heartbeats expired meanwhile.
    time_point defer_removals_until{};
    std::map<std::string, time_point, std::less<>> deferred_removals;       ///< With the due time.
    std::map<std::string, decide::slowdown_history, std::less<>> slowdowns; ///< By service.
};

/// How long removals are deferred after a platform outage. The platform lists running targets again
/// within 2 s; the rest allows for the propagation of the update.
inline constexpr milliseconds removal_grace_period{2250};
/// A deferred removal is carried out at most this long after it is due.
inline constexpr milliseconds removal_check_time{500};

/// Backoff after a failed request, doubled for each consecutive failure. At least a round trip
/// between regions; a crashed process needs seconds to restart.
inline constexpr milliseconds min_failure_backoff{250};
inline constexpr milliseconds max_failure_backoff{4000};
/// Backoff after a target reported that it is full: about the duration of a non-streaming request.
inline constexpr milliseconds full_target_backoff{60};

/// Adds the entry or updates it, unless a newer revision is known. A restarted target starts with
/// new statistics.
void upsert_target(target_table& table, target_entry entry, time_point now);
/// Removes the target, or defers the removal after an outage.
void remove_target(target_table& table, std::string_view id, time_point now);
/// Replaces the content of the table by a complete list.
void replace_targets(target_table& table, std::vector<target_entry> all, time_point now);
/// Records that the platform is reachable again after an outage. Removals are deferred for the
/// grace period, but not beyond `limit`.
void record_platform_return(target_table& table, time_point now, time_point limit);
/// Whether entries that were removed together expired because heartbeats could not be stored,
/// rather than being removed by their targets. `since_trouble`: time since a call to the store last
/// failed in an outage; `stable_window`: after this time, removals take effect at once.
///
/// Scaling a service down and a store outage both remove several targets at once. Keeping targets
/// that were scaled down sends requests to stopped processes; dropping targets after an outage
/// rejects all requests for seconds.
[[nodiscard]] bool are_expired_entries(std::size_t vanished, milliseconds since_trouble,
                                       milliseconds stable_window);
/// Removes the targets whose deferred removal is due.
void remove_expired_targets(target_table& table, time_point now);

/// Records an answered non-streaming request.
void record_answer(target_state& target, double latency_ms);
/// Records a request that failed or stalled, and starts the backoff.
void record_request_failure(target_state& target, time_point now);
/// Records that the target rejected a request without running it.
void record_rejection(target_state& target, time_point now);
/// Records the time between two events of a stream.
void record_event_interval(target_state& target, double gap_ms);
/// The same, for the slowdowns of the target's service as well.
void record_event_interval(target_table& table, target_state& target, double gap_ms,
                           time_point now);

/// Expected time between two stream events of the target, in milliseconds; 0: unknown.
///
/// Targets differ permanently by up to a third, which an average over ten events can't distinguish
/// from noise, so streams would be moved back and forth. Targets also become several times slower
/// within moments. The long-term average is therefore used unless recent events deviate strongly.
[[nodiscard]] double expected_event_interval(const target_state& target);

/// The location of this host, from which the network latency to a target is estimated.
struct host_location {
    std::uint64_t salt = 0; ///< Differs by host, to vary the choice of targets.
    std::string_view zone;
    const std::map<std::string, std::string, std::less<>>* region_of_zone = nullptr;
    /// Open connections of this host; null: not taken into account.
    const loop::connection_pool* connections = nullptr;
};

/// Round trip time between two regions.
inline constexpr double inter_region_rtt_ms = 40;
/// Round trip time between two zones of a region.
inline constexpr double inter_zone_rtt_ms = 3;

/// Upper bound of the tie breaker; below the latency between zones.
inline constexpr double max_tie_breaker_ms = 2;
/// A pseudorandom latency offset for each pair of host and target, to spread load over equal
/// targets.
[[nodiscard]] double tie_breaker_ms(const host_location& from, std::string_view target_id);

/// Estimated round trip time to a zone.
[[nodiscard]] double network_rtt_ms(const host_location& from, std::string_view zone);

/// The target with the lowest expected response time for a non-streaming request, or null.
///
/// Designed for requests of 25 to 200 ms on services with 6 slots per target. The expected time is
/// the average latency, scaled by this host's requests in flight, plus the network latency and a
/// penalty for recent failures. This avoids queues at one target while others are idle, and ranks
/// targets that pass health checks but fail some of their requests last. A target to which an idle
/// connection is open is preferred where connections are limited; see `decide::choose_connection`.
[[nodiscard]] target_state* choose_target(target_table& table, std::string_view service,
                                          const host_location& from,
                                          const std::set<std::string, std::less<>>& excluded,
                                          time_point now);

} // namespace cornelloom::front
