#pragma once

/// The follower's transitions. The rule by which a host takes a generation is a template parameter,
/// so that the model-checking test can show that a wrong comparison is caught.

#include "coord/configuration_follow.hpp"
#include "kernel/hash.hpp"

#include <algorithm>

namespace cornelloom::coord::internal {

struct follow_rules {
    /// Guards against heads that went backwards, stale reads and late answers: a host that obeyed
    /// one would bring replaced rules back. Only upward is taken.
    static bool is_newer(std::uint64_t offered, std::uint64_t in_force) {
        return offered > in_force;
    }
};

template <class Rules> class follow_machine {
public:
    static follow_effects step(configuration_follow& state, const follow_event& event,
                               kernel::time_point now) {
        follow_machine machine{state, now};
        std::visit([&](const auto& what) { machine.on(what); }, event);
        machine.act();
        machine.out_.next = machine.next_tick();
        return std::move(machine.out_);
    }

private:
    follow_machine(configuration_follow& state, kernel::time_point now)
        : state_(state), now_(now) {}

    void on(const follow_tick& /*event*/) {}

    void on(const watch_duty& event) { state_.watching = event.watch; }

    void on(const hint_heard& event) {
        if (event.hint.generation == 0) {
            return;
        }
        state_.peer_heard = true;
        if (event.hint.generation >= state_.newest_heard.generation) {
            state_.newest_heard = event.hint;
            state_.newest_peer = event.host;
        }
        if (state_.wanted && state_.wanted->head.generation == event.hint.generation) {
            state_.wanted->peer = event.host;
        }
    }

    void on(const peer_answer& answer) {
        if (!state_.fetch || state_.fetch->token != answer.token || !state_.fetch->from_peer) {
            return;
        }
        const auto call = *state_.fetch;
        state_.fetch.reset();
        if (!answer.text) {
            fetch_failed();
        } else if (call.digest.empty()) {
            on_peer_head(*answer.text);
        } else {
            on_body(call.digest, *answer.text);
        }
    }

    void on(const platform_answer& answer) {
        if (state_.head_call && state_.head_call->token == answer.token) {
            const auto call = *state_.head_call;
            state_.head_call.reset();
            on_head_answer(call, answer.outcome);
        } else if (state_.fetch && state_.fetch->token == answer.token) {
            const auto call = *state_.fetch;
            state_.fetch.reset();
            const auto* found = std::get_if<call_object>(&answer.outcome);
            if (found == nullptr) {
                fetch_failed();
            } else {
                on_body(call.digest, found->object.value);
            }
        }
    }

    void on_peer_head(std::string_view text) {
        const auto head = decode_head(text);
        if (!head) {
            fetch_failed();
            return;
        }
        state_.fetch_failures = 0;
        offer(*head, state_.newest_peer);
    }

    void on_head_answer(const follow_pending& call, const platform_outcome& outcome) {
        if (const auto* listing = std::get_if<call_listing>(&outcome)) {
            state_.revision = listing->revision;
            on_listing(call, *listing);
        } else if (const auto* found = std::get_if<call_object>(&outcome)) {
            on_platform_head(found->object);
        } else if (std::holds_alternative<call_not_found>(outcome)) {
            on_missing_head();
        } else {
            head_failed(outcome);
            return;
        }
        state_.head_failures = 0;
        state_.next_poll = now_ + state_.settings.poll_every;
        if (state_.lower_since) {
            state_.next_poll = now_ + state_.settings.regress_confirm;
        }
    }

    void on_listing(const follow_pending& call, const call_listing& listing) {
        const auto head = std::ranges::find_if(listing.objects, [](const stored_object& object) {
            return object.key.name == configuration_head_name;
        });
        if (head != listing.objects.end() && !head->deleted) {
            on_platform_head(*head);
        } else if (head != listing.objects.end() || call.listing) {
            on_missing_head();
        }
    }

    void on_missing_head() {
        state_.platform_checked = true;
        if (state_.in_force.generation > 0) {
            lower_head(configuration_alarm::head_missing);
        }
    }

    void on_platform_head(const stored_object& object) {
        const auto head = decode_head(object.value);
        if (!head) {
            out_.alarms.push_back(configuration_alarm::head_unreadable);
            return;
        }
        state_.platform_checked = true;
        const auto& mine = state_.in_force;
        if (head->generation < mine.generation) {
            lower_head(configuration_alarm::head_regressed);
        } else {
            state_.lower_since.reset();
        }
        if (head->generation == mine.generation && head->set_digest != mine.set_digest) {
            out_.alarms.push_back(configuration_alarm::head_diverged);
        }
        if (head->generation > state_.newest_heard.generation) {
            state_.newest_heard = {head->generation, head->set_digest};
            state_.newest_peer = {};
        }
        offer(*head, {});
    }

    /// A single lower read may be stale; one that stays lower means that the platform lost writes.
    void lower_head(configuration_alarm alarm) {
        if (!state_.lower_since) {
            state_.lower_since = now_;
            ++state_.stale_reads;
        } else if (now_ >= *state_.lower_since + state_.settings.regress_confirm) {
            out_.alarms.push_back(alarm);
            state_.lower_since = now_;
        }
    }

    void offer(const configuration_head& head, const kernel::host_id& peer) {
        if (!Rules::is_newer(head.generation, state_.in_force.generation)) {
            return;
        }
        if (state_.wanted && !Rules::is_newer(head.generation, state_.wanted->head.generation)) {
            return;
        }
        wanted_set wanted{.head = head, .peer = peer, .bodies = {}, .failures = 0};
        for (const auto& digest : head.parts) {
            if (const auto kept = state_.parts.find(digest); kept != state_.parts.end()) {
                wanted.bodies.insert(*kept);
            }
        }
        state_.wanted = std::move(wanted);
        state_.fetch.reset();
        state_.next_fetch = now_;
        take_if_whole();
    }

    void on_body(const std::string& digest, std::string_view text) {
        if (kernel::digest_hex(text) != digest) {
            out_.alarms.push_back(configuration_alarm::body_damaged);
            fetch_failed();
            return;
        }
        if (!state_.wanted) {
            return;
        }
        state_.fetch_failures = 0;
        state_.wanted->bodies.insert_or_assign(digest, std::string(text));
        take_if_whole();
    }

    /// Nobody sees half of a set: it comes into force only when every part is here and the whole
    /// matches its digest.
    void take_if_whole() {
        auto& wanted = *state_.wanted;
        std::string whole;
        for (const auto& digest : wanted.head.parts) {
            const auto part = wanted.bodies.find(digest);
            if (part == wanted.bodies.end()) {
                return;
            }
            whole += part->second;
        }
        if (kernel::digest_hex(whole) != wanted.head.set_digest) {
            out_.alarms.push_back(configuration_alarm::body_damaged);
            state_.wanted.reset();
            fetch_failed();
            return;
        }
        state_.in_force = std::move(wanted.head);
        state_.body = std::move(whole);
        state_.parts = std::move(wanted.bodies);
        state_.wanted.reset();
        if (state_.in_force.generation >= state_.newest_heard.generation) {
            state_.newest_heard = {state_.in_force.generation, state_.in_force.set_digest};
        }
        out_.now_in_force = true;
    }

    void fetch_failed() {
        ++state_.fetch_failures;
        state_.next_fetch = now_ + pause(state_.fetch_failures);
        if (state_.wanted) {
            ++state_.wanted->failures;
        } else {
            state_.next_poll = std::min(state_.next_poll, state_.next_fetch);
        }
    }

    void head_failed(const platform_outcome& outcome) {
        ++state_.head_failures;
        state_.next_poll = now_ + pause(state_.head_failures);
        state_.revision.reset(); // Changes may have been missed: read the head anew.
        if (const auto* throttled = std::get_if<call_throttled>(&outcome)) {
            state_.next_poll = std::max(state_.next_poll, now_ + throttled->retry_after);
        }
    }

    [[nodiscard]] kernel::duration pause(unsigned failures) const {
        return backoff(state_.settings.retry, failures, kernel::hash64(state_.settings.self.str()));
    }

    void act() {
        if (!state_.fetch && now_ >= state_.next_fetch) {
            fetch_next();
        }
        if (!state_.head_call) {
            ask_platform();
        }
    }

    void fetch_next() {
        if (state_.wanted) {
            fetch_body();
        } else if (behind_peer()) {
            fetch_from_peer({});
        }
    }

    [[nodiscard]] bool behind_peer() const {
        return !state_.newest_peer.empty() &&
               state_.newest_heard.generation > state_.in_force.generation;
    }

    void fetch_body() {
        const auto& wanted = *state_.wanted;
        const auto missing = std::ranges::find_if(
            wanted.head.parts, [&](const auto& digest) { return !wanted.bodies.contains(digest); });
        if (missing == wanted.head.parts.end()) {
            return;
        }
        // Peers first: 370 hosts that read from the platform at once would spend its rate. Every
        // other attempt goes to the platform, in case the peer has died or moved on.
        const bool from_peer = !wanted.peer.empty() && wanted.failures % 2 == 0;
        if (from_peer) {
            fetch_from_peer(*missing);
            return;
        }
        const auto token = state_.next_token++;
        state_.fetch = follow_pending{token, *missing, false, false};
        out_.calls.push_back({token, call_kind::configuration_read,
                              get_object{{std::string(configuration_body_kind), *missing}}});
    }

    void fetch_from_peer(const std::string& digest) {
        const auto token = state_.next_token++;
        const auto& peer = digest.empty() ? state_.newest_peer : state_.wanted->peer;
        state_.fetch = follow_pending{token, digest, true, false};
        out_.fetches.push_back({token, peer, digest});
    }

    void ask_platform() {
        if (state_.watching && !state_.revision && now_ >= retry_time()) {
            call_head(call_kind::configuration_read,
                      list_objects{std::string(configuration_head_kind)}, true);
        } else if (state_.watching && state_.revision && now_ >= retry_time()) {
            call_head(call_kind::configuration_watch,
                      watch_objects{std::string(configuration_head_kind), *state_.revision,
                                    state_.settings.watch_timeout},
                      false);
        } else if (!state_.watching && now_ >= state_.next_poll) {
            call_head(call_kind::configuration_read,
                      get_object{{std::string(configuration_head_kind),
                                  std::string(configuration_head_name)}},
                      false);
        }
    }

    /// A watcher asks again at once after an answer, and after a pause after a failure.
    [[nodiscard]] kernel::time_point retry_time() const {
        return state_.head_failures > 0 ? state_.next_poll : kernel::time_point{};
    }

    void call_head(call_kind kind, platform_operation what, bool listing) {
        const auto token = state_.next_token++;
        state_.head_call = follow_pending{token, {}, false, listing};
        out_.calls.push_back({token, kind, std::move(what)});
    }

    [[nodiscard]] kernel::time_point next_tick() const {
        auto next = std::max(state_.next_poll, now_ + std::chrono::milliseconds{1});
        const bool fetching = state_.wanted || behind_peer();
        if (fetching && !state_.fetch) {
            next = std::min(next, state_.next_fetch);
        }
        return next;
    }

    configuration_follow& state_;
    kernel::time_point now_;
    follow_effects out_;
};

} // namespace cornelloom::coord::internal
