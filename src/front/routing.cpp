#include "front/routing.hpp"

#include "kernel/hash.hpp"

#include <numeric>

namespace cornelloom::front {

std::shared_ptr<const route_index> index_routes(configuration config) {
    auto index = std::make_shared<route_index>();
    index->config = std::move(config);
    const auto& routes = index->config.routes;
    for (std::size_t position = 0; position < routes.size(); ++position) {
        index->by_host[routes[position].host].try_emplace(routes[position].path_prefix, position);
    }
    if (index->config.accounts) {
        for (const auto& account : *index->config.accounts) {
            if (account.priority) {
                index->priority_by_account.try_emplace(account.name, *account.priority);
            }
            for (const auto& hash : account.key_hashes) {
                index->account_by_key.try_emplace(hash, account.name);
            }
        }
    }
    return index;
}

const route* find_route(const route_index& index, std::string_view host, std::string_view path) {
    const auto host_routes = index.by_host.find(std::string(host));
    if (host_routes == index.by_host.end()) {
        return nullptr;
    }
    for (auto slash = path.rfind('/'); slash != std::string_view::npos;
         slash = slash == 0 ? std::string_view::npos : path.rfind('/', slash - 1)) {
        const auto found = host_routes->second.find(std::string(path.substr(0, slash + 1)));
        if (found != host_routes->second.end()) {
            return &index.config.routes[found->second];
        }
    }
    return nullptr;
}

std::optional<int> request_rank(const route_index& index, std::string_view account,
                                const route& request_route) {
    if (index.priority_by_account.empty()) {
        return std::nullopt;
    }
    const auto found = index.priority_by_account.find(std::string(account));
    return found == index.priority_by_account.end() ? request_route.priority : found->second;
}

std::string_view choose_service(const route& request_route, std::string_view request_id) {
    const auto& shares = request_route.services;
    if (shares.empty()) {
        return {};
    }
    const auto total =
        std::accumulate(shares.begin(), shares.end(), std::uint64_t{0},
                        [](std::uint64_t sum, const traffic_share& share) {
                            return sum + static_cast<std::uint64_t>(std::max(share.weight, 0));
                        });
    if (total == 0) {
        return shares.front().service;
    }
    auto offset = kernel::hash64(request_id) % total;
    for (const auto& share : shares) {
        const auto weight = static_cast<std::uint64_t>(std::max(share.weight, 0));
        if (offset < weight) {
            return share.service;
        }
        offset -= weight;
    }
    return shares.back().service;
}

} // namespace cornelloom::front
