#include "soak/internal/play_troubles.hpp"

#include <boost/asio/detached.hpp>

#include <csignal>
#include <cstdio>

namespace cornelloom::soak {

namespace {

/// Added to each piece on a slow link; both directions have it.
constexpr milliseconds slow_link{150};
constexpr milliseconds slow_store{400};
constexpr double slow_target = 6;
constexpr int writes_in_trouble = 3;
/// More than a host has calls at a time, so that waiting ones are among them.
constexpr int store_answers_in_trouble = 12;
constexpr int answers_in_trouble = 4;
constexpr int configurations = 6;
constexpr milliseconds configuration_pause{120};
/// The platform drops the entry of a target after three heartbeats of 1.2 s.
constexpr milliseconds entry_lapses{3600};
constexpr milliseconds end_tick{20};

milliseconds span(double seconds) {
    return milliseconds(static_cast<std::int64_t>(seconds * 1000));
}

program& pick_host(day& self, std::uint32_t pick) {
    return *self.hosts.at(pick % self.hosts.size());
}

played_target& pick_target(day& self, std::uint32_t pick) {
    return self.targets.at(pick % self.targets.size());
}

loop::task<void> pause_host(day& self, program& host, milliseconds length) {
    signal(host, SIGSTOP);
    const int boot = host.boot;
    co_await loop::pause_for(self.io, length);
    if (host.boot == boot) {
        signal(host, SIGCONT);
        self.book.thawed[host.settings.host] = loop::steady_clock::now();
    }
}

loop::task<void> harm_link(day& self, proxy& way, link_state state, milliseconds length) {
    set_link(way, state, slow_link);
    co_await loop::pause_for(self.io, length);
    set_link(way, link_state::open);
}

loop::task<void> crash_target(day& self, played_target& one, milliseconds length) {
    if (one.crashed) {
        co_return;
    }
    one.crashed = true;
    one.target->troubles.crashed = true;
    reset_links(*one.way);
    co_await loop::pause_for(self.io, std::min(length, entry_lapses));
    if (length >= entry_lapses) {
        unlist_target(*one.target);
        co_await loop::pause_for(self.io, length - entry_lapses);
    }
    restart_target(*one.target);
    one.crashed = false;
}

loop::task<void> configure_in_a_row(day& self) {
    for (int count = 0; count < configurations; ++count) {
        configure(self);
        co_await loop::pause_for(self.io, configuration_pause);
    }
}

/// Troubles of hosts; false if this is none of them.
loop::task<bool> harm_hosts(day& self, const planned_trouble& one) {
    auto& host = pick_host(self, one.pick);
    switch (one.what) {
    case trouble::host_killed:
        signal(host, SIGKILL);
        break;
    case trouble::host_paused:
        co_await pause_host(self, host, span(one.for_s));
        break;
    case trouble::host_asked_to_end:
        co_await restart_in_order(self, host);
        break;
    case trouble::host_reloaded:
        signal(host, SIGHUP);
        break;
    case trouble::all_hosts_killed:
        for (auto& each : self.hosts) {
            signal(*each, SIGKILL);
        }
        break;
    default:
        co_return false;
    }
    co_return true;
}

/// Troubles of the links of one host to the store; false if this is none of them.
loop::task<bool> harm_store_way(day& self, const planned_trouble& one) {
    auto& way = *pick_host(self, one.pick).store_way;
    const auto length = span(one.for_s);
    switch (one.what) {
    case trouble::store_way_silent:
        co_await harm_link(self, way, link_state::silent, length);
        break;
    case trouble::store_way_there_cut:
        co_await harm_link(self, way, link_state::no_way_there, length);
        break;
    case trouble::store_way_back_cut:
        co_await harm_link(self, way, link_state::no_way_back, length);
        break;
    case trouble::store_way_slow:
        co_await harm_link(self, way, link_state::delayed, length);
        break;
    case trouble::store_way_reset:
        reset_links(way);
        break;
    case trouble::store_way_old_silent:
        co_await harm_link(self, way, link_state::silent_when_old, length);
        break;
    default:
        co_return false;
    }
    co_return true;
}

/// Troubles of the store itself; false if this is none of them.
loop::task<bool> harm_store(day& self, const planned_trouble& one) {
    auto& troubles = self.platform->troubles;
    const auto length = span(one.for_s);
    switch (one.what) {
    case trouble::store_refuses:
        troubles.refusing = true;
        standins::cut_watches(*self.platform);
        co_await loop::pause_for(self.io, length);
        troubles.refusing = false;
        break;
    case trouble::store_silent:
        troubles.silent = true;
        co_await loop::pause_for(self.io, length);
        troubles.silent = false;
        break;
    case trouble::store_slow:
        troubles.slow = slow_store;
        co_await loop::pause_for(self.io, length);
        troubles.slow = milliseconds(0);
        break;
    case trouble::store_answers_lost:
        troubles.answers_to_lose += store_answers_in_trouble;
        break;
    case trouble::store_writes_late:
        troubles.writes_to_delay += writes_in_trouble;
        break;
    case trouble::store_history_gone:
        standins::forget_history(*self.platform);
        break;
    case trouble::store_watches_cut:
        standins::cut_watches(*self.platform);
        break;
    default:
        co_return false;
    }
    co_return true;
}

/// Troubles of one target; false if this is none of them.
loop::task<bool> harm_target(day& self, const planned_trouble& one) {
    auto& hit = pick_target(self, one.pick);
    auto& troubles = hit.target->troubles;
    const auto length = span(one.for_s);
    switch (one.what) {
    case trouble::target_crashed:
        co_await crash_target(self, hit, length);
        break;
    case trouble::target_slow:
        troubles.slowness = slow_target;
        co_await loop::pause_for(self.io, length);
        troubles.slowness = 1;
        break;
    case trouble::target_refuses:
        troubles.refusing = true;
        co_await loop::pause_for(self.io, length);
        troubles.refusing = false;
        break;
    case trouble::target_answers_lost:
        troubles.answers_to_lose += answers_in_trouble;
        break;
    case trouble::target_answers_mixed:
        troubles.answers_to_mix += answers_in_trouble;
        break;
    case trouble::target_orders_late:
        troubles.orders_to_delay += 1;
        break;
    default:
        co_return false;
    }
    co_return true;
}

/// Troubles of the link to one target; false if this is none of them.
loop::task<bool> harm_target_way(day& self, const planned_trouble& one) {
    auto& way = *pick_target(self, one.pick).way;
    const auto length = span(one.for_s);
    switch (one.what) {
    case trouble::target_way_silent:
        co_await harm_link(self, way, link_state::silent, length);
        break;
    case trouble::target_way_back_cut:
        co_await harm_link(self, way, link_state::no_way_back, length);
        break;
    case trouble::target_way_reset:
        reset_links(way);
        break;
    case trouble::target_way_old_silent:
        co_await harm_link(self, way, link_state::silent_when_old, length);
        break;
    default:
        co_return false;
    }
    co_return true;
}

loop::task<void> change_configuration(day& self, const planned_trouble& one) {
    if (one.what == trouble::configuration_changed) {
        configure(self);
    } else if (one.what == trouble::configurations_in_a_row) {
        co_await configure_in_a_row(self);
    }
}

loop::task<void> play_one(day& self, planned_trouble one) {
    ++self.book.troubles;
    std::array<char, 16> when{};
    std::snprintf(when.data(), when.size(), "%.1f ", one.at_s);
    self.played.push_back(when.data() + std::string(to_string(one.what)));
    bool played = co_await harm_hosts(self, one);
    if (!played) {
        played = co_await harm_store_way(self, one);
    }
    if (!played) {
        played = co_await harm_store(self, one);
    }
    if (!played) {
        played = co_await harm_target(self, one);
    }
    if (!played) {
        played = co_await harm_target_way(self, one);
    }
    if (!played) {
        co_await change_configuration(self, one);
    }
    --self.book.troubles;
    self.book.calm_since = loop::steady_clock::now();
}

} // namespace

loop::task<void> play_troubles(day& self) {
    const auto began = loop::steady_clock::now();
    for (const auto& one : draw_troubles(self.options.seed, self.options.troubles_s)) {
        const auto wait = began + span(one.at_s) - loop::steady_clock::now();
        if (wait > loop::steady_clock::duration::zero()) {
            co_await loop::pause_for(self.io, wait);
        }
        loop::asio::co_spawn(self.io, play_one(self, one), loop::asio::detached);
    }
    while (self.book.troubles > 0) {
        co_await loop::pause_for(self.io, end_tick);
    }
}

loop::task<void> restart_in_order(day& self, program& host) {
    const int boot = host.boot;
    signal(host, SIGTERM);
    const auto until = loop::after(host.settings.grace_period);
    while (host.boot == boot && loop::steady_clock::now() < until) {
        co_await loop::pause_for(self.io, end_tick);
    }
    if (host.boot == boot) {
        signal(host, SIGKILL);
    }
    while (host.boot == boot && !self.over) {
        co_await loop::pause_for(self.io, end_tick);
    }
}

} // namespace cornelloom::soak
