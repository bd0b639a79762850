#include "coord/configuration_apply.hpp"

#include "kernel/hash.hpp"

#include <algorithm>

namespace cornelloom::coord {

namespace {

object_key head_key() {
    return {std::string(configuration_head_kind), std::string(configuration_head_name)};
}

void issue(configuration_apply& state, apply_effects& out, call_kind kind,
           platform_operation what) {
    state.pending = state.next_token++;
    out.calls.push_back({*state.pending, kind, std::move(what)});
}

void finish(configuration_apply& state, apply_effects& out, apply_status status,
            std::uint64_t generation = 0) {
    state.phase = apply_phase::finished;
    out.finished = apply_result{status, generation, state.current};
}

void read_head(configuration_apply& state, apply_effects& out) {
    state.phase = apply_phase::reading_head;
    issue(state, out, call_kind::configuration_read, get_object{head_key()});
}

void write_next_part(configuration_apply& state, apply_effects& out) {
    state.phase = apply_phase::writing_parts;
    const auto& [digest, text] = *state.unwritten.begin();
    issue(state, out, call_kind::configuration_write,
          put_object{{std::string(configuration_body_kind), digest}, text, 0});
}

void write_head(configuration_apply& state, apply_effects& out) {
    state.phase = apply_phase::writing_head;
    configuration_head next{.generation =
                                std::max(state.current.generation, state.request.fleet_floor) + 1,
                            .set_digest = kernel::digest_hex(state.request.body),
                            .parts = state.parts,
                            .recent = state.current.recent};
    next.recent.push_back({state.request.apply_id, next.generation});
    if (next.recent.size() > remembered_applies) {
        next.recent.erase(next.recent.begin());
    }
    state.written_generation = next.generation;
    issue(state, out, call_kind::configuration_write,
          put_object{head_key(), encode(next), state.current_version});
}

void act(configuration_apply& state, apply_effects& out) {
    switch (state.phase) {
    case apply_phase::reading_head:
        read_head(state, out);
        return;
    case apply_phase::writing_parts:
        write_next_part(state, out);
        return;
    case apply_phase::writing_head:
        write_head(state, out);
        return;
    case apply_phase::finished:
        return;
    }
}

/// Decides by the head as it stands now. The apply id is looked for first: a head write whose
/// answer was lost may have taken effect, and another apply may have followed it.
void on_head(configuration_apply& state, apply_effects& out) {
    const auto& head = state.current;
    const auto own = std::ranges::find(head.recent, state.request.apply_id, &applied_set::apply_id);
    if (own != head.recent.end()) {
        finish(state, out, apply_status::in_force, own->generation);
        return;
    }
    const bool forgotten = !head.recent.empty() && state.head_in_doubt &&
                           head.recent.front().generation > state.written_generation;
    if (forgotten) {
        finish(state, out, apply_status::undetermined);
    } else if (std::max(head.generation, state.request.fleet_floor) != state.request.based_on) {
        finish(state, out, apply_status::lost_race);
    } else if (state.unwritten.empty()) {
        write_head(state, out);
    } else {
        write_next_part(state, out);
    }
}

void on_failure(configuration_apply& state, const platform_outcome& outcome,
                kernel::time_point now) {
    ++state.failures;
    const auto salt = kernel::hash64(state.request.apply_id);
    state.next_action = now + backoff(state.settings.retry, state.failures, salt);
    if (const auto* throttled = std::get_if<call_throttled>(&outcome)) {
        state.next_action = std::max(state.next_action, now + throttled->retry_after);
    }
}

void on_head_read(configuration_apply& state, apply_effects& out, const platform_outcome& outcome,
                  kernel::time_point now) {
    if (std::holds_alternative<call_not_found>(outcome)) {
        state.current = {};
        state.current_version = 0;
        on_head(state, out);
        return;
    }
    const auto* found = std::get_if<call_object>(&outcome);
    const auto head = found ? decode_head(found->object.value) : std::nullopt;
    if (!head) {
        on_failure(state, outcome, now);
        return;
    }
    state.current = *head;
    state.current_version = found->object.version;
    on_head(state, out);
}

void on_part_written(configuration_apply& state, apply_effects& out,
                     const platform_outcome& outcome, kernel::time_point now) {
    // A body is named by its content: that it exists already is as good as having written it.
    const bool there = std::holds_alternative<call_done>(outcome) ||
                       std::holds_alternative<call_object>(outcome) ||
                       std::holds_alternative<call_conflict>(outcome);
    if (std::holds_alternative<call_unknown>(outcome)) {
        issue(state, out, call_kind::configuration_read,
              get_object{{std::string(configuration_body_kind), state.unwritten.begin()->first}});
        return;
    }
    if (!there) {
        on_failure(state, outcome, now);
        return;
    }
    state.unwritten.erase(state.unwritten.begin());
    if (state.unwritten.empty()) {
        write_head(state, out);
    } else {
        write_next_part(state, out);
    }
}

void on_head_written(configuration_apply& state, apply_effects& out,
                     const platform_outcome& outcome, kernel::time_point now) {
    if (std::holds_alternative<call_done>(outcome)) {
        finish(state, out, apply_status::in_force, state.written_generation);
    } else if (std::holds_alternative<call_conflict>(outcome)) {
        read_head(state, out);
    } else if (std::holds_alternative<call_unknown>(outcome)) {
        state.head_in_doubt = true;
        read_head(state, out);
    } else {
        on_failure(state, outcome, now);
    }
}

void on_answer(configuration_apply& state, apply_effects& out, const platform_answer& answer,
               kernel::time_point now) {
    if (state.pending != answer.token) {
        return;
    }
    state.pending.reset();
    switch (state.phase) {
    case apply_phase::reading_head:
        on_head_read(state, out, answer.outcome, now);
        return;
    case apply_phase::writing_parts:
        on_part_written(state, out, answer.outcome, now);
        return;
    case apply_phase::writing_head:
        on_head_written(state, out, answer.outcome, now);
        return;
    case apply_phase::finished:
        return;
    }
}

bool head_write_may_land(const configuration_apply& state) {
    return state.head_in_doubt || (state.phase == apply_phase::writing_head && state.pending);
}

} // namespace

configuration_apply make_apply(const apply_settings& settings, apply_request request,
                               kernel::time_point now) {
    configuration_apply state;
    state.settings = settings;
    state.give_up_at = now + settings.give_up_after;
    state.next_action = now;
    for (const auto part : split(request.body, settings.part_limit)) {
        auto digest = kernel::digest_hex(part);
        state.unwritten.emplace(digest, part);
        state.parts.push_back(std::move(digest));
    }
    state.request = std::move(request);
    return state;
}

apply_effects step(configuration_apply& state, const apply_event& event, kernel::time_point now) {
    apply_effects out;
    if (const auto* answer = std::get_if<platform_answer>(&event)) {
        on_answer(state, out, *answer, now);
    }
    if (state.phase != apply_phase::finished && now >= state.give_up_at) {
        out.calls.clear();
        finish(state, out,
               head_write_may_land(state) ? apply_status::undetermined : apply_status::not_applied);
    }
    if (state.phase != apply_phase::finished && !state.pending && now >= state.next_action) {
        act(state, out);
    }
    out.next = state.pending ? state.give_up_at : std::min(state.next_action, state.give_up_at);
    return out;
}

} // namespace cornelloom::coord
