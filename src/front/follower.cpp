#include "front/follower.hpp"

#include "front/feed.hpp"
#include "front/json.hpp"
#include "front/records.hpp"
#include "front/retirement.hpp"
#include "front/watch.hpp"
#include "loop/spawn.hpp"

#include <algorithm>
#include <iterator>
#include <set>

namespace cornelloom::front {

namespace {

/// Target changes come in bursts, one for each load of weights. A delay before the next call lets
/// it carry several of them. The delay is the drain bound, after which a leaving target must get no
/// more work, divided by this.
constexpr int target_delays_per_drain = 5;
/// Upper bound of that delay on the host that gives orders to targets: target changes tell it that
/// a load of weights has ended and the next one may start.
constexpr loop::milliseconds max_order_giver_delay{400};
/// Delay at start. Hosts start at the same time; after this, each knows most peers of its zone.
constexpr loop::milliseconds startup_delay{400};

std::optional<target_entry> decode_target(host& self, const stored_object& object) {
    auto read = self.platform_adapter.target(object);
    if (!read) {
        report_unusable(self, object_kind::targets, object, read.error().detail);
        return std::nullopt;
    }
    return read.value();
}

/// Logs one target in full, on hosts that watch the store. The other hosts get the same data from
/// them and log only the number of changes.
void report_target(host& self, const target_entry& entry) {
    if (!watches_store(self)) {
        return;
    }
    std::string versions;
    for (const auto& [model, version] : entry.versions) {
        versions += (versions.empty() ? "" : ",") + model + ":" + std::to_string(version);
    }
    log_event(self, target_changed,
              {{"target", entry.id},
               {"service", entry.service},
               {"at", to_string(entry.address)},
               {"draining", entry.draining},
               {"versions", versions},
               {"revision", entry.revision}});
}

void report_target_changes(host& self, std::span<const object_change> changes,
                           std::size_t previous_count) {
    const auto deleted_count = std::ranges::count_if(changes, &object_change::deleted);
    const auto newest = std::ranges::max_element(
        changes, {}, [](const object_change& change) { return change.object.revision; });
    log_event(self, targets_changed,
              {{"changed", static_cast<std::uint64_t>(changes.size())},
               {"gone", static_cast<std::uint64_t>(deleted_count)},
               {"targets", static_cast<std::uint64_t>(self.targets.by_id.size())},
               {"before", static_cast<std::uint64_t>(previous_count)},
               {"revision", newest->object.revision}});
}

void apply_target_list(host& self, std::span<const stored_object> all) {
    std::vector<target_entry> entries;
    for (const auto& object : all) {
        if (auto entry = decode_target(self, object)) {
            entries.push_back(std::move(*entry));
        }
    }
    replace_targets(self.targets, std::move(entries), self.now());
    self.targets_listed = true;
    self.startup_changed.open();
}

void apply_target_changes(host& self, std::span<const object_change> changes) {
    const auto deleted_count = std::ranges::count_if(changes, &object_change::deleted);
    const auto since_outage = std::chrono::duration_cast<milliseconds>(
        loop::steady_clock::now() - self.store.paths.last_outage_failure);
    if (are_expired_entries(static_cast<std::size_t>(deleted_count), since_outage,
                            self.settings.stable_window)) {
        defer_removals(self);
    }
    const auto previous_count = self.targets.by_id.size();
    for (const auto& change : changes) {
        if (change.deleted) {
            log_event(self, target_gone, {{"target", change.object.name}});
            remove_target(self.targets, change.object.name, self.now());
            continue;
        }
        if (auto entry = decode_target(self, change.object)) {
            report_target(self, *entry);
            upsert_target(self.targets, std::move(*entry), self.now());
        } else {
            remove_target(self.targets, change.object.name, self.now());
        }
    }
    report_target_changes(self, changes, previous_count);
}

/// The entry that the store has now counts, so that a wrong version lasts no longer than its entry.
void apply_version(host& self, const stored_object& object) {
    auto read = self.platform_adapter.version(object.specification);
    if (!read) {
        report_unusable(self, object_kind::versions, object, read.error().detail);
        return;
    }
    if (read.value().model != object.name) {
        report_unusable(self, object_kind::versions, object, "names another model");
        return;
    }
    auto& known = self.published_versions[read.value().model];
    if (read.value().version != known) {
        known = read.value().version;
        log_event(
            self, version_named,
            {{"model", read.value().model}, {"version", known}, {"revision", object.revision}});
    }
}

void apply_peer(host& self, const stored_object& object) {
    if (object.name == self.settings.host) {
        return;
    }
    auto read = decode_host(object.name, object.specification);
    if (read && read.value().address == self.settings.peer_endpoint) {
        self.peers.erase(object.name); // this host had another name before
    } else if (read) {
        self.peers[object.name] = std::move(read.value());
    } else {
        report_unusable(self, object_kind::hosts, object, read.error().detail);
    }
}

/// Watches a kind whose objects are applied one by one and are kept when they are deleted.
watched_kind apply_each(const std::shared_ptr<host>& self, object_kind kind,
                        loop::milliseconds (*delay)(), void (*apply)(host&, const stored_object&)) {
    return {kind, delay,
            [self, apply](std::span<const stored_object> all) {
                std::ranges::for_each(all,
                                      [&](const stored_object& object) { apply(*self, object); });
            },
            [self, apply](std::span<const object_change> changes) {
                for (const auto& change : changes) {
                    if (!change.deleted) {
                        apply(*self, change.object);
                    }
                }
            }};
}

/// Whether the existing object that made a create fail already holds `record`. It does when this
/// host's process was stopped or killed and has started again.
bool already_stored(const host& self, std::string_view body, std::string_view record) {
    const auto object = self.platform_adapter.object(body);
    return object && object.value().specification == parse_json(record);
}

/// Stores this host's entry in the list of hosts; `stored` says whether it is there.
loop::task<void> announce_once(std::shared_ptr<host> self, std::shared_ptr<bool> stored) {
    const auto own = host_entry_of(*self);
    const auto record = encode_host(own);
    const auto kind = object_kind::hosts;
    auto response =
        co_await call_store(self->store, self->platform_adapter.create(kind, own.name, record));
    if (response.fault == store_outcome::conflict) {
        if (already_stored(*self, response.body, record)) {
            *stored = true;
            co_return;
        }
        response = co_await call_store(self->store,
                                       self->platform_adapter.replace(kind, own.name, record, 0));
    }
    *stored = response.fault == store_outcome::none;
}

loop::task<void> announce_host(std::shared_ptr<host> self) {
    const auto stored = std::make_shared<bool>(false);
    for (;;) {
        co_await loop::report_errors("announce host", announce_once(self, stored));
        if (*stored) {
            co_return;
        }
        co_await loop::pause_for(self->io, store_retry_delay(*self, max_store_delay));
    }
}

watched_kind watch_targets(const std::shared_ptr<host>& self) {
    const auto usual_delay = self->settings.drain_bound / target_delays_per_drain;
    const auto delay = [self, usual_delay] {
        return self->sends_load_orders ? std::min(usual_delay, max_order_giver_delay) : usual_delay;
    };
    return {
        object_kind::targets, delay,
        [self](std::span<const stored_object> all) { apply_target_list(*self, all); },
        [self](std::span<const object_change> changes) { apply_target_changes(*self, changes); }};
}

/// A single list of targets, which may be seconds old, for requests that come before the watch has
/// listed them. That is safe: the host has just started, so no freshness bound applies yet to
/// changes that it missed.
watched_kind list_targets_once(const std::shared_ptr<host>& self) {
    return {object_kind::targets,
            {},
            [self](std::span<const stored_object> all) {
                if (!self->targets_listed) {
                    apply_target_list(*self, all);
                }
            },
            [](std::span<const object_change>) {}};
}

/// Removes the entries whose objects are not in the list.
template <class Entry>
void retain_listed(std::map<std::string, Entry, std::less<>>& entries,
                   std::span<const stored_object> all) {
    std::set<std::string_view> names;
    std::ranges::transform(all, std::inserter(names, names.end()), &stored_object::name);
    std::erase_if(entries, [&names](const auto& each) { return !names.contains(each.first); });
}

/// Watches a kind whose objects are applied one by one to `entries`, from which they are removed
/// when they are deleted. An entry stays if its object can't be read.
template <class Entry>
watched_kind apply_to(const std::shared_ptr<host>& self, object_kind kind,
                      loop::milliseconds (*delay)(),
                      std::map<std::string, Entry, std::less<>> host::* entries,
                      void (*apply)(host&, const stored_object&)) {
    return {kind, delay,
            [self, entries, apply](std::span<const stored_object> all) {
                retain_listed((*self).*entries, all);
                std::ranges::for_each(all,
                                      [&](const stored_object& object) { apply(*self, object); });
            },
            [self, entries, apply](std::span<const object_change> changes) {
                for (const auto& change : changes) {
                    if (change.deleted) {
                        ((*self).*entries).erase(change.object.name);
                    } else {
                        apply(*self, change.object);
                    }
                }
            }};
}

/// Only the host that gives orders to targets, and one that may have to take over, needs versions.
watched_kind watch_versions(const std::shared_ptr<host>& self) {
    auto out =
        apply_to(self, object_kind::versions, no_delay, &host::published_versions, apply_version);
    out.is_needed = [self] { return self->sends_load_orders; };
    return out;
}

/// Long, since no bound depends on how soon a peer is known, and hosts start at the same time.
loop::milliseconds hosts_delay() {
    return loop::milliseconds{1500};
}

/// Announces this host again if its entry was listed and is no more.
void check_own_entry(const std::shared_ptr<host>& self, bool& listed, bool listed_now) {
    if (listed && !listed_now && !self->stopping) {
        loop::spawn(self->io, "announce host", announce_host(self));
    }
    listed = listed_now;
}

watched_kind watch_hosts(const std::shared_ptr<host>& self) {
    auto out = apply_to(self, object_kind::hosts, hosts_delay, &host::peers, apply_peer);
    const auto own_listed = std::make_shared<bool>(false);
    out.on_list = [self, own_listed, apply = out.on_list](std::span<const stored_object> all) {
        apply(all);
        const auto own = std::ranges::find(all, self->settings.host, &stored_object::name);
        check_own_entry(self, *own_listed, own != all.end());
    };
    out.on_changes = [self, own_listed,
                      apply = out.on_changes](std::span<const object_change> changes) {
        apply(changes);
        for (const auto& change : changes) {
            if (change.object.name == self->settings.host) {
                check_own_entry(self, *own_listed, !change.deleted);
            }
        }
    };
    return out;
}

/// Announces this host, lists what it needs to serve requests, and then watches all kinds.
loop::task<void> start_watches(std::shared_ptr<host> self) {
    loop::spawn(self->io, "announce host", announce_host(self));
    const auto configuration =
        apply_each(self, object_kind::configuration, no_delay, apply_configuration);
    loop::spawn(self->io, "list once", list_once(self, list_targets_once(self), true));
    // With strict revocation, keys must not be checked against data of unknown age.
    const bool may_be_stale = !self->settings.revocation_bound;
    co_await loop::report_errors("list configuration",
                                 list_once(self, configuration, may_be_stale));
    const bool has_configuration = self->routes != nullptr;
    if (!has_configuration) {
        start_watch(self, configuration); // a running peer may have the configuration
    }
    co_await loop::pause_for(self->io, startup_delay);
    start_watch(self, watch_hosts(self));
    co_await loop::pause_for(self->io, startup_delay / 4);
    if (has_configuration) {
        start_watch(self, configuration);
    }
    start_watch(self, watch_versions(self));
    start_watch(self, watch_targets(self));
    start_watch(self, watch_retirements(self));
}

} // namespace

void apply_configuration(host& self, const stored_object& object) {
    if (object.name != self.platform_adapter.configuration_name) {
        report_unusable(self, object_kind::configuration, object, "not the configuration");
        return;
    }
    auto read = self.platform_adapter.configuration_of(object.specification);
    if (!read) {
        self.configuration_valid = false;
        report_unusable(self, object_kind::configuration, object, read.error().detail);
        return;
    }
    self.configuration_valid = true;
    const auto known = self.routes ? self.routes->config.version : 0;
    // Never apply an older version than one that was in force in this process.
    if (read.value().version <= known) {
        return;
    }
    self.routes = index_routes(std::move(read.value()));
    self.startup_changed.open();
    self.metrics.set("cornelloom_configuration_generation",
                     static_cast<double>(self.routes->config.version));
    const auto& copy = self.copies[object_kind::configuration];
    log_event(self, configuration_taken,
              {{"version", self.routes->config.version},
               {"before", known},
               {"revision", object.revision},
               {"routes", static_cast<std::uint64_t>(self.routes->config.routes.size())},
               {"source", to_string(copy.source)},
               {"feeder", copy.feeder},
               {"age_ms",
                copy_age(self, object_kind::configuration).value_or(milliseconds(-1)).count()}});
}

void start_platform_watches(const std::shared_ptr<host>& self) {
    loop::spawn(self->io, "start watches", start_watches(self));
}

} // namespace cornelloom::front
