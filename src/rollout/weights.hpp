#pragma once

#include "kernel/clock.hpp"
#include "rollout/types.hpp"

#include <map>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace cornelloom::rollout {

enum class order_kind { load_version, load_adapter, set_role };

[[nodiscard]] std::string_view to_string(order_kind kind);

/// An order to one engine. Convergent: it states the wanted end, so that a repeated or late one
/// does no harm beyond what the next report shows and the next order mends.
struct engine_order {
    kernel::target_id engine;
    order_kind kind = order_kind::load_version;
    std::string value; ///< A version in decimal digits, an adapter or a role.
    std::uint64_t fence = 0;
    bool operator==(const engine_order&) const = default;
};

/// What became of an order.
enum class order_result {
    accepted,
    old_fence,   ///< The engine has seen a larger fencing number.
    refused,     ///< For another reason.
    unreachable, ///< Not sent, or no answer: it may have been taken.
};

struct order_outcome {
    engine_order order;
    order_result result = order_result::accepted;
    std::uint64_t engine_fence = 0; ///< With `old_fence`: what the engine has seen.
};

/// What an engine says about itself. The only thing that is believed.
struct engine_report {
    kernel::target_id engine;
    kernel::zone_id zone;
    std::optional<weight_version> version;
    bool loading = false;
    std::string role;
    std::vector<std::string> adapters;
    kernel::time_point as_of;  ///< When it was true at the engine: receipt less its stated age.
    std::uint32_t running = 0; ///< Requests; idle engines swap first.
};

/// What bounds a rollout of weights.
struct weight_limits {
    double store_bytes_per_second = 0; ///< Rate limit of the weight store, over all engines.
    double weight_bytes = 0;           ///< That one engine loads for a version.
    double adapter_bytes = 0;
    /// Share of a zone's engines that keep serving. A zone always swaps at least one at a time, or
    /// a zone of one engine would never swap.
    double serving_floor = 0.75;
    kernel::duration load_time_limit = std::chrono::seconds{30}; ///< Then a swap counts as failed.
    kernel::duration report_grace = std::chrono::seconds{1};     ///< Reports lag behind orders.
    kernel::duration first_retry = std::chrono::milliseconds{500};
    kernel::duration set_aside_time = std::chrono::minutes{1}; ///< Then it is tried once again.
    std::uint32_t max_tries = 3;
};

/// An order that has been sent and has not shown in a report.
struct pending_order {
    engine_order order;
    kernel::time_point sent;
    bool seen_loading = false;
};

struct engine_state {
    engine_report report;
    std::optional<pending_order> pending;
    std::uint32_t tries = 0;
    kernel::time_point not_before;
    bool set_aside = false; ///< Failed too often: no new rollout work is placed there.
};

/// The holder of a pool's weight lease. Not thread-safe.
struct weight_steward {
    kernel::pool_id pool;
    std::uint64_t fence = 0;
    weight_limits limits;
    kernel::time_point
        started; ///< Reports from before it say nothing about the last holder's orders.
    std::optional<weight_version> wanted;
    std::set<std::string> adapters;                 ///< On every engine of the pool.
    std::map<kernel::target_id, std::string> roles; ///< Engines without an entry keep theirs.
    std::map<kernel::target_id, engine_state> engines;
    double store_credit = 0; ///< Bytes that may be loaded now.
    kernel::time_point credited_at;
    bool deposed = false; ///< An engine has seen a larger fence: no more orders.
};

/// `from` is when orders may begin: the new holder waits out what its predecessor may still send.
[[nodiscard]] weight_steward make_steward(const kernel::pool_id& pool, std::uint64_t fence,
                                          const weight_limits& limits, kernel::time_point from);

/// A newer version supersedes the one that is being rolled out; engines that load the older one
/// finish that load first. An older version is ignored.
void announce(weight_steward& steward, weight_version version);

void on_report(weight_steward& steward, const engine_report& report, kernel::time_point now);
void on_outcome(weight_steward& steward, const order_outcome& outcome, kernel::time_point now);

/// The engine is no longer in the pool.
void forget_engine(weight_steward& steward, const kernel::target_id& engine);

/// Orders to send now. Each is counted as pending until a report or an outcome settles it.
[[nodiscard]] std::vector<engine_order> next_orders(weight_steward& steward,
                                                    kernel::time_point now);

struct weight_progress {
    std::size_t engines = 0;
    std::size_t current = 0; ///< Serve the wanted version or a newer one.
    std::size_t loading = 0; ///< Ordered or loading.
    std::size_t set_aside = 0;
    bool done = false; ///< Every engine that is not set aside is current.
};

[[nodiscard]] weight_progress progress(const weight_steward& steward);

/// How long a rollout of weights takes, by arithmetic.
struct rollout_estimate {
    std::uint32_t waves = 0;        ///< Of the zone that needs most.
    double load_seconds = 0;        ///< Of one engine, with the order and the report.
    double floor_bound_seconds = 0; ///< waves * load_seconds
    double store_bound_seconds = 0; ///< All bytes at the store's rate, and the last load's rest.
    double seconds = 0;             ///< The larger of the two bounds.
    double store_rate_needed = 0;   ///< Bytes a second at which the store is not the bound.
};

struct engine_speed {
    double load_bytes_per_second = 0; ///< What one engine can take at most.
    double order_seconds = 0;         ///< From the decision to the start of the load.
    double report_seconds = 0;        ///< From the end of the load to the report.
};

[[nodiscard]] rollout_estimate estimate(std::span<const std::uint32_t> engines_by_zone,
                                        const weight_limits& limits, const engine_speed& speed);

/// Engines of a zone that may be away from serving at once.
[[nodiscard]] std::uint32_t most_loading(std::uint32_t engines, double serving_floor);

} // namespace cornelloom::rollout
