#include "front/access.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace cornelloom::front;
using namespace std::chrono_literals;

namespace {

constexpr std::string_view host_name = "lots.example";

route make_route(std::string path, bool open_to_all) {
    route out;
    out.host = host_name;
    out.path_prefix = std::move(path);
    out.open_to_all = open_to_all;
    return out;
}

/// Two accounts: `east` with two keys, `west` with one.
std::shared_ptr<const route_index> with_accounts() {
    configuration source;
    source.version = 4;
    source.routes = {make_route("/lots/", false), make_route("/open/", true)};
    source.accounts = {{"east", {"hash-e1", "hash-e2"}}, {"west", {"hash-w1"}}};
    return index_routes(std::move(source));
}

caller_request with_key(std::optional<std::string> hash) {
    caller_request out;
    out.id = "r1";
    out.host = host_name;
    out.key_hash = std::move(hash);
    return out;
}

const knowledge_bounds bounds{4000ms, 4950ms};

access_decision judge(const route_index& index, std::optional<std::string> hash,
                      std::string_view path, milliseconds age, access_use use = access_use::run) {
    const auto* way = find_route(index, host_name, path);
    return judge_access(index, with_key(std::move(hash)), way, use, age, bounds);
}

} // namespace

TEST_CASE("a request runs under the account that holds its key", "[front][access]") {
    const auto index = with_accounts();
    const auto granted = judge(*index, "hash-e2", "/lots/7", 100ms);
    CHECK(granted.verdict == access_verdict::granted);
    CHECK(granted.account == "east");
    CHECK(judge(*index, "hash-w1", "/lots/7", 100ms).account == "west");
}

TEST_CASE("a request without a known key is refused for good at once", "[front][access]") {
    const auto index = with_accounts();
    CHECK(judge(*index, std::nullopt, "/lots/7", 100ms).verdict == access_verdict::no_key);
    CHECK(judge(*index, "hash-x", "/lots/7", 100ms).verdict == access_verdict::no_key);
}

TEST_CASE("a key opens nothing once its removal may have been accepted too long ago",
          "[front][access]") {
    // Guards against a host that is cut off, or was suspended, and runs requests of a client whose
    // key was taken away.
    const auto index = with_accounts();
    CHECK(judge(*index, "hash-e1", "/lots/7", 4950ms).verdict == access_verdict::granted);
    CHECK(judge(*index, "hash-e1", "/lots/7", 4951ms).verdict == access_verdict::not_sure);
    CHECK(judge(*index, "hash-e1", "/lots/7", milliseconds::max()).verdict ==
          access_verdict::not_sure);
}

TEST_CASE("routes that are open to all go on while keys can't be checked", "[front][access]") {
    const auto index = with_accounts();
    const auto old = judge(*index, "hash-e1", "/open/7", 60s);
    CHECK(old.verdict == access_verdict::granted);
    CHECK(old.account == "");
    CHECK(judge(*index, "hash-e1", "/open/7", 1s).account == "east");
    CHECK(judge(*index, std::nullopt, "/open/7", 1s).verdict == access_verdict::granted);
}

TEST_CASE("what was accepted can be read by a known key, however old that knowledge is",
          "[front][access]") {
    // Guards against finished samples that their trainer can't fetch while the store is away.
    const auto index = with_accounts();
    const auto read = judge(*index, "hash-w1", "/batches/b1", 60s, access_use::see_accepted);
    CHECK(read.verdict == access_verdict::granted);
    CHECK(read.account == "west");
    CHECK(judge(*index, "hash-x", "/batches/b1", 1s, access_use::see_accepted).verdict ==
          access_verdict::no_key);
}

TEST_CASE("a host that may lack a newer version refuses nothing for good", "[front][access]") {
    // Guards against a 404 or 401 for a route or key that operators added a while ago.
    const auto index = with_accounts();
    CHECK(judge(*index, "hash-e1", "/new/7", 4000ms).verdict == access_verdict::unknown);
    CHECK(judge(*index, "hash-e1", "/new/7", 4001ms).verdict == access_verdict::not_sure);
    CHECK(judge(*index, "hash-x", "/lots/7", 4001ms).verdict == access_verdict::not_sure);
}

TEST_CASE("without accounts no key is asked for and none is looked at", "[front][access]") {
    configuration source;
    source.routes = {make_route("/lots/", false)};
    const auto index = index_routes(std::move(source));
    const auto granted = judge(*index, "hash-e1", "/lots/7", 60s);
    CHECK(granted.verdict == access_verdict::granted);
    CHECK_FALSE(granted.account);
}

TEST_CASE("no request that is sent after the bound of a revocation runs", "[front][access]") {
    // Guards against any delay, pause or loss of news that lets a removed key through: the host
    // knows the configuration as it was `age` before the request came.
    const auto index = with_accounts();
    rc::prop("for any moments of revocation, knowledge and arrival", [&index] {
        constexpr auto revoke = 5000ms;
        const auto revoked = milliseconds(*rc::gen::inRange(0, 20000));
        const auto known = milliseconds(*rc::gen::inRange(0, 20000));
        const auto sent = milliseconds(*rc::gen::inRange(0, 20000));
        const auto arrived = sent + milliseconds(*rc::gen::inRange(0, 20000));
        const auto age = arrived - known;
        RC_PRE(age >= 0ms && known < revoked); // this host does not know of the revocation
        const auto verdict = judge(*index, "hash-e1", "/lots/7", age).verdict;
        if (verdict == access_verdict::granted) {
            RC_ASSERT(sent <= revoked + revoke);
        }
    });
}

TEST_CASE("the bounds of knowledge follow from the settings", "[front][access]") {
    host_settings settings;
    settings.calm = 5s;
    settings.in_force = 4s;
    CHECK(bounds_of(settings).refusals == 9s);
    CHECK_FALSE(bounds_of(settings).keys);
    settings.revocation = 5s;
    CHECK(bounds_of(settings).keys < 5s);
    CHECK(bounds_of(settings).refusals <= 5s);
}
