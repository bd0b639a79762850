#pragma once

/// How a shard of claims answers requests and takes outcomes.

#include "coord/internal/claims_machine.hpp"

namespace cornelloom::coord::internal {

template <class Rules> void claims_machine<Rules>::on(const claims_tick& /*event*/) {
    if (state_.phase == claims_phase::open) {
        forget_expired(state_, wall_);
    }
}

template <class Rules> void claims_machine<Rules>::on(const claims_opened& event) {
    if (state_.phase != claims_phase::closed) {
        close(false);
    }
    const auto token = state_.next_token;
    state_ = make_claims(state_.settings);
    state_.next_token = token;
    state_.fence = event.fence;
    state_.phase = claims_phase::reading_head;
    state_.next_try = now_;
}

template <class Rules> void claims_machine<Rules>::on(const claims_closed& event) {
    const bool has_work = state_.commit || !state_.unwritten.empty();
    if (event.flush && state_.phase == claims_phase::open && has_work) {
        state_.closing = true;
        refuse_all(state_.queue);
    } else {
        close(false);
    }
}

template <class Rules> void claims_machine<Rules>::on(const claim_asked& asked) {
    if (state_.phase == claims_phase::closed || state_.closing) {
        refuse(asked.request, kernel::refusal_reason::not_owner, kernel::run_state::not_run);
        return;
    }
    if (state_.phase != claims_phase::open) {
        state_.queue.push_back(
            {asked.request, asked.key, asked.issued.unix_ms, asked.deadline, false});
        return;
    }
    judge({asked.request, asked.key, asked.issued.unix_ms, asked.deadline, false});
}

template <class Rules> void claims_machine<Rules>::on(const claim_ran& ran) {
    const auto found = state_.records.find(ran.key);
    if (found == state_.records.end() || !found->second.running) {
        return;
    }
    keep_outcome(state_, found->second, ran.outcome);
    write_later(found->first, found->second);
}

template <class Rules> void claims_machine<Rules>::on(const claim_unsent& unsent) {
    const auto found = state_.records.find(unsent.key);
    if (found == state_.records.end() || !found->second.running) {
        return;
    }
    found->second.running = false;
    found->second.state = claim_state::not_sent;
    write_later(found->first, found->second);
}

template <class Rules> void claims_machine<Rules>::on(const platform_answer& answer) {
    if (state_.call == claims_call::none || state_.call_token != answer.token) {
        return;
    }
    const auto call = std::exchange(state_.call, claims_call::none);
    const auto& outcome = answer.outcome;
    if (call == claims_call::read_head) {
        on_head_read(outcome);
    } else if (call == claims_call::write_head) {
        on_head_written(outcome);
    } else if (call == claims_call::list_archives) {
        on_archives_listed(outcome);
    } else if (call == claims_call::read_archive) {
        on_archive_read(outcome);
    } else if (call == claims_call::write_archive) {
        on_archive_written(outcome);
    } else {
        on_archive_deleted(outcome);
    }
}

template <class Rules> void claims_machine<Rules>::judge(const waiting_claim& asked) {
    const auto found = state_.records.find(asked.key);
    if (found != state_.records.end() && found->second.state != claim_state::not_sent) {
        answer_known(asked, found->second);
    } else if (is_waiting(asked.key)) {
        refuse(asked.request, kernel::refusal_reason::claim_in_progress,
               kernel::run_state::unknown);
    } else if (is_expired(state_.settings, asked.issued_ms, wall_)) {
        refuse(asked.request, kernel::refusal_reason::claim_key_expired, kernel::run_state::not_run,
               false);
    } else if (is_from_future(state_.settings, asked.issued_ms, wall_)) {
        refuse(asked.request, kernel::refusal_reason::malformed, kernel::run_state::not_run, false);
    } else if (is_full(state_)) {
        refuse(asked.request, kernel::refusal_reason::claim_unavailable,
               kernel::run_state::not_run);
    } else {
        // A claim made anew replaces the line that says its first claim was not sent; written
        // after the claim, that line would let another holder run the key a second time.
        std::erase_if(state_.unwritten,
                      [&](const claim_entry& entry) { return entry.key == asked.key; });
        state_.queue.push_back(asked);
    }
}

template <class Rules>
void claims_machine<Rules>::answer_known(const waiting_claim& asked, const claim_record& record) {
    if (record.issued_ms != asked.issued_ms) {
        refuse(asked.request, kernel::refusal_reason::malformed, kernel::run_state::not_run, false);
    } else if (record.state == claim_state::ran && record.outcome) {
        out_.answers.push_back({asked.request, *record.outcome});
    } else if (record.state == claim_state::ran) {
        // It ran, but its answer was too large to keep.
        refuse(asked.request, kernel::refusal_reason::outcome_unknown, kernel::run_state::ran,
               false);
    } else if (record.running) {
        refuse(asked.request, kernel::refusal_reason::claim_in_progress,
               kernel::run_state::unknown);
    } else {
        refuse(asked.request, kernel::refusal_reason::outcome_unknown, kernel::run_state::unknown,
               false);
    }
}

template <class Rules> bool claims_machine<Rules>::is_waiting(const claim_key& key) const {
    const auto same = [&](const waiting_claim& other) { return other.key == key; };
    return std::ranges::any_of(state_.queue, same) ||
           (state_.commit && std::ranges::any_of(state_.commit->waiting, same));
}

template <class Rules>
void claims_machine<Rules>::refuse(std::uint64_t request, kernel::refusal_reason reason,
                                   kernel::run_state run, bool again) {
    const auto retry_after = again ? state_.settings.ask_again : kernel::duration{};
    out_.answers.push_back({request, kernel::refusal{reason, run, retry_after, {}}});
}

template <class Rules> void claims_machine<Rules>::refuse_all(std::deque<waiting_claim>& waiting) {
    for (const auto& asked : waiting) {
        refuse(asked.request, kernel::refusal_reason::not_owner, kernel::run_state::not_run);
    }
    waiting.clear();
}

template <class Rules> void claims_machine<Rules>::refuse_overdue() {
    const auto hopeless = [&](const waiting_claim& asked) {
        return std::max(now_, state_.next_try) >= asked.deadline;
    };
    std::erase_if(state_.queue, [&](const waiting_claim& asked) {
        if (hopeless(asked)) {
            refuse(asked.request, kernel::refusal_reason::claim_unavailable,
                   kernel::run_state::not_run);
        }
        return hopeless(asked);
    });
    if (state_.commit) {
        for (auto& asked : state_.commit->waiting) {
            if (!asked.refused && hopeless(asked)) {
                asked.refused = true;
                refuse(asked.request, kernel::refusal_reason::claim_unavailable,
                       kernel::run_state::not_run);
            }
        }
    }
}

} // namespace cornelloom::coord::internal
