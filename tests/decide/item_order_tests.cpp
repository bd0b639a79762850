#include "decide/item_order.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <map>
#include <set>
#include <vector>

using namespace cornelloom;
using namespace cornelloom::decide;
using namespace std::chrono_literals;

namespace {

const kernel::time_point now{1000s};

/// A batch with the items that it refers to.
struct owned_batch {
    std::vector<order_item> items;
    order_batch view{};

    [[nodiscard]] order_batch get() const {
        auto out = view;
        out.items = items;
        return out;
    }
};

/// `groups` groups of `size` items that take `item_ms` each, and are due in `due`.
owned_batch make_batch(std::uint32_t groups, std::size_t size, double item_ms,
                       kernel::duration due = 7500ms) {
    owned_batch out;
    for (std::uint32_t group = 0; group < groups; ++group) {
        for (std::size_t item = 0; item < size; ++item) {
            out.items.push_back({group, item_progress::waiting, item_ms});
        }
    }
    out.view.required_groups = static_cast<int>(groups);
    out.view.deadline = now + due;
    return out;
}

std::vector<order_batch> views(const std::vector<owned_batch>& batches) {
    std::vector<order_batch> out;
    std::ranges::transform(batches, std::back_inserter(out), &owned_batch::get);
    return out;
}

std::vector<item_position> order(const std::vector<owned_batch>& batches,
                                 const account_costs& costs = {}) {
    const auto all = views(batches);
    return order_items(all, costs, now);
}

/// Milliseconds by which each batch is late if `slots` items run at a time in this order.
std::vector<double> lateness(const std::vector<owned_batch>& batches,
                             const std::vector<item_position>& starts, std::size_t slots) {
    std::multiset<double> free_at;
    for (std::size_t slot = 0; slot < slots; ++slot) {
        free_at.insert(0);
    }
    std::vector<double> ends(batches.size(), 0);
    for (const auto& each : starts) {
        const double start = *free_at.begin();
        const double end = start + batches[each.batch].items[each.item].remaining_ms;
        free_at.erase(free_at.begin());
        free_at.insert(end);
        ends[each.batch] = std::max(ends[each.batch], end);
    }
    for (std::size_t batch = 0; batch < batches.size(); ++batch) {
        const std::chrono::duration<double, std::milli> due = batches[batch].view.deadline - now;
        ends[batch] = std::max(ends[batch] - due.count(), 0.0);
    }
    return ends;
}

std::vector<item_position> in_order_of_arrival(const std::vector<owned_batch>& batches) {
    std::vector<item_position> out;
    for (std::size_t batch = 0; batch < batches.size(); ++batch) {
        for (std::size_t item = 0; item < batches[batch].items.size(); ++item) {
            out.push_back({batch, item});
        }
    }
    return out;
}

} // namespace

TEST_CASE("long texts of one trainer overtake short ones of another that has time to spare",
          "[decide][order]") {
    // Guards against trainers with long texts that end seconds late behind a batch that came first.
    // Sixty short texts and twenty long ones compete for thirty slots.
    const std::vector<owned_batch> batches{make_batch(15, 4, 1500), make_batch(5, 4, 5000)};
    const auto late = lateness(batches, order(batches), 30);
    CHECK(late == std::vector<double>{0, 0});
    CHECK(lateness(batches, in_order_of_arrival(batches), 30).at(1) == 500);
}

TEST_CASE("groups that the step does not need start after the others", "[decide][order]") {
    auto batch = make_batch(10, 4, 2000);
    batch.view.required_groups = 9;
    std::ranges::for_each(batch.items, [](order_item& item) {
        item.remaining_ms = item.group == 3 ? 7000 : item.remaining_ms;
    });
    const auto starts = order({batch});
    REQUIRE(starts.size() == batch.items.size());
    for (std::size_t position = 0; position < starts.size(); ++position) {
        const bool spare = batch.items[starts[position].item].group == 3;
        CHECK(spare == (position >= 36));
    }
}

TEST_CASE("carried groups are needed whatever else is complete", "[decide][order]") {
    auto batch = make_batch(4, 2, 1000);
    batch.view.required_groups = 2;
    batch.view.carried_groups = 1;
    for (auto& item : batch.items) {
        item.remaining_ms = item.group == 0 ? 6000 : item.remaining_ms;
        item.progress = item.group >= 2 ? item_progress::finished : item.progress;
    }
    const auto starts = order({batch});
    REQUIRE(starts.size() == 4);
    CHECK(batch.items[starts[0].item].group == 0);
    CHECK(batch.items[starts[1].item].group == 0);
}

TEST_CASE("a more urgent account goes first, and a less urgent one gets its floor",
          "[decide][order]") {
    // Guards against one account that takes all slots for as long as it has items.
    auto urgent = make_batch(50, 4, 2000);
    urgent.view.account = "large";
    urgent.view.priority = 0;
    auto small = make_batch(2, 4, 2000);
    small.view.account = "small";
    small.view.priority = 5;
    CHECK(order({small, urgent}, {{"small", 5000.0}, {"large", 10000.0}}).front().batch == 1);

    account_costs costs;
    int small_starts = 0;
    constexpr int starts = 200;
    for (int start = 0; start < starts; ++start) {
        const auto next = order({small, urgent}, costs).front();
        record_start(costs, next.batch == 0 ? "small" : "large", 1000);
        small_starts += next.batch == 0 ? 1 : 0;
    }
    CHECK(small_starts >= starts / 10);
    CHECK(small_starts <= starts / 5);
}

TEST_CASE("batches that are late already do not delay those that can be in time",
          "[decide][order]") {
    const auto late = make_batch(2, 2, 1000, -500ms);
    const auto in_time = make_batch(2, 2, 1000, 5000ms);
    const auto starts = order({late, in_time});
    REQUIRE(starts.size() == 8);
    CHECK(starts[0].batch == 1);
    CHECK(starts[3].batch == 1);
    CHECK(starts[4].batch == 0);
}

TEST_CASE("a batch that states no number of groups requires all of them", "[decide][order]") {
    auto batch = make_batch(3, 2, 1000);
    batch.view.required_groups = 0;
    batch.items.back().remaining_ms = 6000;
    CHECK(order({batch}).front().item == batch.items.size() - 1);
}

TEST_CASE("an account that was idle gets no more than its floor for it", "[decide][order]") {
    account_costs costs;
    for (int start = 0; start < 10000; ++start) {
        record_start(costs, "busy", 1000);
    }
    CHECK(costs.at("busy") < 600'000);
    auto busy = make_batch(50, 4, 2000);
    busy.view.account = "busy";
    auto idle = make_batch(50, 4, 2000);
    idle.view.account = "idle";
    int idle_starts = 0;
    while (idle_starts < 1000) {
        const auto next = order({busy, idle}, costs).front();
        if (next.batch == 0) {
            break;
        }
        record_start(costs, "idle", 1000);
        ++idle_starts;
    }
    CHECK(idle_starts > 0);
    CHECK(idle_starts < 100);
}

TEST_CASE("every startable item is listed once", "[decide][order]") {
    // Guards against items of spare groups that never run although slots are free.
    rc::prop("for any batches", [] {
        std::vector<owned_batch> batches;
        const auto count = *rc::gen::inRange(0, 5);
        std::size_t startable = 0;
        for (int number = 0; number < count; ++number) {
            auto batch = make_batch(*rc::gen::inRange<std::uint32_t>(0, 6), 3, 1000,
                                    std::chrono::milliseconds(*rc::gen::inRange(-9000, 9000)));
            batch.view.required_groups = *rc::gen::inRange(-1, 8);
            batch.view.carried_groups = *rc::gen::inRange(-1, 8);
            batch.view.priority = *rc::gen::inRange(0, 3);
            for (auto& item : batch.items) {
                item.progress = static_cast<item_progress>(*rc::gen::inRange(0, 4));
                item.remaining_ms = *rc::gen::inRange(0, 9000);
                startable += item.progress == item_progress::waiting ? 1 : 0;
            }
            batches.push_back(std::move(batch));
        }
        std::set<std::pair<std::size_t, std::size_t>> listed;
        for (const auto& each : order(batches)) {
            RC_ASSERT(batches.at(each.batch).items.at(each.item).progress ==
                      item_progress::waiting);
            listed.emplace(each.batch, each.item);
        }
        RC_ASSERT(listed.size() == startable);
        RC_ASSERT(order(batches).size() == startable);
    });
}
