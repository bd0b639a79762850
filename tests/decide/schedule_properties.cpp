#include "decide/decide.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <optional>
#include <ranges>
#include <set>

using namespace cornelloom;
using namespace cornelloom::decide;

namespace {

struct tracked_request {
    request work;
    std::set<std::uint32_t> running;
    std::size_t maybe_reached = 0; ///< Attempts of which a byte may have reached a target.
    bool ended = false;
};

// Drives one scheduler with random events and tracks the requests and the scheduler's decisions.
class random_schedule {
public:
    random_schedule() {
        rules_.hedge.min_elapsed = 10ms;
        rules_.classes[0].max_queued = 8;
        rules_.placement.subset_zone = 4;
        configure(4);
    }

    void step() {
        switch (*rc::gen::inRange(0, 13)) {
        case 0:
        case 1:
        case 2:
        case 3:
            return submit_one();
        case 4:
        case 5:
            return finish_one();
        case 6:
        case 7:
            return fail_one();
        case 8:
            return cancel_one();
        case 9:
            return report();
        case 10:
            return configure(*rc::gen::inRange<std::size_t>(1, 5));
        case 11:
            on_new_version(scheduler_, "pool", *rc::gen::inRange<std::uint64_t>(1, 6), now_);
            return;
        default:
            now_ += std::chrono::milliseconds(*rc::gen::inRange(1, 3000));
            apply(tick(scheduler_, now_));
        }
    }

    void check() {
        std::size_t running = 0;
        for (const auto& [id, each] : requests_) {
            running += each.running.size();
            if (!each.work.idempotent) {
                RC_ASSERT(each.maybe_reached + each.running.size() <= 1);
            }
        }
        RC_ASSERT(counts(scheduler_).in_flight == running);
        for (const auto& view : view_targets(scheduler_, now_)) {
            RC_ASSERT(view.limit >= 1);
            RC_ASSERT(view.limit <= 4);
            RC_ASSERT(view.in_flight <= running);
        }
    }

    void drain() {
        now_ += 3600s;
        apply(tick(scheduler_, now_));
        check();
        const auto remaining = counts(scheduler_);
        RC_ASSERT(remaining.requests == 0U);
        RC_ASSERT(remaining.in_flight == 0U);
        RC_ASSERT(remaining.delayed == 0U);
        RC_ASSERT(remaining.queued[0] + remaining.queued[1] + remaining.queued[2] == 0U);
        RC_ASSERT(
            std::ranges::all_of(requests_, [](const auto& each) { return each.second.ended; }));
    }

private:
    void configure(std::size_t size) {
        std::vector<target> targets;
        for (std::size_t i = 0; i < size; ++i) {
            target config;
            config.id = kernel::target_id{"t" + std::to_string(i)};
            config.zone = kernel::zone_id{i % 2 == 0 ? "near" : "far"};
            config.region = config.zone == self_.zone ? self_.region : kernel::region_id{"other"};
            config.serves = {"pool"};
            config.capacity = 4;
            config.tokens_per_second = 100;
            config.version = 1;
            targets.push_back(config);
        }
        set_targets(scheduler_, targets, std::span{&self_, 1}, now_);
    }

    void submit_one() {
        request work;
        work.id = kernel::request_id{"r" + std::to_string(next_id_++)};
        work.caller = kernel::caller_id{*rc::gen::element<std::string>("a", "b", "c")};
        work.priority = static_cast<priority_class>(*rc::gen::inRange(0, 3));
        work.destination = "pool";
        work.idempotent = *rc::gen::arbitrary<bool>();
        work.output_tokens = *rc::gen::inRange(1U, 200U);
        work.deadline = now_ + std::chrono::seconds(*rc::gen::inRange(0, 30));
        work.group = *rc::gen::element<std::string>("", "g");
        work.prefix_hash = *rc::gen::inRange<std::uint64_t>(0, 3);
        work.digest = *rc::gen::inRange<std::uint64_t>(0, 8);
        work.attempts_made = *rc::gen::inRange(0U, 2U);
        const auto answer = submit(scheduler_, work, now_);
        if (answer.has_error()) {
            RC_ASSERT((answer.error().state == kernel::run_state::not_run) ==
                      (work.attempts_made == 0));
            return;
        }
        requests_[work.id].work = work;
        apply(next_dispatches(scheduler_, now_));
    }

    std::optional<std::pair<kernel::request_id, std::uint32_t>> any_running() {
        std::vector<std::pair<kernel::request_id, std::uint32_t>> running;
        for (const auto& [id, each] : requests_) {
            for (const auto attempt : each.running) {
                running.emplace_back(id, attempt);
            }
        }
        if (running.empty()) {
            return std::nullopt;
        }
        return *rc::gen::elementOf(running);
    }

    void finish_one() {
        const auto chosen = any_running();
        if (!chosen) {
            return;
        }
        auto& [id, attempt] = *chosen;
        on_progress(scheduler_, id, attempt, 5, 1, now_);
        requests_[id].running.erase(attempt);
        ++requests_[id].maybe_reached;
        const auto result =
            on_complete(scheduler_, id, attempt, {10, *rc::gen::inRange(1U, 6U)}, now_);
        if (result.decision == verdict::deliver) {
            end(id);
        }
        apply(result.follow_up);
        // A second response to the same attempt must have no effect.
        const auto again = on_complete(scheduler_, id, attempt, {10, 1}, now_);
        RC_ASSERT(again.decision == verdict::discard_duplicate);
    }

    void fail_one() {
        const auto chosen = any_running();
        if (!chosen) {
            return;
        }
        auto& [id, attempt] = *chosen;
        const auto kind = static_cast<failure_kind>(*rc::gen::inRange(0, 7));
        requests_[id].running.erase(attempt);
        requests_[id].maybe_reached += kind == failure_kind::not_sent ? 0 : 1;
        apply(on_failure(scheduler_, id, attempt,
                         {.kind = kind, .tokens = *rc::gen::inRange(0U, 5U), .oldest_version = 1},
                         now_));
    }

    void cancel_one() {
        const auto open =
            std::ranges::find_if(requests_, [](const auto& each) { return !each.second.ended; });
        if (open != requests_.end()) {
            const auto id = open->first;
            end(id);
            apply(on_cancelled(scheduler_, id, now_));
        }
    }

    void report() {
        load_report report;
        report.target = kernel::target_id{"t" + std::to_string(*rc::gen::inRange(0, 4))};
        report.version = *rc::gen::inRange<std::uint64_t>(1, 6);
        report.running = *rc::gen::inRange(0U, 6U);
        report.age = std::chrono::milliseconds(*rc::gen::inRange(0, 5000));
        report.loading = *rc::gen::inRange(0, 8) == 0;
        on_load_report(scheduler_, report, now_);
        if (*rc::gen::inRange(0, 20) == 0) {
            on_leaving(scheduler_, report.target, now_);
        }
    }

    void end(const kernel::request_id& id) {
        RC_ASSERT(!requests_.at(id).ended); // Exactly one final response.
        requests_.at(id).ended = true;
    }

    void apply(const actions& decisions) {
        for (const auto& each : decisions.cancellations) {
            auto& request = requests_.at(each.request);
            RC_ASSERT(request.running.erase(each.attempt) == 1U);
            ++request.maybe_reached;
        }
        for (const auto& each : decisions.refusals) {
            end(each.request);
            const auto& request = requests_.at(each.request);
            const bool never_sent = request.maybe_reached == 0 && request.work.attempts_made == 0;
            RC_ASSERT((each.answer.state == kernel::run_state::not_run) == never_sent);
        }
        for (const auto& each : decisions.dispatches) {
            auto& request = requests_.at(each.request);
            RC_ASSERT(!request.ended);
            RC_ASSERT(request.work.deadline > now_);
            RC_ASSERT(request.running.insert(each.attempt).second);
        }
        for (const auto& each : decisions.cancellations) {
            const auto& request = requests_.at(each.request);
            RC_ASSERT(request.ended || request.work.idempotent);
        }
    }

    host self_{kernel::host_id{"h"}, kernel::zone_id{"near"}, kernel::region_id{"own"}};
    policy rules_;
    scheduler scheduler_{self_, rules_, 7};
    kernel::time_point now_{};
    std::map<kernel::request_id, tracked_request> requests_;
    std::size_t next_id_ = 0;
};

} // namespace

TEST_CASE("No random schedule loses, repeats or misreports a request", "[decide][property]") {
    const bool holds = rc::check([] {
        random_schedule schedule;
        const auto steps = *rc::gen::inRange(1, 120);
        for (int i = 0; i < steps; ++i) {
            schedule.step();
            schedule.check();
        }
        schedule.drain();
    });
    CHECK(holds);
}

TEST_CASE("Backlogged callers are served alike within three items of the largest cost",
          "[decide][property][queue]") {
    const bool holds = rc::check([] {
        const auto callers = *rc::gen::inRange(2, 6);
        fair_queue queue;
        std::uint64_t sequence = 0;
        double largest = 1;
        for (int c = 0; c < callers; ++c) {
            for (int i = 0; i < 60; ++i) {
                const double cost = *rc::gen::inRange(1, 500);
                largest = std::max(largest, cost);
                push(queue, kernel::caller_id{std::to_string(c)}, 1, {{}, sequence++}, cost);
            }
        }
        std::map<kernel::caller_id, double> served;
        while (queue.callers.size() == static_cast<std::size_t>(callers)) {
            const auto next = *head(queue);
            served[next.caller] += next.cost;
            take(queue, next);
            const auto [least, most] = std::ranges::minmax(served | std::views::values);
            RC_ASSERT(served.size() < static_cast<std::size_t>(callers) ||
                      most - least <= 3 * largest);
        }
    });
    CHECK(holds);
}
