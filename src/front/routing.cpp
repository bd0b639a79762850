#include "front/routing.hpp"

#include "kernel/hash.hpp"

#include <numeric>

namespace cornelloom::front {

std::shared_ptr<const route_index> index_routes(configuration source) {
    auto index = std::make_shared<route_index>();
    index->source = std::move(source);
    const auto& routes = index->source.routes;
    for (std::size_t at = 0; at < routes.size(); ++at) {
        index->by_host[routes[at].host].try_emplace(routes[at].path_prefix, at);
    }
    if (index->source.accounts) {
        for (const auto& account : *index->source.accounts) {
            for (const auto& hash : account.key_hashes) {
                index->account_by_key.try_emplace(hash, account.name);
            }
        }
    }
    return index;
}

const route* find_route(const route_index& index, std::string_view host, std::string_view path) {
    const auto of_host = index.by_host.find(std::string(host));
    if (of_host == index.by_host.end()) {
        return nullptr;
    }
    for (auto slash = path.rfind('/'); slash != std::string_view::npos;
         slash = slash == 0 ? std::string_view::npos : path.rfind('/', slash - 1)) {
        const auto found = of_host->second.find(std::string(path.substr(0, slash + 1)));
        if (found != of_host->second.end()) {
            return &index.source.routes[found->second];
        }
    }
    return nullptr;
}

std::string_view choose_service(const route& chosen, std::string_view request_id) {
    const auto& shares = chosen.services;
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
    auto point = kernel::hash64(request_id) % total;
    for (const auto& share : shares) {
        const auto weight = static_cast<std::uint64_t>(std::max(share.weight, 0));
        if (point < weight) {
            return share.service;
        }
        point -= weight;
    }
    return shares.back().service;
}

} // namespace cornelloom::front
