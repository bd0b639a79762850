#include "crash_rig.hpp"

#include "front/adapter.hpp"
#include "front/crash_exchange.hpp"
#include "front/quarantine_store.hpp"

#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

using namespace cornelloom;
using namespace cornelloom::soak;
using namespace std::chrono_literals;

using standins::crashes_targets;

TEST_CASE("a request that crashes its targets is soon refused at every host", "[soak][crash]") {
    // Failure: a caller sent one request again and again, under new ids and at any host, and each
    // time up to two targets more ended.
    crash_rig rig(21);
    start_targets(rig, 8, 4);
    start_hosts(rig, 4);
    const std::string kind = GENERATE("/look/", "/stream/");
    const auto path = kind + std::string(crashes_targets);
    std::vector<transport::http_response> answers;
    std::vector<int> others;
    play(rig, [&]() -> loop::task<void> {
        answers = co_await repeat(rig, path, 4s);
        for (int count = 0; count < 8; ++count) {
            std::string page = kind + "page-" + std::to_string(count);
            const auto answer = co_await ask(rig, 0, std::move(page));
            others.push_back(answer.status);
        }
    });
    REQUIRE(third_run(rig, crashes_targets));
    CHECK_FALSE(is_late(rig, crashes_targets));
    const auto& last = answers.back();
    CHECK(last.status == 503);
    const auto pause = transport::find_header(last.headers, "Retry-After");
    REQUIRE(pause);
    CHECK(std::stod(std::string(*pause)) > 10);
    CHECK(last.body.find("crashed") != std::string::npos);
    CHECK(std::ranges::count(others, 200) == 8);
}

TEST_CASE("a host that has just started refuses what others know to crash targets",
          "[soak][crash]") {
    // Failure: a caller's next attempt goes to a new host, which learns for itself.
    crash_rig rig(22);
    start_targets(rig, 8, 0);
    start_hosts(rig, 4);
    const auto path = "/look/" + std::string(crashes_targets);
    std::size_t runs_before = 0;
    int status = 0;
    play(rig, [&]() -> loop::task<void> {
        co_await repeat(rig, path, 1s);
        add_host(rig);
        co_await loop::pause_for(rig.io, 2 * rig_stable_window);
        runs_before = count_runs(rig, crashes_targets);
        const auto answer = co_await ask(rig, 4, path);
        status = answer.status;
    });
    CHECK(runs_before >= 3);
    CHECK(count_runs(rig, crashes_targets) == runs_before);
    CHECK(status == 503);
}

TEST_CASE("a host takes over a quarantine that is older than its machine", "[soak][crash]") {
    // Failure: a host of a machine that had just started took what others told it for older than
    // what it had never seen, and sent the request to targets again.
    crash_rig rig(27);
    start_targets(rig, 1, 0);
    start_hosts(rig, 1);
    auto& host = *rig.hosts.front()->self;
    decide::shared_crash_record record;
    record.digest = 7;
    record.crashes = {{1, 61s, 1ms}, {2, 60s, 1ms}, {3, 59s, 1ms}};
    record.last_crash_age = 1min;
    record.quarantine_left = 5min;
    record.identified_age = 20h;
    record.identified_by = 3;
    front::merge_crashes_of(host, front::encode_crashes({{record}, {}}), "peer");
    const auto verdict = front::find_quarantine(host, record.digest);
    REQUIRE(verdict);
    CHECK(verdict->crashed_targets == 3);
}

TEST_CASE("a stored quarantine ends when its time is over", "[soak][crash]") {
    crash_rig rig(30);
    start_targets(rig, 1, 0);
    start_hosts(rig, 2);
    auto& before = *rig.hosts[0]->self;
    auto& after = *rig.hosts[1]->self;
    decide::shared_crash_record record;
    record.digest = 7;
    record.crashes = {{1, 3s, 1ms}, {2, 2s, 1ms}, {3, 1s, 1ms}};
    record.last_crash_age = 1s;
    record.quarantine_left = 5min;
    record.identified_age = 1s;
    record.identified_by = 3;
    front::merge_crashes_of(before, front::encode_crashes({{record}, {}}), "peer");
    const auto now = before.clock.wall_now();
    const auto stored = nlohmann::json::parse(front::encode_quarantines(before, now));
    const auto later = GENERATE(4min, 6min);
    front::merge_quarantines(after, stored, {now.unix_ms + milliseconds(later).count()});
    CHECK(front::find_quarantine(after, record.digest).has_value() == (later < 5min));
}

TEST_CASE("a stored trial run grows older in the store", "[soak][crash]") {
    // Failure: after a restart of all hosts the pause after the last trial run began anew.
    crash_rig rig(40);
    start_targets(rig, 1, 0);
    start_hosts(rig, 2);
    auto& before = *rig.hosts[0]->self;
    auto& after = *rig.hosts[1]->self;
    decide::shared_crash_record record;
    record.digest = 7;
    record.crashes = {{1, 4s, 1ms}, {2, 3s, 1ms}, {3, 2s, 1ms}};
    record.last_crash_age = 2s;
    record.trials = 1;
    record.first_trial_age = 1s;
    record.trial_age = 1s;
    front::merge_crashes_of(before, front::encode_crashes({{record}, {}}), "peer");
    const auto now = before.clock.wall_now();
    const auto stored = nlohmann::json::parse(front::encode_quarantines(before, now));
    front::merge_quarantines(after, stored, {now.unix_ms + milliseconds(4min).count()});
    const auto age = after.now() - after.crashes.ledger.digests.at(record.digest).last_trial;
    CHECK(age >= 4min);
    CHECK(age < 4min + 3s);
}

TEST_CASE("stored quarantines that can't be read are ignored", "[soak][crash]") {
    crash_rig rig(31);
    start_targets(rig, 1, 0);
    start_hosts(rig, 1);
    auto& host = *rig.hosts[0]->self;
    const auto* text =
        GENERATE("null", "[]", "{}", R"({"stored_unix_ms":"x","crashes":"{}"})",
                 R"({"stored_unix_ms":1,"crashes":{}})", R"({"stored_unix_ms":1,"crashes":"{"})");
    front::merge_quarantines(host, nlohmann::json::parse(text), host.clock.wall_now());
    CHECK(host.crashes.ledger.digests.empty());
}

namespace {

constexpr std::string_view stored_kind = "cornelloom-quarantines";

/// Merges that many quarantines into what the host knows; a higher digest is newer.
void merge_many(front::host& host, std::uint64_t count) {
    decide::shared_crashes many;
    for (std::uint64_t digest = 1; digest <= count; ++digest) {
        const auto target = digest * 10;
        const auto age = 1s + std::chrono::seconds(count - digest);
        decide::shared_crash_record record;
        record.digest = digest;
        record.crashes = {
            {target, age + 2s, 1ms}, {target + 1, age + 1s, 1ms}, {target + 2, age, 1ms}};
        record.last_crash_age = age;
        record.quarantine_left = 5min;
        record.identified_age = age;
        record.identified_by = target + 2;
        many.records.push_back(std::move(record));
    }
    front::merge_crashes_of(host, front::encode_crashes(many), "peer");
}

/// Waits until the store has rejected a write of quarantines.
loop::task<void> wait_for_rejection(crash_rig& rig, const std::uint64_t& rejected) {
    const auto until = loop::after(10s);
    while (rejected == 0 && loop::steady_clock::now() < until) {
        co_await loop::pause_for(rig.io, 50ms);
    }
}

} // namespace

TEST_CASE("stored quarantines fit into an object that the store accepts", "[soak][crash]") {
    // Failure: a store of small objects rejected the whole list, and none was kept.
    crash_rig rig(32);
    start_targets(rig, 1, 0);
    start_hosts(rig, 2);
    auto& before = *rig.hosts[0]->self;
    auto& after = *rig.hosts[1]->self;
    before.settings.max_value_bytes = 4096;
    constexpr std::uint64_t count = 64;
    merge_many(before, count);
    REQUIRE(front::find_quarantine(before, count));
    const auto now = before.clock.wall_now();
    const auto text = front::encode_quarantines(before, now);
    const auto write =
        before.platform_adapter.replace(front::object_kind::quarantines, "requests", text, 1000000);
    CHECK(write.message.body.size() <= before.settings.max_value_bytes);
    front::merge_quarantines(after, nlohmann::json::parse(text), now);
    CHECK(front::find_quarantine(after, count));
}

TEST_CASE("a quarantine that the store rejects is not written again and again", "[soak][crash]") {
    // Failure: the host repeated the same write every second for as long as it ran.
    crash_rig rig(33);
    start_targets(rig, 8, 0);
    start_hosts(rig, 1);
    rig.platform->troubles.largest_write = 64;
    const auto& rejected = rig.platform->writes_too_large[std::string(stored_kind)];
    const auto path = "/look/" + std::string(crashes_targets);
    std::uint64_t first = 0;
    play(rig, [&]() -> loop::task<void> {
        co_await repeat(rig, path, 3s);
        co_await wait_for_rejection(rig, rejected);
        first = rejected;
        co_await loop::pause_for(rig.io, 4s);
    });
    CHECK(first > 0);
    CHECK(rejected == first);
}

namespace {

/// Lets a request crash targets until it is quarantined and stored; returns the stored objects.
std::map<std::string, standins::store::object> store_quarantine(std::string path) {
    crash_rig rig(28);
    start_targets(rig, 8, 0);
    start_hosts(rig, 4);
    play(rig, [&]() -> loop::task<void> { co_await repeat(rig, path, 3s); });
    return rig.platform->kinds[std::string(stored_kind)];
}

} // namespace

TEST_CASE("hosts that were all killed at once refuse what they knew to crash targets",
          "[soak][crash]") {
    // Failure: all hosts lost their memory at once, and the request crashed as many targets again.
    const auto path = "/look/" + std::string(crashes_targets);
    const auto stored = store_quarantine(path);
    crash_rig rig(29);
    rig.platform->kinds[std::string(stored_kind)] = stored;
    start_targets(rig, 8, 0);
    start_hosts(rig, 4);
    std::vector<int> statuses;
    int other = 0;
    play(rig, [&]() -> loop::task<void> {
        for (std::size_t host = 0; host < rig.hosts.size(); ++host) {
            const auto answer = co_await ask(rig, host, path);
            statuses.push_back(answer.status);
        }
        const auto served = co_await ask(rig, 0, "/look/page");
        other = served.status;
    });
    CHECK(statuses == std::vector<int>(rig.hosts.size(), 503));
    CHECK(count_runs(rig, crashes_targets) == 0);
    CHECK(other == 200);
}

TEST_CASE("the same path with another body is served while one body is quarantined",
          "[soak][crash]") {
    crash_rig rig(23);
    start_targets(rig, 8, 0);
    start_hosts(rig, 2);
    int crashing = 0;
    int other = 0;
    play(rig, [&]() -> loop::task<void> {
        const std::string crashing_body(crashes_targets);
        for (int count = 0; count < 4; ++count) {
            co_await ask(rig, count % 2, "/look/page", crashing_body);
            co_await loop::pause_for(rig.io, 100ms);
        }
        co_await loop::pause_for(rig.io, 1s);
        const auto refused = co_await ask(rig, 0, "/look/page", crashing_body);
        crashing = refused.status;
        const auto served = co_await ask(rig, 1, "/look/page", "another body");
        other = served.status;
    });
    CHECK(crashing == 503);
    CHECK(other == 200);
}

TEST_CASE("no request is quarantined when many targets end for another reason", "[soak][crash]") {
    // Failure: a rack, a zone or a release takes targets away, and the requests that ran there are
    // taken for the cause.
    crash_rig rig(24);
    start_targets(rig, 9, 0);
    start_hosts(rig, 4);
    slow_down(rig, 60ms);
    const bool together = GENERATE(true, false);
    const bool same = GENERATE(true, false);
    play(rig, [&]() -> loop::task<void> {
        loop::asio::co_spawn(rig.io, send_everywhere(rig, "/look/page", 6s, 4, same),
                             loop::asio::detached);
        for (std::size_t wave = 0; wave < 3; ++wave) {
            for (std::size_t target = 0; target < rig.targets.size(); target += together ? 2 : 1) {
                loop::asio::co_spawn(rig.io, take_down(rig, target, 500ms), loop::asio::detached);
                co_await loop::pause_for(rig.io, together ? 1ms : 70ms);
            }
            co_await loop::pause_for(rig.io, 1s);
        }
        co_await loop::pause_for(rig.io, 2s);
    });
    CHECK(quarantine_refusals(rig) == 0);
}

TEST_CASE("requests beside one that crashes targets are not quarantined", "[soak][crash]") {
    // Failure: what ran on the same targets is refused in its place, or with it.
    crash_rig rig(25);
    start_targets(rig, 8, 0);
    start_hosts(rig, 4);
    slow_down(rig, 60ms);
    std::vector<transport::http_response> answers;
    play(rig, [&]() -> loop::task<void> {
        loop::asio::co_spawn(rig.io, send_everywhere(rig, "/look/page", 5s, 3, false),
                             loop::asio::detached);
        std::string path = "/look/" + std::string(crashes_targets);
        answers = co_await repeat(rig, std::move(path), 4s);
        co_await loop::pause_for(rig.io, 1500ms);
    });
    CHECK_FALSE(is_late(rig, crashes_targets));
    // Every refusal went to the request that crashes targets.
    const auto refused = std::ranges::count(answers, 503, &transport::http_response::status);
    CHECK(quarantine_refusals(rig) <= static_cast<double>(refused));
    CHECK(refused > 0);
}

TEST_CASE("an item or a scoring call that crashes its targets is held back", "[soak][crash]") {
    // Failure: the host that runs a batch sends such an item to one target after the other.
    crash_rig rig(26);
    start_targets(rig, 6, 6);
    start_hosts(rig, 2);
    const bool scoring = GENERATE(false, true);
    standins::step_plan plan;
    plan.id = "step";
    plan.host = rig_host;
    plan.path = "/steps/";
    plan.model = "model";
    plan.key = rig_key;
    plan.groups_wanted = 1;
    for (int index = 0; index < 4; ++index) {
        standins::step_item item;
        item.id = "item-" + std::to_string(index);
        item.group = "group-" + std::to_string(index);
        const bool crashing = index == 0;
        item.path = "/steps/" + std::string(crashing && !scoring ? crashes_targets : "item");
        item.events = 20;
        item.scoring_id = "score-" + std::to_string(index);
        item.scoring_path = "/look/" + std::string(crashing && scoring ? crashes_targets : "score");
        plan.items.push_back(item);
    }
    std::size_t listed = 0;
    play(rig, [&]() -> loop::task<void> {
        loop::connection_pool pool(rig.io);
        const auto& where = rig.hosts[0]->self->settings.caller_endpoint;
        auto submission = standins::submission(plan);
        co_await loop::call(pool, where, std::move(submission), loop::after(3s), 1s);
        co_await loop::pause_for(rig.io, 7s);
        auto reading = standins::results_call(plan, 0, 100ms);
        const auto read = co_await loop::call(pool, where, std::move(reading), loop::after(3s), 1s);
        const auto page = standins::read_page(read.answer.body);
        listed = page ? page->results.size() : 0;
    });
    REQUIRE(third_run(rig, crashes_targets));
    CHECK_FALSE(is_late(rig, crashes_targets));
    CHECK(listed == 3);
}
