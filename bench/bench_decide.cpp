#include "decide/decide.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cmath>
#include <cstdlib>
#include <iostream>
#include <new>

using namespace cornelloom;
using namespace cornelloom::decide;

namespace {

std::atomic<std::uint64_t> allocations{0};

} // namespace

// Counts every allocation of the program; the memory itself comes from the C library as before.
// Not inlined: the compiler would take the pair of calls inside for a mismatch.
[[gnu::noinline]] void* operator new(std::size_t size) {
    allocations.fetch_add(1, std::memory_order_relaxed);
    if (void* memory = std::malloc(size)) { // NOLINT(cppcoreguidelines-no-malloc): counts, no more
        return memory;
    }
    throw std::bad_alloc();
}

[[gnu::noinline]] void operator delete(void* memory) noexcept {
    std::free(memory); // NOLINT(cppcoreguidelines-no-malloc): matches the counting operator new
}

[[gnu::noinline]] void operator delete(void* memory, std::size_t /*size*/) noexcept {
    std::free(memory); // NOLINT(cppcoreguidelines-no-malloc): matches the counting operator new
}

namespace {

const host self{kernel::host_id{"entry-1"}, kernel::zone_id{"zone"}, kernel::region_id{"region"}};

std::vector<target> make_targets(std::size_t count, std::uint32_t capacity) {
    std::vector<target> all;
    for (std::size_t i = 0; i < count; ++i) {
        target made;
        made.id = kernel::target_id{"engine-" + std::to_string(i)};
        made.zone = self.zone;
        made.region = self.region;
        made.serves = {"pool"};
        made.capacity = capacity;
        made.tokens_per_second = 4500;
        made.version = 1;
        all.push_back(made);
    }
    return all;
}

request make_request(std::size_t number) {
    request made;
    made.id = kernel::request_id{"request-" + std::to_string(number)};
    made.caller = kernel::caller_id{"caller-" + std::to_string(number % 50)};
    made.destination = "pool";
    made.idempotent = true;
    made.prompt_tokens = 500;
    made.output_tokens = 300;
    made.prefix_hash = number / 8 + 1;
    made.digest = number + 1;
    made.deadline = kernel::time_point{3600s} + std::chrono::milliseconds(number % 1000);
    return made;
}

policy open_policy(std::size_t targets) {
    policy rules;
    rules.predict_deadlines = false;
    rules.placement.subset_zone = targets;
    rules.classes[1].max_queued = 1'000'000;
    return rules;
}

struct figures {
    double ns = 0;
    double allocations = 0;
};

template <class Work> figures measure(std::size_t times, const Work& work) {
    const auto counted = allocations.load();
    const auto start = std::chrono::steady_clock::now();
    for (std::size_t i = 0; i < times; ++i) {
        work(i);
    }
    const std::chrono::duration<double, std::nano> spent = std::chrono::steady_clock::now() - start;
    const auto each = static_cast<double>(times);
    return {spent.count() / each, static_cast<double>(allocations.load() - counted) / each};
}

void print(std::string_view decision, std::size_t targets, std::size_t queued, figures taken) {
    std::cout << nlohmann::json{{"decision", decision},
                                {"targets", targets},
                                {"queued", queued},
                                {"ns", std::round(taken.ns)},
                                {"allocations", taken.allocations}}
                     .dump()
              << std::endl;
}

// Placement alone, among `count` targets without any subset.
void measure_placement(std::size_t count) {
    const auto rules = open_policy(count);
    std::vector<target_load> loads;
    std::vector<std::uint32_t> subset;
    for (const auto& config : make_targets(count, 64)) {
        subset.push_back(static_cast<std::uint32_t>(loads.size()));
        target_load load;
        load.config = config;
        load.limit = make_limit(config.capacity, rules.limit);
        load.tokens_per_second = config.tokens_per_second;
        loads.push_back(load);
    }
    placement_query query;
    query.size = {500, 300};
    std::mt19937_64 random(1);
    std::size_t placed = 0;
    const auto two = measure(100'000, [&](std::size_t) {
        placed +=
            choose(loads, subset, query, rules, {}, random).outcome == placement_outcome::placed
                ? 1
                : 0;
    });
    print("placement", count, 0, two);
    std::ranges::for_each(loads, [](auto& load) { load.in_flight = 64; });
    const auto full = measure(20'000, [&](std::size_t) {
        placed +=
            choose(loads, subset, query, rules, {}, random).outcome == placement_outcome::placed
                ? 1
                : 0;
    });
    print("placement_all_full", count, 0, full);
    if (placed != 100'000) {
        std::cerr << "unexpected placements\n";
    }
}

// The facade with a queue of `queued` kept at that length, all targets full.
void measure_scheduler(std::size_t count, std::size_t queued) {
    scheduler all{self, open_policy(count), 1};
    set_targets(all, make_targets(count, 1), std::span{&self, 1}, {});
    std::size_t number = 0;
    const kernel::time_point now{1s};
    for (; number < queued + count; ++number) {
        (void)submit(all, make_request(number), now);
    }
    auto running = next_dispatches(all, now).dispatches;
    const auto times = std::size_t{5'000};
    const auto submitted =
        measure(times, [&](std::size_t) { (void)submit(all, make_request(number++), now); });
    print("submit", count, queued, submitted);
    const auto blocked =
        measure(times, [&](std::size_t) { (void)next_dispatches(all, now + 1ms); });
    print("next_dispatches_all_full", count, queued, blocked);
    const auto cycle = measure(times, [&](std::size_t i) {
        auto& done = running[i % running.size()];
        (void)on_complete(all, done.request, done.attempt, {300, 1}, now + 2s);
        auto next = next_dispatches(all, now + 2s).dispatches;
        if (!next.empty()) {
            done = next.front();
        }
    });
    print("complete_and_dispatch", count, queued, cycle);
    const auto ticked = measure(times, [&](std::size_t) { (void)tick(all, now + 2s); });
    print("tick", count, queued, ticked);
    const auto first = number - times;
    const auto cancelled = measure(times, [&](std::size_t i) {
        (void)on_cancelled(all, make_request(first + i).id, now + 2s);
    });
    print("cancel", count, queued, cancelled);
}

} // namespace

int main() {
    for (const std::size_t targets : {10, 100, 600}) {
        measure_placement(targets);
        for (const std::size_t queued : {10, 1'000, 100'000}) {
            measure_scheduler(targets, queued);
        }
    }
    return 0;
}
