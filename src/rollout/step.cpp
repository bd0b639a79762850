#include "rollout/step.hpp"

#include "kernel/hash.hpp"
#include "rollout/internal/slots.hpp"
#include "rollout/recovery.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace cornelloom::rollout {

namespace {

std::uint64_t total_samples(const step_request& request) {
    return std::accumulate(
        request.groups.begin(), request.groups.end(), std::uint64_t{0},
        [](std::uint64_t sum, const prompt_group& wanted) { return sum + wanted.samples; });
}

void add_slots(step& made) {
    for (const auto& wanted : made.request.groups) {
        const auto index = static_cast<group_index>(made.groups.size());
        made.groups.push_back({static_cast<slot_index>(made.slots.size()), wanted.samples});
        for (std::uint32_t i = 0; i < wanted.samples; ++i) {
            made.slots.emplace_back().group = index;
        }
    }
}

std::string join_problems(std::span<const kernel::finding> faults) {
    std::string all;
    for (const auto& fault : faults) {
        all += (all.empty() ? "" : "; ") + to_string(fault);
    }
    return all;
}

/// Whether text that an attempt is still adding to can no longer become fresh.
bool stale_with_carried(const step& open, const slot& at, const generation& own) {
    return is_stale(at.carried.spans, open.newest, open.bound) ||
           is_stale(own.spans, open.newest, open.bound);
}

void drop_stale_work(step& open, slot_index index) {
    auto& at = open.slots[index];
    if (is_stale(at.carried.spans, open.newest, open.bound)) {
        internal::give_up_all(open, index, waste_cause::stale);
    }
    for (auto i = at.attempts.size(); i-- > 0;) {
        if (stale_with_carried(open, at, at.attempts[i].own)) {
            internal::give_up_attempt(open, index, i, waste_cause::stale);
        }
    }
    if (at.state == slot_state::running && at.attempts.empty()) {
        at.state = slot_state::wanted;
    }
}

/// A body that was sent may already be committed by the trainer, so it is judged again only when
/// the next pull has said whether it is held; `pull` checks at the moment of delivery.
void drop_stale_body(step& open, slot_index index) {
    const auto& at = open.slots[index];
    if (!at.sent && is_stale(at.body->output.spans, open.newest, open.bound)) {
        internal::discard_body(open, index, waste_cause::stale);
    }
}

void end_work(step& open, waste_cause cause) {
    for (slot_index i = 0; i < open.slots.size(); ++i) {
        internal::give_up_all(open, i, cause);
        if (open.slots[i].state == slot_state::running) {
            open.slots[i].state = slot_state::wanted;
        }
    }
}

/// Guard against an engine with weights of nobody's: its samples would wait for an announcement
/// that never comes, and their groups with them.
void drop_unannounced(step& open, kernel::time_point now) {
    for (slot_index i = 0; i < open.slots.size(); ++i) {
        auto& at = open.slots[i];
        const bool waits = at.state == slot_state::finished && !internal::is_announced(open, at);
        if (waits && now - at.finished_at > open.rules.announcement_wait) {
            internal::discard_body(open, i, waste_cause::unusable);
            internal::want_after_failure(open, at, now);
        }
    }
}

void ask_again(step& open, kernel::time_point now) {
    for (slot_index i = 0; i < open.slots.size(); ++i) {
        auto& at = open.slots[i];
        if (at.state != slot_state::finished) {
            continue;
        }
        const bool copy_due =
            at.replica == replica_state::retry || at.replica == replica_state::single;
        if (copy_due && at.hold_retry_at <= now) {
            at.replica = replica_state::asked;
            open.effects.hold.push_back({i, at.body});
        }
        if (at.scoring == score_state::retry && at.score_retry_at <= now) {
            at.scoring = score_state::asked;
            open.effects.score.push_back({i, at.group, at.body});
        }
    }
}

/// The next owner resumes from the text, if it asks this host in time.
void stop_keeping_text(step& open, slot_index index) {
    auto& at = open.slots[index];
    while (!at.attempts.empty()) {
        const auto& running = at.attempts.front();
        internal::remember_ended(at, running, waste_cause::cancelled);
        open.effects.cancel.push_back(
            {{index, running.id}, running.engine, waste_cause::cancelled});
        internal::end_keeping_text(open, at, 0, waste_cause::cancelled);
    }
}

void check_groups(const step_request& request, const pool_rules& rules, const std::string& file,
                  kernel::findings& faults) {
    for (std::size_t i = 0; i < request.groups.size(); ++i) {
        const auto path = "/groups/" + std::to_string(i);
        if (request.groups[i].samples == 0) {
            faults.add({file, 0, path + "/samples"}, "is 0", "at least 1");
        }
        if (request.groups[i].prompt.empty()) {
            faults.add({file, 0, path + "/prompt"}, "is empty", "some text");
        }
        if (request.groups[i].prompt.size() > rules.max_prompt_bytes) {
            faults.add({file, 0, path + "/prompt"},
                       "has " + std::to_string(request.groups[i].prompt.size()) + " bytes",
                       "at most " + std::to_string(rules.max_prompt_bytes));
        }
    }
}

void check_sampling(const step_request& request, const std::string& file,
                    kernel::findings& faults) {
    const auto& sampling = request.sampling;
    if (sampling.max_tokens == 0) {
        faults.add({file, 0, "/sampling/max_tokens"}, "is 0", "at least 1");
    }
    if (!std::isfinite(sampling.temperature) || sampling.temperature < 0) {
        faults.add({file, 0, "/sampling/temperature"}, "is negative or no number", "0 or more");
    }
    const bool top_p_in_range = sampling.top_p > 0 && sampling.top_p <= 1;
    if (!top_p_in_range) {
        faults.add({file, 0, "/sampling/top_p"}, "is out of range", "above 0, at most 1");
    }
}

} // namespace

std::string_view to_string(step_state state) {
    switch (state) {
    case step_state::collecting:
        return "collecting";
    case step_state::open:
        return "open";
    case step_state::complete:
        return "complete";
    case step_state::cancelled:
        return "cancelled";
    case step_state::expired:
        return "expired";
    case step_state::superseded:
        return "superseded";
    }
    return "unknown";
}

std::string_view to_string(slot_state state) {
    switch (state) {
    case slot_state::wanted:
        return "wanted";
    case slot_state::running:
        return "running";
    case slot_state::finished:
        return "finished";
    case slot_state::acknowledged:
        return "acknowledged";
    case slot_state::failed:
        return "failed";
    }
    return "unknown";
}

std::string digest_of(const step_request& request) {
    // Lengths go before texts, so that no two requests give the same bytes.
    std::string bytes;
    const auto add = [&bytes](std::string_view text) {
        bytes += std::to_string(text.size());
        bytes += ':';
        bytes += text;
    };
    add(request.key.trainer.str());
    add(request.key.id.str());
    add(request.pool.str());
    for (const auto& wanted : request.groups) {
        add(std::to_string(wanted.samples));
        add(wanted.prompt);
    }
    const auto& sampling = request.sampling;
    add(std::to_string(sampling.max_tokens));
    add(std::to_string(sampling.temperature));
    add(std::to_string(sampling.top_p));
    add(std::to_string(sampling.seed));
    add(std::to_string(request.deadline.unix_ms));
    add(request.staleness_bound ? std::to_string(*request.staleness_bound) : "");
    return kernel::digest_hex(bytes);
}

kernel::findings check(const step_request& request, const pool_rules& rules) {
    kernel::findings faults;
    const std::string file = "step";
    if (request.key.trainer.empty()) {
        faults.add({file, 0, "/trainer"}, "is empty", "the trainer's identifier");
    }
    if (request.key.id.empty()) {
        faults.add({file, 0, "/step"}, "is empty", "the step's identifier");
    }
    const auto samples = total_samples(request);
    if (samples == 0 || samples > rules.max_samples) {
        faults.add({file, 0, "/groups"}, "ask for " + std::to_string(samples) + " samples",
                   "1 to " + std::to_string(rules.max_samples));
    }
    check_groups(request, rules, file, faults);
    check_sampling(request, file, faults);
    return faults;
}

kernel::result<step> open_step(const step_request& request, const pool_rules& rules,
                               owner_epoch epoch, kernel::time_point now,
                               kernel::wall_time wall_now) {
    const auto faults = check(request, rules);
    if (!faults.empty()) {
        return kernel::error{kernel::error_code::invalid_input, join_problems(faults.items())};
    }
    step made;
    made.request = request;
    made.digest = digest_of(request);
    made.rules = rules;
    made.epoch = epoch;
    made.deadline = now + std::chrono::milliseconds{request.deadline.unix_ms - wall_now.unix_ms};
    made.newest = request.trainer_version;
    made.bound =
        std::min(rules.staleness_bound, request.staleness_bound.value_or(rules.staleness_bound));
    add_slots(made);
    return made;
}

kernel::result<void> reopen_step(step& open, const step_request& request, kernel::time_point now) {
    if (digest_of(request) != open.digest) {
        return kernel::error{kernel::error_code::conflict, "step " + to_string(open.request.key) +
                                                               " is open with another content"};
    }
    observe_version(open, request.trainer_version, now);
    return boost::outcome_v2::success();
}

void observe_version(step& open, weight_version version, kernel::time_point /*now*/) {
    if (version <= open.newest) {
        return;
    }
    open.newest = version;
    for (slot_index i = 0; i < open.slots.size(); ++i) {
        if (open.slots[i].state == slot_state::finished) {
            drop_stale_body(open, i);
        } else {
            drop_stale_work(open, i);
        }
    }
}

void cancel_step(step& open, kernel::time_point /*now*/) {
    end_work(open, waste_cause::cancelled);
    for (slot_index i = 0; i < open.slots.size(); ++i) {
        if (open.slots[i].state == slot_state::finished) {
            internal::discard_body(open, i, waste_cause::cancelled);
        }
    }
    open.state = step_state::cancelled;
}

void supersede_step(step& open, owner_epoch newer, kernel::time_point /*now*/) {
    if (newer <= open.epoch || open.state == step_state::superseded) {
        return;
    }
    for (slot_index i = 0; i < open.slots.size(); ++i) {
        stop_keeping_text(open, i);
    }
    open.state = step_state::superseded;
}

void on_time(step& open, kernel::time_point now) {
    if (open.state == step_state::collecting && now >= open.collect_until) {
        finish_collecting(open);
    }
    drop_unannounced(open, now);
    ask_again(open, now);
    if (is_running(open) && now >= open.deadline) {
        end_work(open, waste_cause::cancelled);
        open.state = step_state::expired;
    }
}

step_effects take_effects(step& open) {
    return std::exchange(open.effects, {});
}

bool is_running(const step& open) {
    return open.state == step_state::open || open.state == step_state::collecting;
}

namespace {

token_count in_flight_of(const slot& at) {
    return std::accumulate(
        at.attempts.begin(), at.attempts.end(), tokens_of(at.carried.spans),
        [](token_count sum, const attempt& running) { return sum + tokens_of(running.own.spans); });
}

token_count held_of(const slot& at) {
    return at.state == slot_state::finished ? tokens_of(at.body->output.spans) : 0;
}

std::size_t bytes_of(const generation& text) {
    return text.text.capacity() + text.spans.capacity() * sizeof(version_span);
}

std::size_t bytes_of(const slot& at) {
    auto bytes = sizeof(slot) + bytes_of(at.carried) + at.attempts.capacity() * sizeof(attempt) +
                 at.ended.capacity() * sizeof(ended_attempt);
    for (const auto& running : at.attempts) {
        bytes += bytes_of(running.own);
    }
    return at.body ? bytes + sizeof(sample) + bytes_of(at.body->output) : bytes;
}

} // namespace

kernel::findings check(const step& open) {
    const auto place = "step " + to_string(open.request.key);
    auto faults = check(open.tokens, place);
    token_count in_flight = 0;
    token_count held = 0;
    for (const auto& at : open.slots) {
        in_flight += in_flight_of(at);
        held += held_of(at);
    }
    if (in_flight != open.tokens.in_flight) {
        faults.add({place, 0, "/tokens/in_flight"},
                   "is " + std::to_string(open.tokens.in_flight) + " but the slots have " +
                       std::to_string(in_flight),
                   "the same number");
    }
    if (held != open.tokens.held) {
        faults.add({place, 0, "/tokens/held"},
                   "is " + std::to_string(open.tokens.held) + " but the slots have " +
                       std::to_string(held),
                   "the same number");
    }
    return faults;
}

std::size_t memory_bytes(const step& open) {
    std::size_t bytes = sizeof(step) + open.groups.capacity() * sizeof(group);
    for (const auto& wanted : open.request.groups) {
        bytes += sizeof(prompt_group) + wanted.prompt.capacity();
    }
    for (const auto& at : open.slots) {
        bytes += bytes_of(at);
    }
    return bytes;
}

} // namespace cornelloom::rollout
