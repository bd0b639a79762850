#include "kernel/json_text.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck/catch.h>

#include <string>

using namespace cornelloom::kernel;

namespace {

using json = nlohmann::json;
using texts = std::vector<std::string_view>;

json make_value(int depth) {
    const auto form = *rc::gen::inRange(0, depth > 0 ? 6 : 4);
    switch (form) {
    case 0:
        return *rc::gen::arbitrary<int>();
    case 1:
        return *rc::gen::element<std::string>("", "a\"b", "[{", "}],\\", ":\\\"");
    case 2:
        return nullptr;
    case 3:
        return true;
    default:
        json out = form == 4 ? json::array() : json::object();
        const auto count = *rc::gen::inRange(0, 4);
        for (int each = 0; each < count; ++each) {
            if (form == 4) {
                out.push_back(make_value(depth - 1));
            } else {
                out["m" + std::to_string(each)] = make_value(depth - 1);
            }
        }
        return out;
    }
}

} // namespace

TEST_CASE("arrays and objects are split into the texts of their values", "[kernel][json]") {
    CHECK(split_array(R"( [ 1 , "a,]" , [2,{"b":3}] , {"c":[]} ] )") ==
          texts{"1", R"("a,]")", R"([2,{"b":3}])", R"({"c":[]})"});
    CHECK(split_array("[]") == texts{});
    CHECK(split_array(" [ ] ") == texts{});
    const auto members = split_object(R"({"a":1, "b\"":"x:y" ,"c":{"a":2}})");
    REQUIRE(members);
    CHECK(find_member(*members, "a") == "1");
    CHECK(find_member(*members, R"(b\")") == R"("x:y")");
    CHECK(find_member(*members, "c") == R"({"a":2})");
    CHECK(find_member(*members, "d").empty());
    CHECK(split_object("{}")->empty());
}

TEST_CASE("texts whose brackets or strings don't end are not split", "[kernel][json]") {
    for (const auto* text : {"", "[", "]", "[1", "[1]]", "[[1]", "[\"a]", "[\"a\\\"]", "{\"a\":1}",
                             "[1}", "[1],[2]", "x"}) {
        INFO(text);
        CHECK_FALSE(split_array(text).has_value());
    }
    for (const auto* text : {"", "{", "{\"a\"}", "{a:1}", "{\"a\" 1}", "{1:2}", "{\"a\":1,}"}) {
        INFO(text);
        CHECK_FALSE(split_object(text).has_value());
    }
}

TEST_CASE("a value that no parser accepts does not hide those beside it", "[kernel][json]") {
    CHECK(split_array("[1e999999,\"\\ud800\",tru,2]") ==
          texts{"1e999999", "\"\\ud800\"", "tru", "2"});
}

TEST_CASE("the depth and the number of values are found without recursion", "[kernel][json]") {
    // Guards against values whose copies overflow the stack.
    constexpr std::size_t levels = 1'000'000;
    const auto deep = std::string(levels, '[') + std::string(levels, ']');
    CHECK(measure_json(deep).depth == levels);
    CHECK(measure_json("{\"a\":[1,2,{\"[[[\":3}]}").depth == 3);
    CHECK(find_excess("[1,2,3]", {.bytes = 6}) == "too long");
    CHECK(find_excess("[[1]]", {.depth = 1}) == "nested too deeply");
    CHECK(find_excess("[1,2,3]", {.values = 2}) == "too many values");
    CHECK(find_excess("[1,2,3]", {}).empty());
}

TEST_CASE("what is split from a text is what a parser finds in it", "[kernel][json]") {
    rc::prop("arrays", [] {
        json value = json::array();
        const auto count = *rc::gen::inRange(0, 5);
        for (int each = 0; each < count; ++each) {
            value.push_back(make_value(3));
        }
        const auto text = value.dump(*rc::gen::element(-1, 2));
        const auto parts = split_array(text);
        RC_ASSERT(parts.has_value());
        RC_ASSERT(parts->size() == value.size());
        for (std::size_t at = 0; at < parts->size(); ++at) {
            RC_ASSERT(json::parse((*parts)[at]) == value[at]);
        }
    });
    rc::prop("any bytes", [](const std::string& text) {
        (void)split_array("[" + text + "]");
        (void)split_object("{" + text + "}");
        (void)measure_json(text);
    });
}
