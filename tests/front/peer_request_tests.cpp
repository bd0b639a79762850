#include "front/batch_desk.hpp"

#include <catch2/catch.hpp>

using namespace cornelloom;
using namespace cornelloom::front;

TEST_CASE("the id of a batch stands as one value in a request to another host", "[front][batch]") {
    // Guards against a caller that makes a host the owner of a batch, or another request, by its
    // id.
    const std::string id = GENERATE("plain-1", "a&at=10.9.9.9:80", "a b", "a%26b", "a+b", "a=b#c",
                                    "a\r\nX-Evil: 1", "\xc3\xa9");
    const auto message = make_peer_request("/peer/owner", id);
    CHECK(transport::check_request(message));
    CHECK(transport::find_query(message.query, "id") == id);
    CHECK_FALSE(transport::find_query(message.query, "at"));
}
