#include "front/follower.hpp"

#include "front/feed.hpp"
#include "front/records.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <span>

namespace cornelloom::front {

namespace {

/// A waiting call costs as much as any other: the longer it waits, the cheaper. Probes on the
/// connection show a silent path within three seconds.
constexpr loop::milliseconds watch_wait{20000};
/// Through a peer, whose own way may fail as well, the wait is short.
constexpr loop::milliseconds watch_wait_by_peer{2000};
constexpr loop::milliseconds watch_allowance{1500};
/// After a failed call.
constexpr loop::milliseconds retry_pause{150};
/// Changes of the list of targets come in bursts, one for each load of weights; waiting a little
/// makes one call carry several. Far below the shortest bound, 2.5 s for a leaving target.
constexpr loop::milliseconds targets_pause{500};
/// Entries of one kind that vanish together: the platform has lost heartbeats, not targets.
constexpr std::size_t vanish_together = 3;
/// Beyond its wait a feeder needs a round trip within the zone and its turn on a small processor.
constexpr loop::milliseconds feed_allowance{500};
constexpr loop::milliseconds feed_connect{250};
/// Hosts start together; after this pause each knows most of the others of its zone.
constexpr loop::milliseconds settle_pause{400};

/// One kind of objects and what its changes mean.
struct followed {
    object_kind kind;
    loop::milliseconds pause;
    std::function<void(std::span<const stored_object>)> replace;
    std::function<void(std::span<const object_change>)> change;
    std::uint64_t at = 0; ///< Changes from this revision on are still to come; 0: list first.
    bool out_of_touch = false;
};

using followed_ptr = std::shared_ptr<followed>;

std::string_view name_of(object_kind kind) {
    switch (kind) {
    case object_kind::configuration:
        return "configuration";
    case object_kind::targets:
        return "targets";
    case object_kind::versions:
        return "versions";
    case object_kind::hosts:
        return "hosts";
    default:
        return "other";
    }
}

void note_touch(host& self, followed& one, store_fault fault) {
    const bool lost = fault == store_fault::refused || fault == store_fault::unknown;
    if (lost == one.out_of_touch) {
        return;
    }
    one.out_of_touch = lost;
    note(self, lost ? platform_lost : platform_back,
         {{"watch", name_of(one.kind)}, {"at", one.at}, {"fault", to_string(fault)}});
    if (!lost && one.kind == object_kind::targets) {
        note_return(self.targets, self.now());
    }
}

loop::task<bool> list_all(std::shared_ptr<host> self, followed_ptr one) {
    std::vector<stored_object> all;
    std::string after;
    std::uint64_t at = 0;
    for (bool more = true; more;) {
        auto answer = co_await call_store(self->store, self->wire.list(one->kind, after));
        note_touch(*self, *one, answer.fault);
        if (answer.fault != store_fault::none) {
            co_return false;
        }
        auto page = self->wire.page(answer.body);
        if (!page) {
            note(*self, object_unreadable,
                 {{"kind", name_of(one->kind)}, {"problem", page.error().detail}});
            co_return false;
        }
        // Changes since the first page may be missing from it: the watch starts there.
        at = at == 0 ? page.value().at : at;
        std::ranges::move(page.value().items, std::back_inserter(all));
        more = page.value().more && !all.empty();
        after = all.empty() ? std::string() : all.back().name;
    }
    keep_list(*self, one->kind, all, at);
    one->replace(all);
    one->at = at;
    co_return true;
}

loop::task<bool> watch_once(std::shared_ptr<host> self, followed_ptr one) {
    const bool direct = self->store.direct_from <= loop::steady_clock::now();
    const auto wait = direct ? watch_wait : watch_wait_by_peer;
    const auto asked = loop::steady_clock::now();
    auto answer = co_await call_store(self->store, self->wire.watch(one->kind, one->at, wait),
                                      wait + watch_allowance, store_way::direct_if_open);
    note_touch(*self, *one, answer.fault);
    if (answer.fault == store_fault::history_gone || answer.fault == store_fault::invalid ||
        answer.fault == store_fault::not_found) {
        one->at = 0;
        co_return true;
    }
    if (answer.fault != store_fault::none) {
        // A watch that was cut may have missed changes whose history is dropped, and one that
        // starts from before them may hear nothing: what there is now is listed.
        one->at = 0;
        co_return false;
    }
    auto changes = self->wire.changes(answer.body);
    if (!changes) {
        note(*self, object_unreadable,
             {{"kind", name_of(one->kind)}, {"problem", changes.error().detail}});
        one->at = 0;
        co_return false;
    }
    const bool early = loop::steady_clock::now() < asked + wait * 9 / 10;
    if (changes.value().changes.empty() && early) {
        note(*self, watch_cut,
             {{"watch", name_of(one->kind)}, {"at", one->at}, {"answered_at", changes.value().at}});
        one->at = 0;
        co_return true;
    }
    one->at = std::max(one->at, changes.value().at);
    keep_changes(*self, one->kind, changes.value().changes, one->at);
    if (!changes.value().changes.empty()) {
        one->change(changes.value().changes);
        co_await loop::pause_for(self->io, one->pause);
    }
    co_return true;
}

/// Asks a feeder for everything, or for changes.
loop::task<bool> ask_feeder(std::shared_ptr<host> self, followed_ptr one, host_entry feeder) {
    // Revisions are the store's, so what another feeder or the store itself said stays comparable.
    auto outcome =
        co_await loop::call(self->connections, feeder.where, feed_question(one->kind, one->at),
                            loop::after(feed_wait + feed_allowance), feed_connect);
    const bool answered = outcome.fault == loop::exchange_fault::none;
    if (answered && outcome.answer.status == 410) {
        one->at = 0;
        co_return true;
    }
    auto read = decode_feed(answered && outcome.answer.status == 200 ? outcome.answer.body : "");
    if (!read) {
        note(*self, feeder_lost,
             {{"watch", name_of(one->kind)},
              {"feeder", feeder.name},
              {"fault", to_string(outcome.fault)},
              {"status", outcome.answer.status}});
        avoid_feeder(*self, feeder.name);
        co_return true;
    }
    auto& news = read.value();
    if (one->at == 0) {
        std::vector<stored_object> all;
        all.reserve(news.changes.size());
        for (auto& change : news.changes) {
            all.push_back(std::move(change.object));
        }
        one->replace(all);
    } else if (!news.changes.empty()) {
        one->change(news.changes);
    }
    one->at = std::max(one->at, news.at);
    co_return true;
}

loop::task<void> follow(std::shared_ptr<host> self, followed_ptr one) {
    for (;;) {
        bool done = false;
        // Without a configuration every caller is refused: a host that starts takes the shortest
        // way.
        const bool urgent = one->kind == object_kind::configuration && !self->routes;
        const auto feeder = urgent ? std::nullopt : choose_feeder(*self);
        self->kept[one->kind].live = !feeder;
        if (feeder) {
            done = co_await ask_feeder(self, one, *feeder);
        } else if (one->at == 0 || self->kept[one->kind].at != one->at) {
            // What this host passes on must be whole, so it starts from a list of its own.
            done = co_await list_all(self, one);
        } else {
            done = co_await watch_once(self, one);
        }
        if (!done) {
            co_await loop::pause_for(self->io, retry_pause);
        }
    }
}

void start(const std::shared_ptr<host>& self, followed one) {
    auto shared = std::make_shared<followed>(std::move(one));
    loop::asio::co_spawn(self->io, follow(self, std::move(shared)), loop::asio::detached);
}

void take_configuration(host& self, const stored_object& object) {
    auto read = self.wire.configuration_of(object.specification);
    if (!read) {
        note(self, object_unreadable,
             {{"kind", "configuration"}, {"problem", read.error().detail}});
        return;
    }
    const auto known = self.routes ? self.routes->source.version : 0;
    // Never an older version than one that was in force in this process.
    if (read.value().version <= known) {
        return;
    }
    self.routes = index_routes(std::move(read.value()));
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

void note_target(host& self, const target_entry& entry) {
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

void list_targets(host& self, std::span<const stored_object> all) {
    std::vector<target_entry> entries;
    for (const auto& object : all) {
        if (auto entry = read_target(self, object)) {
            entries.push_back(std::move(*entry));
        }
    }
    replace_targets(self.targets, std::move(entries), self.now());
}

void change_targets(host& self, std::span<const object_change> changes) {
    const auto gone = std::ranges::count_if(changes, &object_change::deleted);
    if (static_cast<std::size_t>(gone) >= vanish_together) {
        note_return(self.targets, self.now());
    }
    for (const auto& change : changes) {
        if (change.deleted) {
            note(self, target_changed, {{"target", change.object.name}, {"gone", true}});
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
                   void (*take)(host&, const stored_object&)) {
    return {kind, loop::milliseconds{0},
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

loop::task<void> keep_announcing(std::shared_ptr<host> self) {
    const auto own = own_entry(*self);
    const auto record = encode_host(own);
    const auto kind = object_kind::hosts;
    for (;;) {
        auto made = co_await call_store(self->store, self->wire.create(kind, own.name, record));
        if (made.fault == store_fault::conflict) {
            made = co_await call_store(self->store, self->wire.replace(kind, own.name, record, 0));
        }
        if (made.fault == store_fault::none) {
            co_return;
        }
        co_await loop::pause_for(self->io, retry_pause);
    }
}

/// Announces this host, learns of the others, and then follows all kinds.
loop::task<void> start_following(std::shared_ptr<host> self) {
    loop::asio::co_spawn(self->io, keep_announcing(self), loop::asio::detached);
    start(self, take_each(self, object_kind::configuration, take_configuration));
    co_await loop::pause_for(self->io, settle_pause);
    start(self, take_each(self, object_kind::hosts, take_peer));
    co_await loop::pause_for(self->io, settle_pause / 4);
    start(self, take_each(self, object_kind::versions, take_version));
    start(self,
          {object_kind::targets, targets_pause,
           [self](std::span<const stored_object> all) { list_targets(*self, all); },
           [self](std::span<const object_change> changes) { change_targets(*self, changes); }});
}

} // namespace

void follow_platform(const std::shared_ptr<host>& self) {
    loop::asio::co_spawn(self->io, start_following(self), loop::asio::detached);
}

} // namespace cornelloom::front
