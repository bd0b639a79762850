#include "front/routing.hpp"

#include <catch2/catch.hpp>

using namespace cornelloom::front;

namespace {

configuration make_configuration() {
    configuration out;
    route ranked;
    ranked.host = "h";
    ranked.path_prefix = "/a/";
    ranked.priority = 2;
    out.routes.push_back(ranked);
    client_account first{.name = "first"};
    first.priority = 0;
    out.accounts = std::vector{first, client_account{.name = "unranked"}};
    return out;
}

} // namespace

TEST_CASE("the rank of a client account goes before that of the route", "[front][routing]") {
    const auto index = index_routes(make_configuration());
    const auto& ranked = index->config.routes.front();
    CHECK(request_rank(*index, "first", ranked) == 0);
    CHECK(request_rank(*index, "unranked", ranked) == 2);
    CHECK(request_rank(*index, "", ranked) == 2);
}

TEST_CASE("without ranks of accounts targets use their default", "[front][routing]") {
    // Guards against ranks of routes that reach targets of deployments that never asked for ranks.
    auto config = make_configuration();
    config.accounts->front().priority.reset();
    const auto index = index_routes(config);
    CHECK_FALSE(request_rank(*index, "first", index->config.routes.front()));
    config.accounts.reset();
    const auto open = index_routes(config);
    CHECK_FALSE(request_rank(*open, "", open->config.routes.front()));
}
