#include "front/crash_exchange.hpp"
#include "front/records.hpp"

#include <catch2/catch.hpp>

using namespace cornelloom::front;

namespace {

using json = nlohmann::json;

json header_with(std::string_view field, const json& value) {
    batch_header header;
    header.host = "h.example";
    header.path = "/steps/a";
    header.owner = "host-a";
    header.owner_at = {"10.0.0.1", 8144};
    header.received_ms = 1'700'000'000'000;
    header.parts = 2;
    auto out = json::parse(encode_header(header));
    out[std::string(field)] = value;
    return out;
}

json host_with(std::string_view field, const json& value) {
    host_entry host;
    host.zone = "zone-a";
    host.address = {"10.0.0.1", 8144};
    host.cpu_share = 0.5;
    auto out = json::parse(encode_host(host));
    out[std::string(field)] = value;
    return out;
}

} // namespace

TEST_CASE("the stored header of a batch names a sound number of parts, address and time, or none",
          "[front][records][odd]") {
    // Guards against gigabytes for the parts of a batch that never had them, and against times that
    // overflow.
    CHECK(decode_header("b", header_with("parts", 2)));
    CHECK(decode_header("b", header_with("parts", 300)));
    CHECK(decode_header("b", header_with("parts", 0))); // not stored yet
    for (const auto* parts : {"-1", "2147483647", "4294967298", "1e300", "1.5", "100000"}) {
        INFO(parts);
        CHECK_FALSE(decode_header("b", header_with("parts", json::parse(parts))));
    }
    for (const auto* time :
         {"-9223372036854775808", "9223372036854775807", "1e300", "-1", "18446744073709551615"}) {
        INFO(time);
        CHECK_FALSE(decode_header("b", header_with("received_ms", json::parse(time))));
    }
    for (const auto* address : {"", "nowhere", "10.0.0.1", "10.0.0.1:0", "10.0.0.1:99999"}) {
        INFO(address);
        CHECK_FALSE(decode_header("b", header_with("owner_at", address)));
    }
}

TEST_CASE("a log entry that names no address of its new owner is unreadable",
          "[front][records][odd]") {
    // Guards against a batch that is handed to an address that is none.
    log_entry entry;
    entry.writer = "host-a";
    entry.nonce = 7;
    entry.new_owner = "host-b";
    entry.new_owner_at = {"10.0.0.2", 8144};
    auto value = json::parse(encode_entry(entry));
    CHECK(decode_entry(value));
    value["new_owner_at"] = "nowhere";
    CHECK_FALSE(decode_entry(value));
    for (const auto* odd : {"null", "[]", "7", R"({"writer":"a","nonce":"x"})",
                            R"({"writer":"a","nonce":1,"results":[7]})",
                            R"({"writer":"a","nonce":1,"partials":{"i":[]}})"}) {
        INFO(odd);
        CHECK_FALSE(decode_entry(json::parse(odd)));
    }
}

TEST_CASE("a log entry with impossible numbers of events, versions or failures is unreadable",
          "[front][records][odd]") {
    // Guards against an item that waits for an event that never comes, such as the one after the
    // largest number, that is given up after one failure, or whose text has other versions.
    log_entry entry;
    entry.writer = "host-a";
    entry.nonce = 7;
    entry.results.push_back({"done", true, "text", {3}, "", false});
    entry.partials["begun"] = {12, "text", {3, 4}, false};
    entry.failures["begun"] = 2;
    const auto sound = json::parse(encode_entry(entry));
    REQUIRE(decode_entry(sound));
    CHECK(decode_entry(sound).value().failures.at("begun") == 2);
    CHECK(decode_entry(sound).value().partials.at("begun").versions == std::vector{3, 4});
    for (const auto* event : {"9223372036854775807", "-9223372036854775808", "-1", "1e300", "1.5",
                              "18446744073709551615", "\"3\"", "null"}) {
        INFO(event);
        auto odd = sound;
        odd["partials"]["begun"]["last_event"] = json::parse(event);
        CHECK_FALSE(decode_entry(odd));
    }
    for (const auto* failures : {"2147483647", "-1", "1e300", "4294967297", "null"}) {
        INFO(failures);
        auto odd = sound;
        odd["failures"]["begun"] = json::parse(failures);
        CHECK_FALSE(decode_entry(odd));
    }
    for (const auto* version : {"4294967299", "-4294967299", "1e300", "2.5", "null", "[3]"}) {
        INFO(version);
        auto odd = sound;
        odd["partials"]["begun"]["versions"][0] = json::parse(version);
        CHECK_FALSE(decode_entry(odd));
        odd = sound;
        odd["results"][0]["versions"][0] = json::parse(version);
        CHECK_FALSE(decode_entry(odd));
    }
}

TEST_CASE("an entry of a host has an address and a possible processor share, or is none",
          "[front][records][odd]") {
    // Guards against an entry that is first in the feeder order of its zone for ever.
    CHECK(decode_host("h", host_with("processor", 0.12)));
    CHECK(decode_host("h", host_with("processor", 96)));
    for (const auto* share : {"1e300", "-1", "1000000", "\"4\"", "null"}) {
        INFO(share);
        CHECK_FALSE(decode_host("h", host_with("processor", json::parse(share))));
    }
    for (const auto* address : {"", "nowhere", "10.0.0.1:0", "10.0.0.1:99999", "0.0.0.0:8144",
                                "255.255.255.255:8144", "224.0.0.1:8144"}) {
        INFO(address);
        CHECK_FALSE(decode_host("h", host_with("at", address)));
    }
}

TEST_CASE("a stored lease passes on no impossible number of loads", "[front][records][odd]") {
    // Guards against all targets loading at once, for ever: each holder takes the number over.
    for (const auto* loads : {"1e300", "-1", "1000000", "\"9\""}) {
        INFO(loads);
        const auto read = decode_lease({{"holder", "a"}, {"loads_at_once", json::parse(loads)}});
        REQUIRE(read);
        CHECK(read.value().holder == "a");
        CHECK(read.value().loads_at_once == 0);
    }
    const auto read =
        decode_lease(json::parse(R"({"holder":"a","renewal":"x","loads_at_once":12.5})"));
    REQUIRE(read);
    CHECK(read.value().loads_at_once == 12.5);
}

TEST_CASE("knowledge of crashes beyond all bounds is not read", "[front][crash][odd]") {
    // Guards against ages that overflow, and against a stack overflow by a text within the object.
    cornelloom::decide::shared_crash_record record;
    record.digest = 7;
    auto value = json::parse(encode_crashes({{record}, {}}));
    value["records"][0]["age_ms"] = 1e300;
    const auto read = decode_crashes(value.dump());
    REQUIRE(read);
    CHECK(read.value().records.front().last_crash_age == std::chrono::hours(24));
    CHECK_FALSE(decode_crashes(std::string(100000, '[') + std::string(100000, ']')));
    value["odd"] = json::parse(std::string(100, '[') + std::string(100, ']'));
    CHECK_FALSE(decode_crashes(value.dump()));
}
