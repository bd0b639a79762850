#pragma once

#include "decide/item_order.hpp"
#include "decide/move_budget.hpp"
#include "decide/wall_clock_guard.hpp"
#include "front/adapter.hpp"
#include "front/copies.hpp"
#include "front/crash_watch.hpp"
#include "front/events.hpp"
#include "front/feeder_choice.hpp"
#include "front/leadership.hpp"
#include "front/routing.hpp"
#include "front/slot_claims.hpp"
#include "front/start_up.hpp"
#include "front/store_client.hpp"
#include "front/targets.hpp"
#include "front/text_length.hpp"
#include "front/window_counts.hpp"
#include "kernel/clock.hpp"
#include "kernel/metrics.hpp"
#include "loop/gate.hpp"

#include <deque>
#include <initializer_list>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>

namespace cornelloom::front {

/// Cached objects of one kind, which this host passes on to other hosts of its zone.
struct feed_cache {
    explicit feed_cache(loop::io_context& loop) : changed(loop) {}

    struct change_set {
        std::uint64_t at = 0;
        std::vector<object_change> changes;
    };

    std::map<std::string, stored_object, std::less<>> objects{};
    std::deque<change_set> history{}; ///< Changes after the oldest known revision, in order.
    std::uint64_t history_start = 0;  ///< Revision before the first change in `history`.
    std::uint64_t at = 0;             ///< Store revision of the cached objects; 0: none cached.
    bool watching = false;            ///< This host is watching the store for this kind.
    /// Encoded answers of one store revision, by the revision that they start from.
    std::map<std::uint64_t, std::string> encoded{};
    std::uint64_t encoded_revision = 0; ///< That store revision.
    time_point last_unserved_poll{}; ///< When this host last had no answer for a host of its zone.
    loop::gate changed;              ///< Opened when any of the above changes.
};

/// Cached objects by kind. An entry is created on first use.
struct feed_caches {
    explicit feed_caches(loop::io_context& loop) : io(&loop) {}

    loop::io_context* io;
    std::map<object_kind, feed_cache> by_kind{};

    feed_cache& operator[](object_kind kind) {
        return by_kind.try_emplace(kind, *io).first->second;
    }

    auto find(object_kind kind) { return by_kind.find(kind); }

    auto end() { return by_kind.end(); }
};

/// The time of day of another host.
struct peer_clock {
    std::int64_t offset_ms = 0; ///< Its Unix time less this host's steady time, in milliseconds.
    time_point received{};
};

/// Times of day of other hosts, by the address at which they answered.
using peer_clocks = std::map<transport::endpoint, peer_clock>;

struct live_batch;

/// State of one process, shared by everything that runs on its event loop.
struct host {
    host(loop::io_context& loop, const adapter& platform, host_settings loaded_settings);

    loop::io_context& io;
    const adapter& platform_adapter;
    host_settings settings;
    kernel::runtime_clock clock{};
    kernel::metrics metrics{};
    loop::connection_pool connections;
    std::shared_ptr<loop::body_memory> caller_bodies = std::make_shared<loop::body_memory>();
    std::shared_ptr<loop::body_memory> peer_bodies = std::make_shared<loop::body_memory>();
    store_client store;
    std::mt19937_64 random;
    std::uint64_t salt = random();

    time_point started_at = clock.boot_now();    ///< A time of `boot_now`.
    bool targets_listed = false;                 ///< The list was read since the start.
    bool store_failed = false;                   ///< A call got no answer since the start.
    loop::gate startup_changed;                  ///< Opened when `startup_state_of` changes.
    std::shared_ptr<const route_index> routes{}; ///< Null until a configuration has been read.
    target_table targets{};
    length_models lengths{};
    std::map<std::string, int, std::less<>> published_versions{}; ///< By model.
    host_entries peers{};                                         ///< The other hosts.
    /// When the known configuration was last confirmed to be the newest in the store, as a time of
    /// `boot_now`; zero: never.
    time_point configuration_confirmed_at{};
    bool configuration_valid = true; ///< False if the newest version could not be parsed.
    feed_caches caches;
    copy_states copies{}; ///< Of what this host reads from the store or a feeder.
    avoided_feeders avoided{};
    leadership lead;
    std::shared_ptr<loop::gate> key_lookup{}; ///< Opened when the current lookup ends; or null.
    time_point last_key_lookup{};             ///< When the last lookup began; zero: none yet.
    decide::wall_clock_guard wall_guard{};    ///< See `unix_now`.
    peer_clocks clocks{};                     ///< Times of day of other hosts.
    window_counts usage{};                    ///< Requests that started to run, by client account.
    window_counts demand{};                   ///< Items in progress concurrently, by service.
    std::vector<std::shared_ptr<live_batch>> running_batches{}; ///< Those that this host runs.
    /// Ids of the items that did not finish, by batch that this host ran lately.
    std::deque<std::set<std::string, std::less<>>> unfinished_items{};
    decide::account_costs account_costs{}; ///< Items started lately, by client account.
    decide::move_budget moves{};           ///< Moves to faster targets that may be made now.
    bool targets_shared = false;           ///< Other hosts had claims when limits were last set.
    slot_claims claims{};                  ///< Claims of other hosts on the slots of targets.
    crash_watch crashes;                   ///< Requests that may crash their targets.
    bool sends_load_orders =
        false; ///< This host sends load orders to targets, or may soon have to.
    bool stopping = false;
    time_point serves_until{}; ///< When a process that is stopping ends what it still serves.
    bool refusing_requests =
        false;         ///< New requests are refused because the process is about to exit.
    int in_flight = 0; ///< Caller requests in progress.

    struct line_rate {
        time_point window_start{};
        std::uint64_t lines = 0;
        std::uint64_t dropped = 0;
    };

    std::map<int, line_rate> line_rates{}; ///< By event number.

    [[nodiscard]] time_point now() const { return clock.now(); }

    [[nodiscard]] host_location here() const {
        return {salt, settings.zone, &settings.region_of_zone, &connections};
    }
};

/// Maximum number of log lines per event and second. A busy day has under fifty; the limit bounds
/// the cost of logging at a hundred times that load.
inline constexpr std::uint64_t max_lines_per_second = 100;

/// Logs an event unless it has reached its rate limit in the current second.
void log_event(host& self, const kernel::event& kind, std::initializer_list<kernel::field> fields);

/// Logs and counts an object that can't be read, or another message of that kind. `name`: empty if
/// it has none.
void report_unreadable(host& self, std::string_view kind, std::string_view name,
                       std::string_view problem);

/// What this host has read from the store since its start.
[[nodiscard]] inline startup_state startup_state_of(const host& self) {
    const bool confirmed =
        !self.settings.revocation_bound || self.configuration_confirmed_at != time_point{};
    return {self.routes != nullptr && confirmed, self.targets_listed, self.store_failed};
}

/// Name under which this process counts requests; it differs after each start.
[[nodiscard]] std::string counter_name(const host& self);

/// The time of day in Unix milliseconds, which does not follow jumps of this host's clock.
[[nodiscard]] std::int64_t unix_now(host& self);

/// Records the time of day that another host has stated in its answer to a request that was sent at
/// `sent`, a time of `boot_now`.
void record_peer_time(host& self, const transport::endpoint& peer, std::int64_t unix_ms,
                      time_point sent);

/// Counts a request that started to run at `when`, for the usage report.
void count_usage(host& self, const std::optional<std::string>& account, time_point when);

/// Upper bound of the age of the configuration that this host knows.
[[nodiscard]] milliseconds configuration_age(const host& self);

/// How long to wait before the next store call after a failure; see `retry_delay`.
[[nodiscard]] loop::milliseconds store_retry_delay(host& self, loop::milliseconds max_delay);

/// This host's entry in the list of hosts.
[[nodiscard]] host_entry host_entry_of(const host& self);

[[nodiscard]] inline double ms_between(time_point from, time_point to) {
    return std::chrono::duration<double, std::milli>(to - from).count();
}

/// Converts a time of the host's clock to a deadline for socket operations.
[[nodiscard]] inline loop::deadline to_deadline(const host& self, time_point when) {
    return loop::steady_clock::now() +
           std::chrono::duration_cast<loop::steady_clock::duration>(when - self.now());
}

} // namespace cornelloom::front
