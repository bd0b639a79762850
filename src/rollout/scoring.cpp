#include "rollout/scoring.hpp"

#include "rollout/internal/slots.hpp"

#include <cmath>

namespace cornelloom::rollout {

namespace {

/// The slot if it waits for the score of this body.
slot* find_unscored(step& open, slot_index index, const attempt_id& origin) {
    if (index >= open.slots.size()) {
        return nullptr;
    }
    auto& at = open.slots[index];
    const bool waits = at.state == slot_state::finished && at.body->origin == origin && !at.score;
    return waits ? &at : nullptr;
}

} // namespace

void on_score(step& open, slot_index index, const attempt_id& origin, double score,
              kernel::time_point now) {
    if (!std::isfinite(score)) {
        on_score_failed(open, index, origin, now);
        return;
    }
    if (auto* at = find_unscored(open, index, origin); at != nullptr) {
        at->score = score;
        at->scoring = score_state::known;
    }
}

void on_score_failed(step& open, slot_index index, const attempt_id& origin,
                     kernel::time_point now) {
    if (auto* at = find_unscored(open, index, origin); at != nullptr) {
        at->scoring = score_state::retry;
        at->score_retry_at = now + open.rules.first_retry;
    }
}

void on_score_refused(step& open, slot_index index, const attempt_id& origin,
                      kernel::time_point now) {
    if (auto* at = find_unscored(open, index, origin); at != nullptr) {
        internal::discard_body(open, index, waste_cause::unusable);
        internal::want_after_failure(open, *at, now);
    }
}

} // namespace cornelloom::rollout
