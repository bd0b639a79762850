#include "config/internal/extract.hpp"

#include <algorithm>
#include <limits>

namespace cornelloom::config::internal {

namespace {

const json_node* find_kind(const json_node& object, std::string_view name, json_kind kind) {
    const auto* value = find_member(object, name);
    return value != nullptr && value->kind == kind ? value : nullptr;
}

template <class Int> void take_integer(const json_node& object, std::string_view name, Int& into) {
    const auto* value = find_kind(object, name, json_kind::integer);
    if (value != nullptr && std::in_range<Int>(value->integer)) {
        into = static_cast<Int>(value->integer);
    }
}

service_call extract_call(const json_node& from) {
    service_call call;
    take(from, "method", call.method);
    take(from, "path_prefix", call.path_prefix);
    take(from, "idempotent", call.idempotent);
    take(from, "deadline_ms", call.deadline);
    return call;
}

} // namespace

void take(const json_node& object, std::string_view name, std::string& into) {
    if (const auto* value = find_kind(object, name, json_kind::text)) {
        into = value->text;
    }
}

void take(const json_node& object, std::string_view name, bool& into) {
    if (const auto* value = find_kind(object, name, json_kind::boolean)) {
        into = value->boolean;
    }
}

void take(const json_node& object, std::string_view name, double& into) {
    const auto* value = find_member(object, name);
    const bool is_number =
        value != nullptr && (value->kind == json_kind::integer || value->kind == json_kind::number);
    if (is_number) {
        into = value->number;
    }
}

void take(const json_node& object, std::string_view name, std::uint32_t& into) {
    take_integer(object, name, into);
}

void take(const json_node& object, std::string_view name, std::uint64_t& into) {
    take_integer(object, name, into);
}

void take(const json_node& object, std::string_view name, network_address& into) {
    const auto* value = find_kind(object, name, json_kind::text);
    if (value == nullptr) {
        return;
    }
    if (auto parsed = parse_address(value->text)) {
        into = *std::move(parsed);
    }
}

void take(const json_node& object, std::string_view name, duration& into) {
    // Beyond this a duration in nanoseconds overflows; the range check reports far less already.
    constexpr std::int64_t most_ms = std::numeric_limits<std::int64_t>::max() / 1'000'000;
    const auto* value = find_kind(object, name, json_kind::integer);
    if (value != nullptr && value->integer >= 0 && value->integer <= most_ms) {
        into = std::chrono::milliseconds{value->integer};
    }
}

std::vector<std::string> texts(const json_node& object, std::string_view name) {
    std::vector<std::string> all;
    if (const auto* list = find_kind(object, name, json_kind::array)) {
        for (const auto& item : list->items) {
            if (item.kind == json_kind::text) {
                all.push_back(item.text);
            }
        }
    }
    return all;
}

zone extract_zone(const json_node& from) {
    zone made;
    take(from, "id", made.id);
    take(from, "region", made.region);
    return made;
}

rollout_pool extract_pool(const json_node& from) {
    rollout_pool pool;
    take(from, "id", pool.id);
    take(from, "trainers", pool.trainers);
    take(from, "model", pool.model);
    take(from, "adapter", pool.adapter);
    take(from, "first_version", pool.first_version);
    if (find_kind(from, "pinned_version", json_kind::integer) != nullptr) {
        take(from, "pinned_version", pool.pinned_version.emplace());
    }
    take(from, "regions", pool.regions);
    take(from, "zones", pool.zones);
    take(from, "staleness_bound", pool.staleness_bound);
    take_choice(from, "release", release_mode::group, pool.release);
    take(from, "idle_weight", pool.idle_weight);
    take(from, "staleness_weight", pool.staleness_weight);
    take_choice(from, "priority", priority_class::background, pool.priority);
    take(from, "hedge_token_share", pool.hedge_token_share);
    take(from, "scoring_service", pool.scoring_service);
    take(from, "weight_orders_per_second", pool.weight_orders_per_second);
    take(from, "serving_floor", pool.serving_floor);
    take(from, "min_group_size", pool.min_group_size);
    take(from, "max_group_size", pool.max_group_size);
    take(from, "max_samples_per_step", pool.max_samples_per_step);
    take(from, "max_tokens_per_sample", pool.max_tokens_per_sample);
    take(from, "fallback", pool.fallback);
    return pool;
}

target extract_target(const json_node& from) {
    target made;
    take(from, "id", made.id);
    take(from, "kind", made.kind);
    take(from, "address", made.address);
    take(from, "zone", made.zone);
    take(from, "pools", made.pools);
    take(from, "services", made.services);
    take(from, "capacity", made.capacity);
    take(from, "honours_fencing", made.honours_fencing);
    take(from, "checks_identity", made.checks_identity);
    return made;
}

caller extract_caller(const json_node& from) {
    caller made;
    take(from, "id", made.id);
    take(from, "token_sha256", made.token_sha256);
    take_choice(from, "priority", priority_class::background, made.priority);
    take(from, "rate_per_second", made.rate_per_second);
    take(from, "burst", made.burst);
    take(from, "share", made.share);
    take(from, "default_deadline_ms", made.default_deadline);
    take(from, "pools", made.pools);
    take(from, "services", made.services);
    for (const auto& text : texts(from, "verbs")) {
        for (const auto candidate : {verb::call, verb::train, verb::operate}) {
            if (to_string(candidate) == text) {
                made.verbs.push_back(candidate);
            }
        }
    }
    return made;
}

service extract_service(const json_node& from) {
    service made;
    take(from, "id", made.id);
    if (const auto* calls = find_kind(from, "calls", json_kind::array)) {
        std::ranges::transform(calls->items, std::back_inserter(made.calls), extract_call);
    }
    take(from, "deadline_ms", made.deadline);
    take(from, "scoring", made.scoring);
    return made;
}

} // namespace cornelloom::config::internal
