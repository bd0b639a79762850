#include "front/follower.hpp"

#include "front/feed.hpp"
#include "front/records.hpp"
#include "front/retirement.hpp"
#include "front/watch.hpp"

#include <algorithm>

namespace cornelloom::front {

namespace {

/// Changes of the list of targets come in bursts, one for each load of weights; waiting a little
/// makes one call carry several. As a part of the time after which a leaving target gets no work.
constexpr int targets_pauses_in_drain = 5;
/// The host that gives orders learns by them that a load is over and the next one may start.
constexpr loop::milliseconds orders_pause{400};
/// Hosts start together; after this pause each knows most of the others of its zone.
constexpr loop::milliseconds settle_pause{400};

void take_configuration(host& self, const stored_object& object) {
    auto read = self.wire.configuration_of(object.specification);
    if (!read) {
        self.configuration_sound = false;
        note(self, object_unreadable,
             {{"kind", "configuration"}, {"problem", read.error().detail}});
        return;
    }
    self.configuration_sound = true;
    const auto known = self.routes ? self.routes->source.version : 0;
    // Never an older version than one that was in force in this process.
    if (read.value().version <= known) {
        return;
    }
    self.routes = index_routes(std::move(read.value()));
    self.learned.open();
    self.metrics.set("cornelloom_configuration_generation",
                     static_cast<double>(self.routes->source.version));
    note(self, configuration_taken,
         {{"version", self.routes->source.version},
          {"before", known},
          {"revision", object.revision},
          {"routes", static_cast<std::uint64_t>(self.routes->source.routes.size())}});
}

std::optional<target_entry> read_target(host& self, const stored_object& object) {
    auto read = self.wire.target(object);
    if (!read) {
        note(self, object_unreadable,
             {{"kind", "targets"}, {"id", object.name}, {"problem", read.error().detail}});
        return std::nullopt;
    }
    return read.value();
}

/// One target in full. The hosts that watch the store write these lines; the others, which learn
/// the same from them, write how much has changed.
void note_target(host& self, const target_entry& entry) {
    if (!watches_store(self)) {
        return;
    }
    std::string versions;
    for (const auto& [model, version] : entry.versions) {
        versions += (versions.empty() ? "" : ",") + model + ":" + std::to_string(version);
    }
    note(self, target_changed,
         {{"target", entry.id},
          {"service", entry.service},
          {"at", to_string(entry.where)},
          {"draining", entry.draining},
          {"versions", versions},
          {"revision", entry.revision}});
}

void note_news(host& self, std::span<const object_change> changes, std::size_t before) {
    const auto gone = std::ranges::count_if(changes, &object_change::deleted);
    const auto newest = std::ranges::max_element(
        changes, {}, [](const object_change& change) { return change.object.revision; });
    note(self, targets_changed,
         {{"changed", static_cast<std::uint64_t>(changes.size())},
          {"gone", static_cast<std::uint64_t>(gone)},
          {"targets", static_cast<std::uint64_t>(self.targets.by_id.size())},
          {"before", static_cast<std::uint64_t>(before)},
          {"revision", newest->object.revision}});
}

void list_targets(host& self, std::span<const stored_object> all) {
    std::vector<target_entry> entries;
    for (const auto& object : all) {
        if (auto entry = read_target(self, object)) {
            entries.push_back(std::move(*entry));
        }
    }
    replace_targets(self.targets, std::move(entries), self.now());
    self.targets_listed = true;
    self.learned.open();
}

void change_targets(host& self, std::span<const object_change> changes) {
    const auto gone = std::ranges::count_if(changes, &object_change::deleted);
    const auto since_trouble = std::chrono::duration_cast<milliseconds>(
        loop::steady_clock::now() - self.store.ways.last_trouble);
    if (have_lapsed(static_cast<std::size_t>(gone), since_trouble, self.settings.calm)) {
        note_return(self.targets, self.now());
    }
    const auto before = self.targets.by_id.size();
    for (const auto& change : changes) {
        if (change.deleted) {
            note(self, target_gone, {{"target", change.object.name}});
            remove_target(self.targets, change.object.name, self.now());
            continue;
        }
        if (auto entry = read_target(self, change.object)) {
            note_target(self, *entry);
            put_target(self.targets, std::move(*entry), self.now());
        } else {
            remove_target(self.targets, change.object.name, self.now());
        }
    }
    note_news(self, changes, before);
}

void take_version(host& self, const stored_object& object) {
    auto read = self.wire.version(object.specification);
    if (!read) {
        note(self, object_unreadable, {{"kind", "versions"}, {"problem", read.error().detail}});
        return;
    }
    auto& known = self.named_versions[read.value().model];
    if (read.value().version > known) {
        known = read.value().version;
        note(self, version_named,
             {{"model", read.value().model}, {"version", known}, {"revision", object.revision}});
    }
}

void take_peer(host& self, const stored_object& object) {
    if (object.name == self.settings.host) {
        return;
    }
    auto read = decode_host(object.name, object.specification);
    if (read) {
        self.peers[object.name] = std::move(read.value());
    } else {
        note(self, object_unreadable, {{"kind", "hosts"}, {"problem", read.error().detail}});
    }
}

/// Kinds whose objects are taken one by one and never forgotten.
followed take_each(const std::shared_ptr<host>& self, object_kind kind,
                   loop::milliseconds (*pause)(), void (*take)(host&, const stored_object&)) {
    return {kind, pause,
            [self, take](std::span<const stored_object> all) {
                std::ranges::for_each(all,
                                      [&](const stored_object& object) { take(*self, object); });
            },
            [self, take](std::span<const object_change> changes) {
                for (const auto& change : changes) {
                    if (!change.deleted) {
                        take(*self, change.object);
                    }
                }
            }};
}

/// Whether the object that stands in the way of a create says the same already: this host was
/// stopped or killed, and its process started again.
bool says_the_same(const host& self, std::string_view body, std::string_view record) {
    const auto object = self.wire.object(body);
    return object && object.value().specification == nlohmann::json::parse(record, nullptr, false);
}

loop::task<void> keep_announcing(std::shared_ptr<host> self) {
    const auto own = own_entry(*self);
    const auto record = encode_host(own);
    const auto kind = object_kind::hosts;
    for (;;) {
        auto made = co_await call_store(self->store, self->wire.create(kind, own.name, record));
        if (made.fault == store_fault::conflict) {
            if (says_the_same(*self, made.body, record)) {
                co_return;
            }
            made = co_await call_store(self->store, self->wire.replace(kind, own.name, record, 0));
        }
        if (made.fault == store_fault::none) {
            co_return;
        }
        co_await loop::pause_for(self->io, store_pause(*self, store_pause_most));
    }
}

followed follow_targets(const std::shared_ptr<host>& self) {
    const auto usual = self->settings.drain / targets_pauses_in_drain;
    const auto pause = [self, usual] {
        return self->wants_versions ? std::min(usual, orders_pause) : usual;
    };
    return {object_kind::targets, pause,
            [self](std::span<const stored_object> all) { list_targets(*self, all); },
            [self](std::span<const object_change> changes) { change_targets(*self, changes); }};
}

/// Until the list of targets is followed, requests go by one that may be seconds old: the host has
/// just started, and no news that it missed binds it yet.
followed look_at_targets(const std::shared_ptr<host>& self) {
    return {object_kind::targets,
            {},
            [self](std::span<const stored_object> all) {
                if (!self->targets_listed) {
                    list_targets(*self, all);
                }
            },
            [](std::span<const object_change>) {}};
}

/// Only the host that gives orders needs the newest versions, and one that may have to take over.
followed follow_versions(const std::shared_ptr<host>& self) {
    auto out = take_each(self, object_kind::versions, no_pause, take_version);
    out.wanted = [self] { return self->wants_versions; };
    return out;
}

/// Hosts start together, and no bound depends on how soon a peer is known.
loop::milliseconds pause_of_hosts() {
    return loop::milliseconds{1500};
}

/// Announces this host, learns of the others, and then follows all kinds.
loop::task<void> start_following(std::shared_ptr<host> self) {
    loop::asio::co_spawn(self->io, keep_announcing(self), loop::asio::detached);
    const auto configuration =
        take_each(self, object_kind::configuration, no_pause, take_configuration);
    loop::asio::co_spawn(self->io, look_once(self, look_at_targets(self), true),
                         loop::asio::detached);
    // Keys that may have been taken away can't be checked against a copy of unknown age.
    const bool may_be_stale = !self->settings.revocation;
    co_await look_once(self, configuration, may_be_stale);
    const bool informed = self->routes != nullptr;
    if (!informed) {
        start_watch(self, configuration); // a host that runs already may know it
    }
    co_await loop::pause_for(self->io, settle_pause);
    start_watch(self, take_each(self, object_kind::hosts, pause_of_hosts, take_peer));
    co_await loop::pause_for(self->io, settle_pause / 4);
    if (informed) {
        start_watch(self, configuration);
    }
    start_watch(self, follow_versions(self));
    start_watch(self, follow_targets(self));
    start_watch(self, follow_retirements(self));
}

} // namespace

void follow_platform(const std::shared_ptr<host>& self) {
    loop::asio::co_spawn(self->io, start_following(self), loop::asio::detached);
}

} // namespace cornelloom::front
