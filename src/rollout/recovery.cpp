#include "rollout/recovery.hpp"

#include "rollout/internal/slots.hpp"

#include <algorithm>
#include <utility>

namespace cornelloom::rollout {

namespace {

kernel::error invalid(const manifest& stored, std::string_view problem) {
    return {kernel::error_code::invalid_input,
            "manifest of " + to_string(stored.key) + ": " + std::string(problem)};
}

std::vector<std::string> prompts_of(std::span<const prompt_chunk> chunks) {
    std::vector<std::string> all;
    for (const auto& chunk : chunks) {
        all.insert(all.end(), chunk.prompts.begin(), chunk.prompts.end());
    }
    return all;
}

/// Tokens that another owner paid for reach this owner's account: first out of those that were
/// presumed lost.
void pay_inherited(step& open, token_count tokens) {
    const auto found = std::min(tokens, open.inherited.presumed_lost);
    open.inherited.presumed_lost -= found;
    open.tokens.wasted[static_cast<std::size_t>(waste_cause::crashed)] -= found;
    open.tokens.in_flight += found;
    pay(open.tokens, tokens - found);
    open.inherited.collected += tokens;
}

bool is_usable(const step& open, const held_sample& one) {
    return one.slot < open.slots.size() && one.body && !one.body->output.spans.empty() &&
           std::ranges::all_of(
               one.body->output.spans,
               [&](const version_span& span) { return span.adapter == open.rules.adapter; });
}

/// A whole answer beats whatever this owner has started for the slot meanwhile.
void take_whole(step& open, const held_sample& one, kernel::time_point now) {
    auto& at = open.slots[one.slot];
    if (at.state == slot_state::finished || at.state == slot_state::failed) {
        return;
    }
    const auto tokens = tokens_of(one.body->output.spans);
    pay_inherited(open, tokens);
    if (at.state == slot_state::acknowledged) {
        if (at.body) {
            waste_in_flight(open.tokens, tokens, waste_cause::lost);
            return;
        }
        at.body = one.body;
        finish(open.tokens, tokens);
        deliver(open.tokens, tokens);
        return;
    }
    internal::give_up_all(open, one.slot, waste_cause::lost);
    finish(open.tokens, tokens);
    internal::store_body(open, one.slot, one.body, now);
    if (one.score) {
        at.score = one.score;
        at.scoring = score_state::known;
    }
}

void take_partial(step& open, const held_sample& one) {
    auto& at = open.slots[one.slot];
    const bool longer = tokens_of(one.body->output.spans) > tokens_of(at.carried.spans);
    if (at.state != slot_state::wanted || !longer) {
        return;
    }
    internal::waste_carried(open, at, waste_cause::lost);
    pay_inherited(open, tokens_of(one.body->output.spans));
    at.carried = one.body->output;
}

void note_account(step& open, const collect_answer& answer) {
    auto& known = open.inherited;
    const bool newer =
        answer.account_epoch > known.epoch ||
        (answer.account_epoch == known.epoch && answer.account.paid > known.tokens.paid);
    if (newer && answer.account_epoch < open.epoch) {
        known.epoch = answer.account_epoch;
        known.tokens = answer.account;
    }
}

/// Takes over what the previous owner had settled. What it had in flight or held, and no host has
/// given to this owner, is lost with it.
void settle_inherited(step& open) {
    const auto& before = open.inherited.tokens;
    open.tokens.delivered += before.delivered;
    open.tokens.paid += before.delivered + total_wasted(before);
    for (std::size_t i = 0; i < waste_cause_count; ++i) {
        open.tokens.wasted[i] += before.wasted[i];
    }
    const auto open_before = before.in_flight + before.held;
    if (open_before > open.inherited.collected) {
        const auto lost = open_before - open.inherited.collected;
        open.inherited.presumed_lost = lost;
        pay(open.tokens, lost);
        waste_in_flight(open.tokens, lost, waste_cause::crashed);
    }
}

} // namespace

std::vector<prompt_chunk> chunks_of(const step_request& request) {
    std::vector<prompt_chunk> chunks(1);
    std::size_t bytes = 0;
    for (const auto& wanted : request.groups) {
        if (bytes > 0 && bytes + wanted.prompt.size() > max_chunk_bytes) {
            chunks.emplace_back();
            bytes = 0;
        }
        chunks.back().prompts.push_back(wanted.prompt);
        bytes += wanted.prompt.size();
    }
    return chunks;
}

manifest manifest_of(const step& open, std::span<const std::string> chunk_digests,
                     std::span<const kernel::host_id> replica_hosts) {
    manifest made{.key = open.request.key,
                  .pool = open.request.pool,
                  .digest = open.digest,
                  .epoch = open.epoch,
                  .samples = {},
                  .chunks = {chunk_digests.begin(), chunk_digests.end()},
                  .sampling = open.request.sampling,
                  .deadline = open.request.deadline,
                  .staleness_bound = open.request.staleness_bound,
                  .trainer_version = open.newest,
                  .replica_hosts = {replica_hosts.begin(), replica_hosts.end()}};
    for (const auto& wanted : open.request.groups) {
        made.samples.push_back(wanted.samples);
    }
    return made;
}

kernel::result<step> recover_step(const manifest& stored, std::span<const prompt_chunk> chunks,
                                  const pool_rules& rules, owner_epoch epoch,
                                  std::span<const kernel::host_id> hosts_to_ask,
                                  kernel::time_point now, kernel::wall_time wall_now) {
    if (epoch <= stored.epoch) {
        return kernel::error{kernel::error_code::conflict, "epoch " + std::to_string(epoch) +
                                                               " is not above " +
                                                               std::to_string(stored.epoch)};
    }
    auto prompts = prompts_of(chunks);
    if (prompts.size() != stored.samples.size()) {
        return invalid(stored, "the chunks have " + std::to_string(prompts.size()) +
                                   " prompts, expected " + std::to_string(stored.samples.size()));
    }
    step_request request{.key = stored.key,
                         .pool = stored.pool,
                         .groups = {},
                         .sampling = stored.sampling,
                         .deadline = stored.deadline,
                         .staleness_bound = stored.staleness_bound,
                         .trainer_version = stored.trainer_version};
    for (std::size_t i = 0; i < prompts.size(); ++i) {
        request.groups.push_back({std::move(prompts[i]), stored.samples[i]});
    }
    auto opened = open_step(request, rules, epoch, now, wall_now);
    if (!opened) {
        return opened.error();
    }
    auto made = std::move(opened).value();
    if (made.digest != stored.digest) {
        return invalid(stored, "the prompts have another digest");
    }
    made.uncollected = {hosts_to_ask.begin(), hosts_to_ask.end()};
    made.state = made.uncollected.empty() ? step_state::open : step_state::collecting;
    made.collect_until = now + collect_wait;
    return made;
}

void on_collected(step& open, const kernel::host_id& host, const collect_answer& answer,
                  kernel::time_point now) {
    if (!is_running(open) || answer.key != open.request.key) {
        return;
    }
    if (open.state == step_state::collecting) {
        note_account(open, answer);
    }
    for (const auto& one : answer.samples) {
        if (!is_usable(open, one)) {
            continue;
        }
        if (one.whole) {
            take_whole(open, one, now);
        } else {
            take_partial(open, one);
        }
    }
    if (!answer.next_slot) {
        on_collect_failed(open, host);
    }
}

void on_collect_failed(step& open, const kernel::host_id& host) {
    open.uncollected.erase(host);
    if (open.state == step_state::collecting && open.uncollected.empty()) {
        finish_collecting(open);
    }
}

void finish_collecting(step& open) {
    if (open.state != step_state::collecting) {
        return;
    }
    settle_inherited(open);
    open.state = step_state::open;
    internal::complete_if_done(open);
}

} // namespace cornelloom::rollout
