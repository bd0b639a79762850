#include "front/key_lookup.hpp"

#include "front/feed.hpp"
#include "front/follower.hpp"
#include "front/watch.hpp"
#include "kernel/finally.hpp"
#include "loop/spawn.hpp"

#include <algorithm>
#include <ranges>

namespace cornelloom::front {

namespace {

/// A host of another zone of the region answers within a few milliseconds.
constexpr loop::milliseconds neighbour_timeout{100};

std::uint64_t known_version(const host& self) {
    return self.routes ? self.routes->config.version : 0;
}

/// An older copy must not stand for the newest one, which may have been unreadable.
void apply_if_newer(host& self, const stored_object& object) {
    const auto read = self.platform_adapter.configuration_of(object.specification);
    if (read && read.value().version > known_version(self)) {
        apply_configuration(self, object);
    }
}

/// The host to ask first: the one that watches the store in another zone, of this region if there
/// is one.
std::optional<host_entry> choose_neighbour(const host& self) {
    std::optional<host_entry> other_region;
    for (const auto& [zone, region] : self.settings.region_of_zone) {
        if (zone == self.settings.zone) {
            continue;
        }
        const host_entry any_host{{}, zone, {}, -1};
        auto first = first_zone_host(any_host, self.peers, self.avoided, self.now());
        if (first && region == self.settings.region) {
            return first;
        }
        other_region = other_region ? other_region : first;
    }
    return other_region;
}

loop::task<void> ask_neighbour(std::shared_ptr<host> self) {
    const auto neighbour = choose_neighbour(*self);
    if (!neighbour) {
        co_return;
    }
    const auto outcome = co_await loop::call(self->connections, neighbour->address,
                                             make_feed_request(object_kind::configuration, 0),
                                             loop::after(neighbour_timeout), neighbour_timeout);
    if (loop::status_of(outcome) != 200) {
        avoid_feeder(self->avoided, neighbour->name, self->now());
        co_return;
    }
    auto response =
        decode_feed_response(outcome.answer.body, object_limits(object_kind::configuration));
    if (!response) {
        co_return;
    }
    for (const auto& change : response.value().changes) {
        if (!change.deleted) {
            apply_if_newer(*self, change.object);
        }
    }
}

loop::task<void> ask_store(std::shared_ptr<host> self) {
    const auto answer = co_await call_store(
        self->store, self->platform_adapter.list(object_kind::configuration, {}, false));
    if (answer.fault != store_outcome::none) {
        co_return;
    }
    auto page = self->platform_adapter.page(answer.body, object_limits(object_kind::configuration));
    if (!page) {
        co_return;
    }
    for (const auto& object : page.value().items) {
        apply_if_newer(*self, object);
    }
}

loop::task<void> run_lookup(std::shared_ptr<host> self, std::shared_ptr<loop::gate> done) {
    const kernel::finally end([&] {
        self->key_lookup.reset();
        done->open();
    });
    const auto before = known_version(*self);
    co_await ask_neighbour(self);
    const bool found_at_neighbour = known_version(*self) > before;
    if (!found_at_neighbour) {
        co_await ask_store(self);
    }
    const auto found = found_at_neighbour              ? "neighbour"
                       : known_version(*self) > before ? "store"
                                                       : "none";
    log_event(*self, key_looked_up, {{"found", found}, {"version", known_version(*self)}});
    self->metrics.count("cornelloom_key_lookups_total", std::array{kernel::label{"found", found}});
}

} // namespace

loop::task<void> look_up_configuration(std::shared_ptr<host> self) {
    const bool due = self->last_key_lookup == time_point{} ||
                     self->now() - self->last_key_lookup >= key_lookup_interval;
    if (!self->key_lookup && !due) {
        co_return;
    }
    if (!self->key_lookup) {
        self->last_key_lookup = self->now();
        self->key_lookup = std::make_shared<loop::gate>(self->io);
        loop::spawn(self->io, "look up key", run_lookup(self, self->key_lookup));
    }
    const auto done = self->key_lookup;
    const auto until = loop::after(key_lookup_timeout);
    while (self->key_lookup == done && loop::steady_clock::now() < until) {
        co_await done->wait(until);
    }
}

} // namespace cornelloom::front
