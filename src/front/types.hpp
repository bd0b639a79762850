#pragma once

#include "loop/caller_limits.hpp"
#include "transport/http.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// The daemon that serves callers on the users' platform: what it believes and what it decides.
namespace cornelloom::front {

using std::chrono::milliseconds;

/// What may be done again with a request.
enum class route_kind {
    safe,      ///< Idempotent: may run several times.
    unsafe,    ///< At most one run for each attempt of the caller.
    streaming, ///< A stream of events; at most one run unless it may be resumed.
    rollout,   ///< Batches of items, each a stream of events that may be resumed.
};

/// A part of a route's traffic.
struct traffic_share {
    std::string service;
    int weight = 1;
};

struct route {
    std::string name;
    std::string host;
    std::string path_prefix; ///< Begins and ends with a slash.
    route_kind kind = route_kind::unsafe;
    milliseconds timeout{0};   ///< The caller is answered by then; 0: no bound.
    milliseconds objective{0}; ///< The latency objective.
    int priority = 0;          ///< 0 is the most urgent.
    std::vector<traffic_share> services;
    int attempts = 1; ///< Targets that may run one attempt of a caller.
    bool resumable = false;
    bool open_to_all = false;     ///< Requests need no key, though there are client accounts.
    bool single_version = false;  ///< A sample may stem from one version of the weights only.
    milliseconds run_deadline{0}; ///< Results of a batch are due this long after its submission.
    milliseconds retention{0};    ///< An item may be given up this long after its submission.
};

/// How many targets of a service may be ordered from the platform.
struct scaling_bounds {
    int least = 0;                                          ///< In each zone.
    int most = 0;                                           ///< In each zone.
    milliseconds start{0};                                  ///< A new target serves after this.
    std::map<std::string, double, std::less<>> zone_prices; ///< Of a target's second, by zone.
};

struct service {
    std::string name;
    int connections_most = 0;                ///< That a target accepts from all callers together.
    int slots = 0;                           ///< Requests that a target runs at once; 0: unknown.
    std::vector<std::string> models;         ///< Empty for a plain service.
    std::optional<scaling_bounds> scaling{}; ///< Nothing: its targets can't be ordered.
};

/// Those who share a name towards targets, and the keys that identify them.
struct client_account {
    std::string name;
    std::vector<std::string> key_hashes; ///< As `transport::token_hash` makes them.
};

/// One version of the operators' configuration, complete.
struct configuration {
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::map<std::string, service, std::less<>> services;
    /// Nothing: requests need no keys, and headers about keys and accounts are like any other.
    std::optional<std::vector<client_account>> accounts;
    loop::caller_limits bounds; ///< Of what callers send.
};

/// A target as the platform's list shows it.
struct target_entry {
    std::string id;
    std::string service;
    transport::endpoint where;
    std::string zone;
    bool draining = false;
    int slots = 1;
    std::map<std::string, int, std::less<>> versions; ///< Of each model that it has loaded.
    std::int64_t born_ms = 0; ///< Its start, Unix time; a new one holds nothing of before.
    std::uint64_t revision = 0;
};

/// The newest version that a trainer has named for its model.
struct named_version {
    std::string model;
    int version = 0;
};

/// Where another host of the system can be reached by its peers.
struct host_entry {
    std::string name;
    std::string zone;
    transport::endpoint where;
    double processor = 0; ///< Share of a core that it has.
};

/// The calls that one host makes to the platform for all.
struct duty_settings {
    transport::endpoint where;
    bool reports_usage = false;
    bool orders_targets = false;
    milliseconds usage_window{5000}; ///< Requests are counted by windows of this length.
    milliseconds usage_due{10000};   ///< A window is reported by so long after its end.
};

/// What a process learns from its settings file.
struct host_settings {
    std::string host;
    bool serves_callers = false;
    std::string zone;
    std::string region;
    std::map<std::string, std::string, std::less<>> region_of_zone;
    transport::endpoint callers;   ///< Where callers connect.
    transport::endpoint readiness; ///< Where the platform asks whether callers may come.
    transport::endpoint peers;     ///< Where other hosts of the system connect.
    std::vector<transport::endpoint> seeds;
    transport::endpoint platform;
    std::size_t value_bytes = 1048576; ///< The largest object that the platform takes.
    milliseconds heartbeat{1200};      ///< Between two signs of life of a target.
    milliseconds grace{8000};          ///< From SIGTERM to SIGKILL.
    milliseconds cancel{3000};         ///< Items of an ended batch reach no target after this.
    milliseconds drain{2500};          ///< A leaving target gets no new work after this.
    milliseconds order_turn{3000};     ///< Least pause between orders of two holders to one target.
    milliseconds thaw{300};            ///< Added to it for a holder that was suspended.
    milliseconds calm{4000};           ///< Without trouble for so long, time bounds hold again.
    milliseconds in_force{2500};       ///< A configuration is in force everywhere after this.
    /// A key that was taken away opens nothing after this, at no host; nothing: no such bound.
    std::optional<milliseconds> revocation;
    std::optional<duty_settings> duties;
    int file_descriptors = 1024;
    double processor = 1; ///< Share of a core.
};

/// The call that gives the score of a sample.
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
    int tokens_out_most = 0; ///< The bound that the caller set on generated tokens.
    int tokens_out_hint = 0; ///< The caller's estimate; right at the median only. 0: none.
    std::optional<scoring_call> scoring;
};

/// A batch as its caller submitted it.
struct batch_spec {
    std::vector<batch_item> items;
    int oldest_version = 0; ///< Of the weights that may generate its tokens.
    int groups_wanted = 0;  ///< Complete groups that end the step.
};

/// A finished item.
struct item_result {
    std::string id;
    bool completed = false; ///< False: given up.
    std::string text;       ///< The data of all events, separated by line feeds.
    std::vector<int> versions;
    std::string score;
    bool scored = false;
};

/// What a target says of a request before its body.
struct target_answer {
    bool not_run = false; ///< The target states that it did not run the request.
    bool stamped = false;
    std::string stamp;
    std::string request_id; ///< Echoed; empty if the target did not say.
    int version = 0;        ///< Of the weights; 0: not said.
};

/// One event of a generated stream.
struct stream_event {
    std::int64_t id = 0;
    std::string data;
    int version = 0; ///< Set when the weights changed at this event.
};

} // namespace cornelloom::front
