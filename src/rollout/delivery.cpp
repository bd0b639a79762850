#include "rollout/delivery.hpp"

#include "rollout/internal/slots.hpp"

#include <algorithm>
#include <ranges>

namespace cornelloom::rollout {

namespace {

kernel::result<void> check_pull(const step& open, const pull_request& request) {
    if (request.key != open.request.key) {
        return kernel::error{kernel::error_code::not_found,
                             "no step " + to_string(request.key) + " here"};
    }
    const auto count = open.slots.size();
    const auto outside = std::ranges::find_if(
        request.held, [count](const held_slot& one) { return one.slot >= count; });
    if (outside != request.held.end()) {
        return kernel::error{kernel::error_code::invalid_input,
                             "/held: slot " + std::to_string(outside->slot) +
                                 " does not exist, allowed are 0 to " + std::to_string(count - 1)};
    }
    return boost::outcome_v2::success();
}

/// The trainer committed this slot. Whatever still runs for it is wanted no more.
void acknowledge(step& open, slot_index index, const held_slot& held) {
    auto& at = open.slots[index];
    const bool other_body = at.body && held.origin && *held.origin != at.body->origin;
    if (at.state == slot_state::finished && !other_body) {
        deliver(open.tokens, tokens_of(at.body->output.spans));
    } else if (at.state == slot_state::finished) {
        // The trainer took the body of an earlier owner, so this one is paid work done twice.
        internal::discard_body(open, index, waste_cause::lost);
    } else {
        internal::give_up_all(open, index, waste_cause::lost);
    }
    if (at.replica == replica_state::held) {
        open.effects.release.push_back({index, at.replica_host});
    }
    at.replica = replica_state::released;
    at.state = slot_state::acknowledged;
}

/// A trainer that restarted from a checkpoint no longer has a slot that it once acknowledged. The
/// body is given again while it is kept; without it, the slot is made again.
void unacknowledge(step& open, slot_index index, kernel::time_point now) {
    auto& at = open.slots[index];
    if (!at.body) {
        at.state = slot_state::wanted;
        at.not_before = {};
        return;
    }
    take_back(open.tokens, tokens_of(at.body->output.spans));
    internal::keep_body(open, index, now);
}

void apply_held(step& open, std::span<const held_slot> held, kernel::time_point now) {
    std::vector<const held_slot*> by_slot(open.slots.size());
    for (const auto& one : held) {
        by_slot[one.slot] = &one;
    }
    for (slot_index i = 0; i < open.slots.size(); ++i) {
        const auto state = open.slots[i].state;
        if (by_slot[i] != nullptr && state != slot_state::acknowledged) {
            acknowledge(open, i, *by_slot[i]);
        } else if (by_slot[i] == nullptr && state == slot_state::acknowledged) {
            unacknowledge(open, i, now);
            if (open.state == step_state::complete) {
                open.state = step_state::open;
            }
        }
    }
}

/// Staleness is judged here, in the same call that gives the sample away: between a check and a
/// later delivery a newer version could arrive.
void discard_stale(step& open) {
    for (slot_index i = 0; i < open.slots.size(); ++i) {
        const auto& at = open.slots[i];
        if (at.state == slot_state::finished &&
            is_stale(at.body->output.spans, open.newest, open.bound)) {
            internal::discard_body(open, i, waste_cause::stale);
        }
    }
}

bool is_ready(const step& open, const slot& at) {
    return at.state == slot_state::finished && internal::is_announced(open, at) &&
           (open.rules.scoring_service.empty() || at.score.has_value()) &&
           !is_stale(at.body->output.spans, open.newest, open.bound);
}

bool is_settled(const step& open, const slot& at) {
    return at.state == slot_state::acknowledged || at.state == slot_state::failed ||
           is_ready(open, at);
}

bool may_release(const step& open, const group& of) {
    const auto slots = std::span(open.slots).subspan(of.first, of.samples);
    if (open.rules.release == release_mode::each_sample) {
        return std::ranges::any_of(slots, [&](const slot& at) { return is_ready(open, at); });
    }
    return std::ranges::all_of(slots, [&](const slot& at) { return is_settled(open, at); });
}

/// Adds what a group may give; true when the answer has reached its size.
bool add_group(step& open, const group& of, std::size_t max_bytes, std::size_t& bytes,
               std::vector<delivered_sample>& samples) {
    const bool whole = open.rules.release == release_mode::whole_group;
    for (slot_index i = of.first; i < of.first + of.samples; ++i) {
        auto& at = open.slots[i];
        if (!is_ready(open, at)) {
            continue;
        }
        if (!whole && bytes >= max_bytes) {
            return true;
        }
        samples.push_back({i, at.group, at.body, at.score});
        at.sent = true;
        bytes += at.body->output.text.size();
    }
    return bytes >= max_bytes;
}

std::vector<delivered_sample> release(step& open, std::size_t max_bytes) {
    std::vector<delivered_sample> samples;
    std::size_t bytes = 0;
    for (const auto& of : open.groups) {
        if (may_release(open, of) && add_group(open, of, max_bytes, bytes, samples)) {
            break;
        }
    }
    return samples;
}

std::vector<failed_slot> failed_slots(const step& open) {
    std::vector<failed_slot> failed;
    for (slot_index i = 0; i < open.slots.size(); ++i) {
        if (open.slots[i].state == slot_state::failed) {
            failed.push_back({i, open.slots[i].failure});
        }
    }
    return failed;
}

/// A pull that was overtaken by a newer one says nothing about what the trainer has now: taken at
/// its word, it would make samples again that the trainer has acknowledged since.
bool is_overtaken(const step& open, const pull_request& request) {
    return request.order != 0 && request.order < open.last_pull;
}

} // namespace

kernel::result<pull_answer> pull(step& open, const pull_request& request, kernel::time_point now) {
    BOOST_OUTCOME_TRY(check_pull(open, request));
    supersede_step(open, request.epoch, now);
    if (open.state == step_state::superseded) {
        return kernel::error{kernel::error_code::conflict,
                             "step " + to_string(request.key) + " has a newer owner"};
    }
    on_time(open, now);
    pull_answer answer;
    answer.epoch = open.epoch;
    answer.order = request.order;
    answer.staleness_bound = open.bound;
    if (!is_overtaken(open, request)) {
        open.last_pull = std::max(open.last_pull, request.order);
        observe_version(open, request.trainer_version.value_or(0), now);
        apply_held(open, request.held, now);
        discard_stale(open);
        internal::complete_if_done(open);
        answer.samples = release(open, request.max_bytes);
    }
    answer.failed = failed_slots(open);
    answer.complete = open.state == step_state::complete;
    answer.state = open.state;
    return answer;
}

bool has_news(const step& open, kernel::time_point now) {
    return !is_running(open) || now >= open.deadline ||
           std::ranges::any_of(open.groups, [&](const group& of) {
               return may_release(open, of) &&
                      std::ranges::any_of(std::span(open.slots).subspan(of.first, of.samples),
                                          [&](const slot& at) { return is_ready(open, at); });
           });
}

} // namespace cornelloom::rollout
