#include "transport/transport.hpp"

#include <catch2/catch.hpp>

#include <atomic>

using namespace cornelloom;
using namespace cornelloom::transport;
using namespace std::chrono_literals;

TEST_CASE("An endpoint is an IP number and a port", "[transport][http]") {
    CHECK(parse_endpoint("127.0.0.1:8080").value() == endpoint{"127.0.0.1", 8080});
    CHECK(to_string(parse_endpoint("[::1]:80").value()) == "[::1]:80");
    const auto* text = GENERATE("127.0.0.1", "localhost:80", "127.0.0.1:", "127.0.0.1:65536",
                                "127.0.0.1:-1", "127.0.0.1:80x", "::1:80", "[127.0.0.1]:80", "");
    CAPTURE(text);
    CHECK(parse_endpoint(text).error().code == kernel::error_code::invalid_input);
}

TEST_CASE("A query gives decoded values", "[transport][http]") {
    CHECK(find_query("a=1&b=x%20y+z&c", "b") == "x y z");
    CHECK(find_query("a=1&b=x%20y+z&c", "c") == "");
    CHECK(find_query("a=%zz%4", "a") == "%zz%4");
    CHECK_FALSE(find_query("ab=1", "a"));
}

TEST_CASE("A call reaches the handler whole and its answer comes back whole", "[transport][http]") {
    http_request seen;
    const http_server server({"127.0.0.1", 0}, [&](const http_request& request) {
        seen = request;
        return http_response{201, {{"X-Answer", "yes"}}, request.body + "!"};
    });
    const endpoint to{"127.0.0.1", server.port()};
    http_request request{"POST", "/v1/a%2Fb", "x=1&y=%26", {{"X-Key", "k"}}, "body"};
    const auto response = call(to, request);
    REQUIRE(response);
    CHECK(response.value().status == 201);
    CHECK(response.value().body == "body!");
    CHECK(find_header(response.value().headers, "x-answer") == "yes");
    CHECK(seen.method == "POST");
    CHECK(seen.path == "/v1/a%2Fb");
    CHECK(seen.query == "x=1&y=%26");
    CHECK(find_header(seen.headers, "x-key") == "k");

    request.path = "/a\r\nX: y";
    CHECK(call(to, request).error().code == kernel::error_code::invalid_input);
    CHECK(call({"127.0.0.1", 1}, {}).error().code == kernel::error_code::unavailable);
}

TEST_CASE("A token is read from one Bearer header and compared by its hash", "[transport][token]") {
    const auto hash = token_hash("abc");
    CHECK(hash == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
    CHECK(token_matches("abc", hash));
    CHECK_FALSE(token_matches("abd", hash));
    CHECK_FALSE(token_matches("", ""));

    CHECK(bearer_token({{"X", "y"}, {"authorization", "bearer abc"}}) == "abc");
    CHECK_FALSE(bearer_token({}));
    CHECK_FALSE(bearer_token({{"Authorization", "Basic abc"}}));
    CHECK_FALSE(bearer_token({{"Authorization", "Bearer "}}));
    CHECK_FALSE(bearer_token({{"Authorization", "Bearer a"}, {"Authorization", "Bearer b"}}));
}
