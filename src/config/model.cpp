#include "config/model.hpp"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <memory>

namespace cornelloom::config {

namespace {

/// The id that stands for all pools or services.
constexpr std::string_view all_ids = "*";

template <class Range, class Id> auto find_by_id(const Range& range, const Id& id) {
    const auto it = std::ranges::find_if(range, [&](const auto& item) { return item.id == id; });
    return it == range.end() ? nullptr : &*it;
}

template <class Id> bool lists(const std::vector<Id>& ids, const Id& id) {
    return std::ranges::any_of(
        ids, [&](const Id& listed) { return listed == id || listed.str() == all_ids; });
}

bool is_ip(const std::string& text, int family) {
    std::array<unsigned char, sizeof(in6_addr)> binary{};
    return inet_pton(family, text.c_str(), binary.data()) == 1;
}

std::optional<std::uint16_t> parse_port(std::string_view text) {
    std::uint16_t port = 0;
    const auto* last = std::to_address(text.end());
    const auto [end, failed] = std::from_chars(std::to_address(text.begin()), last, port);
    if (failed != std::errc{} || end != last || port == 0) {
        return std::nullopt;
    }
    return port;
}

bool serves(const rollout_pool& pool, const target& candidate) {
    const bool in_region = pool.regions.empty() || lists(pool.regions, candidate.region);
    const bool in_zone = pool.zones.empty() || lists(pool.zones, candidate.zone);
    return in_region && in_zone && lists(candidate.pools, pool.id);
}

} // namespace

std::string to_string(const network_address& where) {
    const bool v6 = where.ip.find(':') != std::string::npos;
    return (v6 ? "[" + where.ip + "]" : where.ip) + ":" + std::to_string(where.port);
}

std::optional<network_address> parse_address(std::string_view text) {
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    const auto port = parse_port(text.substr(colon + 1));
    auto host = text.substr(0, colon);
    const bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (bracketed) {
        host = host.substr(1, host.size() - 2);
    }
    std::string ip(host);
    if (!port || !is_ip(ip, bracketed ? AF_INET6 : AF_INET)) {
        return std::nullopt;
    }
    return network_address{std::move(ip), *port};
}

std::string_view to_string(priority_class priority) {
    constexpr std::array<std::string_view, 3> names{"interactive", "rollout", "background"};
    return names[static_cast<std::size_t>(priority)];
}

std::string_view to_string(release_mode mode) {
    return mode == release_mode::sample ? "sample" : "group";
}

std::string_view to_string(verb action) {
    constexpr std::array<std::string_view, 3> names{"call", "train", "operate"};
    return names[static_cast<std::size_t>(action)];
}

const rollout_pool* find_pool(const configuration& all, const kernel::pool_id& id) {
    return find_by_id(all.pools, id);
}

const service* find_service(const configuration& all, const kernel::service_id& id) {
    return find_by_id(all.services, id);
}

const target* find_target(const configuration& all, const kernel::target_id& id) {
    return find_by_id(all.targets, id);
}

const caller* find_caller_by_token(const configuration& all, std::string_view token_sha256) {
    const auto it = std::ranges::find(all.callers, token_sha256, &caller::token_sha256);
    return it == all.callers.end() ? nullptr : &*it;
}

kernel::region_id region_of(const configuration& all, const kernel::zone_id& zone) {
    const auto* found = find_by_id(all.zones, zone);
    return found == nullptr ? kernel::region_id{} : found->region;
}

bool may(const caller& who, verb action) {
    return std::ranges::find(who.verbs, action) != who.verbs.end();
}

bool may(const caller& who, verb action, const kernel::pool_id& pool) {
    return may(who, action) && lists(who.pools, pool);
}

bool may(const caller& who, verb action, const kernel::service_id& service) {
    return may(who, action) && lists(who.services, service);
}

service_call find_call(const service& from, std::string_view method, std::string_view path) {
    service_call best{.method = std::string(method),
                      .path_prefix = "",
                      .idempotent = false,
                      .deadline = from.deadline};
    for (const auto& rule : from.calls) {
        const bool method_fits = rule.method == "*" || rule.method == method;
        const bool longer = rule.path_prefix.size() > best.path_prefix.size();
        if (method_fits && longer && path.starts_with(rule.path_prefix)) {
            best = rule;
        }
    }
    if (best.deadline == duration{}) {
        best.deadline = from.deadline;
    }
    return best;
}

std::vector<const target*> targets_of(const configuration& all, const rollout_pool& pool) {
    std::vector<const target*> found;
    const rollout_pool* from = &pool;
    // Checked configurations have no cycle; the bound keeps an unchecked one from hanging.
    for (std::size_t step = 0; from != nullptr && step <= all.pools.size(); ++step) {
        for (const auto& candidate : all.targets) {
            const bool known = std::ranges::find(found, &candidate) != found.end();
            if (!known && serves(*from, candidate)) {
                found.push_back(&candidate);
            }
        }
        from = from->fallback.empty() ? nullptr : find_pool(all, from->fallback);
    }
    return found;
}

std::vector<const target*> targets_of(const configuration& all, const service& from) {
    std::vector<const target*> found;
    for (const auto& candidate : all.targets) {
        if (lists(candidate.services, from.id)) {
            found.push_back(&candidate);
        }
    }
    return found;
}

} // namespace cornelloom::config
