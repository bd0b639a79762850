#include "front/order_giver.hpp"

#include "front/count_exchange.hpp"
#include "front/load_limit.hpp"
#include "front/load_plan.hpp"
#include "front/placement.hpp"
#include "front/target_supply.hpp"
#include "front/unframed_answer.hpp"
#include "loop/spawn.hpp"

#include <algorithm>

namespace cornelloom::front {

namespace {

/// Interval between two plans while this host sends orders.
constexpr milliseconds plan_interval{150};
/// Targets answer an order immediately. One that times out may still be executed later.
constexpr milliseconds order_timeout{800};
constexpr loop::milliseconds connect_timeout{300};
/// Timeout of a load, unless the observed duration of loads is longer.
constexpr milliseconds default_load_timeout{4000};
/// Load timeout as a multiple of the usual load duration.
constexpr int load_timeout_factor = 3;
/// Poll interval of a loading target's report.
constexpr loop::milliseconds report_poll_interval{100};
/// Once the concurrency limit has been determined, only one load in this many is polled, since
/// reports are billed.
constexpr std::uint64_t loads_per_polled_load = 4;
/// Delay before another order to a target that did not answer or rejected one.
constexpr milliseconds order_retry_delay{700};
/// Trainers start at the same time. During this period after the first version, models without a
/// version count when targets are shared; larger shares would delay their first loads.
constexpr milliseconds startup_period{10000};

/// Order state of one target, in addition to its entry in the target list.
struct order_state {
    std::optional<std::int64_t> accepted_orders; ///< Accepted by the target; empty: to be queried.
    std::int64_t born_ms = 0;
    std::string model; ///< Of the latest order, until the target list shows the load.
    int version = 0;
    time_point sent_at{};    ///< When the latest order was sent.
    time_point busy_until{}; ///< Busy until then, or until the load is seen to have finished.
    time_point expires_at{}; ///< The target is queried if the load is not listed by then.
};

/// The newest version of a model and when it was first seen.
struct observed_version {
    int version = 0;
    time_point first_seen{};
};

/// State of the load scheduler.
struct load_scheduler {
    explicit load_scheduler(std::shared_ptr<host> owner) : self(std::move(owner)) {}

    std::shared_ptr<host> self;
    std::uint64_t fence = 0; ///< Fencing token of the lease under which `targets` was collected.
    std::map<std::string, order_state, std::less<>> targets{};
    std::map<std::string, observed_version, std::less<>> versions{};
    time_point first_version_at{}; ///< When the first version of any model was seen; zero: not yet.
    load_timing timing{};
    load_limit limit{};
    std::uint64_t accepted_loads = 0; ///< Number of accepted orders.
};

using load_scheduler_ptr = std::shared_ptr<load_scheduler>;

std::vector<model_demand> collect_demands(host& self, const service& service_config) {
    bool single = false;
    for (const auto& route : self.routes->config.routes) {
        const bool serves =
            std::ranges::any_of(route.services, [&service_config](const auto& share) {
                return share.service == service_config.name;
            });
        single = single || (serves && route.single_version);
    }
    std::vector<model_demand> out;
    for (const auto& model : service_config.models) {
        const auto named = self.published_versions.find(model);
        if (named != self.published_versions.end() && named->second > 1) {
            out.push_back({model, named->second, single,
                           targets_needed_for(peak_demand(self, model), service_config.slots)});
        }
    }
    return out;
}

/// Updates the observed interval between versions.
void record_versions(load_scheduler& scheduler) {
    constexpr int samples = 8;
    const auto now = scheduler.self->now();
    for (const auto& [model, version] : scheduler.self->published_versions) {
        auto& seen = scheduler.versions[model];
        if (version == seen.version) {
            continue;
        }
        scheduler.first_version_at =
            scheduler.first_version_at == time_point{} ? now : scheduler.first_version_at;
        if (seen.version > 0 && version > seen.version) {
            const auto interval = std::chrono::duration_cast<milliseconds>(now - seen.first_seen) /
                                  (version - seen.version);
            auto& mean = scheduler.timing.version_interval;
            mean = mean.count() == 0 ? interval : mean + (interval - mean) / samples;
        }
        seen = {version, now};
    }
}

/// Clears the order state if the target restarted, the list shows the load, or the load timed out.
void update_order_state(load_scheduler& scheduler, const target_state& target, order_state& order) {
    auto& self = *scheduler.self;
    if (order.born_ms != target.entry.started_unix_ms) {
        order = {};
        order.born_ms = target.entry.started_unix_ms;
        return;
    }
    if (order.model.empty()) {
        return;
    }
    const auto listed_version = target.entry.versions.find(order.model);
    const bool done =
        listed_version != target.entry.versions.end() && listed_version->second >= order.version;
    if (done) {
        order.busy_until = {};
        order.model.clear();
    } else if (self.now() >= order.expires_at) {
        order.accepted_orders = std::nullopt;
        order.model.clear();
    }
}

/// Whether the load should have finished by its usual duration, without confirmation yet.
bool is_presumed_loaded(const load_scheduler& scheduler, const order_state& order) {
    return scheduler.timing.load_duration.count() > 0 &&
           scheduler.self->now() - order.sent_at >= scheduler.timing.load_duration;
}

std::size_t count_loads_in_progress(const load_scheduler& scheduler) {
    const auto now = scheduler.self->now();
    return static_cast<std::size_t>(std::ranges::count_if(scheduler.targets, [&](const auto& each) {
        const auto& order = each.second;
        return !order.model.empty() && now < order.busy_until &&
               !is_presumed_loaded(scheduler, order);
    }));
}

std::vector<load_candidate> load_candidates(load_scheduler& scheduler, std::string_view service) {
    auto& self = *scheduler.self;
    const auto median_interval = median_pace(self.targets, service);
    std::vector<load_candidate> out;
    for (auto& [id, target] : self.targets.by_id) {
        if (target.entry.service != service) {
            continue;
        }
        auto& order = scheduler.targets[id];
        update_order_state(scheduler, target, order);
        load_candidate candidate;
        candidate.id = id;
        candidate.versions = target.entry.versions;
        candidate.busy = self.now() < order.busy_until;
        if (!order.model.empty()) {
            candidate.versions[order.model] = order.version;
            candidate.presumed_loaded = is_presumed_loaded(scheduler, order);
        }
        candidate.usable = !target.entry.draining && !is_slow(target, median_interval) &&
                           target.consecutive_failures < 2;
        candidate.running = target.running;
        out.push_back(std::move(candidate));
    }
    return out;
}

loop::task<std::optional<target_report>> read_report(std::shared_ptr<host> self, std::string id,
                                                     transport::endpoint where) {
    const auto outcome = take_if_whole(
        co_await loop::call(self->connections, where, self->platform_adapter.report(id),
                            loop::after(order_timeout), connect_timeout));
    if (outcome.fault != loop::exchange_fault::none || outcome.answer.status != 200) {
        co_return std::nullopt;
    }
    const auto report = self->platform_adapter.report_of(outcome.answer.body);
    if (!report) {
        log_event(*self, object_unreadable,
                  {{"kind", "report"}, {"id", id}, {"problem", report.error().detail}});
        co_return std::nullopt;
    }
    co_return report.value();
}

/// Queries how many orders the target has accepted; false if it would reject an order now.
loop::task<bool> query_accepted_orders(load_scheduler_ptr scheduler, std::string id,
                                       transport::endpoint where) {
    const auto report = co_await read_report(scheduler->self, id, where);
    if (!report || report->busy) {
        co_return false;
    }
    scheduler->targets[id].accepted_orders = report->orders;
    co_return true;
}

bool has_loaded(const target_report& report, const order_state& order) {
    const auto found = report.versions.find(order.model);
    return found != report.versions.end() && found->second >= order.version;
}

/// Polls the target until its load has finished: the target list shows it half a second later.
loop::task<void> poll_load(load_scheduler_ptr scheduler, std::string id, transport::endpoint where,
                           std::uint64_t stands_for) {
    auto self = scheduler->self;
    const auto sent_at = scheduler->targets[id].sent_at;
    const auto lowered = scheduler->limit.times_lowered;
    co_await loop::pause_for(self->io,
                             milliseconds(static_cast<std::int64_t>(scheduler->limit.shortest_ms)));
    for (;;) {
        const auto concurrent_loads = count_loads_in_progress(*scheduler) + 1;
        const auto report = co_await read_report(self, id, where);
        auto& order = scheduler->targets[id];
        if (order.sent_at != sent_at || order.model.empty() || self->now() >= order.busy_until) {
            co_return;
        }
        if (report && has_loaded(*report, order)) {
            order.busy_until = {};
            const auto duration = std::chrono::duration_cast<milliseconds>(self->now() - sent_at);
            record_load(scheduler->limit, {duration, concurrent_loads, lowered, stands_for});
            log_event(*self, load_ended,
                      {{"target", id},
                       {"ms", duration.count()},
                       {"together", static_cast<std::uint64_t>(concurrent_loads)},
                       {"shortest_ms", scheduler->limit.shortest_ms},
                       {"stretch", scheduler->limit.slowdown},
                       {"allowed", scheduler->limit.max_loads}});
            scheduler->timing.load_duration = expected_load_duration(scheduler->limit);
            co_return;
        }
        co_await loop::pause_for(self->io, report_poll_interval);
    }
}

/// Polls every load until the concurrency limit has been determined, then a sample of them.
void maybe_poll_load(const load_scheduler_ptr& scheduler, std::string_view id,
                     const transport::endpoint& where) {
    const auto loads_per_poll = scheduler->limit.times_lowered == 0 ? 1 : loads_per_polled_load;
    if (scheduler->accepted_loads++ % loads_per_poll == 0) {
        loop::spawn(scheduler->self->io, "poll load",
                    poll_load(scheduler, std::string(id), where, loads_per_poll));
    }
}

/// Updates the order state by the target's answer, or by the lack of one.
void apply_order_answer(const load_scheduler_ptr& scheduler, std::string_view id,
                        const load_order& order, const transport::endpoint& where,
                        const loop::call_outcome& outcome) {
    auto& self = *scheduler->self;
    auto& target_order = scheduler->targets[std::string(id)];
    if (outcome.fault != loop::exchange_fault::none) {
        // The order may still be executed. The next one carries the same expected count, so the
        // target accepts only one of them.
        target_order.busy_until = self.now() + order_retry_delay;
        target_order.model.clear();
        return;
    }
    switch (self.platform_adapter.order_answer(outcome.answer.status)) {
    case order_outcome::accepted:
        target_order.accepted_orders = order.expected_orders + 1;
        maybe_poll_load(scheduler, id, where);
        break;
    case order_outcome::already_loaded:
        target_order.busy_until = {};
        break;
    case order_outcome::busy_or_changed:
    case order_outcome::fenced:
    case order_outcome::invalid:
    case order_outcome::other_target:
        target_order.accepted_orders = std::nullopt;
        target_order.model.clear();
        target_order.busy_until = self.now() + order_retry_delay;
        break;
    }
}

/// Timeout of a load: concurrent loads slow each other, so it grows with the usual duration.
milliseconds load_timeout(const load_scheduler& scheduler) {
    return std::max(default_load_timeout, scheduler.timing.load_duration * load_timeout_factor);
}

loop::task<void> send_order(load_scheduler_ptr scheduler, planned_load planned) {
    auto self = scheduler->self;
    const auto found = self->targets.by_id.find(planned.target);
    if (found == self->targets.by_id.end()) {
        co_return;
    }
    const auto where = found->second.entry.address;
    auto& target_order = scheduler->targets[planned.target];
    target_order.model = planned.model;
    target_order.version = planned.version;
    target_order.sent_at = self->now();
    target_order.busy_until = target_order.expires_at =
        target_order.sent_at + load_timeout(*scheduler);
    bool ready = target_order.accepted_orders.has_value();
    if (!ready) {
        ready = co_await query_accepted_orders(scheduler, planned.target, where);
    }
    if (!ready || !is_leader(*self)) {
        target_order.model.clear();
        target_order.busy_until = self->now() + order_retry_delay;
        co_return;
    }
    target_order.sent_at = self->now();
    load_order order{planned.model,         planned.version,
                     planned.order_mode,    self->settings.host,
                     self->lead.view.fence, target_order.accepted_orders.value_or(0)};
    auto outcome = take_status(co_await loop::call(
        self->connections, where, self->platform_adapter.order(order, planned.target),
        loop::after(order_timeout), connect_timeout));
    apply_order_answer(scheduler, planned.target, order, where, outcome);
    self->metrics.count("cornelloom_orders_total");
    log_event(*self, order_given,
              {{"target", planned.target},
               {"model", planned.model},
               {"version", planned.version},
               {"fence", order.fence},
               {"expected_orders", order.expected_orders},
               {"lease_age_ms", ms_between(self->lead.view.last_renewal, self->clock.boot_now())},
               {"fault", to_string(outcome.fault)},
               {"status", status_of(outcome)}});
}

void schedule_loads(const load_scheduler_ptr& scheduler) {
    auto& self = *scheduler->self;
    if (!self.routes) {
        return;
    }
    record_versions(*scheduler);
    for (const auto& [name, service] : self.routes->config.services) {
        const auto demands = collect_demands(self, service);
        if (demands.empty()) {
            continue;
        }
        const auto targets = load_candidates(*scheduler, name);
        const bool in_startup = self.now() - scheduler->first_version_at < startup_period;
        scheduler->timing.models_without_version =
            in_startup ? service.models.size() - demands.size() : 0;
        for (auto& planned : plan_loads(demands, targets, max_concurrent_loads(scheduler->limit),
                                        scheduler->timing)) {
            loop::spawn(self.io, "send order", send_order(scheduler, std::move(planned)));
        }
    }
}

/// Resets the order state: other holders may have sent orders since this host last held the lease.
void reset_for_new_lease(load_scheduler& scheduler) {
    scheduler.fence = scheduler.self->lead.view.fence;
    scheduler.limit.max_loads =
        std::max(scheduler.limit.max_loads, scheduler.self->lead.loads_at_once);
    // Reset in place: an order in flight may still hold a reference to its entry.
    for (auto& [id, target] : scheduler.targets) {
        target = {};
    }
}

loop::task<void> run(load_scheduler_ptr scheduler) {
    auto self = scheduler->self;
    for (;;) {
        co_await wait_for_lease(self);
        if (scheduler->fence != self->lead.view.fence) {
            reset_for_new_lease(*scheduler);
        }
        if (is_leader(*self)) {
            schedule_loads(scheduler);
            self->lead.loads_at_once = scheduler->limit.max_loads;
        }
        co_await loop::pause_for(self->io, plan_interval);
    }
}

} // namespace

void start_load_scheduler(const std::shared_ptr<host>& self) {
    auto scheduler = std::make_shared<load_scheduler>(self);
    loop::keep_running(self->io, "load scheduler", [scheduler] { return run(scheduler); });
}

} // namespace cornelloom::front
