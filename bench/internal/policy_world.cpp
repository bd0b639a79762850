#include "bench/internal/policy_simulation.hpp"

#include "kernel/hash.hpp"

#include <algorithm>
#include <cmath>
#include <stdexcept>

namespace cornelloom::policy_bench {

namespace {

using namespace std::chrono_literals;

constexpr kernel::duration tick_interval = 20ms;
constexpr kernel::duration report_interval = 1s;
constexpr kernel::duration progress_interval = 500ms;
constexpr kernel::duration restart_length = 15s;
constexpr kernel::duration gossip_lag = 1s;
// Longer than the longest deadline: all that was asked before the end must have ended.
constexpr kernel::duration settle = 150s;
constexpr double engine_tps = 800;
constexpr std::uint32_t engine_capacity = 16;
constexpr std::uint32_t service_capacity = 8;

host_policy make_policy(const decide::host& self, std::string_view name, decide::policy rules,
                        std::uint64_t seed) {
    if (name == "round_robin" || name == "least_loaded") {
        const auto kind =
            name == "round_robin" ? baseline_kind::round_robin : baseline_kind::least_loaded;
        return baseline{.self = self, .kind = kind};
    }
    if (name == "no_hedging") {
        rules.hedge.enabled = false;
    } else if (name == "no_affinity") {
        rules.placement.hint_lifetime = {};
    } else if (name != "cornelloom") {
        throw std::runtime_error("unknown policy " + std::string(name));
    }
    return decide::scheduler{self, std::move(rules), seed};
}

} // namespace

world::world(const world_settings& settings, std::string_view policy)
    : settings_(settings), lookup_random_(settings.seed), sync_random_(settings.seed + 1),
      cache_random_(settings.seed + 2), report_lag_(settings.report_lag) {
    end_ = time_point{from_seconds(settings.seconds)};
    make_targets();
    make_hosts(policy);
    checks_delivery_ = std::holds_alternative<decide::scheduler>(hosts_.front().policy);
    plan_faults();
    for (std::size_t i = 0; i < settings_.work.trainers; ++i) {
        trainers_.push_back({.zone = i % settings_.where.zones.size()});
        at(time_point{1s}, [this, i] { submit_step(i); });
    }
    at(time_point{1ms}, [this] { next_lookup(); });
    at(time_point{1ms}, [this] { next_sync(); });
    at(time_point{report_interval}, [this] { report_all(); });
    at(time_point{progress_interval}, [this] { progress_all(); });
}

void world::at(time_point when, std::function<void()> run) {
    events_.push({when, order_++, std::move(run)});
}

void world::make_targets() {
    const auto& where = settings_.where;
    const auto add = [&](const std::string& name, std::size_t index, bool engine) {
        decide::target config;
        const auto& zone = where.zones[index % where.zones.size()];
        config.id = kernel::target_id{name + "-" + std::to_string(index + 1)};
        config.zone = kernel::zone_id{zone};
        config.region = kernel::region_id{zone + "-region"};
        config.kind = engine ? decide::target_kind::engine : decide::target_kind::service;
        config.serves = {name};
        config.capacity = engine ? engine_capacity : service_capacity;
        config.tokens_per_second = engine ? engine_tps : 0;
        config.version = engine ? 1 : 0;
        target_index_[config.id] = targets_.size();
        targets_.push_back({.config = config, .version = config.version});
    };
    for (std::size_t i = 0; i < where.engines; ++i) {
        add(where.pool, i, true);
    }
    for (std::size_t i = 0; i < where.services; ++i) {
        add(where.service, i, false);
    }
}

void world::make_hosts(std::string_view policy) {
    const auto& where = settings_.where;
    auto rules = settings_.rules;
    rules.default_pool.staleness_bound = settings_.work.staleness_bound;
    std::vector<decide::host> all;
    for (std::size_t i = 0; i < where.zones.size() * where.hosts_per_zone; ++i) {
        const auto& zone = where.zones[i % where.zones.size()];
        all.push_back({kernel::host_id{"entry-" + std::to_string(i + 1)}, kernel::zone_id{zone},
                       kernel::region_id{zone + "-region"}});
    }
    std::vector<decide::target> configs;
    std::ranges::transform(targets_, std::back_inserter(configs), &fake_target::config);
    for (std::size_t i = 0; i < all.size(); ++i) {
        hosts_.push_back({all[i], make_policy(all[i], policy, rules, settings_.seed * 100 + i)});
        std::visit([&](auto& each) { set_targets(each, configs, all, now_); }, hosts_[i].policy);
        at(time_point{tick_interval}, [this, i] { tick_host(i); });
    }
}

std::vector<std::size_t> world::targets_named(const std::string& name) const {
    std::vector<std::size_t> found;
    for (std::size_t i = 0; i < targets_.size(); ++i) {
        if (targets_[i].config.id.str() == name || targets_[i].config.zone.str() == name) {
            found.push_back(i);
        }
    }
    return found;
}

void world::plan_faults() {
    std::ranges::for_each(settings_.faults, [this](const auto& each) { plan_fault(each); });
}

void world::plan_fault(const fault& each) {
    const time_point from{from_seconds(each.from)};
    const time_point to{from_seconds(each.to)};
    const auto hit = targets_named(each.target);
    if (each.kind == "cut") {
        at(from, [this, each] { cut(each.target, true); });
        at(to, [this, each] { cut(each.target, false); });
    } else if (each.kind == "silent_cache") {
        at(from, [this] { silent_cache_ = true; });
        at(to, [this] { silent_cache_ = false; });
    } else if (each.kind == "late_reports") {
        at(from, [this, each] { report_lag_ = each.factor; });
        at(to, [this] { report_lag_ = settings_.report_lag; });
    } else if (each.kind == "poison") {
        at(from, [this, each] {
            fake_request bad;
            bad.poison = true;
            bad.host = host_in(0);
            bad.length = settings_.work.mean_tokens;
            bad.work.caller = kernel::caller_id{"unlucky"};
            bad.work.destination = settings_.where.pool;
            bad.work.digest = kernel::hash64("poison");
            submit(std::move(bad));
        });
    } else if (each.kind != "slow" && each.kind != "crash" && each.kind != "leave") {
        throw std::runtime_error("unknown fault " + each.kind);
    }
    for (const auto target : hit) {
        if (each.kind == "slow") {
            at(from, [=, this] { change(target, [=](auto& it) { it.slow = each.factor; }); });
            at(to, [=, this] { change(target, [](auto& it) { it.slow = 1; }); });
        } else if (each.kind == "crash") {
            at(from, [=, this] { crash(target); });
        } else if (each.kind == "leave") {
            at(from, [=, this] {
                leaving_since_[target] = now_;
                for (auto& host : hosts_) {
                    std::visit([&](auto& p) { on_leaving(p, targets_[target].config.id, now_); },
                               host.policy);
                }
            });
        }
    }
}

void world::crash(std::size_t target) {
    ++outcome_.crashes;
    change(target, [](auto& it) { it.down = true; });
    for (const auto& stream : take_all(targets_[target])) {
        fail(stream, target, decide::failure_kind::crashed);
    }
    after(restart_length, [=, this] {
        change(target, [](auto& it) {
            it.down = false;
            it.cache.clear();
        });
    });
}

// The zone's targets are out of reach for other zones' hosts; streams across the cut break.
void world::cut(const std::string& zone, bool on) {
    if (!on) {
        cut_zones_.erase(zone);
        return;
    }
    cut_zones_.insert(zone);
    for (std::size_t i = 0; i < targets_.size(); ++i) {
        advance(targets_[i], now_);
        auto streams = targets_[i].running;
        std::ranges::copy(targets_[i].waiting, std::back_inserter(streams));
        for (const auto& stream : streams) {
            if (is_cut(stream.host, i)) {
                (void)take(targets_[i], stream.request, stream.attempt);
                fail(stream, i, decide::failure_kind::broken);
            }
        }
        wake(i);
    }
}

bool world::is_cut(std::size_t host, std::size_t target) const {
    const auto& from = hosts_[host].self.zone.str();
    const auto& to = targets_[target].config.zone.str();
    return from != to && (cut_zones_.contains(from) || cut_zones_.contains(to));
}

void world::tick_host(std::size_t host) {
    handle(host, std::visit([&](auto& each) { return tick(each, now_); }, hosts_[host].policy));
    after(tick_interval, [this, host] { tick_host(host); });
}

void world::pump(std::size_t host) {
    handle(host, std::visit([&](auto& each) { return next_dispatches(each, now_); },
                            hosts_[host].policy));
}

void world::handle(std::size_t host, const decide::actions& todo) {
    for (const auto& each : todo.dispatches) {
        dispatch(host, each);
    }
    for (const auto& each : todo.cancellations) {
        const auto target = target_index_.at(each.target);
        after(latency(host, target), [=, this] {
            change(target, [&](auto& it) { (void)take(it, each.request, each.attempt); });
        });
    }
    for (const auto& each : todo.refusals) {
        refused(each.request, each.answer);
    }
    for (const auto& notice : todo.quarantines) {
        for (std::size_t other = 0; other < hosts_.size(); ++other) {
            if (other != host) {
                after(gossip_lag, [=, this] {
                    std::visit([&](auto& each) { on_quarantine(each, notice, now_); },
                               hosts_[other].policy);
                });
            }
        }
    }
}

void world::report_all() {
    for (std::size_t i = 0; i < targets_.size(); ++i) {
        const auto& target = targets_[i];
        if (target.down) {
            continue;
        }
        decide::load_report report;
        report.target = target.config.id;
        report.version = target.version;
        report.running = static_cast<std::uint32_t>(target.running.size());
        report.queued = static_cast<std::uint32_t>(target.waiting.size());
        report.loading = target.loading;
        report.age = from_seconds(report_lag_);
        after(from_seconds(report_lag_), [this, i, report] {
            for (std::size_t h = 0; h < hosts_.size(); ++h) {
                if (!is_cut(h, i)) {
                    std::visit([&](auto& each) { on_load_report(each, report, now_); },
                               hosts_[h].policy);
                }
            }
        });
    }
    after(report_interval, [this] { report_all(); });
}

void world::progress_all() {
    for (auto& target : targets_) {
        if (target.config.kind != decide::target_kind::engine) {
            continue;
        }
        advance(target, now_);
        for (const auto& stream : target.running) {
            std::visit(
                [&](auto& each) {
                    on_progress(each, stream.request, stream.attempt,
                                static_cast<std::uint32_t>(stream.generated), stream.oldest_version,
                                now_);
                },
                hosts_[stream.host].policy);
        }
    }
    after(progress_interval, [this] { progress_all(); });
}

std::size_t world::host_in(std::size_t zone) {
    const auto zones = settings_.where.zones.size();
    return zone + zones * (next_host_++ % settings_.where.hosts_per_zone);
}

world_outcome world::run() {
    while (!events_.empty() && events_.top().at <= end_ + settle) {
        const auto next = events_.top();
        events_.pop();
        now_ = next.at;
        next.run();
    }
    finish();
    return std::move(outcome_);
}

void world::finish() {
    for (const auto& [id, request] : requests_) {
        outcome_.unanswered += !request.ended && request.work.deadline <= now_ ? 1 : 0;
        const bool repeated = !request.work.idempotent && request.arrivals > 1;
        outcome_.repeated_non_idempotent += repeated ? 1 : 0;
    }
    for (const auto& target : targets_) {
        outcome_.generated_tokens += target.generated;
        outcome_.read_tokens += target.read;
    }
    outcome_.busiest_caller_p99_ms = quantile(busiest_ms_, 0.99);
    outcome_.quiet_caller_p99_ms = quantile(quiet_ms_, 0.99);
}

const std::vector<std::string>& policy_names() {
    static const std::vector<std::string> names{"round_robin", "least_loaded", "no_hedging",
                                                "no_affinity", "cornelloom"};
    return names;
}

world_outcome run_world(const world_settings& settings, std::string_view policy) {
    world all(settings, policy);
    return all.run();
}

double quantile(std::vector<double> values, double share) {
    if (values.empty()) {
        return 0;
    }
    const auto index = static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
    std::ranges::nth_element(values, values.begin() + static_cast<std::ptrdiff_t>(index));
    return values[index];
}

std::map<std::string, double> measures(const world_outcome& outcome) {
    std::map<std::string, double> out{
        {"idle_p50_ms", quantile(outcome.idle_ms, 0.5)},
        {"idle_p99_ms", quantile(outcome.idle_ms, 0.99)},
        {"steps", static_cast<double>(outcome.idle_ms.size())},
        {"staleness_p50", quantile(outcome.staleness, 0.5)},
        {"staleness_p99", quantile(outcome.staleness, 0.99)},
        {"lookup_p50_ms", quantile(outcome.lookup_ms, 0.5)},
        {"lookup_p99_ms", quantile(outcome.lookup_ms, 0.99)},
        {"sync_p99_ms", quantile(outcome.sync_ms, 0.99)},
        {"busiest_caller_p99_ms", outcome.busiest_caller_p99_ms},
        {"quiet_caller_p99_ms", outcome.quiet_caller_p99_ms},
        {"generated_tokens", outcome.generated_tokens},
        {"wasted_tokens", outcome.generated_tokens - outcome.used_tokens},
        {"read_tokens", outcome.read_tokens},
        {"cross_region_mb", outcome.cross_region_bytes / 1e6},
        {"unanswered", static_cast<double>(outcome.unanswered)},
        {"false_not_run", static_cast<double>(outcome.false_not_run)},
        {"repeated_non_idempotent", static_cast<double>(outcome.repeated_non_idempotent)},
        {"too_stale_used", static_cast<double>(outcome.too_stale_used)},
        {"crashes", static_cast<double>(outcome.crashes)},
        {"innocents_quarantined", static_cast<double>(outcome.innocents_quarantined)},
        {"sent_to_leaving", static_cast<double>(outcome.sent_to_leaving)},
    };
    const auto add = [&](const std::string& prefix, const auto& counts) {
        for (const auto& [name, count] : counts) {
            out[prefix + name] = static_cast<double>(count);
        }
    };
    add("submitted_", outcome.submitted);
    add("answered_", outcome.answered);
    add("refused_", outcome.refused);
    add("retried_", outcome.retried);
    return out;
}

} // namespace cornelloom::policy_bench
