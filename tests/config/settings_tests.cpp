#include "config/config.hpp"

#include <catch2/catch.hpp>

using namespace cornelloom;
using namespace cornelloom::config;
using namespace std::chrono_literals;

namespace {

constexpr auto good = R"({
  "host": "krakow-a-1", "zone": "krakow-a", "region": "malopolska",
  "listen_http": "0.0.0.0:8080", "listen_gossip": "127.0.0.1:8081",
  "listen_peer": "127.0.0.1:8082", "advertise_http": "127.0.0.1:8080",
  "platform": "127.0.0.1:7000", "shared_key_file": "/etc/cornelloom/key",
  "seeds": ["127.0.0.1:9081"], "log_format": "json", "log_level": "warning",
  "limits": {"max_threads": 64, "shutdown_grace_ms": 5000}
})";

} // namespace

TEST_CASE("Right settings are loaded with their defaults", "[config][settings]") {
    const auto loaded = load_settings({"host.json", good});
    REQUIRE(loaded.has_value());
    const auto& settings = loaded.value();
    CHECK(settings.host == kernel::host_id("krakow-a-1"));
    CHECK(settings.advertise_gossip == settings.listen_gossip);
    CHECK(to_string(settings.advertise_http) == "127.0.0.1:8080");
    CHECK(settings.log_format == kernel::log_format::json);
    CHECK(settings.log_level == kernel::event_level::warning);
    CHECK(settings.limits.max_threads == 64);
    CHECK(settings.limits.shutdown_grace == 5s);
    CHECK(settings.limits.max_queue == daemon_limits{}.max_queue);
    CHECK(settings.seeds.size() == 1);
}

TEST_CASE("Faults of the settings are all reported with their places", "[config][settings]") {
    const auto loaded =
        load_settings({"host.json", "{\n\"host\": \"a b\",\n\"listen_http\": \"0.0.0.0:8080\",\n"
                                    "\"limits\": {\"max_threads\": 0}}"});
    REQUIRE_FALSE(loaded.has_value());
    std::string all;
    for (const auto& fault : loaded.error().items()) {
        all += to_string(fault) + '\n';
    }
    INFO(all);
    CHECK(all.find("host.json:2: /host: is the text \"a b\"") != std::string::npos);
    CHECK(all.find("host.json:4: /limits/max_threads: is 0, a whole number, 8 to 10000 threads") !=
          std::string::npos);
    CHECK(all.find("host.json:1: /platform: is missing") != std::string::npos);
    CHECK(all.find("/advertise_http: is the address of all interfaces") != std::string::npos);
}
