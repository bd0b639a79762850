#pragma once

/// The transitions of a shard of claims. What keeps them safe is a template parameter, so that the
/// model-checking test can show that the loss of either guard is caught.

#include "coord/claims.hpp"
#include "coord/internal/claims_table.hpp"
#include "kernel/hash.hpp"

#include <algorithm>

namespace cornelloom::coord::internal {

struct claims_rules {
    /// Guards against a holder that lost the shard, was paused, and commits when it wakes: its
    /// update meets another version and claims nothing.
    static std::optional<std::uint64_t> expected_version(std::uint64_t last_known) {
        return last_known;
    }

    /// Guards against a crash between sending and claiming: the next holder would find no claim
    /// and run the re-sent request again. Sent only after the claim is durable.
    static constexpr bool grant_before_commit = false;
};

template <class Rules> class claims_machine {
public:
    static claims_effects step(claims& state, const claims_event& event, kernel::time_point now,
                               kernel::wall_time wall) {
        claims_machine machine{state, now, wall};
        std::visit([&](const auto& what) { machine.on(what); }, event);
        machine.refuse_overdue();
        machine.act();
        machine.out_.next = machine.next_tick();
        return std::move(machine.out_);
    }

private:
    claims_machine(claims& state, kernel::time_point now, kernel::wall_time wall)
        : state_(state), now_(now), wall_(wall) {}

    void on(const claims_tick& /*event*/) {
        if (state_.phase == claims_phase::open) {
            forget_expired(state_, wall_);
        }
    }

    void on(const claims_opened& event) {
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

    void on(const claims_closed& event) {
        const bool has_work = state_.commit || !state_.unwritten.empty();
        if (event.flush && state_.phase == claims_phase::open && has_work) {
            state_.closing = true;
            refuse_all(state_.queue);
        } else {
            close(false);
        }
    }

    void on(const claim_asked& asked) {
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

    void on(const claim_ran& ran) {
        const auto found = state_.records.find(ran.key);
        if (found == state_.records.end() || !found->second.running) {
            return;
        }
        keep_outcome(state_, found->second, ran.outcome);
        write_later(found->first, found->second);
    }

    void on(const claim_unsent& unsent) {
        const auto found = state_.records.find(unsent.key);
        if (found == state_.records.end() || !found->second.running) {
            return;
        }
        found->second.running = false;
        found->second.state = claim_state::not_sent;
        write_later(found->first, found->second);
    }

    void on(const platform_answer& answer) {
        if (state_.call == claims_call::none || state_.call_token != answer.token) {
            return;
        }
        const auto call = std::exchange(state_.call, claims_call::none);
        const auto& outcome = answer.outcome;
        if (call == claims_call::read_head) {
            on_head_read(outcome);
        } else if (call == claims_call::write_head) {
            on_head_written(outcome);
        } else if (call == claims_call::read_archive) {
            on_archive_read(outcome);
        } else if (call == claims_call::write_archive) {
            on_archive_written(outcome);
        } else {
            on_archive_deleted(outcome);
        }
    }

    // Requests.

    void judge(const waiting_claim& asked) {
        const auto found = state_.records.find(asked.key);
        if (found != state_.records.end() && found->second.state != claim_state::not_sent) {
            answer_known(asked, found->second);
        } else if (is_waiting(asked.key)) {
            refuse(asked.request, kernel::refusal_reason::claim_in_progress,
                   kernel::run_state::unknown);
        } else if (is_expired(state_.settings, asked.issued_ms, wall_)) {
            refuse(asked.request, kernel::refusal_reason::claim_key_expired,
                   kernel::run_state::not_run, false);
        } else if (is_from_future(state_.settings, asked.issued_ms, wall_)) {
            refuse(asked.request, kernel::refusal_reason::malformed, kernel::run_state::not_run,
                   false);
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

    void answer_known(const waiting_claim& asked, const claim_record& record) {
        if (record.issued_ms != asked.issued_ms) {
            refuse(asked.request, kernel::refusal_reason::malformed, kernel::run_state::not_run,
                   false);
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
            refuse(asked.request, kernel::refusal_reason::outcome_unknown,
                   kernel::run_state::unknown, false);
        }
    }

    [[nodiscard]] bool is_waiting(const claim_key& key) const {
        const auto same = [&](const waiting_claim& other) { return other.key == key; };
        return std::ranges::any_of(state_.queue, same) ||
               (state_.commit && std::ranges::any_of(state_.commit->waiting, same));
    }

    void refuse(std::uint64_t request, kernel::refusal_reason reason, kernel::run_state run,
                bool again = true) {
        const auto retry_after = again ? state_.settings.ask_again : kernel::duration{};
        out_.answers.push_back({request, kernel::refusal{reason, run, retry_after, {}}});
    }

    void refuse_all(std::deque<waiting_claim>& waiting) {
        for (const auto& asked : waiting) {
            refuse(asked.request, kernel::refusal_reason::not_owner, kernel::run_state::not_run);
        }
        waiting.clear();
    }

    /// A claim that cannot be made in time is refused as soon as that is certain. None of its
    /// bytes were sent, even if its commit lands later.
    void refuse_overdue() {
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

    // Platform.

    void act() {
        if (state_.call != claims_call::none || now_ < state_.next_try) {
            return;
        }
        if (state_.phase == claims_phase::reading_head) {
            read_head();
        } else if (state_.phase == claims_phase::sealing) {
            write_head();
        } else if (state_.phase == claims_phase::reading_archives) {
            read_archive();
        } else if (state_.phase == claims_phase::open) {
            act_open();
        }
    }

    void act_open() {
        if (state_.commit) {
            if (state_.commit->in_doubt) {
                read_head();
            } else {
                write_head();
            }
        } else if (now_ >= state_.next_commit && has_work()) {
            begin_commit();
        } else if (state_.closing && !has_work()) {
            close(false);
        } else if (state_.archiving && !state_.archiving->durable) {
            issue(claims_call::write_archive, call_kind::claim_commit,
                  put_object{archive_key(state_, state_.fence, state_.archiving->number),
                             encode(state_.archiving->entries), 0});
        } else if (!state_.droppable.empty()) {
            const auto [fence, number] = state_.droppable.back();
            issue(claims_call::delete_archive, call_kind::status,
                  delete_object{archive_key(state_, fence, number), std::nullopt});
        }
    }

    [[nodiscard]] bool has_work() const {
        return !state_.queue.empty() || !state_.unwritten.empty();
    }

    void begin_commit() {
        claims_commit commit;
        commit.started = now_;
        commit.next = successor(state_, wall_);
        commit.adopts_archive = state_.archiving && state_.archiving->durable;
        std::size_t bytes = 0;
        const auto fits = [&](const claim_entry& entry) {
            bytes += size_estimate(entry);
            return bytes <= state_.settings.batch_limit || commit.next.entries.empty();
        };
        while (!state_.queue.empty()) {
            const auto& asked = state_.queue.front();
            claim_entry entry{asked.key, asked.issued_ms, claim_state::claimed, std::nullopt};
            if (!fits(entry)) {
                break;
            }
            commit.next.entries.push_back(std::move(entry));
            commit.waiting.push_back(asked);
            state_.queue.pop_front();
        }
        const auto end = std::ranges::find_if_not(state_.unwritten, fits);
        std::move(state_.unwritten.begin(), end, std::back_inserter(commit.next.entries));
        state_.unwritten.erase(state_.unwritten.begin(), end);
        state_.commit = std::move(commit);
        state_.next_commit = now_ + state_.settings.commit_every;
        if constexpr (Rules::grant_before_commit) {
            grant_all();
        }
        write_head();
    }

    void read_head() {
        issue(claims_call::read_head, call_kind::claim_read, get_object{head_key(state_)});
    }

    void write_head() {
        issue(claims_call::write_head, call_kind::claim_commit,
              put_object{head_key(state_), encode(state_.commit->next),
                         Rules::expected_version(state_.version)});
    }

    void read_archive() {
        const auto [fence, number] = state_.unread_archives.back();
        issue(claims_call::read_archive, call_kind::claim_read,
              get_object{archive_key(state_, fence, number)});
    }

    void issue(claims_call call, call_kind kind, platform_operation what) {
        state_.call = call;
        state_.call_token = state_.next_token++;
        out_.calls.push_back({state_.call_token, kind, std::move(what)});
    }

    void on_head_read(const platform_outcome& outcome) {
        claims_head found;
        std::uint64_t version = 0;
        if (const auto* object = std::get_if<call_object>(&outcome)) {
            auto decoded = decode_claims_head(object->object.value);
            if (!decoded) {
                failed(outcome);
                return;
            }
            found = std::move(*decoded);
            version = object->object.version;
        } else if (!std::holds_alternative<call_not_found>(outcome)) {
            failed(outcome);
            return;
        }
        state_.failures = 0;
        if (state_.commit) {
            settle_doubt(std::move(found), version);
        } else {
            begin_seal(std::move(found), version);
        }
    }

    /// The answer to a write was lost: the head tells whether it landed. If it did not, the same
    /// bytes are written again with the same expected version; at most one of the two can land.
    void settle_doubt(claims_head found, std::uint64_t version) {
        const auto& next = state_.commit->next;
        if (found == next) {
            committed(version);
        } else if (version == state_.version) {
            state_.commit->in_doubt = false;
            write_head();
        } else if (state_.phase == claims_phase::sealing) {
            // Nothing of this holder's own is at stake yet: seal what is there now.
            state_.commit.reset();
            begin_seal(std::move(found), version);
        } else {
            close(true);
        }
    }

    /// Takes the shard over by writing the head with this holder's fence. From then on every
    /// write of an earlier holder meets another version.
    void begin_seal(claims_head found, std::uint64_t version) {
        if (found.fence > state_.fence) {
            close(true);
            return;
        }
        state_.head = std::move(found);
        state_.version = version;
        claims_commit seal;
        seal.started = now_;
        seal.next = successor(state_, wall_);
        state_.commit = std::move(seal);
        state_.phase = claims_phase::sealing;
        write_head();
    }

    void on_head_written(const platform_outcome& outcome) {
        if (const auto* done = std::get_if<call_done>(&outcome)) {
            committed(done->version);
        } else if (std::holds_alternative<call_conflict>(outcome) ||
                   std::holds_alternative<call_unknown>(outcome)) {
            state_.commit->in_doubt = true;
            read_head();
        } else {
            failed(outcome);
        }
    }

    void committed(std::uint64_t version) {
        state_.failures = 0;
        state_.version = version;
        note_dropped_archives(state_, state_.commit->next);
        state_.head = state_.commit->next;
        if (state_.commit->adopts_archive) {
            state_.archiving.reset();
            ++state_.next_archive;
        }
        if (state_.phase == claims_phase::sealing) {
            state_.commit.reset();
            // Each archive needs a commit, so numbers counted from here were never used before,
            // not even by an earlier session with the same fence.
            state_.next_archive = state_.head.commit;
            start_reading_archives();
            return;
        }
        if constexpr (!Rules::grant_before_commit) {
            grant_all();
        }
        state_.commit.reset();
        plan_archive(state_);
    }

    void grant_all() {
        for (const auto& asked : state_.commit->waiting) {
            auto& record =
                remember(state_, {asked.key, asked.issued_ms, claim_state::claimed, std::nullopt});
            if (asked.refused || now_ >= asked.deadline) {
                if (!asked.refused) {
                    refuse(asked.request, kernel::refusal_reason::claim_unavailable,
                           kernel::run_state::not_run);
                }
                record.state = claim_state::not_sent;
                write_later(asked.key, record);
                continue;
            }
            record.running = true;
            out_.grants.push_back({asked.request, asked.key});
        }
        state_.commit->waiting.clear();
    }

    void start_reading_archives() {
        for (const auto& range : state_.head.archives) {
            for (auto number = range.first; number < range.end; ++number) {
                state_.unread_archives.emplace_back(range.fence, number);
            }
        }
        // Oldest last, since they are taken from the back: later lines replace earlier ones.
        std::ranges::reverse(state_.unread_archives);
        state_.phase = claims_phase::reading_archives;
        open_if_read();
    }

    void on_archive_read(const platform_outcome& outcome) {
        const auto* object = std::get_if<call_object>(&outcome);
        const auto entries = object ? decode_entries(object->object.value) : std::nullopt;
        // An archive that the head names and that is gone or damaged keeps the shard closed:
        // without its claims a key could run twice.
        if (!entries) {
            failed(outcome);
            return;
        }
        state_.failures = 0;
        note_archive(state_, state_.unread_archives.back(), *entries);
        for (const auto& entry : *entries) {
            remember(state_, entry);
        }
        state_.unread_archives.pop_back();
        open_if_read();
    }

    void open_if_read() {
        if (!state_.unread_archives.empty()) {
            return;
        }
        for (const auto& entry : state_.head.entries) {
            remember(state_, entry);
        }
        state_.phase = claims_phase::open;
        state_.next_commit = now_;
        out_.opened = true;
        plan_archive(state_);
        auto waiting = std::exchange(state_.queue, {});
        for (const auto& asked : waiting) {
            judge(asked);
        }
    }

    void on_archive_written(const platform_outcome& outcome) {
        // The name holds the fence, so an archive that exists already is this holder's own.
        if (std::holds_alternative<call_done>(outcome) ||
            std::holds_alternative<call_conflict>(outcome)) {
            state_.failures = 0;
            state_.archiving->durable = true;
            note_archive(state_, {state_.fence, state_.archiving->number},
                         state_.archiving->entries);
        } else {
            failed(outcome);
        }
    }

    void on_archive_deleted(const platform_outcome& outcome) {
        if (std::holds_alternative<call_done>(outcome) ||
            std::holds_alternative<call_not_found>(outcome)) {
            state_.droppable.pop_back();
        } else {
            failed(outcome);
        }
    }

    void failed(const platform_outcome& outcome) {
        ++state_.failures;
        state_.next_try = now_ + backoff(state_.settings.retry, state_.failures,
                                         kernel::hash64("claims", state_.settings.shard));
        if (const auto* throttled = std::get_if<call_throttled>(&outcome)) {
            state_.next_try = std::max(state_.next_try, now_ + throttled->retry_after);
        }
        refuse_overdue();
    }

    void write_later(const claim_key& key, const claim_record& record) {
        state_.unwritten.push_back({key, record.issued_ms, record.state, record.outcome});
    }

    void close(bool lost) {
        refuse_all(state_.queue);
        if (state_.commit) {
            std::deque<waiting_claim> waiting;
            std::ranges::remove_copy_if(state_.commit->waiting, std::back_inserter(waiting),
                                        &waiting_claim::refused);
            refuse_all(waiting);
        }
        const auto token = state_.next_token;
        state_ = make_claims(state_.settings);
        state_.next_token = token;
        out_.closed = true;
        out_.lost = lost;
    }

    [[nodiscard]] kernel::time_point next_tick() const {
        auto next = now_ + std::chrono::seconds{1};
        if (state_.call == claims_call::none && state_.next_try > now_) {
            next = std::min(next, state_.next_try);
        } else if (state_.phase == claims_phase::open && has_work()) {
            next = std::min(next, std::max(state_.next_commit, now_));
        }
        for (const auto& asked : state_.queue) {
            next = std::min(next, asked.deadline);
        }
        if (state_.commit) {
            for (const auto& asked : state_.commit->waiting) {
                next = asked.refused ? next : std::min(next, asked.deadline);
            }
        }
        return next;
    }

    claims& state_;
    kernel::time_point now_;
    kernel::wall_time wall_;
    claims_effects out_;
};

} // namespace cornelloom::coord::internal
