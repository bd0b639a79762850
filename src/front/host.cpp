#include "front/host.hpp"

#include "kernel/hash.hpp"
#include "kernel/registry.hpp"

#include <array>
#include <cstdlib>
#include <iostream>

namespace cornelloom::front {

const adapter& linked_adapter() {
    const auto* found = kernel::plugin_registry<adapter>::instance().find("platform");
    if (found == nullptr) {
        std::cerr << "cornelloom: no platform adapter is linked into this program\n";
        std::exit(EXIT_FAILURE);
    }
    return *found;
}

namespace {

/// Memory of a process whose settings don't state it.
constexpr std::size_t default_memory_bytes = std::size_t{256} << 20U;
/// Answers that are being read may take a quarter of the memory of the process.
constexpr std::size_t answer_memory_divisor = 4;
/// Answers of the largest size for which there is room.
constexpr std::size_t answers_in_memory = 8;
/// Bodies of requests may take a quarter, too, those of callers and of other hosts an eighth each:
/// a body is copied to be sent on.
constexpr std::size_t body_memory_divisor = 8;

} // namespace

host::host(loop::io_context& loop, const adapter& platform, host_settings loaded_settings)
    : io(loop), platform_adapter(platform), settings(std::move(loaded_settings)), connections(loop),
      store(connections, settings.platform),
      random(kernel::hash64(settings.host) ^ static_cast<std::uint64_t>(clock.wall_now().unix_ms)),
      startup_changed(loop), caches(loop), lead(loop), crashes(loop) {
    crashes.rules = default_quarantine_rules();
    const auto memory_bytes =
        settings.memory_bytes > 0 ? settings.memory_bytes : default_memory_bytes;
    connections.memory->max_total_bytes = memory_bytes / answer_memory_divisor;
    connections.memory->max_answer_bytes = connections.memory->max_total_bytes / answers_in_memory;
    caller_bodies->max_bytes = memory_bytes / body_memory_divisor;
    peer_bodies->max_bytes = memory_bytes / body_memory_divisor;
    if (settings.duties) {
        usage.window_length = settings.duties->usage_window;
        demand.window_length = settings.duties->usage_window;
    }
}

loop::milliseconds store_retry_delay(host& self, loop::milliseconds max_delay) {
    return retry_delay(self.store.paths, max_delay,
                       std::uniform_real_distribution<>()(self.random));
}

namespace {

/// Answers that took longer say little about the time at the peer.
constexpr milliseconds max_time_round_trip{100};
/// Later times of day overflow in sums.
constexpr std::int64_t latest_unix_ms = 1'000'000'000'000'000;
constexpr std::chrono::seconds max_peer_age{10};

std::int64_t steady_ms(time_point when) {
    return std::chrono::duration_cast<milliseconds>(when.time_since_epoch()).count();
}

} // namespace

std::int64_t unix_now(host& self) {
    // Only hosts that count in windows exchange their times of day.
    if (!self.settings.duties || !self.settings.duties->reports_usage) {
        return self.clock.wall_now().unix_ms;
    }
    const auto now = self.clock.boot_now();
    std::erase_if(self.clocks,
                  [&](const auto& each) { return now - each.second.received > max_peer_age; });
    std::vector<std::int64_t> peers;
    for (const auto& [address, clock] : self.clocks) {
        peers.push_back(steady_ms(now) + clock.offset_ms);
    }
    const auto before = self.wall_guard.offset_ms;
    const auto unix_ms =
        decide::guarded_unix_ms(self.wall_guard, now, self.clock.wall_now().unix_ms, peers);
    const auto moved = before ? *self.wall_guard.offset_ms - *before : 0;
    if (std::abs(moved) > decide::max_drift_ms) {
        log_event(self, clock_corrected,
                  {{"by_ms", moved}, {"peers", static_cast<std::uint64_t>(peers.size())}});
    }
    return unix_ms;
}

void record_peer_time(host& self, const transport::endpoint& peer, std::int64_t unix_ms,
                      time_point sent) {
    const auto now = self.clock.boot_now();
    const auto round_trip = std::chrono::duration_cast<milliseconds>(now - sent);
    const bool sound = unix_ms >= 0 && unix_ms <= latest_unix_ms;
    if (sound && round_trip <= max_time_round_trip) {
        const auto there_ms = unix_ms + round_trip.count() / 2;
        self.clocks.insert_or_assign(peer, peer_clock{there_ms - steady_ms(now), now});
    }
}

std::string counter_name(const host& self) {
    return self.settings.host + "/" + std::to_string(self.salt);
}

void count_usage(host& self, const std::optional<std::string>& account, time_point when) {
    const bool wanted = self.settings.duties && self.settings.duties->reports_usage;
    if (!wanted || !account || account->empty()) {
        return;
    }
    const auto ago = std::chrono::duration_cast<milliseconds>(self.now() - when);
    increment(self.usage, counter_name(self), *account, unix_now(self) - ago.count());
}

milliseconds configuration_age(const host& self) {
    if (self.configuration_confirmed_at == time_point{}) {
        return milliseconds::max();
    }
    return std::chrono::duration_cast<milliseconds>(self.clock.boot_now() -
                                                    self.configuration_confirmed_at);
}

host_entry host_entry_of(const host& self) {
    const auto& settings = self.settings;
    return {settings.host, settings.zone, settings.peer_endpoint, settings.cpu_share};
}

void log_event(host& self, const kernel::event& kind, std::initializer_list<kernel::field> fields) {
    auto& rate = self.line_rates[kind.number];
    const auto now = self.now();
    if (now - rate.window_start >= std::chrono::seconds(1)) {
        if (rate.dropped > 0) {
            kernel::log(lines_dropped, {{"of", kind.name}, {"lines", rate.dropped}});
        }
        rate = {now, 0, 0};
    }
    if (++rate.lines > max_lines_per_second) {
        ++rate.dropped;
        self.metrics.count("cornelloom_log_lines_dropped_total");
        return;
    }
    kernel::log(kind, fields);
}

namespace {

/// Bytes of a text of another writer in a log line.
constexpr std::size_t max_logged_text = 200;

} // namespace

void report_unreadable(host& self, std::string_view kind, std::string_view name,
                       std::string_view problem) {
    log_event(self, object_unreadable,
              {{"kind", kind},
               {"id", name.substr(0, max_logged_text)},
               {"problem", problem.substr(0, max_logged_text)}});
    const std::array labels{kernel::label{"kind", kind}};
    self.metrics.count("cornelloom_unreadable_objects_total", labels);
}

} // namespace cornelloom::front
