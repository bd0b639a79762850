#include "rollout/rollout.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace cornelloom;
using namespace cornelloom::rollout;
using namespace std::chrono_literals;

namespace {

/// Engines that load at a fixed rate and report with a lag.
struct fleet_engine {
    kernel::zone_id zone;
    weight_version version = 1;
    std::optional<weight_version> loads;
    kernel::time_point ready;
};

struct fleet {
    std::map<kernel::target_id, fleet_engine> engines;
    kernel::time_point now = kernel::time_point{} + 1h;
    kernel::duration load_time = 3s;
    double store_bytes = 0;

    void report(weight_steward& steward) {
        for (auto& [id, engine] : engines) {
            if (engine.loads && engine.ready <= now) {
                engine.version = *std::exchange(engine.loads, std::nullopt);
            }
            on_report(steward,
                      {id, engine.zone, engine.version, engine.loads.has_value(), "", {}, now},
                      now);
        }
    }

    void take(weight_steward& steward, const std::vector<engine_order>& orders) {
        for (const auto& order : orders) {
            auto& engine = engines.at(order.engine);
            engine.loads = std::stoull(order.value);
            engine.ready = now + load_time;
            store_bytes += steward.limits.weight_bytes;
            on_outcome(steward, {order, order_result::accepted, 0}, now);
        }
    }
};

fleet make_fleet(std::size_t zones, std::size_t each) {
    fleet made;
    for (std::size_t zone = 0; zone < zones; ++zone) {
        for (std::size_t i = 0; i < each; ++i) {
            const auto name = std::to_string(zone) + "-" + std::to_string(i);
            made.engines[kernel::target_id{name}].zone = kernel::zone_id{std::to_string(zone)};
        }
    }
    return made;
}

weight_limits limits() {
    return {.store_bytes_per_second = 600e9, .weight_bytes = 16e9, .serving_floor = 0.75};
}

std::size_t loading_in(const fleet& all, const kernel::zone_id& zone) {
    return static_cast<std::size_t>(std::ranges::count_if(all.engines, [&](const auto& entry) {
        return entry.second.zone == zone && entry.second.loads.has_value();
    }));
}

} // namespace

TEST_CASE("600 workers get new weights in 20 s by the arithmetic and in a run of it",
          "[rollout][weights]") {
    auto all = make_fleet(10, 60);
    const std::vector<std::uint32_t> zones(10, 60);
    const auto by_arithmetic = estimate(zones, limits(), {16e9 / 3, 0.1, 0.5});
    CHECK(by_arithmetic.waves == 4);
    CHECK(by_arithmetic.seconds < 20);
    CHECK(by_arithmetic.store_rate_needed < limits().store_bytes_per_second * 2);

    auto steward = make_steward(kernel::pool_id{"leaf"}, 7, limits(), all.now);
    all.report(steward);
    announce(steward, 2);
    const auto start = all.now;
    std::size_t most_away = 0;
    while (!progress(steward).done && all.now - start < 60s) {
        all.take(steward, next_orders(steward, all.now));
        most_away = std::max(most_away, loading_in(all, kernel::zone_id{"3"}));
        all.now += 100ms;
        all.report(steward);
    }
    const auto took = std::chrono::duration<double>(all.now - start).count();
    CHECK(took < 20);
    CHECK(most_away <= 15);
    CHECK(all.store_bytes <= took * 600e9 + 600e9);
    CHECK(progress(steward).current == 600);
}

TEST_CASE("A half-done swap is tried again, then the engine is set aside", "[rollout][weights]") {
    // An engine accepts the order, begins to load and falls back to its old weights, again and
    // again. It must neither be believed nor hold its zone back for ever.
    fleet all = make_fleet(1, 1);
    const auto id = all.engines.begin()->first;
    auto steward = make_steward(kernel::pool_id{"leaf"}, 7, limits(), all.now);
    all.report(steward);
    announce(steward, 2);
    std::size_t orders = 0;
    for (int second = 0; second < 30; ++second) {
        all.take(steward, next_orders(steward, all.now));
        orders = static_cast<std::size_t>(all.store_bytes / 16e9);
        all.now += 1s;
        all.report(steward);
        all.engines.at(id).loads.reset(); // The load dies.
    }
    CHECK(orders == limits().max_tries);
    CHECK(progress(steward).set_aside == 1);
    CHECK(progress(steward).done);
    CHECK(progress(steward).current == 0);
}

TEST_CASE("An engine that only says yes is not believed", "[rollout][weights]") {
    // The engine accepts every order and does nothing. Counted as current, rollouts would be placed
    // there as fresh.
    fleet all = make_fleet(1, 1);
    auto steward = make_steward(kernel::pool_id{"leaf"}, 7, limits(), all.now);
    all.report(steward);
    announce(steward, 2);
    const auto orders = next_orders(steward, all.now);
    REQUIRE(orders.size() == 1);
    on_outcome(steward, {orders[0], order_result::accepted, 0}, all.now);
    CHECK(progress(steward).current == 0);
    all.now += 3s;
    all.report(steward);
    all.now += 1s;
    CHECK(next_orders(steward, all.now).size() == 1);
}

TEST_CASE("A steward that dies in the middle is followed by one that reads the truth",
          "[rollout][weights]") {
    // The holder dies with some engines loaded, some loading and some old. Its successor has other
    // fencing number and knows nothing; a late order of the dead one may still arrive.
    fleet all = make_fleet(1, 8);
    auto first = make_steward(kernel::pool_id{"leaf"}, 7, limits(), all.now);
    all.report(first);
    announce(first, 2);
    all.take(first, next_orders(first, all.now));
    all.now += 4s;
    all.report(first);
    all.take(first, next_orders(first, all.now));

    auto second = make_steward(kernel::pool_id{"leaf"}, 8, limits(), all.now + 1s);
    announce(second, 2);
    CHECK(next_orders(second, all.now).empty()); // Its predecessor may still send.
    all.report(second);
    all.now += 1s;
    CHECK(next_orders(second, all.now).empty()); // Reports from before say too little.
    while (!progress(second).done) {
        all.report(second);
        const auto orders = next_orders(second, all.now);
        CHECK(std::ranges::all_of(orders, [](const auto& order) { return order.fence == 8; }));
        all.take(second, orders);
        all.now += 500ms;
        REQUIRE(all.now < kernel::time_point{} + 2h);
    }
    CHECK(progress(second).current == 8);
    CHECK(all.store_bytes == 8 * 16e9); // Nothing was loaded twice.

    on_outcome(first, {{}, order_result::old_fence, 8}, all.now);
    CHECK(first.deposed);
    CHECK(next_orders(first, all.now).empty());
}

TEST_CASE("A newer version during a rollout goes to every engine, an older one to none",
          "[rollout][weights]") {
    // Version 3 is announced while half of the engines load version 2. Engines that are done with 2
    // need 3, and nobody may be sent back.
    fleet all = make_fleet(1, 8);
    auto steward = make_steward(kernel::pool_id{"leaf"}, 7, limits(), all.now);
    all.report(steward);
    announce(steward, 2);
    all.take(steward, next_orders(steward, all.now));
    announce(steward, 3);
    announce(steward, 2);
    while (!progress(steward).done) {
        const auto orders = next_orders(steward, all.now);
        CHECK(std::ranges::all_of(orders, [](const auto& order) { return order.value == "3"; }));
        all.take(steward, orders);
        all.now += 500ms;
        all.report(steward);
        REQUIRE(all.now < kernel::time_point{} + 2h);
    }
    CHECK(std::ranges::all_of(all.engines,
                              [](const auto& entry) { return entry.second.version == 3; }));
}

TEST_CASE("Roles come before versions and versions before adapters", "[rollout][weights]") {
    fleet all = make_fleet(1, 1);
    const auto id = all.engines.begin()->first;
    auto steward = make_steward(kernel::pool_id{"leaf"}, 7, limits(), all.now);
    announce(steward, 2);
    steward.roles[id] = "prefill";
    steward.adapters = {"notes"};
    std::vector<order_kind> kinds;
    engine_report report{id, kernel::zone_id{"0"}, 1, false, "decode", {}, all.now};
    for (int round = 0; round < 4; ++round) {
        on_report(steward, report, all.now);
        for (const auto& order : next_orders(steward, all.now)) {
            kinds.push_back(order.kind);
            report.role = order.kind == order_kind::set_role ? order.value : report.role;
            report.version = order.kind == order_kind::load_version ? 2 : report.version;
            if (order.kind == order_kind::load_adapter) {
                report.adapters.push_back(order.value);
            }
        }
        all.now += 1s;
        report.as_of = all.now;
    }
    CHECK(kinds ==
          std::vector{order_kind::set_role, order_kind::load_version, order_kind::load_adapter});
}
