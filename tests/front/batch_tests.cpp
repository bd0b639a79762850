#include "front/batch.hpp"
#include "front/records.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <set>

using namespace cornelloom::front;
using namespace std::chrono_literals;

namespace {

const time_point start_time = time_point{} + 1h;
constexpr std::size_t max_bytes = 1U << 20U;

batch_spec make_spec(int groups, int size) {
    batch_spec spec;
    for (int group = 0; group < groups; ++group) {
        for (int i = 0; i < size; ++i) {
            batch_item item;
            item.id = "item-" + std::to_string(group) + "-" + std::to_string(i);
            item.group = "group-" + std::to_string(group);
            item.expected_output_tokens = 100 * (i + 1);
            spec.items.push_back(item);
        }
    }
    spec.required_groups = groups;
    return spec;
}

batch make_test_batch(int groups, int size) {
    batch_header header;
    header.id = "batch-1";
    header.owner = "host-a";
    return make_batch(header, make_spec(groups, size), start_time);
}

item_result make_result(const batch& batch, std::size_t index, std::string text = "text") {
    item_result out;
    out.id = batch.spec.items[index].id;
    out.completed = true;
    out.text = std::move(text);
    return out;
}

std::vector<std::string> result_ids(const batch& batch) {
    std::vector<std::string> out;
    std::ranges::transform(batch.logged_results, std::back_inserter(out), &item_result::id);
    return out;
}

} // namespace

TEST_CASE("two hosts that both claim a batch publish the same results at the same positions",
          "[front][batch]") {
    // The owner is suspended for some seconds, another host takes over, and the first one resumes
    // and continues to write. Without a shared log, a trainer could read two different results at
    // the same position.
    rc::prop("for any order of writes and lost answers", [] {
        std::vector<log_entry> stored_log;
        std::array<batch, 2> hosts{make_test_batch(3, 4), make_test_batch(3, 4)};
        const auto actions = *rc::gen::container<std::vector<std::tuple<int, int, int>>>(
            60, rc::gen::tuple(rc::gen::inRange(0, 2), rc::gen::inRange(0, 12),
                               rc::gen::inRange(0, 4)));
        std::uint64_t nonce = 0;
        for (const auto& [host_index, item, write_outcome] : actions) {
            auto& current = hosts[static_cast<std::size_t>(host_index)];
            const auto index = static_cast<std::size_t>(item);
            if (current.items[index].phase != item_phase::finished) {
                finish_item(current,
                            make_result(current, index, "by " + std::to_string(host_index)),
                            start_time);
            }
            if (write_outcome == 0 || current.unlogged_results.empty()) {
                continue;
            }
            auto entry = make_next_entry(current, max_bytes);
            entry.writer = std::to_string(host_index);
            entry.nonce = ++nonce;
            if (current.next_entry_number < stored_log.size()) {
                apply_entry(current, current.next_entry_number,
                            stored_log[current.next_entry_number]); // the other host was first
                continue;
            }
            stored_log.push_back(entry);
            if (write_outcome != 1) { // otherwise the response is lost, and the entry is read later
                apply_entry(current, current.next_entry_number, entry);
            }
        }
        for (auto& current : hosts) {
            while (current.next_entry_number < stored_log.size()) {
                apply_entry(current, current.next_entry_number,
                            stored_log[current.next_entry_number]);
            }
        }
        RC_ASSERT(result_ids(hosts[0]) == result_ids(hosts[1]));
        const auto listed = result_ids(hosts[0]);
        RC_ASSERT(std::set<std::string>(listed.begin(), listed.end()).size() == listed.size());
        for (std::size_t i = 0; i < listed.size(); ++i) {
            RC_ASSERT(hosts[0].logged_results[i].text == hosts[1].logged_results[i].text);
        }
    });
}

TEST_CASE("a result is shown only after it is in the log", "[front][batch]") {
    // If a host shows a result and dies before it is stored, the next owner may show a different
    // one.
    auto batch = make_test_batch(2, 2);
    finish_item(batch, make_result(batch, 0), start_time);
    CHECK(batch.logged_results.empty());
    apply_entry(batch, batch.next_entry_number, make_next_entry(batch, max_bytes));
    CHECK(batch.logged_results.size() == 1);
    CHECK(batch.unlogged_results.empty());
}

TEST_CASE("the log is written rarely until a caller waits for results", "[front][batch][flush]") {
    // A hundred results arrive within seconds, and the store charges for each write of the log. No
    // caller can use a result before the last wanted group is complete.
    const flush_policy rules;
    const auto deadline = start_time + 7500ms;
    auto batch = make_test_batch(3, 2);
    batch.last_flush = start_time;
    SECTION("nothing has finished") {
        CHECK_FALSE(next_flush_time(batch, rules, deadline));
    }
    SECTION("some items have finished") {
        finish_item(batch, make_result(batch, 0), start_time + 100ms);
        CHECK(*next_flush_time(batch, rules, deadline) ==
              start_time + 100ms + rules.normal_interval);
    }
    SECTION("the last wanted group is complete") {
        for (std::size_t i = 0; i < batch.items.size(); ++i) {
            finish_item(batch, make_result(batch, i), start_time + 100ms);
        }
        CHECK(*next_flush_time(batch, rules, deadline) == start_time + rules.urgent_interval);
    }
    SECTION("the deadline is near") {
        finish_item(batch, make_result(batch, 0), deadline - 1s);
        batch.last_flush = deadline - 200ms;
        CHECK(*next_flush_time(batch, rules, deadline) == batch.last_flush + rules.urgent_interval);
    }
    SECTION("unwritten results are written before the deadline, however few") {
        finish_item(batch, make_result(batch, 0), deadline - 1s);
        batch.last_flush = deadline - 900ms;
        CHECK(*next_flush_time(batch, rules, deadline) < deadline);
    }
    SECTION("the last texts of a step end one by one") {
        // Guards against a caller that is woken by each of them and not waiting when the last
        // arrives.
        finish_item(batch, make_result(batch, 0), deadline - 1100ms);
        batch.last_flush = deadline - 1200ms;
        CHECK(*next_flush_time(batch, rules, deadline) > deadline - 500ms);
    }
}

TEST_CASE("the item that is expected to be the longest starts first", "[front][batch][order]") {
    // A tenth of the items run five times as long as the rest. In submission order one of them may
    // start last, and the whole step then ends seconds late.
    auto batch = make_test_batch(2, 3);
    const auto order = startable_items(batch, start_time);
    CHECK(batch.spec.items[order.front()].expected_output_tokens == 300);
    CHECK(batch.spec.items[order.back()].expected_output_tokens == 100);
    SECTION("but an item with partial output starts before all others") {
        batch.items[0].output.last_event = 4;
        CHECK(startable_items(batch, start_time).front() == 0);
    }
    SECTION("and one that has just failed is delayed") {
        batch.items[order.front()].not_before = start_time + 50ms;
        CHECK(startable_items(batch, start_time).size() == 5);
    }
}

TEST_CASE("a new owner continues from the partial output in the log", "[front][batch]") {
    // The owner is killed in the middle of a long item. If the new owner had to generate the text
    // again, which takes seconds, the step would be late.
    auto owner = make_test_batch(1, 2);
    owner.items[1].phase = item_phase::running;
    owner.items[1].output = {20, "twenty events", {3}, false};
    finish_item(owner, make_result(owner, 0), start_time);
    const auto entry = make_next_entry(owner, max_bytes);
    auto successor = make_test_batch(1, 2);
    apply_entry(successor, 0, entry);
    CHECK(successor.items[1].output.last_event == 20);
    CHECK(successor.items[1].output.text == "twenty events");
    CHECK(successor.items[1].output.versions == std::vector{3});
}

TEST_CASE("a new owner knows how often an item has failed", "[front][batch]") {
    // Failure: each owner counted from zero, so an item that fails at each run was tried on by all.
    auto owner = make_test_batch(1, 2);
    auto successor = make_test_batch(1, 2);
    owner.items[1].failures = 2;
    const auto entry = make_next_entry(owner, max_bytes);
    const auto stored = decode_entry(nlohmann::json::parse(encode_entry(entry)));
    REQUIRE(stored);
    apply_entry(successor, 0, stored.value());
    CHECK(successor.items[0].failures == 0);
    CHECK(successor.items[1].failures == 2);
    SECTION("also when an older entry is applied to the newer count") {
        owner.items[1].failures = 1;
        apply_entry(successor, 1, make_next_entry(owner, max_bytes));
        CHECK(successor.items[1].failures == 2);
    }
}

TEST_CASE("an entry never exceeds the maximum object size of the store", "[front][batch][flush]") {
    // Guards against one entry with the results of 192 long items, which finish within a second
    // after the platform was slow. The store rejects such an entry each time, so no result is ever
    // shown, and every step of the trainer is lost.
    auto batch = make_test_batch(12, 16);
    for (std::size_t i = 0; i < batch.items.size(); ++i) {
        if (i % 3 == 0) {
            batch.items[i].output = {30, std::string(20000, 'x'), {3}, false};
        } else {
            finish_item(batch, make_result(batch, i, std::string(20000, 'x')), start_time);
        }
    }
    std::size_t entries = 0;
    while (!batch.unlogged_results.empty()) {
        const auto entry = make_next_entry(batch, max_bytes);
        REQUIRE(encode_entry(entry).size() <= max_bytes);
        REQUIRE_FALSE(entry.results.empty());
        apply_entry(batch, batch.next_entry_number, entry);
        ++entries;
    }
    CHECK(batch.logged_results.size() == 128);
    CHECK(entries < 8);
}

TEST_CASE("an entry that is read while its own write is in flight is applied once",
          "[front][batch]") {
    // Several callers ask for a batch, so that a host takes it over and reads its log at the same
    // time, and sees its own entry twice. Guards against skipping the next number then: the
    // caller's end would be written after the gap, the log would seem to stop before it after a
    // restart, and the ended batch would run again, as happened half a minute after its end.
    auto batch = make_test_batch(1, 2);
    log_entry takeover;
    takeover.new_owner = "host-b";
    CHECK(apply_entry(batch, 0, takeover));
    CHECK_FALSE(apply_entry(batch, 0, takeover));
    CHECK(batch.next_entry_number == 1);
    CHECK_FALSE(apply_entry(batch, 5, takeover));
    CHECK(batch.next_entry_number == 1);
}

TEST_CASE("a caller ends a batch by an entry of the log", "[front][batch]") {
    auto batch = make_test_batch(1, 2);
    log_entry entry;
    entry.ends = true;
    apply_entry(batch, batch.next_entry_number, entry);
    CHECK(is_over(batch));
}

TEST_CASE("log entries are decoded as they were encoded", "[front][records]") {
    rc::prop("for any texts",
             [](const std::string& text, const std::vector<int>& versions, bool ends) {
                 log_entry entry;
                 entry.writer = "host-a";
                 entry.nonce = 99;
                 // The store accepts only UTF-8, and models generate nothing else.
                 std::string ascii;
                 std::ranges::copy_if(text, std::back_inserter(ascii),
                                      [](char c) { return static_cast<unsigned char>(c) < 0x80; });
                 entry.results.push_back({"item-1", true, ascii, versions, "score", true});
                 entry.partials["item-2"] = {3, ascii, versions, true};
                 entry.ends = ends;
                 const auto decoded = decode_entry(nlohmann::json::parse(encode_entry(entry)));
                 RC_ASSERT(decoded.has_value());
                 RC_ASSERT(decoded.value().results.at(0).text == ascii);
                 RC_ASSERT(decoded.value().results.at(0).versions == versions);
                 RC_ASSERT(decoded.value().partials.at("item-2").whole);
                 RC_ASSERT(decoded.value().ends == ends);
             });
}

TEST_CASE("a submission that is larger than an object is split and reassembled",
          "[front][records]") {
    rc::prop("for any text", [](const std::vector<bool>& multi_byte_flags) {
        std::string text;
        for (const bool multi_byte : multi_byte_flags) {
            text += multi_byte ? "\xC3\xA9" : "\"";
        }
        std::string joined;
        for (const auto& piece : split_submission(text, 1040)) {
            RC_ASSERT(piece.size() <= 1040U);
            joined += nlohmann::json::parse(piece).get<std::string>();
        }
        RC_ASSERT(joined == text);
    });
}

TEST_CASE("a record with a missing field is an error that names the field", "[front][records]") {
    const auto decoded = decode_header("batch-1", nlohmann::json::parse(R"({"host":"a"})"));
    REQUIRE_FALSE(decoded);
    CHECK(decoded.error().detail.find("path") != std::string::npos);
}

TEST_CASE("a host is outdated if a reader has seen more results", "[front][batch]") {
    // Guards against a host that does not know that another one took its batch over, and tells a
    // reader that results which the reader has already received don't exist.
    CHECK(is_outdated(12, 22));
    CHECK(is_outdated(0, 1));
    CHECK_FALSE(is_outdated(12, 12));
    CHECK_FALSE(is_outdated(22, 12));
}

TEST_CASE("a batch is visible only to its client account", "[front][batch]") {
    batch_header header;
    CHECK(is_visible(header, "east"));
    header.account = "east";
    CHECK(is_visible(header, "east"));
    CHECK_FALSE(is_visible(header, "west"));
    CHECK_FALSE(is_visible(header, ""));
}
