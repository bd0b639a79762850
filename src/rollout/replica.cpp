#include "rollout/replica.hpp"

#include <algorithm>

namespace cornelloom::rollout {

namespace {

std::size_t bytes_of(const held_sample& one) {
    return sizeof(held_sample) + sizeof(sample) + one.body->output.text.size() +
           one.body->output.spans.size() * sizeof(version_span);
}

void erase_sample(replica_store& store, replica_step& of, slot_index slot) {
    const auto it = of.samples.find(slot);
    if (it != of.samples.end()) {
        store.bytes -= bytes_of(it->second);
        of.samples.erase(it);
    }
}

void note_account(replica_step& of, const hold_request& request) {
    // Requests can overtake each other; an owner's account only grows.
    const bool newer =
        request.epoch > of.account_epoch ||
        (request.epoch == of.account_epoch && request.account.paid >= of.account.paid);
    if (newer) {
        of.account_epoch = request.epoch;
        of.account = request.account;
    }
}

/// The slot if this body is still the one that the owner holds there.
slot* find_body(step& open, slot_index index, const attempt_id& origin) {
    if (index >= open.slots.size()) {
        return nullptr;
    }
    auto& at = open.slots[index];
    const bool same = at.body && at.body->origin == origin;
    return same ? &at : nullptr;
}

/// Whether the copy is of an attempt without a whole answer, as it is handed over at shutdown. Such
/// a copy is what the next owner resumes from.
bool is_text_so_far(const step& open, slot_index index, const attempt_id& origin) {
    if (index >= open.slots.size() || open.slots[index].state == slot_state::acknowledged) {
        return false;
    }
    const auto& at = open.slots[index];
    return origin == attempt_id{} ||
           std::ranges::find(at.attempts, origin, &attempt::id) != at.attempts.end() ||
           std::ranges::find(at.ended, origin, &ended_attempt::id) != at.ended.end();
}

void add_partial(const slot& at, slot_index index, std::vector<held_sample>& samples) {
    generation text = at.carried;
    attempt_id origin;
    if (!at.attempts.empty()) {
        const auto& longest = *std::ranges::max_element(
            at.attempts, {}, [](const attempt& one) { return tokens_of(one.own.spans); });
        append(text, longest.own);
        origin = longest.id;
    }
    if (!text.spans.empty()) {
        auto body = std::make_shared<const sample>(sample{origin, std::move(text)});
        samples.push_back({index, std::move(body), std::nullopt, false});
    }
}

} // namespace

hold_answer hold(replica_store& store, const hold_request& request) {
    const auto known = store.steps.find(request.key);
    if (known != store.steps.end() && request.epoch < known->second.epoch) {
        return {hold_outcome::deposed, known->second.epoch};
    }
    auto& of = store.steps[request.key];
    of.epoch = request.epoch;
    of.expires = std::max(of.expires, request.expires);
    note_account(of, request);
    const auto it = of.samples.find(request.sample.slot);
    if (it != of.samples.end() && it->second.whole && !request.sample.whole) {
        // A text so far that was overtaken by the whole sample.
        return {hold_outcome::held, of.epoch};
    }
    const auto replaced = it == of.samples.end() ? 0 : bytes_of(it->second);
    if (store.bytes - replaced + bytes_of(request.sample) > store.max_bytes) {
        return {hold_outcome::full, of.epoch};
    }
    erase_sample(store, of, request.sample.slot);
    of.samples.emplace(request.sample.slot, request.sample);
    store.bytes += bytes_of(request.sample);
    return {hold_outcome::held, of.epoch};
}

void release(replica_store& store, const release_request& request) {
    const auto it = store.steps.find(request.key);
    if (it == store.steps.end() || request.epoch < it->second.epoch) {
        return;
    }
    for (const auto slot : request.slots) {
        erase_sample(store, it->second, slot);
    }
    if (request.all) {
        for (const auto& [slot, one] : it->second.samples) {
            store.bytes -= bytes_of(one);
        }
        store.steps.erase(it);
    }
}

collect_answer collect(replica_store& store, const collect_request& request) {
    collect_answer answer;
    answer.key = request.key;
    auto& of = store.steps[request.key];
    of.epoch = std::max(of.epoch, request.epoch);
    of.expires = std::max(of.expires, request.expires);
    answer.account_epoch = of.account_epoch;
    answer.account = of.account;
    std::size_t bytes = 0;
    for (auto at = of.samples.lower_bound(request.from_slot); at != of.samples.end(); ++at) {
        if (bytes >= max_collect_bytes) {
            answer.next_slot = at->first;
            break;
        }
        answer.samples.push_back(at->second);
        bytes += bytes_of(at->second);
    }
    return answer;
}

void expire(replica_store& store, kernel::wall_time now) {
    std::erase_if(store.steps, [&](const auto& entry) {
        if (entry.second.expires > now) {
            return false;
        }
        for (const auto& [slot, one] : entry.second.samples) {
            store.bytes -= bytes_of(one);
        }
        return true;
    });
}

void on_held(step& open, slot_index slot, const attempt_id& origin, const kernel::host_id& host) {
    auto* at = find_body(open, slot, origin);
    if (at == nullptr || at->state != slot_state::finished) {
        if (!is_text_so_far(open, slot, origin)) {
            // Acknowledged or discarded meanwhile: the copy is of no use.
            open.effects.release.push_back({slot, host});
        }
        return;
    }
    at->replica = replica_state::held;
    at->replica_host = host;
}

void on_hold_failed(step& open, slot_index slot, const attempt_id& origin, bool any_host_reachable,
                    kernel::time_point now) {
    auto* at = find_body(open, slot, origin);
    if (at != nullptr && at->replica == replica_state::asked) {
        at->replica = any_host_reachable ? replica_state::retry : replica_state::single;
        at->hold_retry_at =
            now + (any_host_reachable ? open.rules.first_retry : open.rules.longest_retry);
    }
}

collect_answer hand_over(const step& open, slot_index from_slot) {
    collect_answer answer;
    answer.key = open.request.key;
    answer.account_epoch = open.epoch;
    answer.account = open.tokens;
    std::size_t bytes = 0;
    for (auto i = from_slot; i < open.slots.size(); ++i) {
        if (bytes >= max_collect_bytes) {
            answer.next_slot = i;
            break;
        }
        const auto before = answer.samples.size();
        const auto& at = open.slots[i];
        if (at.state == slot_state::finished) {
            answer.samples.push_back({i, at.body, at.score, true});
        } else {
            add_partial(at, i, answer.samples);
        }
        bytes += answer.samples.size() > before ? bytes_of(answer.samples.back()) : 0;
    }
    return answer;
}

std::vector<hold_request> surrender(step& open, owner_epoch newer, kernel::time_point now) {
    std::vector<hold_request> all;
    if (newer <= open.epoch) {
        return all;
    }
    supersede_step(open, newer, now);
    std::optional<slot_index> next = 0;
    while (next) {
        auto part = hand_over(open, *next);
        for (auto& one : part.samples) {
            all.push_back({open.request.key, open.epoch, open.request.deadline, part.account,
                           std::move(one)});
        }
        next = part.next_slot;
    }
    return all;
}

} // namespace cornelloom::rollout
