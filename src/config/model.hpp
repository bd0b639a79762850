#pragma once

#include "kernel/clock.hpp"
#include "kernel/identifiers.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cornelloom::config {

using kernel::duration;

/// An IP number and a port, as written `127.0.0.1:8080` or `[::1]:8080`.
struct network_address {
    std::string ip;
    std::uint16_t port = 0;
    auto operator<=>(const network_address&) const = default;
};

[[nodiscard]] std::string to_string(const network_address& where);

/// Nothing when the text is no IP number with a port.
[[nodiscard]] std::optional<network_address> parse_address(std::string_view text);

struct zone {
    kernel::zone_id id;
    kernel::region_id region;
};

/// Served in this order under load; each class keeps a floor.
enum class priority_class { interactive, rollout, background };

[[nodiscard]] std::string_view to_string(priority_class priority);

/// Whether a trainer gets samples one by one or the whole group at once.
enum class release_mode { sample, group };

[[nodiscard]] std::string_view to_string(release_mode mode);

/// Which trainers, model, versions and regions belong together, and what they are owed. A second
/// model is a second pool: every sample of a pool is comparable with the others.
struct rollout_pool {
    kernel::pool_id id;
    std::vector<kernel::trainer_id> trainers;
    kernel::model_id model;
    std::string adapter;                         ///< Empty: the plain model.
    std::uint64_t first_version = 0;             ///< In force until a trainer announces one.
    std::optional<std::uint64_t> pinned_version; ///< Set: announcements are not followed.
    std::vector<kernel::region_id> regions;      ///< Empty: all.
    std::vector<kernel::zone_id> zones;          ///< Empty: all zones of the regions.
    std::uint32_t staleness_bound = 2;           ///< Versions a sample may lag behind.
    release_mode release = release_mode::group;
    double idle_weight = 1;      ///< Worth of a second of trainer idle time.
    double staleness_weight = 1; ///< Worth of one version of staleness.
    priority_class priority = priority_class::rollout;
    double hedge_token_share = 0.05;     ///< Of all tokens, for second copies of stragglers.
    kernel::service_id scoring_service;  ///< Empty: samples are not scored.
    double weight_orders_per_second = 5; ///< What the weight store bears for this pool.
    double serving_floor = 0.5;          ///< Share of each zone that serves during a swap.
    std::uint32_t min_group_size = 1;
    std::uint32_t max_group_size = 64;
    std::uint32_t max_samples_per_step = 4096;
    std::uint32_t max_tokens_per_sample = 32768;
    kernel::pool_id fallback; ///< Its targets serve too when ours are busy; empty: none.
};

/// A back end: a model engine, a plain service, or what else a plug-in serves.
struct target {
    kernel::target_id id;
    std::string kind; ///< Name of a plug-in.
    network_address address;
    kernel::zone_id zone;
    kernel::region_id region; ///< Follows from the zone.
    std::vector<kernel::pool_id> pools;
    std::vector<kernel::service_id> services;
    std::uint32_t capacity = 32;  ///< Requests it runs at the same time.
    bool honours_fencing = false; ///< Refuses an order with an old fencing number.
    bool checks_identity = false; ///< Checks who gives it an order.
};

/// What a caller may do.
enum class verb { call, train, operate };

[[nodiscard]] std::string_view to_string(verb action);

struct caller {
    kernel::caller_id id;
    std::string token_sha256; ///< 64 hexadecimal digits, lower case. The token itself is not kept.
    priority_class priority = priority_class::interactive;
    double rate_per_second = 100;
    std::uint32_t burst = 200;
    double share = 1; ///< Weight among the callers of its class.
    duration default_deadline = std::chrono::seconds{30};
    std::vector<kernel::pool_id> pools;
    std::vector<kernel::service_id> services;
    std::vector<verb> verbs;
};

/// Calls of a plain service by method and path prefix.
struct service_call {
    std::string method = "GET"; ///< `*`: any.
    std::string path_prefix = "/";
    bool idempotent = false;
    duration deadline{}; ///< Zero: the service's.
};

struct service {
    kernel::service_id id;
    std::vector<service_call> calls;
    duration deadline = std::chrono::seconds{10};
    bool scoring = false; ///< Answers `POST /v1/score`.
};

/// Everything that operators declare, checked as a whole: references resolve, ids are unique.
struct configuration {
    std::vector<zone> zones;
    std::vector<rollout_pool> pools;
    std::vector<target> targets;
    std::vector<caller> callers;
    std::vector<service> services;
};

/// Null when there is none of that id.
[[nodiscard]] const rollout_pool* find_pool(const configuration& all, const kernel::pool_id& id);
[[nodiscard]] const service* find_service(const configuration& all, const kernel::service_id& id);
[[nodiscard]] const target* find_target(const configuration& all, const kernel::target_id& id);
[[nodiscard]] const caller* find_caller_by_token(const configuration& all,
                                                 std::string_view token_sha256);

/// Empty when the zone is not declared.
[[nodiscard]] kernel::region_id region_of(const configuration& all, const kernel::zone_id& zone);

/// Whether the caller holds the verb, and for that pool or service.
[[nodiscard]] bool may(const caller& who, verb action);
[[nodiscard]] bool may(const caller& who, verb action, const kernel::pool_id& pool);
[[nodiscard]] bool may(const caller& who, verb action, const kernel::service_id& service);

/// The rule of the longest matching prefix. A call that no rule names is not idempotent: repeating
/// what should run once does harm, not repeating what could be repeated costs one refusal.
[[nodiscard]] service_call find_call(const service& from, std::string_view method,
                                     std::string_view path);

/// The pool's own targets inside its regions and zones, then those of its fallbacks in turn.
[[nodiscard]] std::vector<const target*> targets_of(const configuration& all,
                                                    const rollout_pool& pool);
[[nodiscard]] std::vector<const target*> targets_of(const configuration& all, const service& from);

} // namespace cornelloom::config
