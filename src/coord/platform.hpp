#pragma once

/// Typed operations on the platform's object API and the limiter that every call goes through.
/// Pure data: the transport layer maps operations to HTTP and answers to outcomes.

#include "kernel/clock.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace cornelloom::coord {

/// Names one object of the platform.
struct object_key {
    std::string kind;
    std::string name;
    auto operator<=>(const object_key&) const = default;
};

/// `expected_version` 0: the object must not exist. No value: unconditional.
struct get_object {
    object_key key;
};

struct put_object {
    object_key key;
    std::string value; ///< Text (UTF-8), at most `platform_value_limit` bytes.
    std::optional<std::uint64_t> expected_version;
};

struct delete_object {
    object_key key;
    std::optional<std::uint64_t> expected_version;
};

struct list_objects {
    std::string kind;
};

struct watch_objects {
    std::string kind;
    std::uint64_t after_revision = 0;
    kernel::duration timeout{};
};

/// A watch that has no answer this long after its timeout is lost.
inline constexpr kernel::duration watch_answer_time = std::chrono::seconds{2};

struct list_hosts {};

using platform_operation =
    std::variant<get_object, put_object, delete_object, list_objects, watch_objects, list_hosts>;

/// The largest value that the platform stores, in bytes.
inline constexpr std::size_t platform_value_limit = std::size_t{1} << 20U;

/// What a call is made for. Decides its priority and names its counter.
enum class call_kind {
    lease_renewal,
    lease_acquire,
    claim_commit,
    claim_read,
    configuration_read,
    configuration_watch,
    configuration_write,
    step_state,
    status,
    host_list,
};

inline constexpr std::size_t call_kind_count = static_cast<std::size_t>(call_kind::host_list) + 1;

[[nodiscard]] std::string_view to_string(call_kind kind);

/// Lower values go first when the rate does not suffice for all.
enum class call_priority { lease, claim, configuration, other };

[[nodiscard]] call_priority priority_of(call_kind kind);

/// One call that a state machine wants made. The answer comes back with the same token.
struct platform_call {
    std::uint64_t token = 0;
    call_kind kind = call_kind::status;
    platform_operation operation;
};

struct stored_object {
    object_key key;
    std::uint64_t version = 0;
    std::string value;
    bool deleted = false; ///< Only in answers to a watch.
};

struct host_record {
    std::string id;
    std::string address;
    std::string zone;
    std::string region;
    bool leaving = false;
};

/// A put or delete took effect.
struct call_done {
    std::uint64_t version = 0;
};

struct call_object {
    stored_object object;
};

struct call_listing {
    std::uint64_t revision = 0;
    std::vector<stored_object> objects;
};

struct call_hosts {
    std::vector<host_record> hosts;
};

/// A conditional update met another version; nothing was changed.
struct call_conflict {
    std::uint64_t current_version = 0;
};

struct call_not_found {};

/// Refused by the platform's rate limit; nothing was changed.
struct call_throttled {
    kernel::duration retry_after{};
};

/// The platform could not be reached or refused all calls; nothing was changed.
struct call_outage {};

/// The answer was lost: the call may have taken effect, and may still do so later.
struct call_unknown {};

using platform_outcome =
    std::variant<call_done, call_object, call_listing, call_hosts, call_conflict, call_not_found,
                 call_throttled, call_outage, call_unknown>;

/// The name of the outcome as it stands in counters.
[[nodiscard]] std::string_view outcome_name(const platform_outcome& outcome);

struct platform_answer {
    std::uint64_t token = 0;
    platform_outcome outcome;
};

/// A host's part of the platform's rate. The defaults are those of one host among 370 that share
/// about 300 writes and 1,500 reads a second, with room for the hosts that hold leases.
struct budget_settings {
    double calls_per_second = 10;
    double burst = 40;
    /// Share of the burst that a priority must leave untouched, by `call_priority`. Claims leave
    /// room for renewals, since a lapsed lease stops all claims of its shard; background calls
    /// take only what is idle.
    std::array<double, 4> reserve{0.0, 0.1, 0.25, 0.5};
};

struct call_counts {
    std::uint64_t sent = 0;
    std::uint64_t delayed = 0;
    std::uint64_t throttled = 0;
    std::uint64_t outage = 0;
    std::uint64_t unknown = 0;
};

/// Token-bucket limiter with priorities. One for each process; not synchronised.
struct platform_budget {
    budget_settings settings;
    double tokens = 0;
    kernel::time_point refilled{};
    kernel::time_point held_until{}; ///< The platform asked for silence until then.
    std::array<call_counts, call_kind_count> counts{};
};

[[nodiscard]] platform_budget make_budget(const budget_settings& settings, kernel::time_point now);

struct budget_verdict {
    bool send = false;
    kernel::duration wait{}; ///< When `send` is false: ask again after this time.
};

/// Takes a token for a call of this kind, or says how long to wait.
[[nodiscard]] budget_verdict admit(platform_budget& budget, call_kind kind, kernel::time_point now);

/// Counts an answer; after throttling, calls are held back for the time that the platform named.
void record_outcome(platform_budget& budget, call_kind kind, const platform_outcome& outcome,
                    kernel::time_point now);

struct backoff_settings {
    kernel::duration first = std::chrono::milliseconds{100};
    kernel::duration longest = std::chrono::seconds{10};
};

/// The pause before attempt number `attempt` (counted from 1): doubling, with full jitter above
/// half of the step, so that hosts which failed together do not come back together. `salt` is any
/// number that differs between hosts; equal arguments give equal pauses.
[[nodiscard]] kernel::duration backoff(const backoff_settings& settings, unsigned attempt,
                                       std::uint64_t salt);

} // namespace cornelloom::coord
