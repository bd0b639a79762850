#include "platform/parts.hpp"
#include "transport/bearer_token.hpp"

#include <catch2/catch.hpp>
#include <cmath>
#include <rapidcheck/catch.h>

#include <algorithm>

using namespace cornelloom;
using namespace cornelloom::platform;

namespace {

const std::string settings_text = R"(
node = "front-east-1"
serves = ["front","control"]
zone = "east-a"
region = "east"
seeds = ["10.1.0.38:8144"]
heartbeat-interval-ms = 1200
something-new = [1, 2]
[zones]
east-a = "east"
[listen]
front = "10.1.0.38:8149"
ready = "10.1.0.38:8141"
control = "10.1.0.38:8144"
[limits]
cpu-share = 0.25
file-descriptors = 4100
[bounds]
grace-period-s = 8
drain-ms = 2500
lease-ms = 3000
strict-revocation = true
revoke-ms = 4500
report-window-s = 5
usage-late-s = 10
[platform]
address = "10.200.1.7:8142"
value-bytes = 1048576
[cloud]
address = "10.200.0.114:8662"
duties = ["usage_reporting"]
)";

const std::string submission_text =
    R"({"step":7,"model":"m","min-version":6,"desired-count":1,"items":[{"id":"i1",)"
    R"("path":"/p/3/91","headers":{"X-Model":"m","X-Token-Counts":"540,400","X-Length-Hint":"77"},)"
    R"("body":"q83vEjRWeJA=","tokens":940,"group":"g1","scoring-endpoint":{"id":"s1",)"
    R"("host":"h.example","path":"/q/5","body":"3q2+7w=="}}]})";

const std::string configuration_text =
    R"({"version":3,"routes":[{"host":"h","path-prefix":"/a/","route-kind":"safe","service":"s"},)"
    R"({"host":"h","path-prefix":"/b/","route-kind":"safe","service":"s","allow-anonymous":true}],)"
    R"("services":[{"name":"s","engine":{"slots":8,"kv-cache-tokens":37387,"stride":93},)"
    R"("scaling":{"minimum":1,"maximum":16,"boot-time-s":4.5,)"
    R"("zone-prices":{"a":1.0,"b":0.8}}}],"tenants":[{"name":"east","api-keys":["secret-1"],"priority":1}]})";

const std::string target_text =
    R"({"service":"s","address":"10.128.0.9:8080","zone":"east-a","version":"v1","slots":16,)"
    R"("state":"ready","models":[{"name":"m","version":3,"adapters":[]}],"sequence":4,"born":17})";

front::stored_object object_with(std::string_view specification) {
    front::stored_object out;
    out.name = "i-1";
    out.revision = 9;
    out.specification = json::parse(specification);
    return out;
}

/// A message with one byte changed, or cut off.
std::string damage(std::string text) {
    const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
    if (*rc::gen::inRange(0, 2) == 0) {
        return text.substr(0, at);
    }
    text[at] = *rc::gen::arbitrary<char>();
    return text;
}

} // namespace

TEST_CASE("settings are read, and fields that are unknown are ignored", "[platform][settings]") {
    const auto read = read_settings(settings_text);
    REQUIRE(read);
    CHECK(read.value().host == "front-east-1");
    CHECK(read.value().serves_callers);
    CHECK(read.value().grace_period == milliseconds(8000));
    CHECK(to_string(read.value().peer_endpoint) == "10.1.0.38:8144");
    CHECK(read.value().cpu_share == 0.25);
    CHECK(read.value().revocation_bound == milliseconds(4500));
    REQUIRE(read.value().duties);
    CHECK(to_string(read.value().duties->address) == "10.200.0.114:8662");
    CHECK(read.value().duties->reports_usage);
    CHECK_FALSE(read.value().duties->orders_targets);
    CHECK(read.value().duties->usage_window == milliseconds(5000));
    CHECK(read.value().duties->usage_report_timeout == milliseconds(10000));
}

TEST_CASE("faults of a settings file are reported together with their places",
          "[platform][settings]") {
    const auto read = read_settings("serves = [\"front\"]\n[platform]\naddress = \"nowhere\"\n");
    REQUIRE_FALSE(read);
    for (const auto* place : {"node", "zone", "listen.front", "platform.address"}) {
        CHECK(read.error().detail.find(place) != std::string::npos);
    }
    const auto broken = read_settings("node = \n");
    REQUIRE_FALSE(broken);
    CHECK(broken.error().detail.find("line 1") != std::string::npos);
}

TEST_CASE("without duties and strict revocation there are no bounds for them",
          "[platform][settings]") {
    const auto read =
        read_settings("node = \"n\"\nzone = \"z\"\n[platform]\naddress = \"1.2.3.4:5\"\n"
                      "[bounds]\nrevoke-ms = 4500\n");
    REQUIRE(read);
    CHECK_FALSE(read.value().revocation_bound);
    CHECK_FALSE(read.value().duties);
}

TEST_CASE("times and limits in settings that can't be are bounded", "[platform][settings]") {
    // Guards against a process that computes deadlines from a time that no clock can hold.
    const auto* odd = GENERATE("inf", "-inf", "nan", "1e300", "-5", "9223372036854775807");
    CAPTURE(odd);
    const std::string value(odd);
    const auto read =
        read_settings("node = \"n\"\nzone = \"z\"\nheartbeat-interval-ms = " + value +
                      "\n[platform]\naddress = \"1.2.3.4:5\"\n[bounds]\ngrace-period-s = " + value +
                      "\n[limits]\nmemory-mb = " + value + "\nfile-descriptors = " + value +
                      "\ncpu-share = " + value + "\n");
    REQUIRE(read);
    constexpr milliseconds longest = std::chrono::hours(24);
    for (const auto time : {read.value().heartbeat_interval, read.value().grace_period}) {
        CHECK(time >= milliseconds::zero());
        CHECK(time <= longest);
    }
    CHECK(read.value().file_descriptors >= 0);
    CHECK(std::isfinite(read.value().cpu_share));
}

TEST_CASE("duties without an address are a fault with its place", "[platform][settings]") {
    const auto read =
        read_settings("node = \"n\"\nzone = \"z\"\n[platform]\naddress = \"1.2.3.4:5\"\n"
                      "[cloud]\nduties = [\"autoscaling\"]\n");
    REQUIRE_FALSE(read);
    CHECK(read.error().detail.find("cloud.address") != std::string::npos);
}

TEST_CASE("client accounts are read with hashes in place of their keys", "[platform][documents]") {
    // Guards against keys in memory dumps, logs and errors.
    auto text = json::parse(configuration_text);
    auto read = decode_configuration(text);
    REQUIRE(read);
    REQUIRE(read.value().accounts);
    const auto& account = read.value().accounts->at(0);
    CHECK(account.name == "east");
    CHECK(account.key_hashes == std::vector{transport::token_hash("secret-1")});
    CHECK_FALSE(read.value().routes.at(0).allow_anonymous);
    CHECK(read.value().routes.at(1).allow_anonymous);
    const auto& scaling = read.value().services.at("s").scaling;
    REQUIRE(scaling);
    CHECK(scaling->max_targets == 16);
    CHECK(scaling->startup_time == milliseconds(4500));
    CHECK(scaling->zone_prices.at("b") == 0.8);
    CHECK(read.value().services.at("s").memory_tokens == 37387);
    CHECK(read.value().services.at("s").tokens_per_event == 93);
    CHECK(account.priority == 1);
    SECTION("without a priority") {
        text["tenants"][0].erase("priority");
        CHECK_FALSE(decode_configuration(text).value().accounts->at(0).priority);
    }
    SECTION("a priority of another type") {
        text["tenants"][0]["priority"] = "first";
        const auto refused = decode_configuration(text);
        REQUIRE_FALSE(refused);
        CHECK(refused.error().detail.find("priority") != std::string::npos);
    }
    SECTION("without accounts") {
        text.erase("tenants");
        CHECK_FALSE(decode_configuration(text).value().accounts);
    }
    SECTION("a name that would smuggle a header") {
        text["tenants"][0]["name"] = "x\r\nX-Evil: 1";
        CHECK_FALSE(decode_configuration(text));
    }
    SECTION("keys of another type, reported without them") {
        text["tenants"][0]["api-keys"] = json::array({"secret-1", 7});
        const auto refused = decode_configuration(text);
        REQUIRE_FALSE(refused);
        CHECK(refused.error().detail.find("api-keys") != std::string::npos);
        CHECK(refused.error().detail.find("secret-1") == std::string::npos);
    }
}

TEST_CASE("a submission is read with its items", "[platform][batches]") {
    const auto read = decode_submission(json::parse(submission_text));
    REQUIRE(read);
    const auto& item = read.value().items.at(0);
    CHECK(read.value().oldest_version == 6);
    CHECK(read.value().required_groups == 1);
    CHECK(item.model == "m");
    CHECK(item.prompt_tokens == 540);
    CHECK(item.max_output_tokens == 400);
    CHECK(item.expected_output_tokens == 77);
    CHECK(item.body == "\xAB\xCD\xEF\x12\x34\x56\x78\x90");
    CHECK(item.scoring->path == "/q/5");
}

TEST_CASE("a submission that can't be right names the place", "[platform][batches]") {
    auto body = json::parse(submission_text);
    std::string place;
    SECTION("no items") {
        body["items"] = json::array();
        place = "items";
    }
    SECTION("the same id twice") {
        body["items"].push_back(body["items"][0]);
        place = "items/1";
    }
    SECTION("a header that would smuggle another one") {
        body["items"][0]["headers"]["X-Model"] = "m\r\nX-Evil: 1";
        place = "headers/X-Model";
    }
    SECTION("a path that would smuggle a request") {
        body["items"][0]["path"] = "/p HTTP/1.1\r\n";
        place = "items/0/path";
    }
    SECTION("a body that is not base64") {
        body["items"][0]["body"] = "***";
        place = "items/0/body";
    }
    const auto read = decode_submission(body);
    REQUIRE_FALSE(read);
    CHECK(read.error().detail.find(place) != std::string::npos);
}

TEST_CASE("an item that can't be sent as it is has a fault", "[platform][batches]") {
    // Guards against a second request in the id of an item or of its scoring call.
    auto body = json::parse(submission_text);
    const std::string place =
        GENERATE("/items/0/id", "/items/0/scoring-endpoint/id", "/items/0/scoring-endpoint/host",
                 "/items/0/scoring-endpoint/path");
    auto& field = body[json::json_pointer(place)];
    const auto sound = field.get<std::string>();
    const auto odd = GENERATE_COPY(sound + "\r\nX-Evil: 1", sound + "\n", "\r" + sound,
                                   sound + '\0', sound + '\x7f', sound + " ", "\t" + sound,
                                   sound + "\r\n\r\nPOST /q/5 HTTP/1.1\r\n\r\n", std::string());
    field = odd;
    CAPTURE(body["items"][0].dump(-1, ' ', true));
    const auto read = decode_submission(body);
    REQUIRE(read);
    CHECK_FALSE(read.value().items[0].fault.empty());
}

TEST_CASE("a header or a path with other odd bytes is a fault of its item, too",
          "[platform][batches]") {
    // Guards against texts in which a target sees other names or another request.
    auto body = json::parse(submission_text);
    auto& item = body["items"][0];
    CHECK(decode_submission(body).value().items[0].fault.empty());
    SECTION("a header") {
        const auto name = GENERATE("X-\x01", "X(A", "X\x7f", "");
        item["headers"][name] = "1";
    }
    SECTION("a header's value") {
        const auto value = GENERATE("a\x01", "a\x7f");
        item["headers"]["X-Model"] = value;
    }
    SECTION("the path") {
        const auto path = GENERATE("/p\x01", "/p\x7f", "/p#q", "/p\t");
        item["path"] = path;
    }
    SECTION("the path of the scoring call") {
        const auto path = GENERATE("p", "/p q", "/p#q", "http://h/p");
        item["scoring-endpoint"]["path"] = path;
    }
    CAPTURE(body["items"][0].dump(-1, ' ', true));
    const auto read = decode_submission(body);
    REQUIRE(read);
    CHECK_FALSE(read.value().items[0].fault.empty());
}

TEST_CASE("an entry whose name is no value of a header names no target", "[platform][documents]") {
    // Guards against headers that the name of an entry adds to each request to its target.
    front::stored_object object;
    object.specification = {{"service", "s"},
                            {"address", "10.0.0.1:80"},
                            {"zone", "z"},
                            {"slots", 1},
                            {"state", "ready"}};
    object.name = "i-1";
    CHECK(decode_target(object));
    object.name = GENERATE("i-1\r\nX-Evil: 1", "i-1\n", "i-1 ", " i-1", "i\x01", "i\x7f", "");
    CHECK_FALSE(decode_target(object));
}

TEST_CASE("an entry of another writer names no target", "[platform][documents]") {
    CHECK(decode_target(object_with(target_text)).has_value());
    auto entry = json::parse(target_text);
    SECTION("a state that is unknown") {
        entry["state"] = "resting";
    }
    SECTION("a field of another type") {
        entry["slots"] = "many";
    }
    SECTION("a field that is missing") {
        entry.erase("service");
    }
    SECTION("an address that is none") {
        entry["address"] = "somewhere";
    }
    SECTION("no object at all") {
        entry = json::array({1, 2});
    }
    CHECK_FALSE(decode_target(object_with(entry.dump())).has_value());
}

namespace {

std::string nested(std::size_t levels) {
    return std::string(levels, '[') + std::string(levels, ']');
}

std::string page_with(const std::string& odd_entry) {
    return R"({"items":[{"metadata":{"name":"a","revision":3},"specification":{"x":1}},)" +
           odd_entry +
           R"(,{"metadata":{"name":"c","revision":5},"specification":{"x":2}}],"more":true,"at":9})";
}

std::string entry_with(const std::string& specification) {
    return R"({"metadata":{"name":"b","revision":4},"specification":)" + specification + "}";
}

} // namespace

TEST_CASE("an object that can't be read costs no other object", "[platform][objects]") {
    // Guards against a list that is unreadable, or ends the process, for one entry in it.
    const auto odd = GENERATE(values<std::string>(
        {nested(100000), R"({"slots":1e999999})", R"({"zone":"\ud800"})", "{\"zone\":\"\xff\"}",
         R"({"x":tru})", "", R"("open)" + std::string("\""), std::string(200000, '7'),
         R"({"x":")" + std::string(900000, 'x') + R"("})"}));
    const kernel::json_limits limits{16384, 32, 1024};
    const auto page = decode_page(page_with(entry_with(odd)), limits);
    REQUIRE(page);
    CHECK(page.value().at == 9);
    CHECK(page.value().has_more);
    CHECK(page.value().unnamed == 0);
    REQUIRE(page.value().items.size() == 3);
    CHECK(page.value().items[0].specification["x"] == 1);
    CHECK(page.value().items[2].specification["x"] == 2);
    CHECK(page.value().items[1].name == "b");
    CHECK(page.value().items[1].revision == 4);
    CHECK((odd.empty() || odd.starts_with("\"") || !page.value().items[1].fault.empty()));

    const auto changes = decode_changes(R"({"at":9,"events":[{"object":)" + entry_with(odd) +
                                            R"(,"deleted":false},{"object":)" + entry_with("{}") +
                                            R"(,"deleted":true}]})",
                                        limits);
    REQUIRE(changes);
    REQUIRE(changes.value().changes.size() == 2);
    CHECK(changes.value().changes[0].object.name == "b");
    CHECK_FALSE(changes.value().changes[0].deleted);
    CHECK(changes.value().changes[1].deleted);
}

TEST_CASE("an object whose name can't be read is counted and costs no other object",
          "[platform][objects]") {
    // Guards against a list that is unreadable for metadata of another type.
    const auto odd = GENERATE(values<std::string>(
        {R"({"specification":{}})", R"({"metadata":{"revision":4}})", "7", "null", "[1,2]",
         R"({"metadata":{"name":7,"revision":4}})", R"({"metadata":{"name":"b","revision":"x"}})",
         R"({"metadata":{"name":"\ud800","revision":4}})",
         R"({"metadata":{"name":"b","revision":18446744073709551615}})",
         R"({"metadata":)" + nested(100000) + "}"}));
    const auto page = decode_page(page_with(odd), {});
    REQUIRE(page);
    CHECK(page.value().items.size() == 2);
    CHECK(page.value().unnamed == 1);
}

TEST_CASE("a listing that was not received whole is not read", "[platform][objects]") {
    const auto text = page_with(entry_with("{}"));
    for (std::size_t size = 0; size < text.size(); ++size) {
        CHECK_FALSE(decode_page(text.substr(0, size), {}));
    }
}

TEST_CASE("numbers that don't fit are faults of their fields", "[platform][documents]") {
    // Guards against numbers that change their value or sign when they are narrowed.
    const auto large = GENERATE(values<std::string>(
        {"18446744073709551615", "9223372036854775808", "99999999999", "1e300", "-1e300"}));
    const auto text = R"({"model":"m","version":)" + large + "}";
    CHECK_FALSE(decode_version(json::parse(text)).has_value());
    const json value{{"span", json::parse(large == "99999999999" ? "1e13" : large)}};
    field_reader in(value, "place");
    CHECK(in.time("span") == milliseconds(0));
    CHECK_FALSE(in.sound());
}

TEST_CASE("damaged messages give an error or a value, never a crash", "[platform]") {
    rc::prop("submissions", [] {
        const auto value = parse_json(damage(submission_text));
        if (value) {
            const auto read = decode_submission(value.value());
            if (!read) {
                RC_ASSERT(!read.error().detail.empty());
            }
        }
    });
    rc::prop("targets", [] {
        const auto value = parse_json(damage(target_text));
        if (value) {
            front::stored_object object;
            object.name = "i-1";
            object.specification = value.value();
            const auto read = decode_target(object);
            if (!read) {
                RC_ASSERT(!read.error().detail.empty());
            }
        }
    });
    rc::prop("pages and changes", [] {
        const auto text = damage(
            R"({"items":[{"metadata":{"name":"a","revision":3},"specification":{}}],"more":false,)"
            R"("at":5,"events":[{"deleted":false,"object":{"metadata":{"name":"a","revision":3}}}]})");
        (void)decode_page(text, {});
        (void)decode_changes(text, {});
        (void)decode_object(text);
        (void)decode_report(text);
    });
    rc::prop("configurations", [] {
        const auto value = parse_json(damage(configuration_text));
        if (value) {
            (void)decode_configuration(value.value());
        }
    });
    rc::prop("settings", [] { (void)read_settings(damage(settings_text)); });
}

TEST_CASE("events come out the same however the bytes are cut", "[platform][events]") {
    // A target's bytes arrive in pieces of any size; an event that is cut in two must not be lost,
    // doubled or read early.
    const std::string stream =
        "id: 1\ndata: one\n\nx-weight-versions: 7\nid: 2\ndata: two\ndata: b\n\n"
        "id: 3\r\ndata: three\r\n\r\nid: 4\ndata: unfin";
    rc::prop("for any cuts", [&stream] {
        std::string held;
        std::vector<front::stream_event> events;
        std::size_t at = 0;
        while (at < stream.size()) {
            const auto size = *rc::gen::inRange<std::size_t>(1, 12);
            held += stream.substr(at, size);
            at += size;
            std::ranges::move(take_events(held), std::back_inserter(events));
        }
        RC_ASSERT(events.size() == 3U);
        RC_ASSERT(events[0].data == "one");
        RC_ASSERT(events[1].data == "two\nb");
        RC_ASSERT(events[1].version == 7);
        RC_ASSERT(events[2].id == 3);
        RC_ASSERT(held == "id: 4\ndata: unfin");
    });
}

TEST_CASE("a forwarded request keeps what belongs to it and nothing of its connection",
          "[platform][requests]") {
    transport::http_request message;
    message.method = "POST";
    message.path = "/p/1";
    message.query = "a=b%20c";
    message.body = "bytes";
    message.headers = {{"Host", "h.example"},          {"X-Attempt-Id", "r1"},
                       {"Connection", "close, X-Hop"}, {"X-Hop", "1"},
                       {"X-Deadline-Ms", "9"},         {"X-Model", "m"},
                       {"X-Expect-Instance", "x"}};
    const auto sent = encode_forward(message, {"i-1", milliseconds(1200), 0});
    const auto header = [&sent](std::string_view name) {
        return std::ranges::count_if(sent.headers,
                                     [name](const auto& each) { return each.name == name; });
    };
    CHECK(sent.query == "a=b%20c");
    CHECK(header("X-Hop") == 0);
    CHECK(header("Connection") == 0);
    CHECK(header("X-Model") == 1);
    CHECK(transport::find_header(sent.headers, "X-Deadline-Ms") == "1200");
    CHECK(header("X-Deadline-Ms") == 1);
    CHECK(transport::find_header(sent.headers, "X-Expect-Instance") == "i-1");
}

TEST_CASE("a target gets the account of a request and never its key", "[platform][requests]") {
    // Guards against a client that names an account itself, and against keys that reach targets.
    transport::http_request message;
    message.headers = {
        {"X-Attempt-Id", "r1"}, {"authorization", "Bearer secret-1"}, {"x-tenant", "west"}};
    CHECK(decode_request(message).key_hash == transport::token_hash("secret-1"));
    front::batch_item item;
    item.id = "i1";
    item.path = "/p";
    item.headers = message.headers;
    const auto account_in = [](const transport::http_request& sent) {
        return transport::find_header(sent.headers, "X-Tenant");
    };
    front::forward_options terms{"i-1", milliseconds(1200), 0};
    SECTION("under an account") {
        terms.account = "east";
        for (const auto& sent : {encode_forward(message, terms), encode_item(item, "h", terms)}) {
            CHECK(account_in(sent) == "east");
            CHECK_FALSE(transport::find_header(sent.headers, "Authorization"));
            CHECK(std::ranges::count_if(
                      sent.headers, [](const auto& each) { return each.name == "x-tenant"; }) == 0);
        }
    }
    SECTION("under none") {
        terms.account = "";
        const auto sent = encode_forward(message, terms);
        CHECK_FALSE(account_in(sent));
        CHECK_FALSE(transport::find_header(sent.headers, "Authorization"));
    }
    SECTION("without accounts they are headers like any other") {
        const auto sent = encode_forward(message, terms);
        CHECK(account_in(sent) == "west");
        CHECK(transport::find_header(sent.headers, "Authorization"));
    }
}

TEST_CASE("a target gets the rank of a request if one is set", "[platform][requests]") {
    // Guards against a client that ranks its own requests above those of other accounts.
    transport::http_request message;
    message.headers = {{"X-Attempt-Id", "r1"}, {"x-request-priority", "0"}};
    front::forward_options terms{"i-1", milliseconds(1200), 0};
    const auto rank_in = [](const transport::http_request& sent) {
        return transport::find_header(sent.headers, "X-Request-Priority");
    };
    terms.priority = 3;
    CHECK(rank_in(encode_forward(message, terms)) == "3");
    CHECK(rank_in(encode_scoring({}, terms)) == "3");
    terms.priority = 12;
    CHECK(rank_in(encode_forward(message, terms)) == "9");
    terms.priority.reset();
    CHECK(rank_in(encode_forward(message, terms)) == "0");
    CHECK_FALSE(rank_in(encode_scoring({}, terms)));
}

TEST_CASE("calls for all hosts name their sender and its fence", "[platform][duties]") {
    const auto usage = encode_usage_report({353445120, {{"east", 412}}}, {"host-1", 12});
    CHECK(usage.method == "POST");
    CHECK(usage.path == "/usage");
    CHECK(transport::find_header(usage.headers, "X-Duty-Holder") == "host-1");
    CHECK(transport::find_header(usage.headers, "X-Fencing-Token") == "12");
    CHECK(json::parse(usage.body) == json::parse(R"({"window":353445120,"counts":{"east":412}})"));
    const auto supply = encode_supply_order({"s", "zone-a", 6}, {"host-1", 12});
    CHECK(supply.path == "/scale");
    CHECK(json::parse(supply.body) ==
          json::parse(R"({"service":"s","zone":"zone-a","desired-count":6})"));
}

TEST_CASE("a page of results starts where it was asked for and stays within a megabyte",
          "[platform][batches]") {
    std::vector<front::item_result> all(4);
    for (std::size_t at = 0; at < all.size(); ++at) {
        all[at].id = "i" + std::to_string(at);
        all[at].completed = at != 2;
        all[at].text = std::string(400000, 'x');
    }
    const auto page = json::parse(encode_results(9, 1, all));
    CHECK(page["total"] == 9);
    CHECK(page["next-token"] == 3);
    CHECK(page["results"].size() == 2);
    CHECK(page["results"][1]["state"] == "terminated");
    CHECK(json::parse(encode_results(9, 4, all))["next-token"] == 4);
}

TEST_CASE("calls on batches are told apart", "[platform][batches]") {
    using verb = front::batch_call::verb;
    transport::http_request message;
    message.path = "/lots/b1";
    message.query = "after=12";
    message.headers = {{"X-Wait-Ms", "1000"}};
    CHECK(decode_batch_call(message)->position == 12);
    CHECK(decode_batch_call(message)->wait == milliseconds(1000));
    message.method = "DELETE";
    CHECK(decode_batch_call(message)->operation == verb::end);
    message.method = "GET";
    message.path = "/items/b1";
    message.query = "id=i7";
    CHECK(decode_batch_call(message)->item == "i7");
    message.path = "/lots/b1/more";
    CHECK_FALSE(decode_batch_call(message));
}

TEST_CASE("the pause after a refusal keeps its fractions", "[platform][requests]") {
    CHECK(encode_retry_after(milliseconds(50)).value == "0.050");
    CHECK(encode_retry_after(milliseconds(2300)).value == "2.300");
}

TEST_CASE("a target without a port is none", "[platform][documents]") {
    // Guards against requests that are sent to a target that nobody can call.
    CHECK(decode_target(object_with(target_text)));
    auto odd = json::parse(target_text);
    odd["address"] = "10.128.0.9:0";
    CHECK_FALSE(decode_target(object_with(odd.dump())));
}

TEST_CASE("a deadline beyond any clock is the longest one", "[platform][requests]") {
    // Guards against requests whose deadline overflows and has passed before they are sent.
    const auto time_left = [](std::string text) {
        transport::http_request message;
        message.headers = {{"X-Deadline-Ms", std::move(text)}};
        return decode_request(message).time_left;
    };
    CHECK(time_left("1200") == milliseconds(1200));
    CHECK(time_left("9223372036854775807") == milliseconds(1'000'000'000'000));
    CHECK(time_left("-9223372036854775808") == milliseconds(0));
}

TEST_CASE("a report of a target that is nested too deeply is refused", "[platform][orders]") {
    // Guards against a process that ends while it copies the report.
    const auto deep = std::string(100'000, '[') + std::string(100'000, ']');
    CHECK_FALSE(decode_report(R"({"sequence":1,"x":)" + deep + "}"));
}

TEST_CASE("names that are not UTF-8 can be sent to the store and to targets", "[platform][store]") {
    // Guards against an exception that leaves the task which sends them.
    CHECK_NOTHROW(encode_create(front::object_kind::batches, "b\xff", "{}"));
    front::load_order order;
    order.model = "m\xff";
    CHECK_NOTHROW(encode_order(order, "i-1"));
    CHECK_NOTHROW(encode_supply_order({"s\xff", "z", 1}, {}));
}
