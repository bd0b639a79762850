#include "coord/lease.hpp"

#include "coord/internal/json.hpp"
#include "kernel/hash.hpp"

#include <algorithm>

namespace cornelloom::coord {

namespace {

using internal::json;

kernel::duration term_of(const lease_record& record) {
    return std::chrono::milliseconds{record.term_ms};
}

bool is_mine(const lease& state, const lease_record& record) {
    return record.holder == state.settings.self && record.session == state.settings.session;
}

kernel::duration retry_pause(const lease& state) {
    return backoff(state.settings.retry, state.failures,
                   kernel::hash64(state.settings.self.str(), state.failures));
}

std::uint64_t issue(lease& state, lease_effects& out, call_kind kind, platform_operation what) {
    const auto token = state.next_token++;
    out.calls.push_back({token, kind, std::move(what)});
    return token;
}

void read(lease& state, lease_effects& out, kernel::time_point now) {
    const auto kind =
        state.role == lease_role::held ? call_kind::lease_renewal : call_kind::lease_acquire;
    const auto token = issue(state, out, kind, get_object{state.settings.key});
    state.pending = lease_pending{.token = token, .sent = now};
}

void write(lease& state, lease_effects& out, lease_record record, std::uint64_t expected,
           kernel::time_point now) {
    const auto kind =
        state.role == lease_role::held ? call_kind::lease_renewal : call_kind::lease_acquire;
    const auto token =
        issue(state, out, kind, put_object{state.settings.key, encode(record), expected});
    state.pending = lease_pending{.token = token,
                                  .write = true,
                                  .sent = now,
                                  .written = std::move(record),
                                  .expected = expected};
}

void lose(lease& state, lease_effects& out, kernel::time_point now) {
    if (state.role == lease_role::held) {
        state.role = lease_role::waiting;
        out.change = lease_change::lost;
    } else if (state.role == lease_role::leaving) {
        state.role = lease_role::idle;
        out.change = lease_change::released;
    }
    state.fence = 0;
    state.in_doubt.reset();
    state.next_action = now;
}

/// Guards against the paused holder: the term is over by its own clock before anything else that
/// happened meanwhile, such as a late answer, is looked at.
void expire_if_due(lease& state, lease_effects& out, kernel::time_point now) {
    const bool holding = state.role == lease_role::held || state.role == lease_role::leaving;
    if (holding && now >= state.valid_until) {
        lose(state, out, now);
    }
}

/// A write of this host is known to have taken effect; it was sent no earlier than `sent`.
void confirmed(lease& state, lease_effects& out, const lease_record& record, std::uint64_t version,
               kernel::time_point sent, kernel::time_point now) {
    state.version = version;
    state.mine = record;
    state.in_doubt.reset();
    state.failures = 0;
    state.seen.reset();
    if (record.released) {
        lose(state, out, now);
        return;
    }
    const auto valid_until = sent + term_of(record) - state.settings.margin;
    state.next_action = now;
    if (now >= valid_until) {
        return;
    }
    state.valid_until = valid_until;
    state.fence = record.fence;
    if (state.role == lease_role::idle) {
        // Given back while the takeover was under way: release it rather than let it lapse.
        state.role = lease_role::leaving;
    } else if (state.role == lease_role::waiting) {
        state.role = lease_role::held;
        out.change = lease_change::acquired;
    }
    if (state.role == lease_role::held) {
        state.next_action = sent + state.settings.renew_every;
    }
}

lease_record successor_of(const lease& state, std::uint64_t fence) {
    return {.holder = state.settings.self,
            .session = state.settings.session,
            .fence = fence + 1,
            .beat = 1,
            .term_ms =
                std::chrono::duration_cast<std::chrono::milliseconds>(state.settings.term).count(),
            .released = false};
}

/// Takes the lease if its last holder has given it back, was this process itself, or has shown no
/// life for its term and the margin, counted from when this host first saw its last renewal.
void consider_takeover(lease& state, lease_effects& out, kernel::time_point now) {
    const auto& seen = *state.seen;
    const auto free_at = seen.first_seen + term_of(seen.record) + state.settings.margin;
    if (seen.record.released || is_mine(state, seen.record) || now >= free_at) {
        write(state, out, successor_of(state, seen.record.fence), seen.version, now);
        return;
    }
    state.next_action = std::min(now + state.settings.poll_every, free_at);
}

void on_record(lease& state, lease_effects& out, const lease_record& record, std::uint64_t version,
               kernel::time_point now) {
    state.version = version;
    if (state.in_doubt && record == state.in_doubt->written) {
        confirmed(state, out, record, version, state.in_doubt->sent, now);
        return;
    }
    if (state.role == lease_role::held || state.role == lease_role::leaving) {
        const bool still_mine = is_mine(state, record) && record.fence == state.fence;
        if (!still_mine) {
            lose(state, out, now);
        } else if (state.in_doubt) {
            // The same bytes again: whichever of the two writes lands, the content is the same.
            write(state, out, state.in_doubt->written, version, now);
        } else {
            state.next_action = now;
        }
        return;
    }
    if (!state.seen || state.seen->version != version || state.seen->record != record) {
        state.seen = lease_sighting{record, version, now};
        state.in_doubt.reset();
    }
    if (state.role == lease_role::waiting) {
        consider_takeover(state, out, now);
    }
}

void on_read_answer(lease& state, lease_effects& out, const platform_outcome& outcome,
                    kernel::time_point now) {
    if (const auto* found = std::get_if<call_object>(&outcome)) {
        state.failures = 0;
        const auto record = decode_lease(found->object.value);
        // An object that is no lease record is treated as one that never ends: an operator must
        // remove it. Overwriting it could take the lease from a holder of a newer release.
        if (record) {
            on_record(state, out, *record, found->object.version, now);
        } else {
            state.next_action = now + state.settings.poll_every;
        }
        return;
    }
    if (std::holds_alternative<call_not_found>(outcome)) {
        state.failures = 0;
        state.version = 0;
        if (state.role == lease_role::held || state.role == lease_role::leaving) {
            lose(state, out, now);
        } else if (state.role == lease_role::waiting) {
            const auto seen_fence = state.seen ? state.seen->record.fence : 0;
            write(state, out, successor_of(state, std::max(state.mine.fence, seen_fence)), 0, now);
        }
        return;
    }
    ++state.failures;
    state.next_action = now + retry_pause(state);
    if (const auto* throttled = std::get_if<call_throttled>(&outcome)) {
        state.next_action = std::max(state.next_action, now + throttled->retry_after);
    }
}

void on_write_answer(lease& state, lease_effects& out, const lease_pending& call,
                     const platform_outcome& outcome, kernel::time_point now) {
    if (const auto* done = std::get_if<call_done>(&outcome)) {
        confirmed(state, out, call.written, done->version, call.sent, now);
        return;
    }
    const bool lost_answer = std::holds_alternative<call_unknown>(outcome);
    if (lost_answer && !state.in_doubt) {
        state.in_doubt = call; // Keeps the earlier sending time if the bytes are sent again.
    }
    if (lost_answer || std::holds_alternative<call_conflict>(outcome)) {
        read(state, out, now);
        return;
    }
    ++state.failures;
    state.next_action = now + retry_pause(state);
    if (const auto* throttled = std::get_if<call_throttled>(&outcome)) {
        state.next_action = std::max(state.next_action, now + throttled->retry_after);
    }
}

void on_answer(lease& state, lease_effects& out, const platform_answer& answer,
               kernel::time_point now) {
    if (!state.pending || state.pending->token != answer.token) {
        return;
    }
    const auto call = std::move(*state.pending);
    state.pending.reset();
    if (call.write) {
        on_write_answer(state, out, call, answer.outcome, now);
    } else {
        on_read_answer(state, out, answer.outcome, now);
    }
}

lease_record next_record(const lease& state) {
    auto record = state.mine;
    ++record.beat;
    record.released = state.role == lease_role::leaving;
    return record;
}

void act_if_due(lease& state, lease_effects& out, kernel::time_point now) {
    if (state.pending || state.role == lease_role::idle || now < state.next_action) {
        return;
    }
    if (state.in_doubt || state.role == lease_role::waiting) {
        read(state, out, now);
        return;
    }
    write(state, out, next_record(state), state.version, now);
}

kernel::time_point next_tick(const lease& state, kernel::time_point now) {
    const bool holding = state.role == lease_role::held || state.role == lease_role::leaving;
    if (holding) {
        return state.pending ? state.valid_until : std::min(state.valid_until, state.next_action);
    }
    if (state.role == lease_role::waiting && !state.pending) {
        return state.next_action;
    }
    return now + state.settings.poll_every;
}

} // namespace

std::string encode(const lease_record& record) {
    return json{{"holder", record.holder.str()}, {"session", record.session},
                {"fence", record.fence},         {"beat", record.beat},
                {"term_ms", record.term_ms},     {"released", record.released}}
        .dump();
}

std::optional<lease_record> decode_lease(std::string_view text) {
    return internal::decode_json(text, [](const json& value) {
        return lease_record{.holder = kernel::host_id{value.at("holder").get<std::string>()},
                            .session = value.at("session").get<std::string>(),
                            .fence = value.at("fence").get<std::uint64_t>(),
                            .beat = value.at("beat").get<std::uint64_t>(),
                            .term_ms = value.at("term_ms").get<std::int64_t>(),
                            .released = value.at("released").get<bool>()};
    });
}

lease make_lease(lease_settings settings) {
    lease state;
    state.settings = std::move(settings);
    return state;
}

lease_effects step(lease& state, const lease_event& event, kernel::time_point now) {
    lease_effects out;
    expire_if_due(state, out, now);
    if (std::holds_alternative<lease_wanted>(event)) {
        if (state.role == lease_role::idle) {
            state.role = lease_role::waiting;
            state.seen.reset();
            state.next_action = now;
        }
    } else if (std::holds_alternative<lease_given_back>(event)) {
        if (state.role == lease_role::held) {
            state.role = lease_role::leaving;
            state.next_action = now;
        } else if (state.role == lease_role::waiting) {
            state.role = lease_role::idle;
        }
    } else if (const auto* answer = std::get_if<platform_answer>(&event)) {
        on_answer(state, out, *answer, now);
    }
    act_if_due(state, out, now);
    out.next = next_tick(state, now);
    return out;
}

bool may_order(const lease& state, kernel::time_point now) {
    return state.role == lease_role::held && now < state.valid_until;
}

bool may_order_for(const lease& state, kernel::duration work, kernel::time_point now) {
    return state.role == lease_role::held && now + work <= state.valid_until;
}

kernel::duration settle_time(const lease_settings& settings, kernel::duration order_deadline) {
    return settings.margin + order_deadline;
}

} // namespace cornelloom::coord
