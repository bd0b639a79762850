#pragma once

#include "kernel/clock.hpp"
#include "kernel/identifiers.hpp"
#include "kernel/refusal.hpp"

#include <boost/outcome.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cornelloom::decide {

/// Scheduling priority. Lower values are served first; each class has a guaranteed minimum share.
enum class priority_class : std::uint8_t { interactive, rollout, background };

inline constexpr std::size_t priority_class_count = 3;

[[nodiscard]] constexpr std::size_t index_of(priority_class priority) {
    return static_cast<std::size_t>(priority);
}

enum class target_kind : std::uint8_t { engine, service };

/// What a host owes to whoever sent a request.
enum class request_duty : std::uint8_t {
    answer, ///< A caller waits for the answer, which may be a refusal.
    result, ///< It was accepted to be run later, so it must be run until it succeeds.
};

/// A unit of work as submitted to the scheduler of one host.
struct request {
    kernel::request_id id; ///< Unique among the requests in this scheduler.
    kernel::caller_id caller;
    priority_class priority = priority_class::rollout;
    target_kind kind = target_kind::engine;
    std::string destination; ///< Name of the pool (engines) or of the service.
    kernel::model_id model;  ///< Empty: any model that the destination serves.
    bool idempotent = false;
    std::uint32_t prompt_tokens = 0; ///< Token counts are estimates; both are 0 for a service.
    std::uint32_t output_tokens = 0;
    kernel::time_point deadline;
    std::string group;             ///< Shared by the samples of one group; empty: no group.
    std::uint32_t group_size = 0;  ///< Number of samples in the group; 0: unknown.
    std::uint64_t prefix_hash = 0; ///< Hash of the shared prompt prefix; 0: none.
    std::uint64_t digest = 0;      ///< Content hash that identifies a crashing request; 0: none.
    std::uint64_t minimum_version = 0; ///< Oldest weight version that may generate any token.
    std::uint32_t attempts_made = 0;   ///< Attempts that earlier hops sent to targets.
    request_duty duty = request_duty::answer;
};

/// A configured back end.
struct target {
    kernel::target_id id;
    kernel::zone_id zone;
    kernel::region_id region;
    target_kind kind = target_kind::engine;
    std::vector<std::string> serves;      ///< Names of the pools or services it serves.
    std::vector<kernel::model_id> models; ///< Empty: any requested model.
    std::uint32_t capacity = 1;           ///< Concurrent requests, over all hosts.
    double tokens_per_second = 0;         ///< Total throughput at full batch; 0 for services.
    std::uint64_t version = 0;            ///< Last known weight version.
};

/// A host that runs a scheduler. Hosts with the same host list compute the same subsets.
struct host {
    kernel::host_id id;
    kernel::zone_id zone;
    kernel::region_id region;
    bool operator==(const host&) const = default;
};

/// Load that a target reports about itself. Reports lag: `age` is the age on receipt.
struct load_report {
    kernel::target_id target;
    std::uint64_t version = 0;
    std::uint32_t running = 0; ///< Requests of all hosts.
    std::uint32_t queued = 0;
    double tokens_per_second = 0; ///< 0: not reported.
    std::uint32_t capacity = 0;   ///< 0: not reported.
    kernel::duration age{};
    bool loading = false; ///< The target is loading weights and starts no new work.
};

/// A prefix was added to or evicted from a target's cache. Events may be late, repeated or lost.
struct cache_event {
    kernel::target_id target;
    std::uint64_t prefix_hash = 0;
    bool added = true;
};

/// A weight swap that is about to be ordered from a target.
struct swap_plan {
    kernel::target_id target;
    std::uint64_t version = 0;
    kernel::time_point starts; ///< When the target stops working to load the weights.
    kernel::time_point ready;  ///< When it is expected to serve the new version.
};

enum class dispatch_kind : std::uint8_t { first, retry, resume, hedge };

/// Why a request is sent again; each reason has its own counter.
enum class retry_reason : std::uint8_t {
    none,
    not_sent,
    overloaded,
    broken,
    crashed,
    timed_out,
    stale,
    straggler,
    interrupted
};

[[nodiscard]] std::string_view to_string(priority_class priority);
[[nodiscard]] std::string_view to_string(dispatch_kind kind);
[[nodiscard]] std::string_view to_string(retry_reason reason);

/// Instruction to send a request to a target now.
struct dispatch {
    kernel::request_id request;
    kernel::target_id target;
    std::uint32_t attempt = 0; ///< Identifies this attempt in later calls; unique per request.
    dispatch_kind kind = dispatch_kind::first;
    retry_reason cause = retry_reason::none;
    kernel::time_point deadline;
    std::uint32_t resume_tokens = 0; ///< Number of already generated tokens to send along.
    kernel::target_id kv_source{};   ///< Target that exported their KV cache; empty: none.
    std::uint32_t attempts_made = 0; ///< Value for the next hop's request, this attempt included.
};

/// Instruction to cancel an attempt at its target: its response is no longer needed.
struct cancellation {
    kernel::request_id request;
    kernel::target_id target;
    std::uint32_t attempt = 0;
    std::uint32_t wasted_tokens = 0; ///< Tokens generated there and discarded.
};

/// Final refusal of a request that will not be served.
struct refused_request {
    kernel::request_id request;
    kernel::refusal answer;
};

/// A digest that crashed several targets; broadcast to all hosts.
struct quarantine_notice {
    std::uint64_t digest = 0;
    kernel::duration remaining{}; ///< Counted from receipt: monotonic clocks differ between hosts.
    std::uint64_t crashed_target = 0; ///< Hash of the id of the target whose crash identified it.
    kernel::duration age{};           ///< Time since it was identified.
};

/// What the embedding code must do now, in any order. The scheduler state already assumes that all
/// of it is done.
struct actions {
    std::vector<dispatch> dispatches;
    std::vector<cancellation> cancellations;
    std::vector<refused_request> refusals;
    std::vector<quarantine_notice> quarantines;
};

struct admitted {
    kernel::time_point predicted_finish;
};

/// Admitted, or refused for good.
using admission =
    boost::outcome_v2::result<admitted, kernel::refusal, boost::outcome_v2::policy::terminate>;

/// How an attempt failed. The kind determines which run state may be reported for the request.
enum class failure_kind : std::uint8_t {
    not_sent,    ///< No byte left this host (connection refused, no route).
    overloaded,  ///< The target replied that it did not run the request.
    rejected,    ///< The target returned an error that any other target would return too.
    broken,      ///< Closed, reset or malformed after a byte was sent; the target is still up.
    crashed,     ///< Closed after a byte was sent, and the target no longer accepts connections.
    timed_out,   ///< No complete response in time.
    interrupted, ///< Ended by the target on purpose (weight swap, drain); not counted as a fault.
};

struct failure {
    failure_kind kind = failure_kind::broken;
    std::uint32_t tokens = 0; ///< Complete tokens received by this attempt, without resumed ones.
    std::uint64_t oldest_version = 0; ///< Oldest weight version of these tokens; 0: none.
    bool kv_exported = false;         ///< The target still holds their exported KV cache.
    kernel::duration retry_after{};   ///< Delay requested by the target.
    std::string detail{};
};

struct completion {
    std::uint32_t tokens = 0;         ///< Generated by this attempt, without resumed ones.
    std::uint64_t oldest_version = 0; ///< Over the spans of this attempt; 0 for a service.
};

/// What to do with a complete response.
enum class verdict : std::uint8_t {
    deliver,
    discard_duplicate, ///< Another attempt finished first, or the request has already ended.
    discard_stale,     ///< Exceeds the staleness bound; the request is retried or refused.
};

struct completion_result {
    verdict decision = verdict::deliver;
    actions follow_up;
};

} // namespace cornelloom::decide
