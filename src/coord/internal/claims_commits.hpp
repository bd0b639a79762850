#pragma once

/// How a shard of claims reads, seals and commits its objects in the platform.

#include "coord/internal/claims_machine.hpp"

namespace cornelloom::coord::internal {

template <class Rules> void claims_machine<Rules>::act() {
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

template <class Rules> void claims_machine<Rules>::act_open() {
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

template <class Rules> bool claims_machine<Rules>::has_work() const {
    return !state_.queue.empty() || !state_.unwritten.empty();
}

template <class Rules> void claims_machine<Rules>::begin_commit() {
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

template <class Rules> void claims_machine<Rules>::read_head() {
    issue(claims_call::read_head, call_kind::claim_read, get_object{head_key(state_)});
}

template <class Rules> void claims_machine<Rules>::write_head() {
    issue(claims_call::write_head, call_kind::claim_commit,
          put_object{head_key(state_), encode(state_.commit->next),
                     Rules::expected_version(state_.version)});
}

template <class Rules> void claims_machine<Rules>::read_archive() {
    // One call for all of them rather than one each: a shard of 10 claims a second has thousands
    // of archives after an hour, and nobody serves it until they are read.
    constexpr std::size_t worth_listing = 3;
    const auto [fence, number] = state_.unread_archives.back();
    const auto key = archive_key(state_, fence, number);
    if (!state_.listed && state_.unread_archives.size() >= worth_listing) {
        state_.listed = true;
        issue(claims_call::list_archives, call_kind::claim_read, list_objects{key.kind});
        return;
    }
    issue(claims_call::read_archive, call_kind::claim_read, get_object{key});
}

/// Takes the archives from the listing, oldest first, up to the first that it lacks; from there on
/// they are read one by one.
template <class Rules>
void claims_machine<Rules>::on_archives_listed(const platform_outcome& outcome) {
    const auto* listing = std::get_if<call_listing>(&outcome);
    if (listing == nullptr) {
        failed(outcome);
        return;
    }
    std::map<std::string_view, const stored_object*> by_name;
    for (const auto& object : listing->objects) {
        by_name.emplace(object.key.name, &object);
    }
    while (!state_.unread_archives.empty()) {
        const auto [fence, number] = state_.unread_archives.back();
        const auto found = by_name.find(archive_key(state_, fence, number).name);
        const auto entries = found == by_name.end() || found->second->deleted
                                 ? std::nullopt
                                 : decode_entries(found->second->value);
        if (!entries) {
            break;
        }
        take_archive(*entries);
    }
    open_if_read();
}

template <class Rules>
void claims_machine<Rules>::take_archive(const std::vector<claim_entry>& entries) {
    note_archive(state_, state_.unread_archives.back(), entries);
    for (const auto& entry : entries) {
        remember(state_, entry);
    }
    state_.unread_archives.pop_back();
}

template <class Rules>
void claims_machine<Rules>::issue(claims_call call, call_kind kind, platform_operation what) {
    state_.call = call;
    state_.call_token = state_.next_token++;
    out_.calls.push_back({state_.call_token, kind, std::move(what)});
}

template <class Rules> void claims_machine<Rules>::on_head_read(const platform_outcome& outcome) {
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

template <class Rules>
void claims_machine<Rules>::settle_doubt(claims_head found, std::uint64_t version) {
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

template <class Rules>
void claims_machine<Rules>::begin_seal(claims_head found, std::uint64_t version) {
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

template <class Rules>
void claims_machine<Rules>::on_head_written(const platform_outcome& outcome) {
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

template <class Rules> void claims_machine<Rules>::committed(std::uint64_t version) {
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

template <class Rules> void claims_machine<Rules>::grant_all() {
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

template <class Rules> void claims_machine<Rules>::start_reading_archives() {
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

template <class Rules>
void claims_machine<Rules>::on_archive_read(const platform_outcome& outcome) {
    const auto* object = std::get_if<call_object>(&outcome);
    const auto entries = object ? decode_entries(object->object.value) : std::nullopt;
    // An archive that the head names and that is gone or damaged keeps the shard closed:
    // without its claims a key could run twice.
    if (!entries) {
        failed(outcome);
        return;
    }
    state_.failures = 0;
    take_archive(*entries);
    open_if_read();
}

template <class Rules> void claims_machine<Rules>::open_if_read() {
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

template <class Rules>
void claims_machine<Rules>::on_archive_written(const platform_outcome& outcome) {
    // The name holds the fence, so an archive that exists already is this holder's own.
    if (std::holds_alternative<call_done>(outcome) ||
        std::holds_alternative<call_conflict>(outcome)) {
        state_.failures = 0;
        state_.archiving->durable = true;
        note_archive(state_, {state_.fence, state_.archiving->number}, state_.archiving->entries);
    } else {
        failed(outcome);
    }
}

template <class Rules>
void claims_machine<Rules>::on_archive_deleted(const platform_outcome& outcome) {
    if (std::holds_alternative<call_done>(outcome) ||
        std::holds_alternative<call_not_found>(outcome)) {
        state_.droppable.pop_back();
    } else {
        failed(outcome);
    }
}

template <class Rules> void claims_machine<Rules>::failed(const platform_outcome& outcome) {
    ++state_.failures;
    state_.next_try = now_ + backoff(state_.settings.retry, state_.failures,
                                     kernel::hash64("claims", state_.settings.shard));
    if (const auto* throttled = std::get_if<call_throttled>(&outcome)) {
        state_.next_try = std::max(state_.next_try, now_ + throttled->retry_after);
    }
    refuse_overdue();
}

template <class Rules>
void claims_machine<Rules>::write_later(const claim_key& key, const claim_record& record) {
    state_.unwritten.push_back({key, record.issued_ms, record.state, record.outcome});
}

template <class Rules> void claims_machine<Rules>::close(bool lost) {
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

template <class Rules> kernel::time_point claims_machine<Rules>::next_tick() const {
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

} // namespace cornelloom::coord::internal
