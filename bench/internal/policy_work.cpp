#include "bench/internal/policy_simulation.hpp"

#include "kernel/hash.hpp"

#include <algorithm>
#include <cmath>

namespace cornelloom::policy_bench {

namespace {

using namespace std::chrono_literals;

constexpr kernel::duration swap_length = 4s;
constexpr kernel::duration swap_notice = 500ms;
constexpr std::size_t swap_waves = 3;
constexpr std::uint32_t prompt_tokens = 1000;
constexpr std::size_t callers = 12;
constexpr kernel::duration burst_period = 40s;
constexpr kernel::duration burst_length = 10s;
constexpr kernel::duration lookup_deadline = 5s;
constexpr kernel::duration sync_deadline = 60s;

// The same for a name under every policy, whatever was drawn before.
double normal_of(std::uint64_t name, std::uint64_t seed) {
    std::mt19937_64 random(kernel::hash64(std::to_string(name), seed));
    return std::normal_distribution<double>(0, 1)(random);
}

double uniform(std::mt19937_64& random) {
    return std::uniform_real_distribution<double>(0, 1)(random);
}

double exponential(std::mt19937_64& random, double rate) {
    return std::exponential_distribution<double>(rate)(random);
}

std::string step_name(std::size_t trainer, std::size_t step) {
    return std::to_string(trainer) + "/" + std::to_string(step);
}

} // namespace

double world::length_of(std::uint64_t name) const {
    const double sigma = settings_.work.token_spread;
    const double mu = std::log(settings_.work.mean_tokens) - sigma * sigma / 2;
    return std::clamp(std::exp(mu + sigma * normal_of(name, settings_.seed)), 8.0, 4000.0);
}

void world::submit(fake_request request) {
    request.work.id = kernel::request_id{"r" + std::to_string(next_id_++)};
    request.submitted = request.submitted == time_point{} ? now_ : request.submitted;
    if (request.sample || request.poison) {
        request.work.deadline = now_ + from_seconds(settings_.work.deadline_seconds);
        request.work.prompt_tokens = prompt_tokens;
        request.work.output_tokens = static_cast<std::uint32_t>(settings_.work.mean_tokens);
        request.work.idempotent = true;
    }
    const auto host = request.host;
    const auto id = request.work.id;
    ++outcome_.submitted[std::string(to_string(request.work.priority))];
    const auto work = request.work;
    requests_[id] = std::move(request);
    const auto answer =
        std::visit([&](auto& each) { return decide_submit(each, work); }, hosts_[host].policy);
    if (answer.has_error()) {
        refused(id, answer.error());
        return;
    }
    pump(host);
}

decide::admission world::decide_submit(decide::scheduler& to, const decide::request& work) {
    return decide::submit(to, work, now_);
}

decide::admission world::decide_submit(baseline& to, const decide::request& work) {
    return policy_bench::submit(to, work, now_);
}

void world::next_lookup() {
    if (now_ >= end_) {
        return;
    }
    const auto& work = settings_.work;
    fake_request request;
    request.busiest = uniform(lookup_random_) < work.top_caller_share;
    const auto caller = request.busiest ? 0 : 1 + lookup_random_() % callers;
    request.work.caller = kernel::caller_id{"broker-" + std::to_string(caller)};
    request.work.priority = decide::priority_class::interactive;
    request.work.kind = decide::target_kind::service;
    request.work.destination = settings_.where.service;
    request.work.idempotent = true;
    request.work.deadline = now_ + lookup_deadline;
    request.host = host_in(lookup_random_() % settings_.where.zones.size());
    request.length = work.lookup_seconds * std::exp(0.5 * normal_of(lookups_++, settings_.seed));
    submit(std::move(request));
    const bool burst = now_.time_since_epoch() % burst_period < burst_length;
    const double rate = work.lookups_per_second * (burst ? work.burst_factor : 1);
    after(from_seconds(exponential(lookup_random_, rate)), [this] { next_lookup(); });
}

void world::next_sync() {
    if (now_ >= end_ || settings_.work.syncs_per_second <= 0) {
        return;
    }
    fake_request request;
    request.work.caller = kernel::caller_id{"price-sync"};
    request.work.priority = decide::priority_class::background;
    request.work.kind = decide::target_kind::service;
    request.work.destination = settings_.where.service;
    request.work.deadline = now_ + sync_deadline;
    request.host = host_in(sync_random_() % settings_.where.zones.size());
    request.length =
        settings_.work.sync_seconds * std::exp(0.5 * normal_of(syncs_++, settings_.seed + 1));
    submit(std::move(request));
    after(from_seconds(exponential(sync_random_, settings_.work.syncs_per_second)),
          [this] { next_sync(); });
}

void world::submit_step(std::size_t trainer) {
    if (now_ >= end_) {
        return;
    }
    auto& of = trainers_[trainer];
    const auto& work = settings_.work;
    of.missing = work.groups * work.group_samples;
    of.whole.clear();
    ++of.step;
    for (std::size_t g = 0; g < work.groups; ++g) {
        const auto group = step_name(trainer, of.step) + "/" + std::to_string(g);
        const auto host = host_in(of.zone);
        for (std::size_t s = 0; s < work.group_samples; ++s) {
            fake_request request;
            request.sample = true;
            request.trainer = trainer;
            request.host = host;
            request.work.caller = kernel::caller_id{"trainer-" + std::to_string(trainer)};
            request.work.destination = settings_.where.pool;
            request.work.group = group;
            request.work.group_size = static_cast<std::uint32_t>(work.group_samples);
            request.work.prefix_hash = kernel::hash64(group);
            request.work.digest = kernel::hash64(group, s + 1);
            request.length = length_of(request.work.digest);
            submit(std::move(request));
        }
    }
}

void world::delivered(fake_request& request, const fake_stream& stream) {
    if (request.ended) {
        return;
    }
    request.ended = true;
    ++outcome_.answered[std::string(to_string(request.work.priority))];
    const double elapsed_ms = seconds(now_ - request.submitted) * 1000;
    if (request.sample) {
        outcome_.used_tokens += request.length;
        const bool mixed = stream.inherited != 0;
        sample_whole(request, mixed ? std::min(stream.inherited, stream.oldest_version)
                                    : stream.oldest_version);
    } else if (request.work.priority == decide::priority_class::interactive) {
        outcome_.lookup_ms.push_back(elapsed_ms);
        (request.busiest ? busiest_ms_ : quiet_ms_).push_back(elapsed_ms);
    } else if (!request.poison) {
        outcome_.sync_ms.push_back(elapsed_ms);
    }
}

void world::sample_whole(const fake_request& request, std::uint64_t oldest) {
    auto& of = trainers_[request.trainer];
    of.whole.push_back({request, oldest});
    if (--of.missing == 0 && !of.training) {
        consume(request.trainer);
    }
}

// The last check, in the same step as the delivery: what went stale while the rest of its step
// was made is run again, and the trainer waits for it.
bool world::rerun_stale(std::size_t trainer) {
    auto& of = trainers_[trainer];
    std::vector<fake_request> stale;
    std::erase_if(of.whole, [&](const auto& sample) {
        const bool old = version_ - sample.oldest > settings_.work.staleness_bound;
        if (old) {
            stale.push_back(sample.request);
        }
        return old;
    });
    of.missing += stale.size();
    for (auto& request : stale) {
        outcome_.used_tokens -= request.length;
        request.ended = false;
        request.arrivals = 0;
        request.oldest_kept = 0;
        submit(std::move(request));
    }
    return of.missing > 0;
}

// The trainer takes a whole step, asks for the next one at once, and trains meanwhile.
void world::consume(std::size_t trainer) {
    auto& of = trainers_[trainer];
    if (checks_delivery_ && rerun_stale(trainer)) {
        return;
    }
    // The first step has nothing to hide behind: it would be every policy's p99.
    const bool counts = now_ < end_; // Afterwards the load is gone.
    if (of.step > 1 && counts) {
        outcome_.idle_ms.push_back(seconds(now_ - of.free_since) * 1000);
    }
    for (const auto& sample :
         counts ? std::span<const whole_sample>(of.whole) : std::span<const whole_sample>{}) {
        const auto behind = version_ - sample.oldest;
        outcome_.staleness.push_back(static_cast<double>(behind));
        outcome_.too_stale_used += behind > settings_.work.staleness_bound ? 1 : 0;
    }
    of.training = true;
    submit_step(trainer);
    after(from_seconds(settings_.work.train_seconds), [this, trainer] {
        auto& it = trainers_[trainer];
        it.training = false;
        it.free_since = now_;
        if (trainer == 0) {
            publish_version();
        }
        if (it.missing == 0 && !it.whole.empty()) {
            consume(trainer);
        }
    });
}

void world::publish_version() {
    ++version_;
    for (auto& host : hosts_) {
        std::visit([&](auto& each) { on_new_version(each, settings_.where.pool, version_, now_); },
                   host.policy);
    }
    for (std::size_t i = 0; i < settings_.where.engines; ++i) {
        const auto wave = (i / settings_.where.zones.size()) % swap_waves;
        const auto starts = now_ + swap_notice + swap_length * static_cast<int>(wave);
        const decide::swap_plan plan{targets_[i].config.id, version_, starts, starts + swap_length};
        for (auto& host : hosts_) {
            std::visit([&](auto& each) { on_swap_planned(each, plan, now_); }, host.policy);
        }
        at(starts, [this, i, version = version_] { swap(i, version); });
    }
}

// The engine ends its streams, loads, and serves the new version.
void world::swap(std::size_t target, std::uint64_t version) {
    if (targets_[target].down || targets_[target].loading) {
        return;
    }
    advance(targets_[target], now_);
    targets_[target].loading = true;
    for (const auto& stream : take_all(targets_[target])) {
        fail(stream, target, decide::failure_kind::interrupted);
    }
    wake(target);
    after(swap_length, [=, this] {
        change(target, [=](auto& it) {
            it.loading = false;
            it.version = std::max(it.version, version);
            it.cache.clear();
        });
    });
}

} // namespace cornelloom::policy_bench
