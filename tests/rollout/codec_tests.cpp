#include "kernel/hash.hpp"
#include "rollout/rollout.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace cornelloom;
using namespace cornelloom::rollout;
using namespace std::chrono_literals;

namespace {

/// The largest step that a pool allows, with prompts of 4 KB.
step_request full_request() {
    step_request request;
    request.key = {kernel::trainer_id{"notes"}, step_id{"7"}};
    request.pool = kernel::pool_id{"leaf"};
    for (std::size_t i = 0; i < 512; ++i) {
        request.groups.push_back({std::string(4096, static_cast<char>('a' + i % 26)), 1});
    }
    request.deadline.unix_ms = 60'000;
    request.staleness_bound = 1;
    request.trainer_version = 5;
    return request;
}

std::vector<std::string> encode_all(const std::vector<prompt_chunk>& chunks) {
    std::vector<std::string> bodies;
    std::ranges::transform(chunks, std::back_inserter(bodies),
                           [](const prompt_chunk& chunk) { return encode(chunk); });
    return bodies;
}

} // namespace

TEST_CASE("A step of the largest size is recovered from values below 1 MB", "[rollout][codec]") {
    constexpr std::size_t platform_limit = 1'000'000;
    const auto request = full_request();
    pool_rules rules;
    rules.staleness_bound = 2;
    const auto open = open_step(request, rules, 1, {}, {0}).value();
    const auto bodies = encode_all(chunks_of(request));
    CHECK(bodies.size() == 5);
    CHECK(std::ranges::all_of(
        bodies, [](const std::string& body) { return body.size() < platform_limit; }));
    std::vector<std::string> digests;
    std::ranges::transform(bodies, std::back_inserter(digests), kernel::digest_hex);
    const std::vector<kernel::host_id> hosts{kernel::host_id{"b"}, kernel::host_id{"c"}};
    const auto text = encode(manifest_of(open, digests, hosts));
    CHECK(text.size() < 4096);

    const auto stored = decode_manifest(text).value();
    std::vector<prompt_chunk> chunks;
    std::ranges::transform(bodies, std::back_inserter(chunks), [](const std::string& body) {
        return decode_prompt_chunk(body).value();
    });
    const auto taken = recover_step(stored, chunks, rules, 2, hosts, {}, {0}).value();
    CHECK(taken.digest == open.digest);
    CHECK(taken.bound == 1);
    CHECK(taken.state == step_state::collecting);
    CHECK(taken.uncollected.size() == 2);

    SECTION("missing prompts are found") {
        chunks.pop_back();
        CHECK(recover_step(stored, chunks, rules, 2, hosts, {}, {0}).error().code ==
              kernel::error_code::invalid_input);
    }
    SECTION("an epoch that does not grow is refused") {
        CHECK(recover_step(stored, chunks, rules, 1, hosts, {}, {0}).error().code ==
              kernel::error_code::conflict);
    }
}

TEST_CASE("The body of an opening is read whole, or every fault of it is named",
          "[rollout][codec]") {
    const kernel::pool_id pool{"leaf"};
    const auto read = decode_step_request(pool, encode(full_request())).value();
    CHECK(digest_of(read) == digest_of(full_request()));

    const auto bad = decode_step_request(
        pool, R"({"trainer":7,"step":"a","groups":[{"prompt":"p","samples":-1}],"version":1})");
    REQUIRE(bad.has_error());
    CHECK(bad.error().code == kernel::error_code::invalid_input);
    CHECK(bad.error().detail.find("/trainer: is 7") != std::string::npos);
    CHECK(bad.error().detail.find("/groups/0/samples: is -1") != std::string::npos);
    CHECK(bad.error().detail.find("/deadline_unix_ms: is missing") != std::string::npos);
    CHECK(decode_step_request(pool, "{").has_error());
    CHECK(decode_pull_request(step_id{"a"}, "[]").has_error());
    CHECK(decode_hold_request("\xc1").has_error());
}

TEST_CASE("A request that cannot be a step is refused with every fault", "[rollout][step]") {
    auto request = full_request();
    request.groups.push_back({"", 0});
    request.sampling.temperature = -1;
    const auto faults = check(request, pool_rules{});
    CHECK(faults.items().size() == 3);
    request.groups.front().samples = 2;
    CHECK(check(request, pool_rules{}).items().size() == 4);
}

TEST_CASE("A replica host keeps within its memory and forgets what expired", "[rollout][replica]") {
    replica_store store;
    store.max_bytes = 1000;
    const auto body =
        std::make_shared<const sample>(sample{{1, 1}, {std::string(500, 'x'), {{500, 1, ""}}}});
    hold_request request{
        {kernel::trainer_id{"notes"}, step_id{"7"}}, 1, {1000}, {}, {0, body, {}, true}};
    CHECK(hold(store, request).outcome == hold_outcome::held);
    CHECK(hold(store, request).outcome == hold_outcome::held); // Doubled: the same copy.
    request.sample.slot = 1;
    CHECK(hold(store, request).outcome == hold_outcome::full);
    expire(store, {999});
    CHECK(store.bytes > 0);
    expire(store, {1000});
    CHECK(store.bytes == 0);
    CHECK(store.steps.empty());
}

TEST_CASE("A large collection comes in parts", "[rollout][replica]") {
    replica_store store;
    const step_key key{kernel::trainer_id{"notes"}, step_id{"7"}};
    for (slot_index slot = 0; slot < 10; ++slot) {
        const auto body = std::make_shared<const sample>(
            sample{{1, slot}, {std::string(500'000, 'x'), {{500'000, 1, ""}}}});
        CHECK(hold(store, {key, 1, {1000}, {}, {slot, body, {}, true}}).outcome ==
              hold_outcome::held);
    }
    std::size_t parts = 0;
    std::size_t samples = 0;
    std::optional<slot_index> next = 0;
    while (next) {
        const auto answer = collect(store, {key, 2, *next, {1000}});
        CHECK(encode(answer).size() < (4U << 20U));
        samples += answer.samples.size();
        next = answer.next_slot;
        ++parts;
    }
    CHECK(samples == 10);
    CHECK(parts == 2);
}

TEST_CASE("A message that is nested too deeply is an error", "[rollout][codec]") {
    // Guards against a daemon whose stack overflows when it reads a message, or when it quotes a
    // field of another type.
    constexpr std::size_t levels = 1'000'000;
    const std::string packed(levels, '\x91');
    CHECK_FALSE(decode_hold_answer(packed).has_value());
    const auto text = R"({"trainer":)" + std::string(levels, '[') + std::string(levels, ']') + "}";
    CHECK_FALSE(decode_manifest(text).has_value());
}

TEST_CASE("A field of a packed message with another type and no UTF-8 is an error",
          "[rollout][codec]") {
    // Guards against an error message that can't be encoded and is thrown out of the decoder.
    const std::string packed = "\x81\xa5"
                               "epoch"
                               "\xa2\xff\xfe";
    CHECK_FALSE(decode_hold_answer(packed).has_value());
}
