#include "front/target_supplier.hpp"

#include "front/count_exchange.hpp"
#include "front/target_supply.hpp"
#include "front/unframed_answer.hpp"
#include "loop/spawn.hpp"

#include <algorithm>
#include <array>

namespace cornelloom::front {

namespace {

/// Interval between two plans: two fifths of the time that a target needs to start.
constexpr loop::milliseconds planning_interval{1500};
/// Short enough that no order arrives after those of the next leader; see
/// `lease_rules::handover_delay`.
constexpr loop::milliseconds order_timeout{800};
constexpr loop::milliseconds connect_timeout{300};
/// Delay before a failed or rejected order is sent again.
constexpr milliseconds order_retry_delay{5000};

/// The last order for a zone.
struct zone_order {
    int count = 0;
    time_point not_before{}; ///< No further order before this time.
};

/// State of the target orders.
struct supply_state {
    explicit supply_state(std::shared_ptr<host> owner) : self(std::move(owner)) {}

    std::shared_ptr<host> self;
    std::uint64_t fence = 0; ///< Fencing token of the lease under which `orders` were sent.
    std::map<std::string, std::map<std::string, zone_order>> orders{}; ///< By service and zone.
};

loop::task<void> order_targets(supply_state& state, const service& service_config, std::string zone,
                               int count) {
    auto self = state.self;
    const duty_sender sender{self->settings.host, self->lead.view.fence};
    const supply_order order{service_config.name, zone, count};
    const auto outcome = take_status(co_await loop::call(
        self->connections, self->settings.duties->address,
        self->platform_adapter.supply(order, sender), loop::after(order_timeout), connect_timeout));
    const int status = status_of(outcome);
    log_event(*self, targets_ordered,
              {{"service", service_config.name},
               {"zone", zone},
               {"count", count},
               {"fence", sender.fence},
               {"status", status},
               {"fault", to_string(outcome.fault)}});
    self->metrics.count("cornelloom_supply_orders_total",
                        std::array{kernel::label{"outcome", status == 200 ? "accepted" : "again"}});
    auto& last_order = state.orders[service_config.name][zone];
    if (status == 200) {
        last_order.count = count;
    } else {
        last_order.not_before = self->now() + order_retry_delay;
    }
}

std::vector<zone_supply> zone_supplies(supply_state& state, const service& service_config) {
    auto& self = *state.self;
    std::map<std::string, zone_supply> zones;
    for (const auto& [id, target] : self.targets.by_id) {
        if (target.entry.service == service_config.name) {
            auto& zone = zones[target.entry.zone];
            zone.zone = target.entry.zone;
            zone.serving += target.entry.draining ? 0 : 1;
        }
    }
    std::vector<zone_supply> out;
    for (auto& [name, zone] : zones) {
        zone.ordered = state.orders[service_config.name][name].count;
        out.push_back(std::move(zone));
    }
    return out;
}

/// Sum of the peak numbers of concurrent items over all models of the service.
std::uint64_t total_peak_items(host& self, const service& service_config) {
    std::uint64_t out = 0;
    for (const auto& model : service_config.models) {
        out += peak_demand(self, model);
    }
    return out;
}

/// Plans the targets of each service. Orders them for a zone that needs more than it has or has on
/// order, and where the plan differs from the last order.
loop::task<void> plan_and_order(supply_state& state) {
    auto self = state.self;
    if (state.fence != self->lead.view.fence) {
        state.fence = self->lead.view.fence;
        state.orders.clear();
    }
    if (!self->routes || !self->targets_listed) {
        co_return;
    }
    const auto routes = self->routes;
    for (const auto& [name, service_config] : routes->config.services) {
        if (!service_config.scaling) {
            continue;
        }
        const auto zones = zone_supplies(state, service_config);
        const auto counts = plan_supply(
            *service_config.scaling, zones,
            {total_peak_items(*self, service_config), std::max(service_config.slots, 1)});
        for (std::size_t index = 0; index < zones.size(); ++index) {
            const auto& last_order = state.orders[name][zones[index].zone];
            const bool order_needed =
                counts[index] > std::max(zones[index].serving, zones[index].ordered) ||
                (zones[index].ordered > 0 && counts[index] != zones[index].ordered);
            if (order_needed && self->now() >= last_order.not_before && is_leader(*self)) {
                co_await order_targets(state, service_config, zones[index].zone, counts[index]);
            }
        }
    }
}

loop::task<void> run(std::shared_ptr<supply_state> state) {
    auto self = state->self;
    for (;;) {
        co_await wait_for_lease(self);
        if (is_leader(*self)) {
            co_await plan_and_order(*state);
        }
        co_await loop::pause_for(self->io, planning_interval);
    }
}

} // namespace

void start_target_supply(const std::shared_ptr<host>& self) {
    if (self->settings.duties && self->settings.duties->orders_targets) {
        loop::keep_running(self->io, "target supply",
                           [state = std::make_shared<supply_state>(self)] { return run(state); });
    }
}

} // namespace cornelloom::front
