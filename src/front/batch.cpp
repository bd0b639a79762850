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
        const auto found = batch.index.find(result.id);
        if (found != batch.index.end()) {
            --unfinished_items[batch.spec.items[found->second].group];
        }
    };
    std::ranges::for_each(batch.listed, count_result);
    if (include_unlogged) {
        std::ranges::for_each(batch.waiting, count_result);
    }
    return static_cast<int>(std::ranges::count_if(
        unfinished_items, [](const auto& group) { return group.second == 0; }));
}

void add_result(batch& batch, const item_result& result) {
    const auto found = batch.index.find(result.id);
    const auto has_same_id = [&](const item_result& other) { return other.id == result.id; };
    if (found == batch.index.end() || std::ranges::any_of(batch.listed, has_same_id)) {
        return;
    }
    auto& item = batch.items[found->second];
    item.phase = item_phase::finished;
    item.done = {};
    std::erase_if(batch.waiting, has_same_id);
    batch.listed.push_back(result);
}

void apply_partial(batch& batch, std::string_view id, const partial_text& partial) {
    const auto found = batch.index.find(id);
    if (found == batch.index.end()) {
        return;
    }
    auto& item = batch.items[found->second];
    item.last_logged_event = std::max(item.last_logged_event, partial.last_event);
    const bool is_newer = partial.whole || partial.last_event > item.done.last_event;
    if (item.phase == item_phase::waiting && is_newer) {
        item.done = partial;
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
        out.index.emplace(out.spec.items[index].id, index);
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
    return batch.ended || batch.listed.size() == batch.spec.items.size();
}

bool apply_entry(batch& batch, std::uint64_t number, const log_entry& entry) {
    if (number != batch.next_entry) {
        return false;
    }
    std::ranges::for_each(entry.results,
                          [&](const item_result& result) { add_result(batch, result); });
    for (const auto& [id, partial] : entry.partials) {
        apply_partial(batch, id, partial);
    }
    batch.ended = batch.ended || entry.ends;
    if (!entry.new_owner.empty()) {
        batch.header.owner = entry.new_owner;
        batch.header.owner_at = entry.new_owner_at;
    }
    ++batch.next_entry;
    return true;
}

void finish_item(batch& batch, item_result result, time_point now) {
    const auto found = batch.index.find(result.id);
    auto& item = batch.items[found->second];
    item.phase = item_phase::finished;
    item.done = {};
    if (batch.waiting.empty()) {
        batch.oldest_unlogged_since = now;
    }
    batch.waiting.push_back(std::move(result));
}

int complete_groups(const batch& batch, bool include_unlogged) {
    return count_groups(batch, include_unlogged);
}

std::optional<time_point> next_flush(const batch& batch, const flush_rules& policy,
                                     time_point deadline) {
    if (batch.waiting.empty()) {
        return std::nullopt;
    }
    const auto complete = complete_groups(batch, true);
    const bool step_done = complete >= batch.spec.groups_wanted;
    const bool all_done = batch.listed.size() + batch.waiting.size() == batch.spec.items.size();
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
        const bool has_grown = item.done.last_event - item.last_logged_event >= min_events;
        if (item.phase == item_phase::finished || item.done.last_event == 0 ||
            !(has_grown || item.done.whole)) {
            continue;
        }
        bytes += item.done.text.size() + record_overhead_bytes;
        if (bytes > max_bytes / 4) {
            break;
        }
        entry.partials.insert_or_assign(batch.spec.items[index].id, item.done);
    }
}

log_entry next_entry(const batch& batch, std::size_t max_bytes) {
    log_entry out;
    std::size_t bytes = 0;
    for (const auto& result : batch.waiting) {
        bytes += result.text.size() + result.score.size() + record_overhead_bytes;
        if (bytes > max_bytes / 2 && !out.results.empty()) {
            break;
        }
        out.results.push_back(result);
    }
    add_partials(out, batch, min_events_to_save, max_bytes);
    return out;
}

double expected_tokens(const batch_item& item) {
    if (item.tokens_out_hint > 0) {
        return item.tokens_out_hint;
    }
    return item.tokens_out_most > 0 ? item.tokens_out_most : default_expected_tokens;
}

std::vector<std::size_t> startable(const batch& batch, time_point now) {
    std::vector<std::size_t> out;
    for (std::size_t index = 0; index < batch.items.size(); ++index) {
        if (batch.items[index].phase == item_phase::waiting &&
            batch.items[index].not_before <= now) {
            out.push_back(index);
        }
    }
    const auto priority = [&](std::size_t index) {
        return std::pair(batch.items[index].done.last_event > 0,
                         expected_tokens(batch.spec.items[index]));
    };
    std::ranges::stable_sort(out, std::greater{}, priority);
    return out;
}

} // namespace cornelloom::front
