#include "rollout/internal/slots.hpp"

#include <algorithm>
#include <utility>

namespace cornelloom::rollout::internal {

void remember_ended(slot& at, const attempt& running, waste_cause cause) {
    // Engines that never confirm a cancellation must not grow the slot without limit. Tokens of a
    // forgotten attempt are counted as lost.
    constexpr std::size_t most = 16;
    if (at.ended.size() >= most) {
        at.ended.erase(at.ended.begin());
    }
    at.ended.push_back({running.id, running.received, cause});
}

void give_up_attempt(step& open, slot_index index, std::size_t position, waste_cause cause) {
    auto& at = open.slots[index];
    auto& running = at.attempts[position];
    waste_in_flight(open.tokens, tokens_of(running.own.spans), cause);
    remember_ended(at, running, cause);
    open.effects.cancel.push_back({{index, running.id}, running.engine, cause});
    at.attempts.erase(at.attempts.begin() + static_cast<std::ptrdiff_t>(position));
}

void end_keeping_text(step& open, slot& at, std::size_t position, waste_cause otherwise) {
    auto ended = std::move(at.attempts[position]);
    at.attempts.erase(at.attempts.begin() + static_cast<std::ptrdiff_t>(position));
    if (at.attempts.empty()) {
        append(at.carried, ended.own);
        at.state = slot_state::wanted;
        return;
    }
    waste_in_flight(open.tokens, tokens_of(ended.own.spans), otherwise);
}

void give_up_all(step& open, slot_index index, waste_cause cause) {
    auto& at = open.slots[index];
    while (!at.attempts.empty()) {
        give_up_attempt(open, index, at.attempts.size() - 1, cause);
    }
    waste_carried(open, at, cause);
}

void waste_carried(step& open, slot& at, waste_cause cause) {
    waste_in_flight(open.tokens, tokens_of(at.carried.spans), cause);
    at.carried = {};
}

void discard_body(step& open, slot_index index, waste_cause cause) {
    auto& at = open.slots[index];
    waste_held(open.tokens, tokens_of(at.body->output.spans), cause);
    if (at.replica == replica_state::held) {
        open.effects.release.push_back({index, at.replica_host});
    }
    at.body.reset();
    at.sent = false;
    at.replica = replica_state::none;
    at.scoring = score_state::none;
    at.score.reset();
    at.state = slot_state::wanted;
}

void want_after_failure(step& open, slot& at, kernel::time_point now) {
    constexpr std::uint32_t largest_shift = 20;
    const auto factor = std::int64_t{1} << std::min(at.failures, largest_shift);
    at.not_before = now + std::min(open.rules.first_retry * factor, open.rules.longest_retry);
    ++at.failures;
    if (at.attempts.empty()) {
        at.state = slot_state::wanted;
    }
}

void complete_if_done(step& open) {
    const bool ended = std::ranges::all_of(open.slots, [](const slot& at) {
        return at.state == slot_state::acknowledged || at.state == slot_state::failed;
    });
    if (ended && (open.state == step_state::open || open.state == step_state::collecting)) {
        open.state = step_state::complete;
    }
}

bool is_announced(const step& open, const slot& at) {
    return newest_version(at.body->output.spans).value_or(0) <= open.newest;
}

void store_body(step& open, slot_index index, sample_ptr body, kernel::time_point now) {
    auto& at = open.slots[index];
    at.body = std::move(body);
    at.failures = 0;
    keep_body(open, index, now);
}

void keep_body(step& open, slot_index index, kernel::time_point now) {
    auto& at = open.slots[index];
    at.state = slot_state::finished;
    at.finished_at = now;
    at.replica = replica_state::asked;
    open.effects.hold.push_back({index, at.body});
    if (!open.rules.scoring_service.empty() && !at.score) {
        at.scoring = score_state::asked;
        open.effects.score.push_back({index, at.group, at.body});
    }
}

} // namespace cornelloom::rollout::internal
