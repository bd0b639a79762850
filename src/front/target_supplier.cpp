#include "front/target_supplier.hpp"

#include "front/count_exchange.hpp"
#include "front/target_supply.hpp"

#include <algorithm>
#include <array>

namespace cornelloom::front {

namespace {

/// How often the need is judged: two fifths of the time in which a target starts.
constexpr loop::milliseconds judge_every{1500};
/// An order must not arrive after those of the next leader: see `lease_rules::turn`.
constexpr loop::milliseconds supply_limit{800};
constexpr loop::milliseconds supply_connect{300};
/// An order that was turned away is given again after this.
constexpr milliseconds turned_away_pause{5000};

struct zone_order {
    int count = 0;
    time_point not_before{}; ///< Not given again before.
};

struct supplier {
    explicit supplier(std::shared_ptr<host> owner) : self(std::move(owner)) {}

    std::shared_ptr<host> self;
    std::uint64_t fence = 0; ///< Of the lease under which `orders` were given.
    std::map<std::string, std::map<std::string, zone_order>> orders{}; ///< By service and zone.
};

loop::task<void> order_zone(supplier& one, const service& of, std::string zone, int count) {
    auto self = one.self;
    const duty_sender sender{self->settings.host, self->lead.view.fence};
    const supply_order order{of.name, zone, count};
    const auto outcome = co_await loop::call(self->connections, self->settings.duties->where,
                                             self->wire.supply(order, sender),
                                             loop::after(supply_limit), supply_connect);
    const int status = status_of(outcome);
    note(*self, targets_ordered,
         {{"service", of.name},
          {"zone", zone},
          {"count", count},
          {"fence", sender.fence},
          {"status", status},
          {"fault", to_string(outcome.fault)}});
    self->metrics.count("cornelloom_supply_orders_total",
                        std::array{kernel::label{"outcome", status == 200 ? "accepted" : "again"}});
    auto& known = one.orders[of.name][zone];
    if (status == 200) {
        known.count = count;
    } else {
        known.not_before = self->now() + turned_away_pause;
    }
}

std::vector<zone_supply> supply_of(supplier& one, const service& of) {
    auto& self = *one.self;
    std::map<std::string, zone_supply> zones;
    for (const auto& [id, target] : self.targets.by_id) {
        if (target.entry.service == of.name) {
            auto& zone = zones[target.entry.zone];
            zone.zone = target.entry.zone;
            zone.serving += target.entry.draining ? 0 : 1;
        }
    }
    std::vector<zone_supply> out;
    for (auto& [name, zone] : zones) {
        zone.ordered = one.orders[of.name][name].count;
        out.push_back(std::move(zone));
    }
    return out;
}

/// Items of all models of the service that were in work at once.
std::uint64_t items_wanted(const host& self, const service& of) {
    std::uint64_t out = 0;
    for (const auto& model : of.models) {
        out += peak_demand(self, model);
    }
    return out;
}

loop::task<void> judge(supplier& one) {
    auto self = one.self;
    if (one.fence != self->lead.view.fence) {
        one.fence = self->lead.view.fence;
        one.orders.clear();
    }
    if (!self->routes || !self->targets_listed) {
        co_return;
    }
    const auto routes = self->routes;
    for (const auto& [name, of] : routes->source.services) {
        if (!of.scaling) {
            continue;
        }
        const auto zones = supply_of(one, of);
        const auto counts =
            plan_supply(*of.scaling, zones, {items_wanted(*self, of), std::max(of.slots, 1)});
        for (std::size_t at = 0; at < zones.size(); ++at) {
            const auto& known = one.orders[name][zones[at].zone];
            const bool wanted = counts[at] > std::max(zones[at].serving, zones[at].ordered) ||
                                (zones[at].ordered > 0 && counts[at] != zones[at].ordered);
            if (wanted && self->now() >= known.not_before && leads(*self)) {
                co_await order_zone(one, of, zones[at].zone, counts[at]);
            }
        }
    }
}

loop::task<void> run(std::shared_ptr<supplier> one) {
    auto self = one->self;
    for (;;) {
        co_await wait_for_lease(self);
        if (leads(*self)) {
            co_await judge(*one);
        }
        co_await loop::pause_for(self->io, judge_every);
    }
}

} // namespace

void start_target_supply(const std::shared_ptr<host>& self) {
    if (self->settings.duties && self->settings.duties->orders_targets) {
        loop::asio::co_spawn(self->io, run(std::make_shared<supplier>(self)), loop::asio::detached);
    }
}

} // namespace cornelloom::front
