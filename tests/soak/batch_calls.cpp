#include "batch_calls.hpp"

#include "front/batch_desk.hpp"
#include "front/live_batch.hpp"
#include "front/records.hpp"

#include <algorithm>
#include <iterator>

namespace cornelloom::soak {

namespace {

constexpr std::string_view log_kind = "cornelloom-batch-log";
constexpr milliseconds call_timeout{8000};
constexpr milliseconds connect_timeout{1000};

loop::task<loop::call_outcome> call_host(crash_rig& rig, std::size_t host,
                                         transport::http_request message) {
    loop::connection_pool pool(rig.io);
    co_return co_await loop::call(pool, rig.hosts.at(host)->self->settings.caller_endpoint,
                                  std::move(message), loop::after(call_timeout), connect_timeout);
}

} // namespace

standins::step_plan make_plan(std::string id, int items, std::int64_t events) {
    standins::step_plan plan;
    plan.id = std::move(id);
    plan.host = rig_host;
    plan.path = "/steps/";
    plan.model = "model";
    plan.key = rig_key;
    plan.groups_wanted = items;
    for (int index = 0; index < items; ++index) {
        const auto name = plan.id + "-" + std::to_string(index);
        standins::step_item item;
        item.id = "item-" + name;
        item.group = "group-" + name;
        item.path = "/steps/item-" + name;
        item.events = events;
        item.scoring_id = "score-" + name;
        item.scoring_path = "/look/score-" + name;
        plan.items.push_back(std::move(item));
    }
    return plan;
}

loop::task<int> submit(crash_rig& rig, std::size_t host, const standins::step_plan& plan) {
    const auto outcome = co_await call_host(rig, host, standins::submission(plan));
    co_return loop::status_of(outcome);
}

loop::task<int> end_batch(crash_rig& rig, std::size_t host, const standins::step_plan& plan) {
    const auto outcome = co_await call_host(rig, host, standins::end_call(plan));
    co_return loop::status_of(outcome);
}

loop::task<results_read> read_results(crash_rig& rig, std::size_t host,
                                      const standins::step_plan& plan, std::size_t position,
                                      milliseconds wait) {
    const auto outcome =
        co_await call_host(rig, host, standins::results_call(plan, position, wait));
    results_read out;
    out.status = loop::status_of(outcome);
    if (const auto page = standins::read_page(outcome.answer.body)) {
        std::ranges::transform(page->results, std::back_inserter(out.items),
                               &front::item_result::id);
        out.completed = static_cast<std::size_t>(
            std::ranges::count_if(page->results, &front::item_result::completed));
    }
    co_return out;
}

front::live_batch_ptr known_batch(const crash_rig& rig, std::size_t host,
                                  const standins::step_plan& plan) {
    const auto& batches = rig.hosts.at(host)->batches;
    const auto found = batches.find(plan.id);
    return found == batches.end() ? nullptr : found->second;
}

std::vector<front::log_entry> stored_log(const crash_rig& rig, const standins::step_plan& plan) {
    std::vector<front::log_entry> out;
    const auto kind = rig.platform->kinds.find(std::string(log_kind));
    if (kind == rig.platform->kinds.end()) {
        return out;
    }
    for (const auto& [name, object] : kind->second) {
        if (name.starts_with(plan.id + ".")) {
            out.push_back(front::decode_entry(object.specification).value());
        }
    }
    return out;
}

void append_to_stored_log(crash_rig& rig, const standins::step_plan& plan,
                          const front::log_entry& entry) {
    standins::put(*rig.platform, std::string(log_kind),
                  front::numbered_name(plan.id, stored_log(rig, plan).size()),
                  nlohmann::json::parse(front::encode_entry(entry)));
}

void forget_batches(crash_rig& rig, std::size_t host) {
    rig.hosts.at(host)->owners.clear();
    rig.hosts.at(host)->batches.clear();
}

} // namespace cornelloom::soak
