#include "bench/internal/policy_simulation.hpp"

#include "kernel/hash.hpp"

#include <algorithm>

namespace cornelloom::policy_bench {

namespace {

using namespace std::chrono_literals;

constexpr kernel::duration zone_latency = 500us;
constexpr kernel::duration region_latency = 20ms;
constexpr kernel::duration cache_event_lag = 2s;
constexpr kernel::duration leaving_grace = 2s;
constexpr double lost_cache_events = 0.1;
constexpr double bytes_per_token = 4;
constexpr double straggler_speed = 1.0 / 6;
constexpr double poison_run_tokens = 20;

double uniform(std::mt19937_64& random) {
    return std::uniform_real_distribution<double>(0, 1)(random);
}

} // namespace

kernel::duration world::latency(std::size_t host, std::size_t target) const {
    const bool near = hosts_[host].self.zone == targets_[target].config.zone;
    return near ? zone_latency : region_latency;
}

void world::dispatch(std::size_t host, const decide::dispatch& sent) {
    if (sent.kind != decide::dispatch_kind::first) {
        ++outcome_.retried[std::string(to_string(sent.cause))];
    }
    const auto target = target_index_.at(sent.target);
    const auto left = leaving_since_.find(target);
    if (left != leaving_since_.end() && now_ >= left->second + leaving_grace) {
        ++outcome_.sent_to_leaving;
    }
    after(latency(host, target), [=, this] { arrive(host, sent); });
}

// Tokens sent along keep the versions that made them: those of failed attempts, and of the one
// that a hedge copies.
std::uint64_t world::inherited_version(const fake_request& request,
                                       const decide::dispatch& sent) const {
    if (sent.resume_tokens == 0) {
        return 0;
    }
    auto oldest = request.oldest_kept;
    for (const auto& target : targets_) {
        for (const auto& stream : target.running) {
            if (stream.request == sent.request) {
                const auto own = stream.inherited != 0
                                     ? std::min(stream.inherited, stream.oldest_version)
                                     : stream.oldest_version;
                oldest = oldest == 0 ? own : std::min(oldest, own);
            }
        }
    }
    return oldest;
}

void world::arrive(std::size_t host, const decide::dispatch& sent) {
    const auto target = target_index_.at(sent.target);
    auto& request = requests_.at(sent.request);
    if (targets_[target].down || is_cut(host, target)) {
        after(latency(host, target), [=, this] {
            fail(host, sent.request, sent.attempt, {.kind = decide::failure_kind::not_sent});
        });
        return;
    }
    ++request.arrivals;
    const bool engine = targets_[target].config.kind == decide::target_kind::engine;
    fake_stream stream;
    stream.request = sent.request;
    stream.attempt = sent.attempt;
    stream.host = host;
    stream.priority = request.work.priority;
    stream.prefix = request.work.prefix_hash;
    stream.inherited = inherited_version(request, sent);
    stream.read_left = engine ? request.work.prompt_tokens + sent.resume_tokens : request.length;
    stream.generate_left = engine ? std::max(1.0, request.length - sent.resume_tokens) : 0;
    const auto luck =
        kernel::hash64(sent.request.str(), (std::uint64_t{sent.attempt} << 32U) + target);
    const bool straggles =
        static_cast<double>(luck % 10'000) < settings_.work.straggler_share * 10'000;
    stream.speed = engine && straggles ? straggler_speed : 1;
    if (request.poison) {
        stream.crashes = true;
        stream.generate_left = poison_run_tokens;
    }
    if (hosts_[host].self.region != targets_[target].config.region) {
        outcome_.cross_region_bytes += engine ? bytes_per_token * stream.read_left : 1000;
    }
    change(target, [&](auto& it) { it.waiting.push_back(std::move(stream)); });
}

void world::change(std::size_t target, const std::function<void(fake_target&)>& what) {
    advance(targets_[target], now_);
    what(targets_[target]);
    wake(target);
}

void world::wake(std::size_t target) {
    auto& it = targets_[target];
    advance(it, now_);
    for (const auto& stream : take_finished(it)) {
        if (stream.crashes) {
            crash(target);
            // The culprit's own stream breaks as the others' do.
            fail(stream, target, decide::failure_kind::crashed);
            return;
        }
        complete(stream, target);
    }
    if (!it.down) {
        publish_cached(target, start_waiting(it));
    }
    const auto number = ++it.planned;
    if (const auto next = next_finish(it)) {
        at(*next, [=, this] {
            if (targets_[target].planned == number) {
                wake(target);
            }
        });
    }
}

void world::publish_cached(std::size_t target, std::span<const std::uint64_t> prefixes) {
    for (const auto prefix : prefixes) {
        if (silent_cache_ || uniform(cache_random_) < lost_cache_events) {
            continue;
        }
        after(cache_event_lag, [=, this] {
            const decide::cache_event event{targets_[target].config.id, prefix, true};
            for (auto& host : hosts_) {
                std::visit([&](auto& each) { on_cache_event(each, event, now_); }, host.policy);
            }
        });
    }
}

void world::fail(const fake_stream& stream, std::size_t target, decide::failure_kind kind) {
    const decide::failure what{.kind = kind,
                               .tokens = static_cast<std::uint32_t>(stream.generated),
                               .oldest_version = stream.generated >= 1 ? stream.oldest_version : 0};
    auto& kept = requests_.at(stream.request).oldest_kept;
    if (stream.generated >= 1) {
        kept = kept == 0 ? stream.oldest_version : std::min(kept, stream.oldest_version);
    }
    const auto host = stream.host;
    after(latency(host, target), [this, host, id = stream.request, attempt = stream.attempt, what] {
        fail(host, id, attempt, what);
    });
}

void world::fail(std::size_t host, const kernel::request_id& id, std::uint32_t attempt,
                 const decide::failure& what) {
    handle(host, std::visit([&](auto& each) { return on_failure(each, id, attempt, what, now_); },
                            hosts_[host].policy));
    pump(host);
}

void world::complete(const fake_stream& stream, std::size_t target) {
    const auto pause = latency(stream.host, target);
    if (hosts_[stream.host].self.region != targets_[target].config.region) {
        outcome_.cross_region_bytes += bytes_per_token * stream.generated;
    }
    after(pause, [this, stream] {
        const decide::completion answer{static_cast<std::uint32_t>(stream.generated),
                                        stream.oldest_version};
        const auto result = std::visit(
            [&](auto& each) {
                return on_complete(each, stream.request, stream.attempt, answer, now_);
            },
            hosts_[stream.host].policy);
        handle(stream.host, result.follow_up);
        if (result.decision == decide::verdict::deliver) {
            delivered(requests_.at(stream.request), stream);
        }
        pump(stream.host);
    });
}

void world::refused(const kernel::request_id& id, const kernel::refusal& answer) {
    auto& request = requests_.at(id);
    request.ended = true;
    ++outcome_.refused[std::string(kernel::to_string(answer.reason))];
    const bool quarantined = answer.reason == kernel::refusal_reason::quarantined;
    outcome_.innocents_quarantined += quarantined && !request.poison ? 1 : 0;
    const bool not_run = answer.state == kernel::run_state::not_run;
    outcome_.false_not_run += not_run && request.arrivals > 0 ? 1 : 0;
    if (!request.sample && !request.poison) {
        return;
    }
    // A trainer asks again for its sample; so does the caller whose request crashes targets.
    const auto pause = std::max<kernel::duration>(answer.retry_after, 1s);
    auto again = request;
    again.ended = false;
    again.arrivals = 0;
    again.oldest_kept = 0;
    if (now_ + pause < end_ + 30s) {
        after(pause, [this, again] { submit(again); });
    }
}

} // namespace cornelloom::policy_bench
