#include "front/order_giver.hpp"

#include "front/count_exchange.hpp"
#include "front/load_limit.hpp"
#include "front/load_plan.hpp"
#include "front/placement.hpp"
#include "front/target_supply.hpp"

#include <algorithm>

namespace cornelloom::front {

namespace {

/// How often the plan is made anew while this host gives orders.
constexpr milliseconds plan_every{150};
/// A target answers an order at once; beyond this it may still carry it out later.
constexpr milliseconds order_limit{800};
constexpr loop::milliseconds connect_limit{300};
/// A load that is not seen by then is looked into, unless loads have been seen to take longer.
constexpr milliseconds load_most{4000};
constexpr int loads_in_load_most = 3;
/// A target that loads is asked again after this.
constexpr loop::milliseconds report_every{100};
/// One load in so many is followed by reports, which are paid for, once the limit is known.
constexpr std::uint64_t loads_to_a_report = 4;
/// A target that did not answer is asked again after this.
constexpr milliseconds trouble_pause{700};
/// Trainers start together. For so long after the first named version, the targets are shared with
/// the models that have none yet: loads beyond a model's share would be in their way.
constexpr milliseconds first_versions{10000};

/// What the giver knows of one target beyond the list.
struct ordered_target {
    std::optional<std::int64_t> orders; ///< Accepted by the target so far; nothing: ask it.
    std::int64_t born_ms = 0;
    std::string model; ///< Of the newest order, until the list shows its load.
    int version = 0;
    time_point given{};   ///< When that order was given.
    time_point until{};   ///< It counts as busy until then, or until the list shows the load.
    time_point expires{}; ///< A load that the list does not show by then is looked into.
};

/// When a model's newest version was seen first.
struct seen_version {
    int version = 0;
    time_point at{};
};

struct giver {
    explicit giver(std::shared_ptr<host> owner) : self(std::move(owner)) {}

    std::shared_ptr<host> self;
    std::uint64_t fence = 0; ///< Of the lease under which `targets` was learned.
    std::map<std::string, ordered_target, std::less<>> targets{};
    std::map<std::string, seen_version, std::less<>> versions{};
    time_point first_version{}; ///< When any was seen first; zero: not yet.
    load_pace pace{};
    load_limit limit{};
    std::uint64_t loads = 0; ///< Orders that were accepted.
};

using giver_ptr = std::shared_ptr<giver>;

std::vector<model_need> needs_of(const host& self, const service& of) {
    bool single = false;
    for (const auto& route : self.routes->source.routes) {
        const bool serves = std::ranges::any_of(
            route.services, [&of](const auto& share) { return share.service == of.name; });
        single = single || (serves && route.single_version);
    }
    std::vector<model_need> out;
    for (const auto& model : of.models) {
        const auto named = self.named_versions.find(model);
        if (named != self.named_versions.end() && named->second > 1) {
            out.push_back(
                {model, named->second, single, targets_for(peak_demand(self, model), of.slots)});
        }
    }
    return out;
}

/// Learns how often the trainers name versions.
void note_versions(giver& one) {
    constexpr int samples = 8;
    const auto now = one.self->now();
    for (const auto& [model, version] : one.self->named_versions) {
        auto& seen = one.versions[model];
        if (version == seen.version) {
            continue;
        }
        one.first_version = one.first_version == time_point{} ? now : one.first_version;
        if (seen.version > 0) {
            const auto round = std::chrono::duration_cast<milliseconds>(now - seen.at) /
                               std::max(version - seen.version, 1);
            auto& mean = one.pace.round;
            mean = mean.count() == 0 ? round : mean + (round - mean) / samples;
        }
        seen = {version, now};
    }
}

/// The list shows the load, or it has taken too long.
void settle_order(giver& one, const target_state& target, ordered_target& order) {
    auto& self = *one.self;
    if (order.born_ms != target.entry.born_ms) {
        order = {};
        order.born_ms = target.entry.born_ms;
        return;
    }
    if (order.model.empty()) {
        return;
    }
    const auto listed = target.entry.versions.find(order.model);
    const bool done = listed != target.entry.versions.end() && listed->second >= order.version;
    if (done) {
        order.until = {};
        order.model.clear();
    } else if (self.now() >= order.expires) {
        order.orders = std::nullopt;
        order.model.clear();
    }
}

/// Whether the load should be over, though nothing has said so yet.
bool is_awaited(const giver& one, const ordered_target& order) {
    return one.pace.load.count() > 0 && one.self->now() - order.given >= one.pace.load;
}

std::size_t loads_running(const giver& one) {
    const auto now = one.self->now();
    return static_cast<std::size_t>(std::ranges::count_if(one.targets, [&](const auto& each) {
        const auto& order = each.second;
        return !order.model.empty() && now < order.until && !is_awaited(one, order);
    }));
}

std::vector<load_candidate> candidates_of(giver& one, std::string_view service) {
    auto& self = *one.self;
    const auto usual = median_pace(self.targets, service);
    std::vector<load_candidate> out;
    for (auto& [id, target] : self.targets.by_id) {
        if (target.entry.service != service) {
            continue;
        }
        auto& order = one.targets[id];
        settle_order(one, target, order);
        load_candidate candidate;
        candidate.id = id;
        candidate.versions = target.entry.versions;
        candidate.busy = self.now() < order.until;
        if (!order.model.empty()) {
            candidate.versions[order.model] = order.version;
            candidate.awaited = is_awaited(one, order);
        }
        candidate.usable =
            !target.entry.draining && !is_slow(target, usual) && target.faults_in_a_row < 2;
        candidate.running = target.running;
        out.push_back(std::move(candidate));
    }
    return out;
}

loop::task<std::optional<target_report>> read_report(std::shared_ptr<host> self, std::string id,
                                                     transport::endpoint where) {
    const auto outcome = co_await loop::call(self->connections, where, self->wire.report(id),
                                             loop::after(order_limit), connect_limit);
    if (outcome.fault != loop::exchange_fault::none || outcome.answer.status != 200) {
        co_return std::nullopt;
    }
    const auto report = self->wire.report_of(outcome.answer.body);
    if (!report) {
        note(*self, object_unreadable,
             {{"kind", "report"}, {"id", id}, {"problem", report.error().detail}});
        co_return std::nullopt;
    }
    co_return report.value();
}

/// Learns how many orders the target has accepted; false if it would refuse one now.
loop::task<bool> learn_orders(giver_ptr one, std::string id, transport::endpoint where) {
    const auto report = co_await read_report(one->self, id, where);
    if (!report || report->busy) {
        co_return false;
    }
    one->targets[id].orders = report->orders;
    co_return true;
}

bool has_loaded(const target_report& report, const ordered_target& order) {
    const auto found = report.versions.find(order.model);
    return found != report.versions.end() && found->second >= order.version;
}

/// Asks the target until its load is over: the list tells of that half a second later.
loop::task<void> follow_load(giver_ptr one, std::string id, transport::endpoint where,
                             std::uint64_t stands_for) {
    auto self = one->self;
    const auto given = one->targets[id].given;
    const auto lowered = one->limit.lowered;
    co_await loop::pause_for(self->io,
                             milliseconds(static_cast<std::int64_t>(one->limit.shortest_ms)));
    for (;;) {
        const auto together = loads_running(*one) + 1;
        const auto report = co_await read_report(self, id, where);
        auto& order = one->targets[id];
        if (order.given != given || order.model.empty() || self->now() >= order.until) {
            co_return;
        }
        if (report && has_loaded(*report, order)) {
            order.until = {};
            const auto took = std::chrono::duration_cast<milliseconds>(self->now() - given);
            note_load(one->limit, {took, together, lowered, stands_for});
            note(*self, load_ended,
                 {{"target", id},
                  {"ms", took.count()},
                  {"together", static_cast<std::uint64_t>(together)},
                  {"shortest_ms", one->limit.shortest_ms},
                  {"stretch", one->limit.stretch},
                  {"allowed", one->limit.allowed}});
            one->pace.load = usual_load(one->limit);
            co_return;
        }
        co_await loop::pause_for(self->io, report_every);
    }
}

/// Until the limit is known each load tells of it, later some do.
void follow_some(const giver_ptr& one, std::string_view id, const transport::endpoint& where) {
    const auto every = one->limit.lowered == 0 ? 1 : loads_to_a_report;
    if (one->loads++ % every == 0) {
        loop::asio::co_spawn(one->self->io, follow_load(one, std::string(id), where, every),
                             loop::asio::detached);
    }
}

/// What the target's answer, or its silence, says about the next order.
void take_order_answer(const giver_ptr& one, std::string_view id, const load_order& order,
                       const transport::endpoint& where, const loop::call_outcome& outcome) {
    auto& self = *one->self;
    auto& known = one->targets[std::string(id)];
    if (outcome.fault != loop::exchange_fault::none) {
        // It may be carried out yet. The next order names the same count, so that only one holds.
        known.until = self.now() + trouble_pause;
        known.model.clear();
        return;
    }
    switch (self.wire.order_answer(outcome.answer.status)) {
    case order_outcome::accepted:
        known.orders = order.expected_orders + 1;
        follow_some(one, id, where);
        break;
    case order_outcome::holds_already:
        known.until = {};
        break;
    case order_outcome::busy_or_changed:
    case order_outcome::fenced:
    case order_outcome::invalid:
    case order_outcome::other_target:
        known.orders = std::nullopt;
        known.model.clear();
        known.until = self.now() + trouble_pause;
        break;
    }
}

/// Loads take longer beside others, and as long as they have been seen to.
milliseconds longest_load(const giver& one) {
    return std::max(load_most, one.pace.load * loads_in_load_most);
}

loop::task<void> give(giver_ptr one, load_choice choice) {
    auto self = one->self;
    const auto found = self->targets.by_id.find(choice.target);
    if (found == self->targets.by_id.end()) {
        co_return;
    }
    const auto where = found->second.entry.where;
    auto& known = one->targets[choice.target];
    known.model = choice.model;
    known.version = choice.version;
    known.given = self->now();
    known.until = known.expires = known.given + longest_load(*one);
    bool ready = known.orders.has_value();
    if (!ready) {
        ready = co_await learn_orders(one, choice.target, where);
    }
    if (!ready || !leads(*self)) {
        known.model.clear();
        known.until = self->now() + trouble_pause;
        co_return;
    }
    known.given = self->now();
    load_order order{choice.model,        choice.version,        choice.runs,
                     self->settings.host, self->lead.view.fence, known.orders.value_or(0)};
    auto outcome =
        co_await loop::call(self->connections, where, self->wire.order(order, choice.target),
                            loop::after(order_limit), connect_limit);
    take_order_answer(one, choice.target, order, where, outcome);
    self->metrics.count("cornelloom_orders_total");
    note(*self, order_given,
         {{"target", choice.target},
          {"model", choice.model},
          {"version", choice.version},
          {"fence", order.fence},
          {"expected_orders", order.expected_orders},
          {"lease_age_ms", ms_between(self->lead.view.renewed, self->clock.boot_now())},
          {"fault", to_string(outcome.fault)},
          {"status", status_of(outcome)}});
}

void give_orders(const giver_ptr& one) {
    auto& self = *one->self;
    if (!self.routes) {
        return;
    }
    note_versions(*one);
    for (const auto& [name, service] : self.routes->source.services) {
        const auto needs = needs_of(self, service);
        if (needs.empty()) {
            continue;
        }
        const auto targets = candidates_of(*one, name);
        const bool starting = self.now() - one->first_version < first_versions;
        one->pace.unnamed = starting ? service.models.size() - needs.size() : 0;
        for (auto& choice : plan_loads(needs, targets, loads_at_once(one->limit), one->pace)) {
            loop::asio::co_spawn(self.io, give(one, std::move(choice)), loop::asio::detached);
        }
    }
}

/// What an earlier holding taught of the targets says nothing of the orders of others since.
void begin_holding(giver& one) {
    one.fence = one.self->lead.view.fence;
    one.limit.allowed = std::max(one.limit.allowed, one.self->lead.loads_at_once);
    // Reset in place: an order may still be on its way and hold on to its entry.
    for (auto& [id, target] : one.targets) {
        target = {};
    }
}

loop::task<void> run(giver_ptr one) {
    auto self = one->self;
    for (;;) {
        co_await wait_for_lease(self);
        if (one->fence != self->lead.view.fence) {
            begin_holding(*one);
        }
        if (leads(*self)) {
            give_orders(one);
            self->lead.loads_at_once = one->limit.allowed;
        }
        co_await loop::pause_for(self->io, plan_every);
    }
}

} // namespace

void start_order_giver(const std::shared_ptr<host>& self) {
    auto one = std::make_shared<giver>(self);
    loop::asio::co_spawn(self->io, run(one), loop::asio::detached);
}

} // namespace cornelloom::front
