#include "rollout/work.hpp"

#include "rollout/internal/pace.hpp"
#include "rollout/internal/slots.hpp"

#include <algorithm>
#include <utility>

namespace cornelloom::rollout {

namespace {

bool is_wanted(const slot& at, kernel::time_point now) {
    return at.state == slot_state::wanted && at.not_before <= now;
}

bool cost_work_before(const slot& at) {
    return at.failures > 0 || !at.carried.spans.empty() || !at.ended.empty();
}

work_item start_attempt(step& open, slot_index index, kernel::time_point now) {
    auto& at = open.slots[index];
    const bool hedge = !at.attempts.empty();
    if (!hedge && !at.carried.spans.empty()) {
        // Text that will be beyond the bound when the answer is whole: all that an engine adds to
        // it would be paid for and discarded.
        if (const auto cause = internal::reason_to_restart(open, at, now)) {
            internal::waste_carried(open, at, *cause);
        }
    }
    const attempt_id id{open.epoch, ++open.last_attempt};
    at.attempts.push_back({.id = id, .engine = {}, .started = now, .last_piece = now, .own = {}});
    at.state = slot_state::running;
    const auto done = tokens_of(at.carried.spans);
    const auto limit = open.request.sampling.max_tokens;
    return {.slot = index,
            .group = at.group,
            .attempt = id,
            .prompt = open.request.groups[at.group].prompt,
            .so_far = at.carried.text,
            .so_far_tokens = done,
            .max_tokens = done < limit ? limit - static_cast<std::uint32_t>(done) : 0,
            .seed = open.request.sampling.seed + index,
            .hedge = hedge};
}

struct found_attempt {
    slot* at = nullptr;
    std::size_t position = 0;
};

/// Null slot: nobody waits for this attempt any more.
found_attempt find_attempt(step& open, const attempt_ref& ref) {
    if (ref.slot >= open.slots.size()) {
        return {};
    }
    auto& at = open.slots[ref.slot];
    const auto it = std::ranges::find(at.attempts, ref.attempt, &attempt::id);
    if (it == at.attempts.end()) {
        return {};
    }
    return {&at, static_cast<std::size_t>(it - at.attempts.begin())};
}

/// Tokens of an attempt that was given up were paid all the same.
void pay_for_ended(step& open, const attempt_ref& ref, token_count tokens) {
    pay(open.tokens, tokens);
    auto cause = waste_cause::lost;
    if (ref.slot < open.slots.size()) {
        auto& ended = open.slots[ref.slot].ended;
        const auto it = std::ranges::find(ended, ref.attempt, &ended_attempt::id);
        if (it != ended.end()) {
            it->seen += tokens;
            cause = it->cause;
        }
    }
    waste_in_flight(open.tokens, tokens, cause);
}

/// Guard against an engine that does not say which weights made a token, that used another
/// adapter, or that runs weights older than the bound: the sample could not be delivered. Only the
/// piece is wasted, the text before it stays good and is resumed elsewhere.
piece_verdict refuse_piece(step& open, const attempt_ref& ref, const found_attempt& found,
                           token_count tokens, waste_cause cause, kernel::time_point now) {
    waste_in_flight(open.tokens, tokens, cause);
    auto& at = *found.at;
    const auto& running = at.attempts[found.position];
    internal::remember_ended(at, running, cause);
    open.effects.cancel.push_back({ref, running.engine, cause});
    internal::end_keeping_text(open, at, found.position, cause);
    internal::want_after_failure(open, at, now);
    return piece_verdict::stop;
}

bool is_certain(const step& open, const stream_piece& piece) {
    return piece.version && piece.adapter == open.rules.adapter;
}

bool is_too_old(const step& open, weight_version version) {
    return version < open.newest && open.newest - version > open.bound;
}

} // namespace

std::vector<work_item> next_work(step& open, kernel::time_point now, std::size_t limit) {
    std::vector<work_item> items;
    if (open.state != step_state::open || now >= open.deadline) {
        return items;
    }
    for (const bool retries : {true, false}) {
        for (slot_index i = 0; i < open.slots.size() && items.size() < limit; ++i) {
            const auto& at = open.slots[i];
            if (is_wanted(at, now) && cost_work_before(at) == retries) {
                items.push_back(start_attempt(open, i, now));
            }
        }
    }
    return items;
}

std::size_t wanted_now(const step& open, kernel::time_point now) {
    if (open.state != step_state::open || now >= open.deadline) {
        return 0;
    }
    return static_cast<std::size_t>(
        std::ranges::count_if(open.slots, [now](const slot& at) { return is_wanted(at, now); }));
}

std::optional<kernel::time_point> next_wanted_at(const step& open) {
    std::optional<kernel::time_point> first;
    for (const auto& at : open.slots) {
        if (at.state == slot_state::wanted && (!first || at.not_before < *first)) {
            first = at.not_before;
        }
    }
    return first;
}

std::vector<running_slot> running_slots(const step& open) {
    std::vector<std::uint32_t> unfinished(open.groups.size());
    for (const auto& at : open.slots) {
        if (at.state == slot_state::wanted || at.state == slot_state::running) {
            ++unfinished[at.group];
        }
    }
    std::vector<running_slot> all;
    for (slot_index i = 0; i < open.slots.size(); ++i) {
        const auto& at = open.slots[i];
        if (at.attempts.size() == 1) {
            const auto& one = at.attempts.front();
            all.push_back({{i, one.id},
                           at.group,
                           one.engine,
                           one.started,
                           one.last_piece,
                           tokens_of(one.own.spans),
                           unfinished[at.group] == 1});
        }
    }
    return all;
}

std::optional<work_item> start_hedge(step& open, slot_index index, kernel::time_point now) {
    if (open.state != step_state::open || index >= open.slots.size()) {
        return std::nullopt;
    }
    auto& at = open.slots[index];
    if (at.attempts.size() != 1) {
        return std::nullopt;
    }
    append(at.carried, std::exchange(at.attempts.front().own, {}));
    return start_attempt(open, index, now);
}

std::optional<work_item> start_again(step& open, slot_index index, kernel::time_point now) {
    if (open.state != step_state::open || index >= open.slots.size() || now >= open.deadline ||
        open.slots[index].state != slot_state::wanted) {
        return std::nullopt;
    }
    return start_attempt(open, index, now);
}

void defer_slot(step& open, slot_index index, kernel::time_point until) {
    if (index < open.slots.size()) {
        open.slots[index].not_before = until;
    }
}

void on_placed(step& open, const attempt_ref& ref, const kernel::target_id& engine,
               kernel::time_point now) {
    if (const auto found = find_attempt(open, ref); found.at != nullptr) {
        auto& running = found.at->attempts[found.position];
        running.engine = engine;
        running.started = now;
    }
}

piece_verdict on_piece(step& open, const attempt_ref& ref, const stream_piece& piece,
                       kernel::time_point now) {
    const auto found = find_attempt(open, ref);
    if (found.at == nullptr) {
        pay_for_ended(open, ref, piece.tokens);
        return piece_verdict::stop;
    }
    pay(open.tokens, piece.tokens);
    auto& running = found.at->attempts[found.position];
    running.received += piece.tokens;
    running.last_piece = now;
    if (piece.tokens > 0 && !is_certain(open, piece)) {
        return refuse_piece(open, ref, found, piece.tokens, waste_cause::unusable, now);
    }
    if (piece.tokens > 0 && is_too_old(open, *piece.version)) {
        return refuse_piece(open, ref, found, piece.tokens, waste_cause::stale, now);
    }
    append(running.own, piece);
    return piece_verdict::keep;
}

void on_done(step& open, const attempt_ref& ref, kernel::time_point now) {
    const auto found = find_attempt(open, ref);
    if (found.at == nullptr) {
        return; // A second or late answer: its tokens were counted as they came.
    }
    auto& at = *found.at;
    auto winner = std::move(at.attempts[found.position]);
    at.attempts.erase(at.attempts.begin() + static_cast<std::ptrdiff_t>(found.position));
    generation whole = std::exchange(at.carried, {});
    append(whole, winner.own);
    if (whole.spans.empty()) {
        // No token, so no version: nothing that could be delivered truthfully.
        internal::want_after_failure(open, at, now);
        return;
    }
    while (!at.attempts.empty()) {
        internal::give_up_attempt(open, ref.slot, at.attempts.size() - 1, waste_cause::hedged);
    }
    finish(open.tokens, tokens_of(whole.spans));
    internal::note_finished(open.pace, tokens_of(whole.spans), winner.received,
                            now - winner.started);
    internal::store_body(open, ref.slot,
                         std::make_shared<const sample>(sample{winner.id, std::move(whole)}), now);
}

void on_broken(step& open, const attempt_ref& ref, break_cause cause, kernel::time_point now) {
    const auto found = find_attempt(open, ref);
    if (found.at == nullptr) {
        return;
    }
    auto& at = *found.at;
    const auto whole =
        tokens_of(at.carried.spans) + tokens_of(at.attempts[found.position].own.spans);
    if (whole >= open.request.sampling.max_tokens) {
        // The answer has all tokens that it may have; only the last line was lost.
        on_done(open, ref, now);
        return;
    }
    const auto wasted = cause == break_cause::crashed ? waste_cause::crashed : waste_cause::lost;
    internal::end_keeping_text(open, at, found.position, wasted);
    internal::want_after_failure(open, at, now);
}

void on_cancelled(step& open, const attempt_ref& ref, token_count tokens) {
    if (ref.slot >= open.slots.size()) {
        return;
    }
    auto& at = open.slots[ref.slot];
    const auto running = std::ranges::find(at.attempts, ref.attempt, &attempt::id);
    if (running != at.attempts.end()) {
        // Cancelled by somebody else, such as a scheduler that empties a leaving target: the text
        // stays good. Without this the slot would wait for ever for an attempt that is gone.
        internal::remember_ended(at, *running, waste_cause::lost);
        internal::end_keeping_text(
            open, at, static_cast<std::size_t>(running - at.attempts.begin()), waste_cause::lost);
    }
    const auto it = std::ranges::find(at.ended, ref.attempt, &ended_attempt::id);
    if (it == at.ended.end()) {
        return; // Confirmed before.
    }
    if (tokens > it->seen) {
        const auto unseen = tokens - it->seen;
        pay(open.tokens, unseen);
        waste_in_flight(open.tokens, unseen, it->cause);
    }
    at.ended.erase(it);
}

void yield_attempt(step& open, const attempt_ref& ref, kernel::time_point now) {
    const auto found = find_attempt(open, ref);
    if (found.at == nullptr) {
        return;
    }
    auto& at = *found.at;
    const auto& running = at.attempts[found.position];
    internal::remember_ended(at, running, waste_cause::cancelled);
    open.effects.cancel.push_back({ref, running.engine, waste_cause::cancelled});
    internal::end_keeping_text(open, at, found.position, waste_cause::cancelled);
    at.not_before = now;
}

void drop_so_far(step& open, slot_index index, waste_cause cause) {
    if (index < open.slots.size() && open.slots[index].attempts.empty()) {
        internal::waste_carried(open, open.slots[index], cause);
    }
}

} // namespace cornelloom::rollout
