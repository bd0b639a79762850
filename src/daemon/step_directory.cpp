#include "daemon/step_directory.hpp"

#include "daemon/answer.hpp"
#include "daemon/events.hpp"
#include "kernel/hash.hpp"
#include "rollout/codec.hpp"

#include <algorithm>
#include <ranges>
#include <thread>

namespace cornelloom::daemon {

namespace {

using namespace std::chrono_literals;
using kernel::refusal;
using kernel::refusal_reason;
using kernel::run_state;

// A dead owner idles its trainer until the lease runs out, so the term is short; 12 trainers renew
// with eight writes a second, of several hundred that the platform takes.
constexpr lease_terms step_terms{.term = 5s, .margin = 1s, .renew_every = 1500ms};
constexpr kernel::duration owner_wait = 1500ms;
constexpr kernel::duration owner_poll = 10ms;
constexpr kernel::duration come_back_soon = 300ms;
constexpr kernel::duration idle_lease_time = 10min;
constexpr kernel::duration keep_ended_steps = 60s;
constexpr kernel::duration default_pull_wait = 10s;
constexpr kernel::duration longest_pull_wait = 60s;
constexpr kernel::duration forward_slack = 2s;
constexpr int ok = 200;
constexpr int conflict = 409;

constexpr const char* manifest_kind = "step-manifest";
constexpr const char* chunk_kind = "step-chunk";

std::string manifest_name(const rollout::step_key& key) {
    return kernel::digest_hex(rollout::to_string(key));
}

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

std::string step_directory::lease_name(const kernel::pool_id& pool,
                                       const kernel::trainer_id& trainer) {
    return "step." + pool.str() + "." + trainer.str();
}

transport::http_response step_directory::handle(const step_call& call) {
    auto& shared = parts_.shared;
    std::optional<rollout::step_request> opening;
    rollout::pull_request pulling;
    kernel::trainer_id trainer;
    if (call.verb == step_verb::open) {
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
    const auto owner = find_owner(lease_name(call.pool, trainer));
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

step_directory::ownership step_directory::look_up_owner(const std::string& name) const {
    if (const auto fence = parts_.leases.held_fence(name)) {
        return {fence, std::nullopt};
    }
    const auto& self = parts_.shared.settings.host;
    const auto seen = parts_.leases.holder(name);
    if (seen && !seen->released && seen->host != self && parts_.others.is_live(seen->host)) {
        return {std::nullopt, seen->host};
    }
    // During an outage of the platform the lease cannot be read; gossip still tells who held it.
    const auto hint = parts_.members.find_item({std::string(owner_item_kind), name});
    if (!seen && hint && hint->payload != self.str() &&
        parts_.others.is_live(kernel::host_id(hint->payload))) {
        return {std::nullopt, kernel::host_id(hint->payload)};
    }
    // An owner whose renewals fail while nobody else has taken the lease goes on: the trainer
    // takes nothing from an older epoch, so a second owner can waste work but not double a sample.
    const std::lock_guard lock(mutex_);
    for (const auto& [key, one] : steps_) {
        if (lease_name(one.pool, key.trainer) == name) {
            const auto epoch = one.runner->with_step([](const auto& open) { return open.epoch; });
            if (!seen || seen->fence <= epoch) {
                return {epoch, std::nullopt};
            }
        }
    }
    return {};
}

step_directory::ownership step_directory::find_owner(const std::string& name) {
    auto& clock = parts_.shared.clock;
    const auto until = clock.now() + owner_wait;
    {
        const std::lock_guard lock(mutex_);
        last_use_[name] = clock.now();
    }
    want_lease(name);
    while (true) {
        const auto owner = look_up_owner(name);
        if (owner.fence || owner.other || clock.now() >= until) {
            return owner;
        }
        std::this_thread::sleep_for(owner_poll);
    }
}

void step_directory::want_lease(const std::string& name) {
    if (parts_.shared.draining) {
        return;
    }
    parts_.leases.want(
        name, step_terms, [this, name](coord::lease_change change, std::uint64_t fence) {
            if (change != coord::lease_change::acquired) {
                return;
            }
            parts_.members.publish({std::string(owner_item_kind), name, fence,
                                    parts_.shared.settings.host.str(), idle_lease_time});
            const std::lock_guard lock(mutex_);
            for (const auto& [key, one] : steps_) {
                if (lease_name(one.pool, key.trainer) == name) {
                    // Held before and got back: the steps go on under the new number.
                    one.runner->with_step(
                        [fence](auto& open) { open.epoch = std::max(open.epoch, fence); });
                }
            }
        });
}

transport::http_response step_directory::forward(const step_call& call,
                                                 const kernel::host_id& to) const {
    const nlohmann::json message{{"verb", to_string(call.verb)},
                                 {"pool", call.pool.str()},
                                 {"step", call.step.str()},
                                 {"body", call.body}};
    const auto timeout =
        owner_wait + forward_slack + (call.verb == step_verb::pull ? pull_wait(call.body) : 0s);
    const auto reply = parts_.others.call(to, "/steps", dump(message), timeout);
    if (!reply) {
        // Opening and pulling are idempotent: the trainer may ask again wherever it likes.
        return refuse(parts_.shared, refusal_reason::not_ready,
                      "the owner of the step cannot be reached", come_back_soon,
                      run_state::unknown);
    }
    return {reply.value().status, {{"Content-Type", "application/json"}}, reply.value().body};
}

std::optional<rollout::pool_rules> step_directory::rules_of(const kernel::pool_id& pool) const {
    const auto active = parts_.shared.configuration.read();
    const auto* declared = config::find_pool(active->declared, pool);
    if (declared == nullptr) {
        return std::nullopt;
    }
    rollout::pool_rules rules;
    rules.pool = pool;
    rules.release = declared->release == config::release_mode::group
                        ? rollout::release_mode::whole_group
                        : rollout::release_mode::each_sample;
    rules.staleness_bound = declared->staleness_bound;
    rules.scoring_service = declared->scoring_service.str();
    rules.adapter = declared->adapter;
    rules.max_samples = declared->max_samples_per_step;
    return rules;
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
        const auto rules = rules_of(call.pool);
        if (!rules) {
            return refuse(shared, refusal_reason::no_such_pool, call.pool.str());
        }
        const auto now = shared.clock.now();
        const auto wall = shared.clock.wall_now();
        auto opened = rollout::open_step(request, *rules, fence, now, wall);
        if (!opened) {
            return refuse(shared, refusal_reason::malformed, opened.error().detail);
        }
        runner = adopt(call.pool, std::move(opened.value()), {});
        runner->with_step([&](const auto& step) { store_manifest(runner, step); });
        kernel::log(events::step_opened, {{"step", rollout::to_string(request.key)}});
    }
    runner->pump();
    return runner->with_step([](const auto& step) {
        return answer_json({{"epoch", step.epoch},
                            {"samples", step.slots.size()},
                            {"state", rollout::to_string(step.state)}});
    });
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

std::shared_ptr<step_runner> step_directory::adopt(const kernel::pool_id& pool, rollout::step open,
                                                   const std::vector<std::string>& chunks) {
    const auto key = open.request.key;
    const std::lock_guard lock(mutex_);
    if (const auto it = steps_.find(key); it != steps_.end()) {
        return it->second.runner;
    }
    const auto slot = std::make_shared<std::weak_ptr<step_runner>>();
    const step_services services{
        .hold =
            [this, slot](const rollout::hold_request& request) {
                parts_.replicas.send_hold(request, *slot);
            },
        .release =
            [this](const kernel::host_id& host, const rollout::release_request& request) {
                parts_.replicas.send_release(host, request);
            },
        .score =
            [this, slot, pool](const rollout::step_key&, const rollout::score_wanted& wanted) {
                score_sample(parts_, pool, wanted, *slot);
            }};
    auto runner =
        std::make_shared<step_runner>(parts_.shared, parts_.requests, services, std::move(open));
    *slot = runner;
    steps_[key] = {runner, pool, chunks, std::nullopt};
    return runner;
}

void step_directory::store_manifest(const std::shared_ptr<step_runner>&,
                                    const rollout::step& open) {
    const auto chunks = rollout::chunks_of(open.request);
    std::vector<std::string> digests;
    std::vector<std::pair<std::string, std::string>> objects;
    for (const auto& chunk : chunks) {
        auto text = rollout::encode(chunk);
        digests.push_back(kernel::digest_hex(text));
        objects.emplace_back(digests.back(), std::move(text));
    }
    const auto hosts = parts_.others.others();
    auto stored = rollout::encode(rollout::manifest_of(open, digests, hosts));
    {
        const std::lock_guard lock(mutex_);
        if (const auto it = steps_.find(open.request.key); it != steps_.end()) {
            it->second.chunks = digests;
        }
    }
    // In the background: without its manifest a step is lost only together with its owner, and then
    // the trainer opens it again.
    parts_.background.run([this, objects = std::move(objects), stored = std::move(stored),
                           name = manifest_name(open.request.key)] {
        for (const auto& [digest, text] : objects) {
            static_cast<void>(
                parts_.platform.call(coord::call_kind::step_state,
                                     coord::put_object{{chunk_kind, digest}, text, std::nullopt}));
        }
        static_cast<void>(
            parts_.platform.call(coord::call_kind::step_state,
                                 coord::put_object{{manifest_kind, name}, stored, std::nullopt}));
    });
}

std::shared_ptr<step_runner> step_directory::recover(const kernel::pool_id& pool,
                                                     const rollout::step_key& key,
                                                     std::uint64_t fence) {
    const auto read = [this](const char* kind, const std::string& name) {
        const auto outcome =
            parts_.platform.call(coord::call_kind::step_state, coord::get_object{{kind, name}});
        const auto* found = std::get_if<coord::call_object>(&outcome);
        return found == nullptr ? std::nullopt : std::optional(found->object.value);
    };
    const auto text = read(manifest_kind, manifest_name(key));
    const auto rules = rules_of(pool);
    if (!text || !rules) {
        return nullptr;
    }
    const auto stored = rollout::decode_manifest(*text);
    if (!stored || stored.value().key != key) {
        return nullptr;
    }
    std::vector<rollout::prompt_chunk> chunks;
    for (const auto& digest : stored.value().chunks) {
        const auto body = read(chunk_kind, digest);
        const auto chunk = body ? rollout::decode_prompt_chunk(*body)
                                : kernel::error{kernel::error_code::not_found, digest};
        if (!chunk) {
            return nullptr;
        }
        chunks.push_back(chunk.value());
    }
    auto& shared = parts_.shared;
    const auto hosts = parts_.others.others();
    auto recovered = rollout::recover_step(stored.value(), chunks, *rules, fence, hosts,
                                           shared.clock.now(), shared.clock.wall_now());
    if (!recovered) {
        return nullptr;
    }
    kernel::log(events::step_recovered, {{"step", rollout::to_string(key)}, {"epoch", fence}});
    auto runner = adopt(pool, std::move(recovered.value()), stored.value().chunks);
    for (const auto& host : hosts) {
        parts_.replicas.send_collect(host, {key, fence}, runner);
    }
    return runner;
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
    std::vector<std::pair<rollout::step_key, owned_step>> all;
    {
        const std::lock_guard lock(mutex_);
        all.assign(steps_.begin(), steps_.end());
    }
    const auto now = parts_.shared.clock.now();
    for (auto& [key, one] : all) {
        const auto seen = parts_.leases.holder(lease_name(one.pool, key.trainer));
        const auto epoch = one.runner->with_step([](const auto& open) { return open.epoch; });
        if (seen && seen->host != parts_.shared.settings.host && seen->fence > epoch) {
            one.runner->supersede(seen->fence);
        }
        one.runner->pump();
        const auto state = one.runner->with_step([](const auto& open) { return open.state; });
        if (!is_over(state)) {
            continue;
        }
        const std::lock_guard lock(mutex_);
        const auto it = steps_.find(key);
        if (it != steps_.end() && !it->second.over_since) {
            it->second.over_since = now;
        } else if (it != steps_.end() && now - *it->second.over_since > keep_ended_steps) {
            const auto ended = it->second;
            steps_.erase(it);
            forget(key, ended);
        }
    }
    std::vector<std::string> idle;
    {
        const std::lock_guard lock(mutex_);
        for (const auto& [name, used] : last_use_) {
            if (now - used > idle_lease_time) {
                idle.push_back(name);
            }
        }
        std::ranges::for_each(idle, [this](const auto& name) { last_use_.erase(name); });
    }
    std::ranges::for_each(idle, [this](const auto& name) { parts_.leases.give_back(name); });
}

void step_directory::forget(const rollout::step_key& key, const owned_step& what) {
    kernel::log(events::step_closed, {{"step", rollout::to_string(key)}});
    const auto faults =
        what.runner->with_step([](const auto& open) { return rollout::check(open); });
    for (const auto& fault : faults.items()) {
        kernel::log(events::step_unbalanced, {{"finding", kernel::to_string(fault)}});
    }
    parts_.background.run([this, name = manifest_name(key), chunks = what.chunks] {
        static_cast<void>(
            parts_.platform.call(coord::call_kind::step_state,
                                 coord::delete_object{{manifest_kind, name}, std::nullopt}));
        for (const auto& digest : chunks) {
            static_cast<void>(
                parts_.platform.call(coord::call_kind::step_state,
                                     coord::delete_object{{chunk_kind, digest}, std::nullopt}));
        }
    });
}

std::vector<step_directory::view> step_directory::list() const {
    const std::lock_guard lock(mutex_);
    std::vector<view> all;
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
