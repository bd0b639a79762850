#include "tests/rollout/world.hpp"

#include <algorithm>
#include <numeric>
#include <string>

namespace cornelloom::rollout_test {

using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t samples_per_group = 3;

std::string letters(weight_version version, token_count tokens) {
    return std::string(tokens, static_cast<char>('a' + version % 26));
}

kernel::host_id host_name(std::size_t host) {
    return kernel::host_id{"host-" + std::to_string(host)};
}

step* owned(world& all, const stream& one) {
    auto* open = all.hosts[one.owner].owned.get();
    return open != nullptr && open->epoch == one.epoch ? open : nullptr;
}

void start_stream(world& all, std::size_t host, const work_item& item, std::uint32_t choice) {
    const auto engine = choice % engine_count;
    auto& open = *all.hosts[host].owned;
    const attempt_ref ref{item.slot, item.attempt};
    on_placed(open, ref, kernel::target_id{std::to_string(engine)}, all.now);
    all.streams.push_back({host, open.epoch, ref, engine, item.so_far_tokens, 0});
    if (item.so_far.size() != item.so_far_tokens) {
        all.broken_promises.emplace_back("resumed text has another length than its tokens");
    }
}

void drop_stream(world& all, std::size_t index) {
    all.streams.erase(all.streams.begin() + static_cast<std::ptrdiff_t>(index));
}

/// The promises about one sample, seen from the trainer at the moment of delivery.
void check_sample(world& all, const delivered_sample& one, weight_version newest) {
    const auto& output = one.body->output;
    const auto fail = [&](std::string_view what) {
        all.broken_promises.push_back("slot " + std::to_string(one.slot) + ": " +
                                      std::string(what) + " " + output.text);
    };
    std::string truth;
    for (const auto& span : output.spans) {
        truth += letters(span.version, span.tokens);
    }
    if (truth != output.text) {
        fail("spans name other versions than made the text");
    }
    if (output.text.size() != answer_length(one.slot)) {
        fail("not whole");
    }
    if (is_stale(output.spans, newest, pool_bound)) {
        fail("older than the bound");
    }
    if (!all.rules.scoring_service.empty() && !one.score) {
        fail("without its score");
    }
}

void take_answer(world& all, const pull_answer& answer) {
    for (const auto slot : commit(all.trainer, answer)) {
        const auto& one = all.trainer.committed.at(slot);
        check_sample(all, one, all.newest);
        ++all.seen.committed;
        all.seen.mixed_versions += one.body->output.spans.size() > 1 ? 1 : 0;
    }
}

void run_cancels(world& all, std::size_t host, const step_effects& effects, bool lost) {
    auto& open = *all.hosts[host].owned;
    for (const auto& order : effects.cancel) {
        const auto it = std::ranges::find(all.streams, order.ref, &stream::ref);
        if (it == all.streams.end() || lost) {
            continue; // The engine goes on: its tokens are waste.
        }
        constexpr token_count on_the_way = 2;
        const auto made = it->made + on_the_way;
        all.generated += on_the_way;
        all.streams.erase(it);
        on_cancelled(open, order.ref, made);
        on_cancelled(open, order.ref, made); // Doubled.
    }
}

void run_holds(world& all, std::size_t host, const step_effects& effects, std::uint32_t trouble) {
    auto& open = *all.hosts[host].owned;
    const auto other = (host + 1 + trouble % (host_count - 1)) % host_count;
    for (const auto& one : effects.hold) {
        if ((trouble & 2U) != 0) {
            on_hold_failed(open, one.slot, one.body->origin, (trouble & 4U) != 0, all.now);
            continue;
        }
        const hold_request request{open.request.key,
                                   open.epoch,
                                   open.request.deadline,
                                   open.tokens,
                                   {one.slot, one.body, std::nullopt, true}};
        // Through the codec, as between real hosts.
        const auto answer =
            hold(all.hosts[other].replicas, decode_hold_request(encode(request)).value());
        if (answer.outcome == hold_outcome::deposed) {
            supersede_step(open, answer.epoch, all.now);
        } else if ((trouble & 8U) == 0) {
            on_held(open, one.slot, one.body->origin, host_name(other));
        }
    }
    for (const auto& one : effects.release) {
        for (auto& each : all.hosts) {
            release(each.replicas, {open.request.key, open.epoch, {one.slot}, false});
        }
    }
}

void run_scores(world& all, std::size_t host, const step_effects& effects, std::uint32_t trouble) {
    auto& open = *all.hosts[host].owned;
    for (const auto& one : effects.score) {
        if ((trouble & 16U) != 0) {
            on_score_failed(open, one.slot, one.body->origin, all.now);
        } else {
            on_score(open, one.slot, one.body->origin, 0.5, all.now);
        }
    }
}

bool has_all(const world& all) {
    return all.trainer.committed.size() ==
           std::accumulate(all.stored.samples.begin(), all.stored.samples.end(), 0U);
}

std::size_t newest_owner(world& all) {
    std::size_t found = host_count;
    for (std::size_t i = 0; i < host_count; ++i) {
        const auto& open = all.hosts[i].owned;
        if (open && open->epoch == all.last_epoch) {
            found = i;
        }
    }
    return found;
}

} // namespace

token_count answer_length(slot_index slot) {
    return 3 + slot % 5;
}

world::world(release_mode release, bool scored) {
    rules.pool = kernel::pool_id{"leaf"};
    rules.release = release;
    rules.staleness_bound = pool_bound;
    rules.scoring_service = scored ? "judge" : "";
    step_request request;
    request.key = {kernel::trainer_id{"notes"}, step_id{"7"}};
    request.pool = rules.pool;
    request.groups = {{"lot 1", samples_per_group}, {"lot 2", samples_per_group}};
    request.deadline.unix_ms = 1'000'000'000;
    request.trainer_version = newest;
    engines.fill(first_version);
    trainer.key = request.key;
    trainer.newest = newest;
    checkpoint = trainer;
    hosts[0].owned =
        std::make_unique<step>(open_step(request, rules, last_epoch, now, {0}).value());
    chunks = chunks_of(request);
    stored = manifest_of(*hosts[0].owned, {}, {});
}

void submit(world& all, std::size_t host, std::size_t limit, std::uint32_t choice) {
    if (auto& open = all.hosts[host].owned) {
        for (const auto& item : next_work(*open, all.now, limit)) {
            start_stream(all, host, item, choice++);
        }
    }
}

void generate(world& all, std::size_t index, bool says_version) {
    auto& one = all.streams[index];
    const auto wanted = answer_length(one.ref.slot);
    const auto tokens = std::min<token_count>(2, wanted - std::min(wanted, one.position));
    const auto version = all.engines[one.engine];
    const auto text = letters(version, tokens);
    one.position += tokens;
    one.made += tokens;
    auto* open = owned(all, one);
    if (open == nullptr) {
        drop_stream(all, index); // The reader died: the engine sees the connection close.
        return;
    }
    all.generated += tokens;
    const auto said = says_version ? std::optional(version) : std::nullopt;
    const auto verdict = on_piece(*open, one.ref, {text, tokens, said, {}}, all.now);
    if (verdict == piece_verdict::stop) {
        const auto ref = one.ref;
        const auto made = one.made;
        drop_stream(all, index);
        on_cancelled(*open, ref, made);
        return;
    }
    if (one.position >= wanted) {
        on_done(*open, one.ref, all.now);
        on_done(*open, one.ref, all.now); // Doubled.
        drop_stream(all, index);
    }
}

void break_stream(world& all, std::size_t index, break_cause cause) {
    const auto one = all.streams[index];
    drop_stream(all, index);
    if (auto* open = owned(all, one)) {
        on_broken(*open, one.ref, cause, all.now);
        on_broken(*open, one.ref, cause, all.now); // Doubled.
    }
}

void crash_engine(world& all, std::size_t engine) {
    for (auto i = all.streams.size(); i-- > 0;) {
        if (all.streams[i].engine == engine) {
            break_stream(all, i, break_cause::crashed);
        }
    }
}

void swap_engine(world& all, std::size_t engine, weight_version version) {
    all.engines[engine] = version;
}

void announce_version(world& all, std::uint32_t told_hosts) {
    ++all.newest;
    all.trainer.newest = all.newest;
    for (std::size_t i = 0; i < host_count; ++i) {
        if (all.hosts[i].owned && (told_hosts >> i & 1U) != 0) {
            observe_version(*all.hosts[i].owned, all.newest, all.now);
        }
    }
}

void hedge(world& all, std::size_t host, slot_index slot, std::uint32_t choice) {
    if (auto& open = all.hosts[host].owned) {
        if (const auto item = start_hedge(*open, slot, all.now)) {
            start_stream(all, host, *item, choice);
        }
    }
}

void pull_from(world& all, std::size_t host, fate outcome) {
    auto& open = all.hosts[host].owned;
    if (!open) {
        return;
    }
    const auto request = next_pull(all.trainer, ++all.pulls);
    const auto coded = decode_pull_request(request.key.id, encode(request)).value();
    std::vector<bool> sent;
    std::ranges::transform(open->slots, std::back_inserter(sent), &slot::sent);
    const auto acknowledged = open->tokens.delivered;
    const auto given = pull(*open, coded, all.now);
    if (!given) {
        ++all.seen.other_owner;
        return;
    }
    all.seen.unacknowledged += open->tokens.delivered < acknowledged ? 1 : 0;
    const auto answer = decode_pull_answer(encode(given.value())).value();
    for (const auto& one : answer.samples) {
        check_sample(all, one, all.newest);
        all.seen.repeated += sent[one.slot] ? 1 : 0;
        if (all.trainer.committed.contains(one.slot)) {
            all.broken_promises.emplace_back("a held slot was given again");
        }
    }
    if (outcome == fate::late) {
        all.late_answers.push_back(answer);
    }
    if (outcome == fate::arrives || outcome == fate::doubled) {
        take_answer(all, answer);
    }
    if (outcome == fate::doubled) {
        take_answer(all, answer);
    }
}

void deliver_late_answer(world& all) {
    if (!all.late_answers.empty()) {
        const auto answer = all.late_answers.front();
        all.late_answers.pop_front();
        take_answer(all, answer);
    }
}

void restart_trainer(world& all) {
    all.trainer = all.checkpoint;
    all.trainer.newest = all.newest;
    all.late_answers.clear(); // Its connections are gone.
}

void kill_host(world& all, std::size_t host) {
    note_waste(all, host);
    all.hosts[host] = {};
}

void take_over(world& all, std::size_t host, std::uint32_t silent) {
    std::vector<kernel::host_id> asked(host_count);
    std::ranges::generate(asked, [i = std::size_t{0}]() mutable { return host_name(i++); });
    const auto epoch = ++all.last_epoch;
    auto taken =
        recover_step(all.stored, all.chunks, all.rules, epoch, asked, all.now, {0}).value();
    all.stored.epoch = epoch;
    for (std::size_t i = 0; i < host_count; ++i) {
        const bool heard = (silent >> i & 1U) == 0;
        if (const auto& old = all.hosts[i].owned; old && heard) {
            for (const auto& one : surrender(*old, epoch, all.now)) {
                (void)hold(all.hosts[i].replicas, one);
            }
        }
        collect_answer answer =
            collect(all.hosts[i].replicas, {taken.request.key, epoch, 0, taken.request.deadline});
        if (heard) {
            const auto coded = decode_collect_answer(encode(answer)).value();
            on_collected(taken, host_name(i), coded, all.now);
        } else {
            all.late_collections.push_back({host, epoch, i, std::move(answer)});
        }
    }
    ++all.seen.take_overs;
    all.seen.collected += static_cast<std::size_t>(
        std::ranges::count(taken.slots, slot_state::finished, &slot::state));
    note_waste(all, host);
    all.hosts[host].owned = std::make_unique<step>(std::move(taken));
}

void deliver_late_collection(world& all) {
    if (all.late_collections.empty()) {
        return;
    }
    const auto late = all.late_collections.front();
    all.late_collections.pop_front();
    auto& open = all.hosts[late.owner].owned;
    if (open && open->epoch == late.epoch) {
        on_collected(*open, host_name(late.from), late.answer, all.now);
    }
}

void run_effects(world& all, std::uint32_t trouble) {
    for (std::size_t i = 0; i < host_count; ++i) {
        if (!all.hosts[i].owned) {
            continue;
        }
        const auto effects = take_effects(*all.hosts[i].owned);
        run_cancels(all, i, effects, (trouble & 1U) != 0);
        run_holds(all, i, effects, trouble);
        run_scores(all, i, effects, trouble);
    }
}

void pass_time(world& all, kernel::duration span) {
    all.now += span;
    for (auto& each : all.hosts) {
        if (each.owned) {
            on_time(*each.owned, all.now);
        }
    }
}

namespace {

/// The newest owner in most cases, else any host.
std::size_t some_host(world& all, std::uint32_t choice) {
    const auto owner = newest_owner(all);
    return owner == host_count || choice % 4 == 0 ? choice / 4 % host_count : owner;
}

/// A scheduler empties a target by itself.
void cancel_stream(world& all, std::size_t index) {
    const auto one = all.streams[index];
    drop_stream(all, index);
    if (auto* open = owned(all, one)) {
        on_cancelled(*open, one.ref, one.made);
        on_cancelled(*open, one.ref, one.made); // Doubled.
    }
}

void engine_fault(world& all, std::uint32_t choice) {
    const auto kind = choice % 8;
    const auto which = choice / 8;
    if (kind == 0 || kind > 4) {
        // Mostly the newest weights; now and then older ones, which nobody ordered, or newer ones,
        // which nobody has announced yet.
        const auto behind = which / engine_count % 4;
        const auto version =
            behind == 3 ? all.newest + 1 : all.newest - std::min(all.newest - 1, behind / 2);
        swap_engine(all, which % engine_count, version);
    } else if (kind == 1) {
        crash_engine(all, which % engine_count);
    } else if (!all.streams.empty() && kind == 4) {
        cancel_stream(all, which % all.streams.size());
    } else if (!all.streams.empty() && kind == 2) {
        break_stream(all, which % all.streams.size(), static_cast<break_cause>(which / 8 % 3));
    } else if (!all.streams.empty()) {
        generate(all, which % all.streams.size(), false);
    }
}

void host_fault(world& all, std::uint32_t choice) {
    const auto which = choice / 8;
    const auto host = which % host_count;
    if (all.steady_owner && choice % 8 < 2) {
        return;
    }
    switch (choice % 8) {
    case 0:
        kill_host(all, host);
        break;
    case 1:
        take_over(all, host, which / 16 % 3 == 0 ? which / host_count : 0);
        break;
    case 2:
        deliver_late_collection(all);
        break;
    case 3:
        announce_version(all, which | 1U << some_host(all, which));
        break;
    default:
        hedge(all, some_host(all, which), which / 8 % 6, which);
    }
}

void trainer_fault(world& all, std::uint32_t choice) {
    switch (choice % 3) {
    case 0:
        deliver_late_answer(all);
        break;
    case 1:
        all.checkpoint = all.trainer;
        break;
    default:
        restart_trainer(all);
    }
}

} // namespace

void stir(world& all, std::uint32_t action) {
    const auto choice = action / 64;
    const auto kind = action % 64;
    if (kind < 12) {
        submit(all, some_host(all, choice), 1 + choice % 3, choice);
    } else if (kind < 36 && !all.streams.empty()) {
        generate(all, choice % all.streams.size(), true);
    } else if (kind < 42) {
        run_effects(all, choice % 3 == 0 ? choice / 3 : 0);
    } else if (kind < 46) {
        pass_time(all, 700ms);
    } else if (kind < 52) {
        pull_from(all, some_host(all, choice), static_cast<fate>(choice / 16 % 4));
    } else if (kind < 57) {
        engine_fault(all, choice);
    } else if (kind < 61) {
        host_fault(all, choice);
    } else {
        trainer_fault(all, choice);
    }
    check_accounts(all);
}

std::string describe(const world& all) {
    std::string text = "newest " + std::to_string(all.newest) + ", committed " +
                       std::to_string(all.trainer.committed.size()) + ", trainer epoch " +
                       std::to_string(all.trainer.epoch);
    for (const auto& each : all.hosts) {
        if (!each.owned) {
            continue;
        }
        const auto& open = *each.owned;
        text += "\nepoch " + std::to_string(open.epoch) + " " + std::string(to_string(open.state)) +
                " newest " + std::to_string(open.newest);
        for (const auto& at : open.slots) {
            text += "\n  " + std::string(to_string(at.state)) + " attempts " +
                    std::to_string(at.attempts.size()) + " carried " + at.carried.text + " body " +
                    (at.body ? at.body->output.text : "none");
        }
    }
    return text;
}

bool run_to_completion(world& all) {
    if (newest_owner(all) == host_count) {
        take_over(all, 0, 0);
    }
    const auto owner = newest_owner(all);
    all.engines.fill(all.newest);
    constexpr int most_rounds = 200;
    for (int round = 0; round < most_rounds && !has_all(all); ++round) {
        pass_time(all, 1s);
        submit(all, owner, 6, 0);
        for (auto i = all.streams.size(); i-- > 0;) {
            generate(all, i, true);
        }
        run_effects(all, 0);
        pull_from(all, owner, fate::arrives);
        check_accounts(all);
    }
    return has_all(all);
}

void note_waste(world& all, std::size_t host) {
    if (const auto& open = all.hosts[host].owned) {
        std::ranges::transform(all.seen.wasted, open->tokens.wasted, all.seen.wasted.begin(),
                               std::plus<>{});
    }
}

void check_accounts(world& all) {
    for (const auto& each : all.hosts) {
        if (!each.owned) {
            continue;
        }
        const auto faults = check(*each.owned);
        for (const auto& fault : faults.items()) {
            all.broken_promises.push_back(to_string(fault));
        }
    }
}

} // namespace cornelloom::rollout_test
