#include "daemon/target_poller.hpp"

#include "daemon/step_runner.hpp"
#include "kernel/hash.hpp"
#include "kernel/run_guarded.hpp"

#include <algorithm>
#include <set>

namespace cornelloom::daemon {

namespace {

using namespace std::chrono_literals;

// A node sees about 24 targets. At this pause between two polls it makes at most 16 calls a second
// of half a kilobyte, a third of its 26 KB/s; a small deployment still hears of a swap in a quarter
// of a second.
constexpr kernel::duration pause_between_polls = 60ms;
constexpr kernel::duration shortest_round = 250ms;
constexpr kernel::duration poll_timeout = 300ms;

} // namespace

target_poller::target_poller(context& shared, request_runner& requests, weights_runner& weights)
    : shared_(shared), requests_(requests), weights_(weights), thread_([this] { loop(); }) {}

target_poller::~target_poller() {
    stopping_ = true;
    thread_.join();
}

void target_poller::loop() {
    while (!stopping_) {
        const auto round_start = shared_.clock.now();
        std::vector<kernel::target_id> due;
        kernel::run_guarded("target poller", [&] { due = due_targets(); });
        for (const auto& id : due) {
            if (stopping_) {
                return;
            }
            kernel::run_guarded("target poller", [&] { poll(id); });
            std::this_thread::sleep_for(pause_between_polls);
        }
        const auto rest = shortest_round - (shared_.clock.now() - round_start);
        std::this_thread::sleep_for(std::max<kernel::duration>(rest, 10ms));
    }
}

std::vector<kernel::target_id> target_poller::due_targets() const {
    std::set<kernel::target_id> all;
    const auto views = requests_.with_scheduler(
        [](auto& scheduler, auto now) { return decide::view_targets(scheduler, now); });
    std::ranges::transform(views, std::inserter(all, all.end()), &decide::target_view::id);
    std::ranges::copy(weights_.engines_to_poll(), std::inserter(all, all.end()));
    return {all.begin(), all.end()};
}

void target_poller::poll(const kernel::target_id& id) {
    const auto active = shared_.configuration.read();
    const auto* target = config::find_target(active->declared, id);
    if (target == nullptr) {
        return;
    }
    const auto* kind = kernel::plugin_registry<targets::target_kind>::instance().find(target->kind);
    if (kind == nullptr || kind->read_load == nullptr) {
        return;
    }
    const auto address = to_endpoint(target->address);
    const auto report = kind->read_load(address, poll_timeout);
    if (!report) {
        return;
    }
    const auto& load = report.value();
    const decide::load_report seen{.target = id,
                                   .version = static_cast<std::uint64_t>(load.version),
                                   .running = static_cast<std::uint32_t>(load.running),
                                   .queued = static_cast<std::uint32_t>(load.queued),
                                   .tokens_per_second = load.tokens_per_second * load.capacity,
                                   .capacity = static_cast<std::uint32_t>(load.capacity),
                                   .age = load.age,
                                   .loading = load.loading};
    requests_.with_scheduler(
        [&](auto& scheduler, auto now) { decide::on_load_report(scheduler, seen, now); });
    weights_.on_load(id, load);
    poll_cache(id, *kind, address);
}

void target_poller::poll_cache(const kernel::target_id& id, const targets::target_kind& kind,
                               const transport::endpoint& address) {
    if (kind.read_cache == nullptr) {
        return;
    }
    auto& position = cache_position_[id];
    const auto news = kind.read_cache(address, position, poll_timeout);
    if (!news) {
        return;
    }
    position = news.value().next;
    requests_.with_scheduler([&](auto& scheduler, auto now) {
        for (const auto& change : news.value().changes) {
            const auto prefix = kernel::hash64(shared_prefix(change.prefix));
            decide::on_cache_event(scheduler, {id, prefix, change.added}, now);
        }
    });
}

} // namespace cornelloom::daemon
