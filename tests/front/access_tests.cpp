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
    out.allow_anonymous = open_to_all;
    return out;
}

/// Two accounts: `east` with two keys, `west` with one.
std::shared_ptr<const route_index> index_with_accounts() {
    configuration source;
    source.version = 4;
    source.routes = {make_route("/lots/", false), make_route("/open/", true)};
    source.accounts = {{"east", {"hash-e1", "hash-e2"}}, {"west", {"hash-w1"}}};
    return index_routes(std::move(source));
}

caller_request request_with_key(std::optional<std::string> hash) {
    caller_request out;
    out.id = "r1";
    out.host = host_name;
    out.key_hash = std::move(hash);
    return out;
}

const configuration_age_limits limits{4000ms, 4950ms};

access_decision check(const route_index& index, std::optional<std::string> hash,
                      std::string_view path, milliseconds age,
                      access_purpose purpose = access_purpose::new_request) {
    const auto* request_route = find_route(index, host_name, path);
    return check_access(index, request_with_key(std::move(hash)), request_route, purpose, age,
                        limits);
}

} // namespace

TEST_CASE("a request runs under the account that holds its key", "[front][access]") {
    const auto index = index_with_accounts();
    const auto granted = check(*index, "hash-e2", "/lots/7", 100ms);
    CHECK(granted.verdict == access_verdict::granted);
    CHECK(granted.account == "east");
    CHECK(check(*index, "hash-w1", "/lots/7", 100ms).account == "west");
}

TEST_CASE("a request without a known key is refused for good at once", "[front][access]") {
    const auto index = index_with_accounts();
    CHECK(check(*index, std::nullopt, "/lots/7", 100ms).verdict == access_verdict::no_key);
    CHECK(check(*index, "hash-x", "/lots/7", 100ms).verdict == access_verdict::no_key);
}

TEST_CASE("a key is not accepted once it may have been revoked too long ago", "[front][access]") {
    // Guards against a host that is cut off from the store, or was suspended, and runs requests of
    // a client whose key was revoked.
    const auto index = index_with_accounts();
    CHECK(check(*index, "hash-e1", "/lots/7", 4950ms).verdict == access_verdict::granted);
    CHECK(check(*index, "hash-e1", "/lots/7", 4951ms).verdict ==
          access_verdict::configuration_stale);
    CHECK(check(*index, "hash-e1", "/lots/7", milliseconds::max()).verdict ==
          access_verdict::configuration_stale);
}

TEST_CASE("routes without keys are served while keys can't be checked", "[front][access]") {
    const auto index = index_with_accounts();
    const auto stale = check(*index, "hash-e1", "/open/7", 60s);
    CHECK(stale.verdict == access_verdict::granted);
    CHECK(stale.account == "");
    CHECK(check(*index, "hash-e1", "/open/7", 1s).account == "east");
    CHECK(check(*index, std::nullopt, "/open/7", 1s).verdict == access_verdict::granted);
}

TEST_CASE("accepted batches can be read with a known key at any age of the configuration",
          "[front][access]") {
    // Guards against finished samples that their trainer can't fetch while the store is down.
    const auto index = index_with_accounts();
    const auto read = check(*index, "hash-w1", "/batches/b1", 60s, access_purpose::existing_batch);
    CHECK(read.verdict == access_verdict::granted);
    CHECK(read.account == "west");
    CHECK(check(*index, "hash-x", "/batches/b1", 1s, access_purpose::existing_batch).verdict ==
          access_verdict::no_key);
}

TEST_CASE("a host that may lack a newer version refuses nothing for good", "[front][access]") {
    // Guards against status 404 or 401 for a route or key that operators have already added.
    const auto index = index_with_accounts();
    CHECK(check(*index, "hash-e1", "/new/7", 4000ms).verdict == access_verdict::no_route);
    CHECK(check(*index, "hash-e1", "/new/7", 4001ms).verdict ==
          access_verdict::configuration_stale);
    CHECK(check(*index, "hash-x", "/lots/7", 4001ms).verdict ==
          access_verdict::configuration_stale);
}

TEST_CASE("without accounts no key is required or checked", "[front][access]") {
    configuration source;
    source.routes = {make_route("/lots/", false)};
    const auto index = index_routes(std::move(source));
    const auto granted = check(*index, "hash-e1", "/lots/7", 60s);
    CHECK(granted.verdict == access_verdict::granted);
    CHECK_FALSE(granted.account);
}

TEST_CASE("no request runs that was sent after the revocation bound", "[front][access]") {
    // Guards against delays, suspensions and lost updates that let a revoked key through: the host
    // knows the configuration as it was `age` before the request arrived.
    const auto index = index_with_accounts();
    rc::prop("for any moments of revocation, knowledge and arrival", [&index] {
        constexpr auto revocation_bound = 5000ms;
        const auto revoked = milliseconds(*rc::gen::inRange(0, 20000));
        const auto confirmed = milliseconds(*rc::gen::inRange(0, 20000));
        const auto sent = milliseconds(*rc::gen::inRange(0, 20000));
        const auto arrived = sent + milliseconds(*rc::gen::inRange(0, 20000));
        const auto age = arrived - confirmed;
        RC_PRE(age >= 0ms && confirmed < revoked); // the host does not know of the revocation
        const auto verdict = check(*index, "hash-e1", "/lots/7", age).verdict;
        if (verdict == access_verdict::granted) {
            RC_ASSERT(sent <= revoked + revocation_bound);
        }
    });
}

TEST_CASE("the limits of the configuration age follow from the settings", "[front][access]") {
    host_settings settings;
    settings.stable_window = 5s;
    settings.config_apply_bound = 4s;
    CHECK(age_limits_of(settings).max_refusal_age == 9s);
    CHECK_FALSE(age_limits_of(settings).max_key_age);
    settings.revocation_bound = 5s;
    CHECK(age_limits_of(settings).max_key_age < 5s);
    CHECK(age_limits_of(settings).max_refusal_age <= 5s);
}
