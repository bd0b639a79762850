#include "front/order_giver.hpp"

#include "front/feed.hpp"
#include "front/load_plan.hpp"
#include "front/order_lease.hpp"
#include "front/placement.hpp"
#include "front/records.hpp"

#include <time.h>

#include <algorithm>
#include <set>

namespace cornelloom::front {

namespace {

constexpr std::string_view lease_name = "loads";
/// How often another host's lease is looked at: a stale read costs a tenth of a call.
constexpr milliseconds look_every{700};
/// The look is also the sign of the store by which a feeder knows that it is in touch.
constexpr loop::milliseconds look_limit{600};
/// How often the plan is made anew while this host gives orders.
constexpr milliseconds plan_every{150};
/// A target answers an order at once; beyond this it may still carry it out later.
constexpr milliseconds order_limit{800};
constexpr loop::milliseconds connect_limit{300};
/// A load takes 0.9 s, and longer beside others; one that is not seen by then is looked into.
constexpr milliseconds load_most{4000};
/// A target that did not answer is asked again after this.
constexpr milliseconds trouble_pause{700};
/// Trainers start together. For so long after the first named version, the targets are shared with
/// the models that have none yet: loads beyond a model's share would be in their way.
constexpr milliseconds first_versions{10000};

/// What the giver knows of one target beyond the list.
struct ordered_target {
    std::optional<std::int64_t> orders; ///< Accepted by the target so far; nothing: ask it.
    std::int64_t born_ms = 0;
    std::string model; ///< Of the order in progress.
    int version = 0;
    time_point given{}; ///< When that order was given.
    time_point until{}; ///< It counts as busy until then, or until the list shows it.
};

/// When a model's newest version was seen first.
struct seen_version {
    int version = 0;
    time_point at{};
};

struct giver {
    explicit giver(std::shared_ptr<host> owner) : self(std::move(owner)) {}

    std::shared_ptr<host> self;
    lease_view view{};
    lease_rules rules{};
    std::uint64_t renewals = 0;
    std::map<std::string, ordered_target, std::less<>> targets{};
    std::map<std::string, seen_version, std::less<>> versions{};
    time_point first_version{}; ///< When any was seen first; zero: not yet.
    load_pace pace{};
};

using giver_ptr = std::shared_ptr<giver>;

/// Time that also passes while this host is suspended: a holder that slept must not order on.
time_point suspended_now() {
    timespec now{};
    ::clock_gettime(CLOCK_BOOTTIME, &now);
    return time_point(std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
}

bool any_load_wanted(const host& self) {
    return std::ranges::any_of(self.named_versions,
                               [](const auto& each) { return each.second > 1; });
}

void take_seen(giver& one, const stored_object& object) {
    const auto holder = decode_lease(object.specification);
    const auto before = one.view.holder;
    note_seen(one.view, object.revision, holder ? holder.value() : std::string(), suspended_now());
    if (before != one.view.holder) {
        note(*one.self, order_lease_changed,
             {{"holder", one.view.holder}, {"before", before}, {"revision", object.revision}});
    }
}

loop::task<void> look(giver_ptr one) {
    auto self = one->self;
    auto answer = co_await call_store(
        self->store, self->wire.get(object_kind::order_lease, lease_name, true), look_limit);
    if (answer.fault != store_fault::none) {
        co_return;
    }
    const auto object = self->wire.object(answer.body);
    if (object) {
        take_seen(*one, object.value());
    }
}

loop::task<void> write_lease(giver_ptr one) {
    auto self = one->self;
    const auto sent = suspended_now();
    const auto value = encode_lease(self->settings.host, ++one->renewals ^ self->random() << 16U);
    const auto request =
        one->view.revision == 0
            ? self->wire.create(object_kind::order_lease, lease_name, value)
            : self->wire.replace(object_kind::order_lease, lease_name, value, one->view.revision);
    auto answer = co_await call_store(self->store, request, one->rules.answer_most);
    const auto object = self->wire.object(answer.body);
    if (answer.fault == store_fault::conflict && object) {
        take_seen(*one, object.value());
        co_return;
    }
    if (answer.fault == store_fault::not_found) {
        one->view = {};
        co_return;
    }
    if (answer.fault != store_fault::none || !object) {
        co_return;
    }
    const auto before = one->view.holder;
    const bool held = holds(one->view, self->settings.host);
    note_written(one->view, one->rules, object.value().revision, self->settings.host, sent);
    if (!held) {
        // Reset in place: an order may still be on its way and hold on to its entry.
        for (auto& [id, target] : one->targets) {
            target = {};
        }
        note(*self, order_lease_changed,
             {{"holder", self->settings.host},
              {"before", before},
              {"fence", one->view.fence},
              {"orders_in_ms", ms_between(sent, one->view.orders_from)}});
    }
}

std::vector<model_need> needs_of(const host& self, std::string_view service,
                                 const std::vector<std::string>& models) {
    bool single = false;
    for (const auto& route : self.routes->source.routes) {
        const bool serves = std::ranges::any_of(
            route.services, [service](const auto& share) { return share.service == service; });
        single = single || (serves && route.single_version);
    }
    std::vector<model_need> out;
    for (const auto& model : models) {
        const auto named = self.named_versions.find(model);
        if (named != self.named_versions.end() && named->second > 1) {
            out.push_back({model, named->second, single});
        }
    }
    return out;
}

/// Learns how long a load takes: nearly the shortest time in which the list showed one, for the
/// news of the others has only been longer on its way.
void note_load(load_pace& pace, milliseconds took) {
    constexpr int samples = 50;
    pace.load = pace.load.count() == 0 || took < pace.load
                    ? took
                    : pace.load + (took - pace.load) / samples;
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
    const auto loaded = target.entry.versions.find(order.model);
    const bool done = loaded != target.entry.versions.end() && loaded->second >= order.version;
    if (done) {
        note_load(one.pace, std::chrono::duration_cast<milliseconds>(self.now() - order.given));
    }
    if (done || self.now() >= order.until) {
        order.orders = done ? order.orders : std::nullopt;
        order.model.clear();
        order.until = done ? time_point{} : order.until;
    }
}

std::vector<load_candidate> candidates_of(giver& one, std::string_view service) {
    auto& self = *one.self;
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
            candidate.awaited =
                one.pace.load.count() > 0 && self.now() - order.given >= one.pace.load;
        }
        candidate.usable =
            !target.entry.draining && !is_slow(self.targets, target) && target.faults_in_a_row < 2;
        candidate.running = target.running;
        out.push_back(std::move(candidate));
    }
    return out;
}

loop::task<bool> learn_orders(giver_ptr one, std::string id, transport::endpoint where) {
    auto self = one->self;
    auto outcome = co_await loop::call(self->connections, where, self->wire.report(id),
                                       loop::after(order_limit), connect_limit);
    if (outcome.fault != loop::exchange_fault::none || outcome.answer.status != 200) {
        co_return false;
    }
    const auto report = self->wire.report_of(outcome.answer.body);
    if (!report) {
        note(*self, object_unreadable,
             {{"kind", "report"}, {"id", id}, {"problem", report.error().detail}});
        co_return false;
    }
    one->targets[id].orders = report.value().orders;
    co_return true;
}

/// What the target's answer, or its silence, says about the next order.
void take_order_answer(const giver& one, ordered_target& known, const load_order& order,
                       const loop::call_outcome& outcome) {
    auto& self = *one.self;
    if (outcome.fault != loop::exchange_fault::none) {
        // It may be carried out yet. The next order names the same count, so that only one holds.
        known.until = self.now() + trouble_pause;
        known.model.clear();
        return;
    }
    switch (self.wire.order_answer(outcome.answer.status)) {
    case order_outcome::accepted:
        known.orders = order.expected_orders + 1;
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
    known.until = known.given + load_most;
    bool ready = known.orders.has_value();
    if (!ready) {
        ready = co_await learn_orders(one, choice.target, where);
    }
    if (!ready || !may_order(one->view, one->rules, self->settings.host, suspended_now())) {
        known.model.clear();
        known.until = self->now() + trouble_pause;
        co_return;
    }
    load_order order{choice.model,        choice.version,  choice.runs,
                     self->settings.host, one->view.fence, known.orders.value_or(0)};
    auto outcome =
        co_await loop::call(self->connections, where, self->wire.order(order, choice.target),
                            loop::after(order_limit), connect_limit);
    take_order_answer(*one, known, order, outcome);
    self->metrics.count("cornelloom_orders_total");
    note(*self, order_given,
         {{"target", choice.target},
          {"model", choice.model},
          {"version", choice.version},
          {"fence", order.fence},
          {"expected_orders", order.expected_orders},
          {"lease_age_ms", ms_between(one->view.renewed, suspended_now())},
          {"fault", to_string(outcome.fault)},
          {"status", outcome.answer.status}});
}

void give_orders(const giver_ptr& one) {
    auto& self = *one->self;
    if (!self.routes) {
        return;
    }
    note_versions(*one);
    for (const auto& [name, service] : self.routes->source.services) {
        const auto needs = needs_of(self, name, service.models);
        if (needs.empty()) {
            continue;
        }
        const auto targets = candidates_of(*one, name);
        const bool starting = self.now() - one->first_version < first_versions;
        one->pace.unnamed = starting ? service.models.size() - needs.size() : 0;
        for (auto& choice : plan_loads(needs, targets, loads_at_once(targets.size()), one->pace)) {
            loop::asio::co_spawn(self.io, give(one, std::move(choice)), loop::asio::detached);
        }
    }
}

loop::task<void> run(giver_ptr one) {
    auto self = one->self;
    for (;;) {
        const bool mine = holds(one->view, self->settings.host);
        // One host of a zone is enough to take over, and each look is paid for.
        const bool candidate = mine || watches_store(*self);
        if (candidate && !mine) {
            co_await look(one);
        }
        const auto now = suspended_now();
        self->wants_versions =
            candidate && may_have_to_order(one->view, one->rules, self->settings.host, now);
        const auto step = next_step(one->view, one->rules, self->settings.host, now);
        const bool wanted = candidate && any_load_wanted(*self) && !self->stopping;
        if (wanted && step != lease_step::none) {
            co_await write_lease(one);
        }
        if (wanted && may_order(one->view, one->rules, self->settings.host, suspended_now())) {
            give_orders(one);
        }
        const bool holds = one->view.holder == self->settings.host;
        // Hosts look at different moments, so that one of them is first.
        const auto spread = milliseconds(self->random() % 300);
        co_await loop::pause_for(self->io, holds ? plan_every : look_every + spread);
    }
}

} // namespace

void start_order_giver(const std::shared_ptr<host>& self) {
    auto one = std::make_shared<giver>(self);
    one->rules.turn = self->settings.order_turn + self->settings.thaw;
    loop::asio::co_spawn(self->io, run(one), loop::asio::detached);
}

} // namespace cornelloom::front
