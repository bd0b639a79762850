#pragma once

#include "front/adapter.hpp"
#include "front/events.hpp"
#include "front/feeder_choice.hpp"
#include "front/leadership.hpp"
#include "front/routing.hpp"
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

/// What a host passes on to others of its zone, for one kind of objects.
struct kept_kind {
    explicit kept_kind(loop::io_context& loop) : changed(loop) {}

    struct step {
        std::uint64_t at = 0;
        std::vector<object_change> changes;
    };

    std::map<std::string, stored_object, std::less<>> objects{};
    std::deque<step> recent{}; ///< Changes after `oldest`, in order.
    std::uint64_t oldest = 0;
    std::uint64_t at = 0; ///< The store's revision that all this shows; 0: nothing yet.
    bool live = false;    ///< This host watches the store for this kind now.
    /// Answers that were made since `at`, by the revision that they begin at.
    std::map<std::uint64_t, std::string> encoded{};
    std::uint64_t encoded_at = 0; ///< The revision that they show.
    time_point asked{};           ///< When a host of the zone last asked for it in vain.
    loop::gate changed;           ///< Opened when any of this changes.
};

/// Creates the entry of a kind at its first use.
struct kept_kinds {
    explicit kept_kinds(loop::io_context& loop) : io(&loop) {}

    loop::io_context* io;
    std::map<object_kind, kept_kind> by_kind{};

    kept_kind& operator[](object_kind kind) { return by_kind.try_emplace(kind, *io).first->second; }

    auto find(object_kind kind) { return by_kind.find(kind); }

    auto end() { return by_kind.end(); }
};

/// What one process believes; everything on its loop works on this.
struct host {
    host(loop::io_context& loop, const adapter& platform, host_settings given);

    loop::io_context& io;
    const adapter& wire;
    host_settings settings;
    kernel::runtime_clock clock{};
    kernel::metrics metrics{};
    loop::connection_pool connections;
    store_client store;
    std::mt19937_64 random;
    std::uint64_t salt = random();

    time_point started = clock.now();            ///< Of this process.
    bool targets_listed = false;                 ///< Since the start of this process.
    bool store_failed = false;                   ///< A call got no answer since the start.
    loop::gate learned;                          ///< Opened when `knowledge_of` changes.
    std::shared_ptr<const route_index> routes{}; ///< Null until a configuration is known.
    target_table targets{};
    length_models lengths{};
    std::map<std::string, int, std::less<>> named_versions{}; ///< By model.
    host_entries peers{};                                     ///< Without this host.
    /// The configuration that is known was the store's newest then, on `boot_now`; zero: unknown.
    time_point configuration_as_of{};
    bool configuration_sound = true; ///< False: the newest version could not be read.
    kept_kinds kept;
    avoided_feeders avoided{};
    leadership lead;
    window_counts usage{};       ///< Requests that began to run, by client account.
    window_counts demand{};      ///< Items that were in work at once, by service.
    bool wants_versions = false; ///< This host gives orders to targets, or may have to soon.
    bool stopping = false;
    bool closing_soon = false; ///< New requests are refused: the process ends in a moment.
    int in_flight = 0;         ///< Requests of callers that are being served.

    struct line_rate {
        time_point second{};
        std::uint64_t lines = 0;
        std::uint64_t dropped = 0;
    };

    std::map<int, line_rate> line_rates{}; ///< By event number.

    [[nodiscard]] time_point now() const { return clock.now(); }

    [[nodiscard]] distance here() const { return {salt, settings.zone, &settings.region_of_zone}; }
};

/// Lines of one kind in a second. A busy day has under fifty; a hundred times the load costs no
/// more than this.
inline constexpr std::uint64_t lines_per_second_most = 100;

/// Writes a line, unless its kind has had its lines of this second.
void note(host& self, const kernel::event& kind, std::initializer_list<kernel::field> fields);

/// What this host has learned since its start.
[[nodiscard]] inline start_knowledge knowledge_of(const host& self) {
    const bool proved = !self.settings.revocation || self.configuration_as_of != time_point{};
    return {self.routes != nullptr && proved, self.targets_listed, self.store_failed};
}

/// Takes note that what this host knows of the kind was the store's newest at `when`, a point on
/// `boot_now`.
void note_confirmed(host& self, object_kind kind, time_point when);

/// The name under which this process counts requests: another one after each start.
[[nodiscard]] std::string counter_name(const host& self);

/// Counts a request that began to run at `when`, for the report of usage.
void count_usage(host& self, const std::optional<std::string>& account, time_point when);

/// How old this host's knowledge of the configuration may be at most.
[[nodiscard]] milliseconds configuration_age(const host& self);

/// The pause of this host before it makes a call to the store again; see `pause_after`.
[[nodiscard]] loop::milliseconds store_pause(host& self, loop::milliseconds most);

/// This host as its peers know it.
[[nodiscard]] host_entry own_entry(const host& self);

/// Milliseconds between two points of time.
[[nodiscard]] inline double ms_between(time_point from, time_point to) {
    return std::chrono::duration<double, std::milli>(to - from).count();
}

/// The deadline of socket operations that is this far from the host's `now`.
[[nodiscard]] inline loop::deadline to_deadline(const host& self, time_point when) {
    return loop::steady_clock::now() +
           std::chrono::duration_cast<loop::steady_clock::duration>(when - self.now());
}

} // namespace cornelloom::front
