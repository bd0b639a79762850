#include "config/config.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <map>

using namespace cornelloom::config;

TEST_CASE("A set of files survives its serialization", "[config][set]") {
    CHECK(rc::check("parse is the reverse of serialize", [] {
        const auto texts = *rc::gen::container<std::map<std::string, std::string>>(
            rc::gen::string<std::string>(), rc::gen::string<std::string>());
        std::vector<config_file> files;
        for (const auto& [name, text] : texts) {
            // Sets in force have been checked, so their texts are UTF-8.
            std::string ascii;
            std::ranges::copy_if(text, std::back_inserter(ascii),
                                 [](char c) { return static_cast<signed char>(c) >= 0; });
            files.push_back({std::to_string(files.size()) + ".json", ascii});
        }
        std::ranges::sort(files, {}, &config_file::path);
        const auto parsed = parse_set(serialize_set(files), "body");
        RC_ASSERT(parsed.has_value());
        RC_ASSERT(parsed.value() == files);
    }));
}

TEST_CASE("The order of the files does not change the body", "[config][set]") {
    const config_file one{"a.json", "{}"};
    const config_file two{"b.json", "[]"};
    const std::vector<config_file> forth{one, two};
    const std::vector<config_file> back{two, one};
    CHECK(serialize_set(forth) == serialize_set(back));
}

TEST_CASE("A damaged body gives findings", "[config][set]") {
    CHECK_FALSE(parse_set("{\"files\":[{\"name\":7}]}", "body").has_value());
    CHECK_FALSE(parse_set("{\"fil", "body").has_value());
    const auto twice = R"({"files":[{"name":"a","text":""},{"name":"a","text":""}]})";
    CHECK_FALSE(parse_set(twice, "body").has_value());
}

TEST_CASE("A diff names the elements and fields that differ", "[config][diff]") {
    const std::vector<config_file> before{
        {"a.json", R"({"zones":[{"id":"x","region":"r"},{"id":"y","region":"r"}]})"}};
    const std::vector<config_file> after{{"b.json", R"({"zones":[ {"region":"s","id":"x"} ]})"},
                                         {"c.json", R"({"pools":[{"id":"p"}]})"}};
    const std::vector<change> expected{{change_kind::changed, "zones", "x", {"region"}},
                                       {change_kind::removed, "zones", "y", {}},
                                       {change_kind::added, "pools", "p", {}}};
    CHECK(diff_sets(before, after) == expected);
    CHECK(diff_sets(before, before).empty());

    SECTION("a file that is no JSON differs as a whole") {
        const std::vector<config_file> broken{{"a.json", "{"}};
        CHECK(diff_sets(broken, std::vector<config_file>{}) ==
              std::vector<change>{{change_kind::removed, "files", "a.json", {}}});
    }
}

TEST_CASE("Files that cannot be read are findings", "[config][file]") {
    const std::string missing[] = {"/nonexistent/cornelloom.json"};
    const auto read = read_files(missing);
    REQUIRE_FALSE(read.has_value());
    CHECK(read.error().items()[0].problem == "cannot be read");
}
