#pragma once

#include "loop/caller_limits.hpp"
#include "transport/http.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// The daemon that serves callers on the users' platform: its state and its decision logic.
namespace cornelloom::front {

using std::chrono::milliseconds;

/// How the requests of a route run and whether they may be repeated.
enum class route_kind {
    safe,      ///< Idempotent: a request may run several times.
    unsafe,    ///< A request runs at most once for each attempt of the caller.
    streaming, ///< The answer is an event stream; runs at most once unless it is resumable.
    rollout,   ///< Batches of items, each answered by a resumable event stream.
};

/// The share of a route's traffic that goes to one service.
struct traffic_share {
    std::string service;
    int weight = 1;
};

struct route {
    std::string name;
    std::string host;
    std::string path_prefix; ///< Begins and ends with a slash.
    route_kind kind = route_kind::unsafe;
    milliseconds timeout{0};   ///< Time limit of a request; 0: none.
    milliseconds objective{0}; ///< Latency objective; 0: none.
    int priority = 0;          ///< 0 is the most urgent.
    std::vector<traffic_share> services;
    int attempts = 1; ///< Maximum number of targets that may run one attempt of a caller.
    bool resumable = false;
    bool allow_anonymous = false; ///< Requests need no key even if accounts are configured.
    bool single_version = false;  ///< A sample must not mix versions of the weights.
    milliseconds run_deadline{0}; ///< Results of a batch are due this long after its submission.
    milliseconds retention{0};    ///< An item may be given up this long after its submission.
};

/// Limits for the number of targets of a service that are requested from the platform.
struct scaling_bounds {
    int min_targets = 0;          ///< Minimum per zone.
    int max_targets = 0;          ///< Maximum per zone.
    milliseconds startup_time{0}; ///< Time until a new target serves.
    std::map<std::string, double, std::less<>>
        zone_prices; ///< Price of a target per second, by zone.
};

struct service {
    std::string name;
    int max_connections = 0;         ///< Connections that a target accepts in total.
    int slots = 0;                   ///< Concurrent requests of a target; 0: unknown.
    std::vector<std::string> models; ///< Empty for a service without models.
    double memory_tokens = 0;        ///< Tokens that a target keeps in memory; 0: unknown.
    int tokens_per_event = 0;        ///< Tokens that an event of a text contains; 0: unknown.
    std::optional<scaling_bounds> scaling{}; ///< Unset: the number of its targets is fixed.
};

/// A client account: the name under which its requests reach targets, and its keys.
struct client_account {
    std::string name;
    std::vector<std::string> key_hashes; ///< Computed by `transport::token_hash`.
    /// Rank of its requests, 0 is the most urgent; unset: the routes' own ranks apply.
    std::optional<int> priority{};
};

/// One complete version of the operators' configuration.
struct configuration {
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::map<std::string, service, std::less<>> services;
    /// Unset: requests need no keys, and headers for keys and accounts are like any other.
    std::optional<std::vector<client_account>> accounts;
    loop::caller_limits bounds; ///< Limits for the requests of callers.
};

/// A target as listed by the platform.
struct target_entry {
    std::string id;
    std::string service;
    transport::endpoint address;
    std::string zone;
    bool draining = false;
    int slots = 1;
    std::map<std::string, int, std::less<>> versions; ///< Loaded version by model.
    std::int64_t started_unix_ms =
        0; ///< Start, Unix time; a later one: it restarted without its state.
    std::uint64_t revision = 0;
};

/// The newest version that a trainer has named for its model.
struct published_version {
    std::string model;
    int version = 0;
};

/// A host of the system and the address at which other hosts reach it.
struct host_entry {
    std::string name;
    std::string zone;
    transport::endpoint address;
    double cpu_share = 0; ///< CPU share, in cores.
};

/// Settings of the calls to the platform that one host makes on behalf of all.
struct duty_settings {
    transport::endpoint address;
    bool reports_usage = false;
    bool orders_targets = false;
    milliseconds usage_window{5000}; ///< Length of the windows in which requests are counted.
    milliseconds usage_report_timeout{
        10000}; ///< Time limit for reporting a window, counted from its end.
};

/// The contents of the settings file.
struct host_settings {
    std::string host;
    bool serves_callers = false;
    std::string zone;
    std::string region;
    std::map<std::string, std::string, std::less<>> region_of_zone;
    transport::endpoint caller_endpoint;    ///< Listens for callers.
    transport::endpoint readiness_endpoint; ///< Listens for readiness checks of the platform.
    transport::endpoint peer_endpoint;      ///< Listens for other hosts of the system.
    std::vector<transport::endpoint> seeds;
    transport::endpoint platform;
    std::size_t max_value_bytes = 1048576; ///< Largest object that the platform accepts.
    milliseconds heartbeat_interval{1200}; ///< Interval between heartbeats of a target.
    milliseconds grace_period{8000};       ///< Time from SIGTERM to SIGKILL.
    milliseconds cancel_bound{3000};       ///< Time until an ended batch sends no more items.
    milliseconds settle_bound{1000}; ///< Time until a result that was read is listed by all hosts.
    milliseconds drain_bound{2500};  ///< Time until a draining target gets no more work.
    milliseconds handover_delay{3000}; ///< Minimum time between two holders' orders to one target.
    milliseconds resume_margin{300};   ///< Added to that pause for a holder that was suspended.
    milliseconds stable_window{4000};  ///< Fault-free time until the time bounds hold again.
    milliseconds config_apply_bound{2500}; ///< Time until a configuration is in force on all hosts.
    /// Time until no host accepts a revoked key; unset: unbounded.
    std::optional<milliseconds> revocation_bound;
    std::optional<duty_settings> duties;
    int file_descriptors = 1024;
    std::size_t memory_bytes = 0; ///< Of a process; 0: not stated, and 256 MiB are assumed.
    double cpu_share = 1;         ///< CPU share, in cores.
};

/// The request that computes the score of a sample.
struct scoring_call {
    std::string id;
    std::string host;
    std::string path;
    std::string body;
};

struct batch_item {
    std::string id;
    std::string path;
    std::vector<transport::http_header> headers;
    std::string body;
    std::string group;
    std::string model;
    int prompt_tokens = 0;     ///< 0: unknown.
    int max_output_tokens = 0; ///< Limit on generated tokens, set by the caller.
    int expected_output_tokens =
        0; ///< The caller's estimate, accurate only at the median; 0: none.
    std::optional<scoring_call> scoring;
    std::string fault; ///< Why it, or its scoring call, can't be sent to a target; empty: it can.
};

/// A batch as submitted by its caller.
struct batch_spec {
    std::vector<batch_item> items;
    int oldest_version = 0;  ///< Oldest version of the weights that may generate its tokens.
    int required_groups = 0; ///< Number of complete groups after which the step ends.
};

/// A finished item.
struct item_result {
    std::string id;
    bool completed = false; ///< False: the item was given up.
    std::string text;       ///< Data of all events, separated by line feeds.
    std::vector<int> versions;
    std::string score;
    bool scored = false;
};

/// What the headers of a target's answer state about a request.
struct target_answer {
    bool not_run = false; ///< The target reports that it did not run the request.
    bool stamped = false;
    std::string stamp;
    std::string request_id; ///< Echoed by the target; empty if missing.
    int version = 0;        ///< Version of the weights; 0: not stated.
};

/// One event of an answer stream.
/// Largest event of a stream that is kept until it is complete, in bytes.
inline constexpr std::size_t max_event_bytes = std::size_t{1} << 20U;

struct stream_event {
    std::int64_t id = 0;
    std::string data;
    int version = 0; ///< Version of the weights, set when it changed at this event; otherwise 0.
};

} // namespace cornelloom::front
