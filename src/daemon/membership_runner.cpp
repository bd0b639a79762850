#include "daemon/membership_runner.hpp"

#include "daemon/events.hpp"

#include <algorithm>
#include <ranges>

namespace cornelloom::daemon {

namespace {

coord::member_info own_info(const context& shared) {
    const auto& settings = shared.settings;
    return {settings.host, settings.zone, settings.region,
            config::to_string(settings.advertise_gossip),
            config::to_string(settings.advertise_peer)};
}

std::vector<std::string> seed_addresses(const context& shared) {
    std::vector<std::string> all;
    std::ranges::transform(shared.settings.seeds, std::back_inserter(all),
                           [](const auto& seed) { return config::to_string(seed); });
    return all;
}

} // namespace

membership_runner::membership_runner(context& shared, sender send, membership_listener listener)
    : shared_(shared), send_(std::move(send)), listener_(std::move(listener)),
      state_(coord::make_membership(
          {}, own_info(shared), static_cast<std::uint64_t>(shared.clock.wall_now().unix_ms),
          seed_addresses(shared), std::random_device{}(), shared.clock.now())) {}

void membership_runner::on_datagram(const std::string& from, std::string_view bytes) {
    apply(coord::datagram_received{from, bytes});
}

void membership_runner::tick() {
    apply(coord::membership_tick{});
}

void membership_runner::add_seeds(std::vector<std::string> addresses) {
    apply(coord::seeds_heard{std::move(addresses)});
}

void membership_runner::announce_leaving() {
    apply(coord::leaving_announced{});
}

void membership_runner::depart() {
    apply(coord::departure{});
}

void membership_runner::set_configuration(const coord::configuration_hint& hint) {
    apply(coord::configuration_in_force{hint});
}

void membership_runner::publish(coord::gossip_item item) {
    apply(coord::item_published{std::move(item)});
}

std::vector<coord::member> membership_runner::live() const {
    const std::lock_guard lock(mutex_);
    std::vector<coord::member> copies;
    std::ranges::transform(coord::live_members(state_), std::back_inserter(copies),
                           [](const coord::member* one) { return *one; });
    return copies;
}

std::vector<coord::member> membership_runner::all() const {
    const std::lock_guard lock(mutex_);
    std::vector<coord::member> copies;
    std::ranges::copy(state_.members | std::views::values, std::back_inserter(copies));
    return copies;
}

std::optional<coord::member> membership_runner::find(const kernel::host_id& host) const {
    const std::lock_guard lock(mutex_);
    const auto it = state_.members.find(host);
    return it == state_.members.end() ? std::nullopt : std::optional(it->second);
}

std::optional<coord::held_item> membership_runner::find_item(const coord::item_key& key) const {
    const std::lock_guard lock(mutex_);
    const auto* item = coord::find_item(state_, key, shared_.clock.now());
    return item == nullptr ? std::nullopt : std::optional(*item);
}

coord::membership_counts membership_runner::counts() const {
    const std::lock_guard lock(mutex_);
    return state_.counts;
}

void membership_runner::apply(const coord::membership_event& event) {
    coord::membership_effects effects;
    std::vector<std::pair<coord::item_key, coord::held_item>> items;
    {
        const std::lock_guard lock(mutex_);
        effects = coord::step(state_, event, shared_.clock.now());
        for (const auto& key : effects.items) {
            if (const auto it = state_.items.find(key); it != state_.items.end()) {
                items.emplace_back(key, it->second);
            }
        }
    }
    for (const auto& one : effects.send) {
        send_(one.to, one.bytes);
    }
    for (const auto& change : effects.changes) {
        kernel::log(events::member_changed,
                    {{"host", change.host.str()}, {"what", coord::to_string(change.what)}});
    }
    if (!effects.changes.empty()) {
        listener_.hosts_changed();
    }
    for (const auto& [key, item] : items) {
        listener_.item_heard(key, item);
    }
    std::ranges::for_each(effects.hints, listener_.hint_heard);
}

} // namespace cornelloom::daemon
