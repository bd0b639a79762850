#include "front/batch.hpp"

#include <algorithm>
#include <set>

namespace cornelloom::front {

namespace {

/// Size of a result or partial output without its texts: names, versions and JSON punctuation.
constexpr std::size_t record_overhead_bytes = 400;
/// Used when the caller gives neither an estimate nor a limit.
constexpr double default_expected_tokens = 500;

/// Number of groups whose items all have a result.
int count_groups(const batch& batch, bool include_unlogged) {
    std::map<std::string_view, int> unfinished_items;
    for (const auto& item : batch.spec.items) {
        ++unfinished_items[item.group];
    }
    const auto count_result = [&](const item_result& result) {
        const auto found = batch.index_by_id.find(result.id);
        if (found != batch.index_by_id.end()) {
            --unfinished_items[batch.spec.items[found->second].group];
        }
    };
    std::ranges::for_each(batch.logged_results, count_result);
    if (include_unlogged) {
        std::ranges::for_each(batch.unlogged_results, count_result);
    }
    return static_cast<int>(std::ranges::count_if(
        unfinished_items, [](const auto& group) { return group.second == 0; }));
}

void add_result(batch& batch, const item_result& result) {
    const auto found = batch.index_by_id.find(result.id);
    const auto has_same_id = [&](const item_result& other) { return other.id == result.id; };
    if (found == batch.index_by_id.end() ||
        std::ranges::any_of(batch.logged_results, has_same_id)) {
        return;
    }
    auto& item = batch.items[found->second];
    item.phase = item_phase::finished;
    item.output = {};
    std::erase_if(batch.unlogged_results, has_same_id);
    batch.logged_results.push_back(result);
}

void apply_partial(batch& batch, std::string_view id, const partial_text& partial) {
    const auto found = batch.index_by_id.find(id);
    if (found == batch.index_by_id.end()) {
        return;
    }
    auto& item = batch.items[found->second];
    item.last_logged_event = std::max(item.last_logged_event, partial.last_event);
    const bool is_newer = partial.whole || partial.last_event > item.output.last_event;
    if (item.phase == item_phase::waiting && is_newer) {
        item.output = partial;
    }
}

void apply_failures(batch& batch, std::string_view id, int failures) {
    const auto found = batch.index_by_id.find(id);
    if (found == batch.index_by_id.end()) {
        return;
    }
    auto& item = batch.items[found->second];
    item.failures = std::max(item.failures, failures);
    item.logged_failures = std::max(item.logged_failures, failures);
}

/// Adds the failed attempts that the log does not contain yet.
void add_failures(log_entry& entry, const batch& batch) {
    for (std::size_t index = 0; index < batch.items.size(); ++index) {
        const auto& item = batch.items[index];
        if (item.phase != item_phase::finished && item.failures > item.logged_failures) {
            entry.failures.emplace(batch.spec.items[index].id, item.failures);
        }
    }
}

} // namespace

batch make_batch(batch_header header, batch_spec spec, time_point submitted) {
    batch out;
    out.header = std::move(header);
    out.spec = std::move(spec);
    out.submitted = submitted;
    out.items.resize(out.spec.items.size());
    for (std::size_t index = 0; index < out.spec.items.size(); ++index) {
        out.index_by_id.emplace(out.spec.items[index].id, index);
    }
    return out;
}

bool is_outdated(std::size_t known_results, std::size_t position) {
    return position > known_results;
}

bool is_visible(const batch_header& header, std::string_view account) {
    return header.account.empty() || header.account == account;
}

bool is_over(const batch& batch) {
    return batch.ended || batch.logged_results.size() == batch.spec.items.size();
}

bool are_results_final(const batch& batch) {
    return batch.log_closed || batch.logged_results.size() == batch.spec.items.size();
}

bool apply_entry(batch& batch, std::uint64_t number, const log_entry& entry) {
    if (number != batch.next_entry_number) {
        return false;
    }
    std::ranges::for_each(entry.results,
                          [&](const item_result& result) { add_result(batch, result); });
    for (const auto& [id, partial] : entry.partials) {
        apply_partial(batch, id, partial);
    }
    for (const auto& [id, failures] : entry.failures) {
        apply_failures(batch, id, failures);
    }
    batch.ended = batch.ended || entry.ends;
    batch.log_closed = batch.log_closed || (entry.ends && !entry.new_owner.empty());
    if (!entry.new_owner.empty()) {
        batch.header.owner = entry.new_owner;
        batch.header.owner_at = entry.new_owner_at;
    }
    ++batch.next_entry_number;
    return true;
}

void finish_item(batch& batch, item_result result, time_point now) {
    const auto found = batch.index_by_id.find(result.id);
    auto& item = batch.items[found->second];
    item.phase = item_phase::finished;
    item.output = {};
    if (batch.unlogged_results.empty()) {
        batch.oldest_unlogged_since = now;
    }
    batch.unlogged_results.push_back(std::move(result));
}

int count_complete_groups(const batch& batch, bool include_unlogged) {
    return count_groups(batch, include_unlogged);
}

std::optional<time_point> next_flush_time(const batch& batch, const flush_policy& policy,
                                          time_point deadline) {
    if (batch.unlogged_results.empty()) {
        return std::nullopt;
    }
    const auto complete = count_complete_groups(batch, true);
    const bool step_done = complete >= batch.spec.required_groups;
    const bool all_done =
        batch.logged_results.size() + batch.unlogged_results.size() == batch.spec.items.size();
    const auto earliest = batch.last_flush + policy.urgent_interval;
    if (step_done || all_done) {
        return earliest;
    }
    const auto normal =
        std::max(batch.last_flush, batch.oldest_unlogged_since) + policy.normal_interval;
    const auto urgent = std::max(earliest, deadline - policy.deadline_margin);
    return std::min(normal, urgent);
}

void add_partials(log_entry& entry, const batch& batch, std::int64_t min_events,
                  std::size_t max_bytes) {
    std::size_t bytes = 0;
    for (std::size_t index = 0; index < batch.items.size(); ++index) {
        const auto& item = batch.items[index];
        const bool has_grown = item.output.last_event - item.last_logged_event >= min_events;
        if (item.phase == item_phase::finished || item.output.last_event == 0 ||
            !(has_grown || item.output.whole)) {
            continue;
        }
        bytes += item.output.text.size() + record_overhead_bytes;
        if (bytes > max_bytes / 4) {
            break;
        }
        entry.partials.insert_or_assign(batch.spec.items[index].id, item.output);
    }
}

log_entry make_next_entry(const batch& batch, std::size_t max_bytes) {
    log_entry out;
    std::size_t bytes = 0;
    for (const auto& result : batch.unlogged_results) {
        bytes += result.text.size() + result.score.size() + record_overhead_bytes;
        if (bytes > max_bytes / 2 && !out.results.empty()) {
            break;
        }
        out.results.push_back(result);
    }
    add_partials(out, batch, min_events_to_save, max_bytes);
    add_failures(out, batch);
    return out;
}

double expected_tokens(const batch_item& item) {
    if (item.expected_output_tokens > 0) {
        return item.expected_output_tokens;
    }
    return item.max_output_tokens > 0 ? item.max_output_tokens : default_expected_tokens;
}

std::vector<std::size_t> startable_items(const batch& batch, time_point now) {
    std::vector<std::size_t> out;
    for (std::size_t index = 0; index < batch.items.size(); ++index) {
        if (batch.items[index].phase == item_phase::waiting &&
            batch.items[index].not_before <= now) {
            out.push_back(index);
        }
    }
    const auto priority = [&](std::size_t index) {
        return std::pair(batch.items[index].output.last_event > 0,
                         expected_tokens(batch.spec.items[index]));
    };
    std::ranges::stable_sort(out, std::greater{}, priority);
    return out;
}

int count_carried_groups(const batch& batch, const std::set<std::string, std::less<>>& unfinished) {
    std::set<std::string_view> carried;
    for (const auto& item : batch.spec.items) {
        if (unfinished.contains(item.id)) {
            carried.insert(item.group);
        }
    }
    return static_cast<int>(carried.size());
}

} // namespace cornelloom::front
