#include "front/batch.hpp"

#include <algorithm>
#include <set>

namespace cornelloom::front {

namespace {

/// Names, versions and punctuation of a result or partial text.
constexpr std::size_t bytes_per_record = 400;
/// Assumed when the caller gives neither hint nor bound.
constexpr double unknown_tokens = 500;

/// Groups all of whose items are among the given ones.
int count_groups(const batch& one, bool with_waiting) {
    std::map<std::string_view, int> missing;
    for (const auto& item : one.spec.items) {
        ++missing[item.group];
    }
    const auto take = [&](const item_result& result) {
        const auto found = one.index.find(result.id);
        if (found != one.index.end()) {
            --missing[one.spec.items[found->second].group];
        }
    };
    std::ranges::for_each(one.listed, take);
    if (with_waiting) {
        std::ranges::for_each(one.waiting, take);
    }
    return static_cast<int>(
        std::ranges::count_if(missing, [](const auto& group) { return group.second == 0; }));
}

void list_result(batch& one, const item_result& result) {
    const auto found = one.index.find(result.id);
    const auto is_it = [&](const item_result& other) { return other.id == result.id; };
    if (found == one.index.end() || std::ranges::any_of(one.listed, is_it)) {
        return;
    }
    auto& item = one.items[found->second];
    item.phase = item_phase::finished;
    item.done = {};
    std::erase_if(one.waiting, is_it);
    one.listed.push_back(result);
}

void take_partial(batch& one, std::string_view id, const partial_text& partial) {
    const auto found = one.index.find(id);
    if (found == one.index.end()) {
        return;
    }
    auto& item = one.items[found->second];
    item.saved_event = std::max(item.saved_event, partial.last_event);
    const bool more = partial.whole || partial.last_event > item.done.last_event;
    if (item.phase == item_phase::waiting && more) {
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
    for (std::size_t at = 0; at < out.spec.items.size(); ++at) {
        out.index.emplace(out.spec.items[at].id, at);
    }
    return out;
}

bool is_outdated(std::size_t listed, std::size_t position) {
    return position > listed;
}

bool is_visible(const batch_header& header, std::string_view account) {
    return header.account.empty() || header.account == account;
}

bool is_over(const batch& one) {
    return one.ended || one.listed.size() == one.spec.items.size();
}

bool apply_entry(batch& one, std::uint64_t number, const log_entry& entry) {
    if (number != one.next_entry) {
        return false;
    }
    std::ranges::for_each(entry.results,
                          [&](const item_result& result) { list_result(one, result); });
    for (const auto& [id, partial] : entry.partials) {
        take_partial(one, id, partial);
    }
    one.ended = one.ended || entry.ends;
    if (!entry.new_owner.empty()) {
        one.header.owner = entry.new_owner;
        one.header.owner_at = entry.new_owner_at;
    }
    ++one.next_entry;
    return true;
}

void finish_item(batch& one, item_result result, time_point now) {
    const auto found = one.index.find(result.id);
    auto& item = one.items[found->second];
    item.phase = item_phase::finished;
    item.done = {};
    if (one.waiting.empty()) {
        one.oldest_waiting = now;
    }
    one.waiting.push_back(std::move(result));
}

int complete_groups(const batch& one, bool with_waiting) {
    return count_groups(one, with_waiting);
}

std::optional<time_point> next_flush(const batch& one, const flush_rules& rules,
                                     time_point deadline) {
    if (one.waiting.empty()) {
        return std::nullopt;
    }
    const auto with_these = complete_groups(one, true);
    const bool step_done = with_these >= one.spec.groups_wanted;
    const bool all_done = one.listed.size() + one.waiting.size() == one.spec.items.size();
    const auto soonest = one.last_flush + rules.hurry_gap;
    if (step_done || all_done) {
        return soonest;
    }
    const auto calm = std::max(one.last_flush, one.oldest_waiting) + rules.calm_gap;
    const auto hurried = std::max(soonest, deadline - rules.due_soon);
    return std::min(calm, hurried);
}

void add_partials(log_entry& entry, const batch& one, std::int64_t events_least,
                  std::size_t bytes_most) {
    std::size_t bytes = 0;
    for (std::size_t at = 0; at < one.items.size(); ++at) {
        const auto& item = one.items[at];
        const bool grown = item.done.last_event - item.saved_event >= events_least;
        if (item.phase == item_phase::finished || item.done.last_event == 0 ||
            !(grown || item.done.whole)) {
            continue;
        }
        bytes += item.done.text.size() + bytes_per_record;
        if (bytes > bytes_most / 4) {
            break;
        }
        entry.partials.insert_or_assign(one.spec.items[at].id, item.done);
    }
}

log_entry next_entry(const batch& one, std::size_t bytes_most) {
    log_entry out;
    std::size_t bytes = 0;
    for (const auto& result : one.waiting) {
        bytes += result.text.size() + result.score.size() + bytes_per_record;
        if (bytes > bytes_most / 2 && !out.results.empty()) {
            break;
        }
        out.results.push_back(result);
    }
    add_partials(out, one, events_worth_saving, bytes_most);
    return out;
}

double expected_tokens(const batch_item& item) {
    if (item.tokens_out_hint > 0) {
        return item.tokens_out_hint;
    }
    return item.tokens_out_most > 0 ? item.tokens_out_most : unknown_tokens;
}

std::vector<std::size_t> startable(const batch& one, time_point now) {
    std::vector<std::size_t> out;
    for (std::size_t at = 0; at < one.items.size(); ++at) {
        if (one.items[at].phase == item_phase::waiting && one.items[at].not_before <= now) {
            out.push_back(at);
        }
    }
    const auto rank = [&](std::size_t at) {
        return std::pair(one.items[at].done.last_event > 0, expected_tokens(one.spec.items[at]));
    };
    std::ranges::stable_sort(out, std::greater{}, rank);
    return out;
}

} // namespace cornelloom::front
