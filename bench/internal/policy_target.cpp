#include "bench/internal/policy_target.hpp"

#include <algorithm>

namespace cornelloom::policy_bench {

namespace {

constexpr std::size_t cached_prefixes = 24;
constexpr double read_speedup = 10;
constexpr double stream_speedup = 4;
constexpr double cached_read_share = 0.05;
constexpr double whole = 1e-6;

bool is_engine(const fake_target& target) {
    return target.config.kind == decide::target_kind::engine;
}

// Tokens (engines) or seconds (services) of work that each stream gets done in a second.
double stream_rate(const fake_target& target) {
    if (!is_engine(target)) {
        return 1 / target.slow;
    }
    const double tps = target.config.tokens_per_second;
    const auto running = static_cast<double>(std::max<std::size_t>(target.running.size(), 1));
    return std::min(tps * stream_speedup / target.config.capacity, tps / running) / target.slow;
}

double left(const fake_target& target, const fake_stream& stream) {
    const double reading = is_engine(target) ? stream.read_left / read_speedup : stream.read_left;
    return (reading + stream.generate_left) / stream.speed;
}

void progress(fake_target& target, fake_stream& stream, double work) {
    double done = work * stream.speed;
    const double per_unit = is_engine(target) ? read_speedup : 1;
    const double read = std::min(stream.read_left, done * per_unit);
    stream.read_left -= read;
    done -= read / per_unit;
    const double made = std::min(stream.generate_left, done);
    stream.generate_left -= made;
    stream.generated += made;
    if (is_engine(target)) {
        target.generated += made;
        target.read += read;
    }
}

// The prefix in the cache saves most of the reading; true if it was not there.
bool use_cache(fake_target& target, fake_stream& stream) {
    if (stream.prefix == 0) {
        return false;
    }
    const auto hit = std::ranges::find(target.cache, stream.prefix);
    const bool missed = hit == target.cache.end();
    if (!missed) {
        stream.read_left *= cached_read_share;
        target.cache.erase(hit);
    }
    target.cache.push_front(stream.prefix);
    if (target.cache.size() > cached_prefixes) {
        target.cache.pop_back();
    }
    return missed;
}

} // namespace

void advance(fake_target& target, kernel::time_point now) {
    const double elapsed = std::chrono::duration<double>(now - target.advanced).count();
    target.advanced = now;
    const double work = elapsed * stream_rate(target);
    std::ranges::for_each(target.running, [&](auto& each) { progress(target, each, work); });
}

std::vector<std::uint64_t> start_waiting(fake_target& target) {
    std::vector<std::uint64_t> cached;
    while (!target.loading && !target.waiting.empty() &&
           target.running.size() < target.config.capacity) {
        const auto next = std::ranges::min_element(target.waiting, {}, &fake_stream::priority);
        auto stream = *next;
        target.waiting.erase(next);
        if (use_cache(target, stream)) {
            cached.push_back(stream.prefix);
        }
        if (is_engine(target)) {
            stream.oldest_version = target.version;
        }
        target.running.push_back(std::move(stream));
    }
    return cached;
}

std::vector<fake_stream> take_finished(fake_target& target) {
    std::vector<fake_stream> finished;
    std::ranges::copy_if(target.running, std::back_inserter(finished),
                         [&](const auto& each) { return left(target, each) <= whole; });
    std::erase_if(target.running, [&](const auto& each) { return left(target, each) <= whole; });
    return finished;
}

std::vector<fake_stream> take_all(fake_target& target) {
    std::vector<fake_stream> all = std::move(target.running);
    std::ranges::copy(target.waiting, std::back_inserter(all));
    target.running.clear();
    target.waiting.clear();
    return all;
}

std::optional<fake_stream> take(fake_target& target, const kernel::request_id& request,
                                std::uint32_t attempt) {
    const auto is_it = [&](const auto& each) {
        return each.request == request && each.attempt == attempt;
    };
    if (const auto it = std::ranges::find_if(target.running, is_it); it != target.running.end()) {
        auto found = *it;
        target.running.erase(it);
        return found;
    }
    if (const auto it = std::ranges::find_if(target.waiting, is_it); it != target.waiting.end()) {
        auto found = *it;
        target.waiting.erase(it);
        return found;
    }
    return std::nullopt;
}

std::optional<kernel::time_point> next_finish(const fake_target& target) {
    if (target.running.empty()) {
        return std::nullopt;
    }
    const auto soonest =
        std::ranges::min(target.running, {}, [&](const auto& each) { return left(target, each); });
    // Rounded up, so that the stream is whole at that time and not a nanosecond before.
    const double seconds = left(target, soonest) / stream_rate(target) + 1e-7;
    return target.advanced +
           std::chrono::duration_cast<kernel::duration>(std::chrono::duration<double>(seconds));
}

} // namespace cornelloom::policy_bench
