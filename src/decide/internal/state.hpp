#pragma once

#include "decide/admission.hpp"
#include "decide/fair_queue.hpp"
#include "decide/hedge.hpp"
#include "decide/placement.hpp"
#include "decide/quarantine.hpp"
#include "decide/retry.hpp"
#include "decide/scheduler.hpp"

#include <memory>
#include <random>
#include <set>
#include <string>
#include <unordered_map>

namespace cornelloom::decide {

struct destination;

/// One sending of a request to a target.
struct sending {
    std::uint32_t number = 0;
    std::uint32_t target = 0;
    dispatch_kind kind = dispatch_kind::first;
    kernel::time_point sent{};
    kernel::time_point first_byte{};
    bool answering = false;
    bool suspect = false; ///< Counted in the target's suspects.
    double cost = 0;
    double predicted = 0; ///< Seconds for the whole of it, when it was sent.
    double running = 0;   ///< Estimated on its target when it was sent, itself included.
    answer_size size;
    std::uint32_t resumed = 0; ///< Tokens that were sent along.
    std::uint32_t tokens = 0;  ///< Generated here.
    std::uint64_t oldest_version = 0;
    std::uint64_t start_version = 0; ///< Of the target when it was sent.
    kernel::time_point observed{};   ///< When its progress last taught something.
};

enum class request_phase : std::uint8_t { queued, delayed, running };

/// A request between admission and its final answer.
struct request_record {
    request work;
    destination* where = nullptr;
    std::uint64_t sequence = 0;
    request_phase phase = request_phase::queued;
    kernel::time_point submitted{};
    kernel::time_point not_before{}; ///< While delayed.
    kernel::time_point hedge_check{};
    bool has_hedge_check = false;
    std::vector<sending> sendings;
    std::vector<std::uint32_t> avoid; ///< Targets that failed it.
    std::uint32_t attempts = 0;
    std::uint32_t passed_over = 0;   ///< Times that a later item with a cached prefix went first.
    std::uint32_t interruptions = 0; ///< Attempts that a target ended on purpose; not counted.
    bool maybe_sent = false;         ///< A byte may have reached a target.
    bool answered_error = false;     ///< A target answered whole, with an error.
    std::uint32_t kept_tokens = 0;
    std::uint64_t kept_version = 0; ///< Oldest of the kept tokens.
    kernel::target_id kv_source;
    retry_reason cause = retry_reason::none;
};

/// Orders records by a time, then by arrival.
struct timed_record {
    kernel::time_point at;
    std::uint64_t sequence = 0;
    request_record* record = nullptr;

    bool operator<(const timed_record& other) const {
        return at != other.at ? at < other.at : sequence < other.sequence;
    }
};

using timed_records = std::set<timed_record>;

struct group_state {
    std::uint32_t size = 0;
    std::uint32_t done = 0;
    std::set<std::uint64_t> open; ///< Sequences of members without a final answer.
};

/// Everything of one pool or service.
struct destination {
    std::string name;
    target_kind kind = target_kind::engine;
    std::vector<std::uint32_t> subset; ///< Ordered by distance.
    std::array<fair_queue, priority_class_count> queues;
    std::array<double, priority_class_count> served{}; ///< Decaying cost placed.
    kernel::time_point served_at{};
    kernel::time_point last_interactive{};
    bool had_interactive = false;
    pool_versions versions;
    /// Smoothed time of an answer by class, for plain services: a sync is no slow lookup.
    std::array<double, priority_class_count> service_seconds{0.05, 0.05, 0.05};
    double usual_ratio = 1; ///< Smoothed time of answers over that of a full batch.
    double rate = 0;        ///< Cost per second for this host, refreshed now and then.
    double rate_near = 0;   ///< Of it, without crossing a region border.
    double seconds_per_cost = 0;
    kernel::time_point rate_at{};
    bool rate_known = false;
    std::unordered_map<std::uint64_t, std::vector<prefix_holder>> holders;
    std::unordered_map<std::string, group_state> groups;
    hedge_budget hedges;
};

struct named_digest {
    std::uint64_t digest = 0;
    kernel::time_point confirmed{};
};

struct scheduler_state {
    host self;
    policy rules;
    std::mt19937_64 random;
    std::vector<target_load>
        targets; ///< Slots are stable; a gone target's slot is reused when idle.
    std::unordered_map<kernel::target_id, std::uint32_t> target_index;
    std::unordered_map<kernel::zone_id, zone_observations> zones;
    std::unordered_map<std::string, std::unique_ptr<destination>> destinations;
    std::unordered_map<kernel::request_id, std::unique_ptr<request_record>> requests;
    std::unordered_map<std::uint64_t, request_record*> by_sequence;
    std::unordered_map<kernel::caller_id, caller_bucket> buckets;
    timed_records deadlines;
    timed_records delayed;
    timed_records hedge_checks;
    crash_ledger crashes;
    std::vector<named_digest> named; ///< Waiting for their confirmation.
    retry_budget retries;
    std::uint64_t next_sequence = 1;
    std::size_t in_flight = 0;
    kernel::time_point swept{};
};

// Records (records.cpp).

[[nodiscard]] double cost_of(const request& work, std::uint32_t kept_tokens);
[[nodiscard]] answer_size size_of(const request& work, std::uint32_t kept_tokens);
[[nodiscard]] request_record* find(scheduler_state& state, const kernel::request_id& id);
[[nodiscard]] sending* find(request_record& record, std::uint32_t attempt);
[[nodiscard]] queue_key key_of(const request_record& record);
[[nodiscard]] kernel::run_state run_state_of(const request_record& record);
[[nodiscard]] std::uint64_t digest_of(const request& work);

/// Usual time of an answer of its class, for plain services.
[[nodiscard]] double usual_seconds(const request_record& record);

/// Seconds that `size` of this sending should have taken by configured speeds, with the load
/// between its start and now. Judged by the load at its start alone, every target that filled up
/// meanwhile would look slow.
[[nodiscard]] double nominal_so_far(const scheduler_state& state, const request_record& record,
                                    const sending& running, const answer_size& size,
                                    kernel::time_point now);

void enqueue(scheduler_state& state, request_record& record);
void delay(scheduler_state& state, request_record& record, kernel::time_point until);
void check_hedge_at(scheduler_state& state, request_record& record, kernel::time_point at);

/// Takes a sending out of the counts of its target.
void end_sending(scheduler_state& state, request_record& record, std::uint32_t attempt);

/// Ends the request: cancels what is in flight and removes every trace of it.
void forget(scheduler_state& state, request_record& record, actions& out);
void refuse(scheduler_state& state, request_record& record, kernel::refusal_reason reason,
            kernel::duration retry_after, std::string detail, actions& out);

// Dispatching (dispatching.cpp).

void dispatch_all(scheduler_state& state, kernel::time_point now, actions& out);
[[nodiscard]] placement_query query_of(const scheduler_state& state, const request_record& record,
                                       kernel::time_point now);
void send(scheduler_state& state, request_record& record, const placement& where,
          dispatch_kind kind, kernel::time_point now, actions& out);
void refresh_rate(const scheduler_state& state, destination& where, kernel::time_point now);

// Lookahead (lookahead.cpp).

/// The item to put on the free target in place of `item`: see lookahead.cpp.
[[nodiscard]] queue_head prefer_cached(scheduler_state& state, const destination& where,
                                       const queue_head& item, const placement& found,
                                       kernel::time_point now);

// Stragglers (stragglers.cpp).

void hedge_due(scheduler_state& state, kernel::time_point now, actions& out);
void note_group_progress(scheduler_state& state, const request_record& record,
                         kernel::time_point now);

// Faults (faults.cpp).

/// Health, limit and blame of the target of a failed sending, which is still among the sendings.
void note_failure(scheduler_state& state, const sending& failed, failure_kind kind,
                  kernel::time_point now, actions& out);
void prove(scheduler_state& state, const request_record& record, sending& running,
           kernel::time_point now);
void await_confirmation(scheduler_state& state, std::uint64_t digest, kernel::time_point now);

/// Refuses every request of a digest whose quarantine was confirmed.
void refuse_confirmed(scheduler_state& state, kernel::time_point now, actions& out);

// Maintenance (maintenance.cpp).

void expire_requests(scheduler_state& state, kernel::time_point now, actions& out);
void sweep(scheduler_state& state, kernel::time_point now);

} // namespace cornelloom::decide
