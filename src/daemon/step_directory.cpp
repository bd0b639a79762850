#include "daemon/step_directory.hpp"

#include "daemon/answer.hpp"
#include "daemon/events.hpp"
#include "daemon/step_rules.hpp"
#include "daemon/step_scoring.hpp"
#include "rollout/codec.hpp"

#include <algorithm>
#include <ranges>

namespace cornelloom::daemon {

namespace {

using namespace std::chrono_literals;
using kernel::refusal;
using kernel::refusal_reason;
using kernel::run_state;

constexpr kernel::duration come_back_soon = 300ms;
constexpr kernel::duration keep_ended_steps = 60s;
constexpr kernel::duration default_pull_wait = 10s;
constexpr kernel::duration longest_pull_wait = 60s;
// The owner may wait for its lease before it answers.
constexpr kernel::duration forward_slack = 4s;
constexpr std::int64_t hand_over_expiry_ms = std::int64_t{30} * 60 * 1000;
constexpr int ok = 200;

transport::http_response refuse(context& shared, refusal_reason reason, std::string detail,
                                kernel::duration retry_after = {},
                                run_state state = run_state::not_run) {
    const refusal why{reason, state, retry_after, std::move(detail)};
    const kernel::label labels[] = {{"reason", kernel::to_string(reason)},
                                    {"state", kernel::to_string(state)}};
    shared.metrics.count("cornelloom_refusals_total", labels);
    return answer_refusal(why);
}

kernel::duration pull_wait(const std::string& body) {
    const auto parsed = parse_body(body);
    if (parsed.fault || !parsed.value.contains("wait_ms") ||
        !parsed.value["wait_ms"].is_number_integer()) {
        return default_pull_wait;
    }
    const std::chrono::milliseconds wanted{parsed.value["wait_ms"].get<std::int64_t>()};
    return std::clamp<kernel::duration>(wanted, 0s, longest_pull_wait);
}

struct handed_page {
    rollout::collect_answer answer;
    rollout::owner_epoch epoch = 0;
};

std::string_view to_string(step_verb verb) {
    switch (verb) {
    case step_verb::open:
        return "open";
    case step_verb::pull:
        return "pull";
    case step_verb::cancel:
        return "cancel";
    }
    return "pull";
}

std::size_t count_finished(const rollout::step& open) {
    return static_cast<std::size_t>(std::ranges::count_if(open.slots, [](const auto& one) {
        return one.state == rollout::slot_state::finished ||
               one.state == rollout::slot_state::acknowledged;
    }));
}

bool is_over(rollout::step_state state) {
    return state != rollout::step_state::open && state != rollout::step_state::collecting;
}

} // namespace

step_directory::step_directory(const step_surroundings& parts)
    : parts_(parts), ownership_(
                         parts, [this](const auto& lease) { return running_epoch_of(lease); },
                         [this](const auto& lease, auto fence) { raise_epochs(lease, fence); }),
      storage_(parts) {}

std::optional<std::uint64_t> step_directory::running_epoch_of(const std::string& lease) const {
    std::optional<std::uint64_t> largest;
    for (const auto& [key, one] : snapshot_steps()) {
        if (step_ownership::lease_name(one.pool, key.trainer) == lease) {
            const auto epoch = one.runner->with_step([](const auto& open) { return open.epoch; });
            largest = std::max(largest.value_or(0), epoch);
        }
    }
    return largest;
}

// Held before and got back: the steps go on under the new number.
void step_directory::raise_epochs(const std::string& lease, std::uint64_t fence) {
    for (const auto& [key, one] : snapshot_steps()) {
        if (step_ownership::lease_name(one.pool, key.trainer) == lease) {
            one.runner->with_step(
                [fence](auto& open) { open.epoch = std::max(open.epoch, fence); });
        }
    }
}

std::vector<std::pair<rollout::step_key, step_directory::owned_step>>
step_directory::snapshot_steps() const {
    const std::lock_guard lock(mutex_);
    return {steps_.begin(), steps_.end()};
}

transport::http_response step_directory::handle(const step_call& call) {
    auto& shared = parts_.shared;
    std::optional<rollout::step_request> opening;
    rollout::pull_request pulling;
    kernel::trainer_id trainer;
    if (call.verb == step_verb::cancel) {
        const auto parsed = parse_body(call.body);
        trainer = kernel::trainer_id(parsed.value.value("trainer", std::string()));
        pulling.key = {trainer, call.step};
    } else if (call.verb == step_verb::open) {
        auto decoded = rollout::decode_step_request(call.pool, call.body);
        if (!decoded) {
            return refuse(shared, refusal_reason::malformed, decoded.error().detail);
        }
        opening = std::move(decoded.value());
        trainer = opening->key.trainer;
    } else {
        auto decoded = rollout::decode_pull_request(call.step, call.body);
        if (!decoded) {
            return refuse(shared, refusal_reason::malformed, decoded.error().detail);
        }
        pulling = std::move(decoded.value());
        trainer = pulling.key.trainer;
    }
    const auto owner = ownership_.find(step_ownership::lease_name(call.pool, trainer));
    if (owner.other) {
        if (call.forwarded) {
            return refuse(shared, refusal_reason::not_owner, "the step moved to another host",
                          come_back_soon);
        }
        return forward(call, *owner.other);
    }
    if (!owner.fence) {
        return refuse(shared, refusal_reason::not_ready, "no host owns the trainer's steps yet",
                      come_back_soon);
    }
    switch (call.verb) {
    case step_verb::open:
        return open(call, *owner.fence, *opening);
    case step_verb::pull:
        return pull(call, *owner.fence, pulling);
    case step_verb::cancel:
        return cancel(pulling.key);
    }
    return refuse(shared, refusal_reason::malformed, "no such call");
}

transport::http_response step_directory::forward(const step_call& call,
                                                 const kernel::host_id& to) const {
    const nlohmann::json message{{"verb", to_string(call.verb)},
                                 {"pool", call.pool.str()},
                                 {"step", call.step.str()},
                                 {"body", call.body}};
    const auto timeout = forward_slack + (call.verb == step_verb::pull ? pull_wait(call.body) : 0s);
    const auto reply = parts_.others.call(to, "/steps", dump(message), timeout);
    if (!reply) {
        // Opening and pulling are idempotent: the trainer may ask again wherever it likes.
        return refuse(parts_.shared, refusal_reason::not_ready,
                      "the owner of the step cannot be reached", come_back_soon,
                      run_state::unknown);
    }
    return {reply.value().status, {{"Content-Type", "application/json"}}, reply.value().body};
}

transport::http_response step_directory::open(const step_call& call, std::uint64_t fence,
                                              const rollout::step_request& request) {
    auto& shared = parts_.shared;
    if (shared.draining) {
        return refuse(shared, refusal_reason::shutting_down, "this host leaves", come_back_soon);
    }
    auto runner = find(request.key);
    if (runner) {
        if (const auto same = runner->reopen(request); !same) {
            return refuse(shared, refusal_reason::malformed, same.error().detail);
        }
    } else {
        auto made = make_step(call.pool, fence, request);
        if (!made) {
            const bool missing = made.error().code == kernel::error_code::not_found;
            return refuse(shared,
                          missing ? refusal_reason::no_such_pool : refusal_reason::malformed,
                          made.error().detail);
        }
        runner = made.value();
    }
    runner->pump();
    return runner->with_step([](const auto& step) {
        return answer_json({{"epoch", step.epoch},
                            {"samples", step.slots.size()},
                            {"state", rollout::to_string(step.state)}});
    });
}

kernel::result<std::shared_ptr<step_runner>>
step_directory::make_step(const kernel::pool_id& pool, std::uint64_t fence,
                          const rollout::step_request& request) {
    const auto active = parts_.shared.configuration.read();
    const auto* declared = config::find_pool(active->declared, pool);
    if (declared == nullptr) {
        return kernel::error{kernel::error_code::not_found, pool.str()};
    }
    const auto faults = check_limits(request, *declared);
    if (!faults.empty()) {
        return kernel::error{kernel::error_code::invalid_input,
                             kernel::to_string(faults.items().front())};
    }
    auto& clock = parts_.shared.clock;
    auto opened =
        rollout::open_step(request, to_rules(*declared), fence, clock.now(), clock.wall_now());
    if (!opened) {
        return opened.error();
    }
    std::vector<kernel::host_id> to_ask;
    if (ownership_.is_recent_takeover(step_ownership::lease_name(pool, request.key.trainer))) {
        to_ask = parts_.others.others();
    }
    if (!to_ask.empty()) {
        // An earlier owner may have died in this very step: what it had paid for is still held.
        opened = storage_.reopen(opened.value(), to_ask);
        if (!opened) {
            return opened.error();
        }
    }
    kernel::log(events::step_opened, {{"step", rollout::to_string(request.key)}});
    storage_.store(opened.value());
    auto runner = adopt(pool, std::move(opened.value()));
    collect(runner, to_ask);
    return runner;
}

transport::http_response step_directory::pull(const step_call& call, std::uint64_t fence,
                                              const rollout::pull_request& request) {
    auto& shared = parts_.shared;
    auto runner = find(request.key);
    if (!runner) {
        runner = recover(call.pool, request.key, fence);
    }
    if (!runner) {
        return refuse(shared, refusal_reason::no_such_step, rollout::to_string(request.key));
    }
    auto ordered = request;
    if (ordered.order == 0) {
        // A trainer that restarted must not be overtaken by a pull from before its restart.
        ordered.order = static_cast<std::uint64_t>(shared.clock.wall_now().unix_ms);
    }
    const auto answer = runner->pull(ordered, pull_wait(call.body));
    if (answer) {
        return {ok, {{"Content-Type", "application/json"}}, rollout::encode(answer.value())};
    }
    if (answer.error().code == kernel::error_code::conflict) {
        return refuse(shared, refusal_reason::not_owner, answer.error().detail, come_back_soon);
    }
    return refuse(shared, refusal_reason::malformed, answer.error().detail);
}

transport::http_response step_directory::cancel(const rollout::step_key& key) {
    const auto runner = find(key);
    if (!runner) {
        return refuse(parts_.shared, refusal_reason::no_such_step, rollout::to_string(key));
    }
    runner->cancel();
    return answer_json({{"state", "cancelled"}});
}

std::shared_ptr<step_runner> step_directory::find(const rollout::step_key& key) const {
    const std::lock_guard lock(mutex_);
    const auto it = steps_.find(key);
    return it == steps_.end() ? nullptr : it->second.runner;
}

std::shared_ptr<step_runner> step_directory::adopt(const kernel::pool_id& pool,
                                                   rollout::step open) {
    const auto key = open.request.key;
    const std::lock_guard lock(mutex_);
    if (const auto it = steps_.find(key); it != steps_.end()) {
        return it->second.runner;
    }
    const auto self = std::make_shared<std::weak_ptr<step_runner>>();
    const step_services services{
        .hold = [this, self](const auto& request) { parts_.replicas.send_hold(request, *self); },
        .release = [this](const auto& host,
                          const auto& request) { parts_.replicas.send_release(host, request); },
        .score = [this, self,
                  pool](const auto&,
                        const auto& wanted) { score_sample(parts_, pool, wanted, *self); }};
    auto runner =
        std::make_shared<step_runner>(parts_.shared, parts_.requests, services, std::move(open));
    *self = runner;
    steps_[key] = {runner, pool, std::nullopt};
    return runner;
}

std::shared_ptr<step_runner> step_directory::recover(const kernel::pool_id& pool,
                                                     const rollout::step_key& key,
                                                     std::uint64_t fence) {
    const auto active = parts_.shared.configuration.read();
    const auto* declared = config::find_pool(active->declared, pool);
    if (declared == nullptr) {
        return nullptr;
    }
    const auto hosts = parts_.others.others();
    auto recovered = storage_.load(key, to_rules(*declared), fence, hosts);
    if (!recovered) {
        return nullptr;
    }
    kernel::log(events::step_recovered, {{"step", rollout::to_string(key)}, {"epoch", fence}});
    auto runner = adopt(pool, std::move(*recovered));
    collect(runner, hosts);
    return runner;
}

void step_directory::collect(const std::shared_ptr<step_runner>& runner,
                             std::span<const kernel::host_id> hosts) const {
    const auto request = runner->with_step([](const auto& open) {
        rollout::collect_request asked;
        asked.key = open.request.key;
        asked.epoch = open.epoch;
        asked.expires = open.request.deadline;
        return asked;
    });
    for (const auto& host : hosts) {
        parts_.replicas.send_collect(host, request, runner);
    }
}

void step_directory::observe_version(const kernel::pool_id& pool, rollout::weight_version version) {
    std::vector<std::shared_ptr<step_runner>> runners;
    {
        const std::lock_guard lock(mutex_);
        for (const auto& one : steps_ | std::views::values) {
            if (one.pool == pool) {
                runners.push_back(one.runner);
            }
        }
    }
    std::ranges::for_each(runners, [&](const auto& one) { one->observe_version(version); });
}

void step_directory::tick() {
    ownership_.tick();
    for (const auto& [key, one] : snapshot_steps()) {
        tick_one(key, one);
    }
}

void step_directory::tick_one(const rollout::step_key& key, const owned_step& one) {
    const auto lease = step_ownership::lease_name(one.pool, key.trainer);
    const auto epoch = one.runner->with_step([](const auto& open) { return open.epoch; });
    if (const auto newer = ownership_.superseded_by(lease, epoch)) {
        one.runner->supersede(*newer);
    }
    one.runner->pump();
    if (!is_over(one.runner->with_step([](const auto& open) { return open.state; }))) {
        return;
    }
    const auto now = parts_.shared.clock.now();
    {
        const std::lock_guard lock(mutex_);
        auto& stored = steps_[key];
        if (!stored.over_since) {
            stored.over_since = now;
        }
        if (now - *stored.over_since < keep_ended_steps) {
            return;
        }
        steps_.erase(key);
    }
    kernel::log(events::step_closed, {{"step", rollout::to_string(key)}});
    one.runner->with_step([this](const auto& ended) {
        for (const auto& fault : rollout::check(ended).items()) {
            kernel::log(events::step_unbalanced, {{"finding", kernel::to_string(fault)}});
        }
        if (ended.state != rollout::step_state::superseded) {
            storage_.remove(ended);
        }
    });
}

std::vector<rollout::hold_request>
step_directory::surrender(const rollout::collect_request& asked) {
    const auto runner = find(asked.key);
    if (!runner) {
        return {};
    }
    const auto now = parts_.shared.clock.now();
    auto all =
        runner->with_step([&](auto& open) { return rollout::surrender(open, asked.epoch, now); });
    runner->pump();
    return all;
}

// The next owner finds these copies when it collects; what a slow host does not take in time is
// made again.
void step_directory::hand_over() {
    const auto until = parts_.shared.clock.wall_now().unix_ms + hand_over_expiry_ms;
    for (const auto& [key, one] : snapshot_steps()) {
        std::optional<rollout::slot_index> from = 0;
        while (from) {
            const auto page = one.runner->with_step([&](const auto& open) {
                return handed_page{rollout::hand_over(open, *from), open.epoch};
            });
            for (const auto& held : page.answer.samples) {
                parts_.replicas.send_hold({key, page.epoch, {until}, page.answer.account, held},
                                          one.runner);
            }
            from = page.answer.next_slot;
        }
    }
}

std::size_t step_directory::requests_under_way() const {
    std::size_t all = 0;
    for (const auto& [key, one] : snapshot_steps()) {
        all += one.runner->requests_under_way();
    }
    return all;
}

std::vector<step_directory::view> step_directory::list() const {
    const std::lock_guard lock(mutex_);
    std::vector<view> all;
    all.reserve(steps_.size());
    for (const auto& [key, one] : steps_) {
        all.push_back(one.runner->with_step([](const auto& open) {
            return view{open.request.key,           open.epoch,        open.state,
                        count_finished(open),       open.slots.size(), open.tokens,
                        rollout::memory_bytes(open)};
        }));
    }
    return all;
}

} // namespace cornelloom::daemon
