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

/// Who goes first. Lower values go first; every class has a floor.
enum class priority_class : std::uint8_t { interactive, rollout, background };

inline constexpr std::size_t priority_class_count = 3;

[[nodiscard]] constexpr std::size_t index_of(priority_class priority) {
    return static_cast<std::size_t>(priority);
}

enum class target_kind : std::uint8_t { engine, service };

/// A unit of work as it enters the scheduler of one host.
struct request {
    kernel::request_id id; ///< Unique among the requests in this scheduler.
    kernel::caller_id caller;
    priority_class priority = priority_class::rollout;
    target_kind kind = target_kind::engine;
    std::string destination; ///< Name of the pool (engines) or of the service.
    kernel::model_id model;  ///< Empty: any model that the destination serves.
    bool idempotent = false;
    std::uint32_t prompt_tokens = 0; ///< Estimates; both 0 for a plain service.
    std::uint32_t output_tokens = 0;
    kernel::time_point deadline;
    std::string group;                 ///< Samples of one group share it; empty: none.
    std::uint32_t group_size = 0;      ///< Samples in the whole group, 0 if not known.
    std::uint64_t prefix_hash = 0;     ///< Of the shared part of the prompt; 0: none.
    std::uint64_t digest = 0;          ///< Of the content, names a crashing request; 0: none.
    std::uint64_t minimum_version = 0; ///< Oldest version that may produce any token.
    std::uint32_t attempts_made = 0;   ///< Attempts sent to targets in earlier hops.
};

/// A back end as configured.
struct target {
    kernel::target_id id;
    kernel::zone_id zone;
    kernel::region_id region;
    target_kind kind = target_kind::engine;
    std::vector<std::string> serves;      ///< Names of pools or services.
    std::vector<kernel::model_id> models; ///< Empty: all that are asked for.
    std::uint32_t capacity = 1;           ///< Requests that it runs at once, over all hosts.
    double tokens_per_second = 0; ///< Of the target as a whole at full batch; 0 for services.
    std::uint64_t version = 0;    ///< Weights' version as last known.
};

/// A host that runs a scheduler; all hosts with the same list compute the same subsets.
struct host {
    kernel::host_id id;
    kernel::zone_id zone;
    kernel::region_id region;
    bool operator==(const host&) const = default;
};

/// What a target reported of itself. It lags: `age` is its age on receipt.
struct load_report {
    kernel::target_id target;
    std::uint64_t version = 0;
    std::uint32_t running = 0; ///< Over all hosts.
    std::uint32_t queued = 0;
    double tokens_per_second = 0; ///< 0: not reported.
    std::uint32_t capacity = 0;   ///< 0: not reported.
    kernel::duration age{};
    bool loading = false; ///< It is loading weights and starts no new work.
};

/// A prefix that entered or left a target's cache. Late, repeated and missing events are normal.
struct cache_event {
    kernel::target_id target;
    std::uint64_t prefix_hash = 0;
    bool added = true;
};

/// A weight order that is about to be sent to a target.
struct swap_plan {
    kernel::target_id target;
    std::uint64_t version = 0;
    kernel::time_point starts; ///< When the target stops its work for it.
    kernel::time_point ready;  ///< When it is expected to serve the new version.
};

enum class dispatch_kind : std::uint8_t { first, retry, resume, hedge };

/// Why a request is sent again; each has a counter.
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

/// Send this request to this target now.
struct dispatch {
    kernel::request_id request;
    kernel::target_id target;
    std::uint32_t attempt = 0; ///< Names this sending in later calls; unique in the request.
    dispatch_kind kind = dispatch_kind::first;
    retry_reason cause = retry_reason::none;
    kernel::time_point deadline;
    std::uint32_t resume_tokens = 0; ///< Send the first so many tokens already generated along.
    kernel::target_id kv_source{};   ///< Has the exported KV cache of them; empty: nobody.
    std::uint32_t attempts_made = 0; ///< To put into the next hop's request: this one included.
};

/// Cancel this sending at its target: its answer is no longer wanted.
struct cancellation {
    kernel::request_id request;
    kernel::target_id target;
    std::uint32_t attempt = 0;
    std::uint32_t wasted_tokens = 0; ///< Generated there and thrown away.
};

/// The final answer of a request that won't be served.
struct refused_request {
    kernel::request_id request;
    kernel::refusal answer;
};

/// A digest that crashed several targets; to be told to all hosts.
struct quarantine_notice {
    std::uint64_t digest = 0;
    kernel::duration remaining{}; ///< For how long, from receipt; monotonic times cross no hosts.
    std::uint64_t crashed_target = 0; ///< Hash of the id of the target whose crash named it.
};

/// What the embedding code has to do now, in any order. The scheduler has counted on all of it.
struct actions {
    std::vector<dispatch> dispatches;
    std::vector<cancellation> cancellations;
    std::vector<refused_request> refusals;
    std::vector<quarantine_notice> quarantines;
};

struct admitted {
    kernel::time_point predicted_finish;
};

/// Admitted, or refused with the final answer.
using admission =
    boost::outcome_v2::result<admitted, kernel::refusal, boost::outcome_v2::policy::terminate>;

/// How a sending failed. The kind decides what may be said of the request's run state.
enum class failure_kind : std::uint8_t {
    not_sent,    ///< No byte left this host (connection refused, no route).
    overloaded,  ///< The target answered that it did not run it.
    rejected,    ///< The target answered with an error that another target would repeat.
    broken,      ///< Cut, reset or malformed after a byte was sent; the target still answers.
    crashed,     ///< Cut after a byte was sent, and the target accepts no connection any more.
    timed_out,   ///< No whole answer in time.
    interrupted, ///< The target ended it on purpose (a weight swap, a drain): nobody is to blame.
};

struct failure {
    failure_kind kind = failure_kind::broken;
    std::uint32_t tokens = 0; ///< Whole tokens received by this attempt, without resumed ones.
    std::uint64_t oldest_version = 0; ///< Of these tokens; 0 if there are none.
    bool kv_exported = false;         ///< The target still holds an exported KV cache of them.
    kernel::duration retry_after{};   ///< As the target asked.
    std::string detail{};
};

struct completion {
    std::uint32_t tokens = 0;         ///< Generated by this attempt, without resumed ones.
    std::uint64_t oldest_version = 0; ///< Among the spans of this attempt; 0 for a plain service.
};

/// What to do with a whole answer.
enum class verdict : std::uint8_t {
    deliver,
    discard_duplicate, ///< Another attempt won, or the request has had its final answer.
    discard_stale,     ///< Older than the bound; it will be run again or refused.
};

struct completion_result {
    verdict decision = verdict::deliver;
    actions follow_up;
};

} // namespace cornelloom::decide
