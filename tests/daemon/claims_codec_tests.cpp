#include "daemon/claims_codec.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace cornelloom;
using namespace cornelloom::daemon;

TEST_CASE("A claimed call passes between hosts as it came", "[daemon][claims]") {
    CHECK(rc::check("any bytes in key, path and body", [] {
        claimed_call call;
        call.key = {kernel::caller_id("sync"), *rc::gen::arbitrary<std::string>()};
        call.issued = {*rc::gen::arbitrary<std::int64_t>()};
        call.call.service = kernel::service_id("prices");
        call.call.deadline = std::chrono::milliseconds{*rc::gen::inRange(1, 100'000)};
        call.call.work.method = "POST";
        call.call.work.path = *rc::gen::arbitrary<std::string>();
        call.call.work.body = *rc::gen::arbitrary<std::string>();
        call.call.work.headers = {{"X-Lot", *rc::gen::arbitrary<std::string>()}};
        const auto back = decode_claimed_call(encode(call));
        RC_ASSERT(back.has_value());
        RC_ASSERT(back.value().key == call.key);
        RC_ASSERT(back.value().issued == call.issued);
        RC_ASSERT(back.value().call.deadline == call.call.deadline);
        RC_ASSERT(back.value().call.work.path == call.call.work.path);
        RC_ASSERT(back.value().call.work.body == call.call.work.body);
        RC_ASSERT(back.value().call.work.headers.at(0).value == call.call.work.headers.at(0).value);
        RC_ASSERT(back.value().forwarded);
    }));
}

TEST_CASE("Damaged messages of other hosts are errors, never the end of the process",
          "[daemon][claims]") {
    CHECK(rc::check("any bytes", [] {
        const auto bytes = *rc::gen::arbitrary<std::string>();
        RC_ASSERT_FALSE(decode_claimed_call(bytes).has_value());
        RC_ASSERT_FALSE(decode_response(bytes).has_value());
    }));
    auto cut = encode(claimed_call{});
    cut.pop_back();
    CHECK_FALSE(decode_claimed_call(cut).has_value());
}

TEST_CASE("A message of another host that is nested too deeply is an error", "[daemon][claims]") {
    // Guards against a daemon whose stack overflows when it reads a message.
    constexpr std::size_t levels = 1'000'000;
    constexpr char array_of_one = '\x91';
    const std::string deep(levels, array_of_one);
    CHECK_FALSE(decode_claimed_call(deep).has_value());
    CHECK_FALSE(decode_response(deep).has_value());
}
