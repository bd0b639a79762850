#include "front/item_dispatch.hpp"
#include "front/placement.hpp"
#include "front/routing.hpp"

#include <catch2/catch.hpp>

using namespace cornelloom::front;
namespace loop = cornelloom::loop;
using namespace std::chrono_literals;

namespace {

route route_to(std::string service) {
    route out;
    out.host = "lots.example";
    out.path_prefix = "/texts/";
    out.services = {{std::move(service), 1}};
    out.attempts = 3;
    out.retention = 1h;
    return out;
}

/// A host that runs a batch of one item, which can't be completed by the configuration it knows.
struct hopeless_item {
    loop::io_context io{};
    adapter platform{};
    std::shared_ptr<host> self{};
    live_batch_ptr batch{};

    hopeless_item() {
        host_settings settings;
        settings.host = "h1";
        settings.zone = "z1";
        settings.region_of_zone = {{"z1", "r1"}};
        self = std::make_shared<host>(io, platform, settings);
        set_routes({route_to("texts")});
        batch_spec spec;
        spec.items.resize(1);
        spec.items[0].id = "i1";
        spec.items[0].path = "/texts/i1";
        batch_header header;
        header.id = "b1";
        header.host = "lots.example";
        header.path = "/texts/";
        batch = std::make_shared<live_batch>(
            self, make_batch(std::move(header), std::move(spec), self->now()));
        batch->owned = true;
        batch->log.confirmed = self->now();
        self->running_batches.push_back(batch);
    }

    [[nodiscard]] item_state& item() const { return batch->state.items[0]; }

    void set_routes(std::vector<route> routes) const {
        configuration config;
        config.version = self->routes ? self->routes->config.version + 1 : 1;
        config.routes = std::move(routes);
        self->routes = index_routes(std::move(config));
    }

    [[nodiscard]] bool is_given_up() const {
        auto round = begin_placement(self->targets, self->here(), self->now());
        dispatch_items(*self, round);
        return !batch->state.unlogged_results.empty();
    }
};

} // namespace

TEST_CASE("an item is given up only by a configuration that is as new as its batch",
          "[front][give_up]") {
    // Guards against items that are lost because a host that has just started, or that was out of
    // touch, takes an old configuration for the newest.
    const hopeless_item world;
    SECTION("that has no route for it") {
        world.set_routes({});
    }
    SECTION("that allows no more attempts") {
        world.item().failures = 3;
    }
    SECTION("whose service can never process it") {
        world.item().refused_by = "texts";
    }
    const auto known_since = world.batch->known_since;
    CHECK_FALSE(world.is_given_up());
    world.self->configuration_confirmed_at = known_since - 1ms;
    CHECK_FALSE(world.is_given_up());
    world.self->configuration_confirmed_at = known_since;
    CHECK(world.is_given_up());
}

TEST_CASE("an item is not given up by a configuration that is too old to refuse a request",
          "[front][give_up]") {
    // Guards against a host that acts for good on what it knew before it lost touch.
    const hopeless_item world;
    world.set_routes({});
    world.batch->known_since -= 1h;
    world.self->configuration_confirmed_at = world.batch->known_since + 1s;
    CHECK_FALSE(world.is_given_up());
    world.self->configuration_confirmed_at = world.self->clock.boot_now();
    CHECK(world.is_given_up());
}

TEST_CASE("an item that can't be sent is given up at once", "[front][give_up]") {
    // Guards against an item that an earlier version has accepted and that waits for ever.
    const hopeless_item world;
    world.batch->state.spec.items[0].fault = "items/0/id: is no value of a header";
    CHECK(world.is_given_up());
}

TEST_CASE("an item that one service can't process is not given up when its route has another",
          "[front][give_up]") {
    // Guards against an answer of a service to which an old configuration sent the item.
    const hopeless_item world;
    world.item().refused_by = "texts";
    world.set_routes({route_to("others")});
    world.self->configuration_confirmed_at = world.self->clock.boot_now();
    CHECK_FALSE(world.is_given_up());
}
