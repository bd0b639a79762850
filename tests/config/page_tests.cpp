#include "config/config.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <iterator>

using namespace cornelloom::config;

namespace {

std::vector<std::string> all_rows() {
    std::vector<std::string> rows;
    for (const auto& section : configuration_sections()) {
        std::ranges::copy(page_rows(section), std::back_inserter(rows));
    }
    std::ranges::copy(page_rows(settings_section()), std::back_inserter(rows));
    return rows;
}

std::vector<std::string> page_lines() {
    std::ifstream in(std::string(CORNELLOOM_SOURCE_DIR) + "/docs/SETTINGS.md");
    std::vector<std::string> lines;
    for (std::string line; std::getline(in, line);) {
        lines.push_back(line);
    }
    return lines;
}

bool is_row(const std::string& line) {
    return line.starts_with("| `");
}

} // namespace

TEST_CASE("docs/SETTINGS.md has a row for each field and no other", "[config][page]") {
    const auto lines = page_lines();
    std::vector<std::string> on_page;
    std::ranges::copy_if(lines, std::back_inserter(on_page), is_row);
    // Compared in order: the same field name stands in several sections.
    CHECK(on_page == all_rows());
}

TEST_CASE("The defaults on the page are those of the code", "[config][page]") {
    const rollout_pool pool;
    const auto fallback_of = [](std::string_view section, std::string_view field) {
        const auto sections = configuration_sections();
        const auto rules = std::ranges::find(sections, section, &section_rule::name)->fields;
        return std::string(std::ranges::find(rules, field, &field_rule::name)->fallback);
    };
    CHECK(fallback_of("pools", "staleness_bound") == std::to_string(pool.staleness_bound));
    CHECK(std::stod(fallback_of("pools", "hedge_token_share")) == pool.hedge_token_share);
    CHECK(std::stod(fallback_of("pools", "serving_floor")) == pool.serving_floor);
    CHECK(std::stod(fallback_of("pools", "weight_orders_per_second")) ==
          pool.weight_orders_per_second);
    CHECK(fallback_of("pools", "release") == to_string(pool.release));
    CHECK(fallback_of("pools", "max_group_size") == std::to_string(pool.max_group_size));
    CHECK(fallback_of("pools", "max_samples_per_step") ==
          std::to_string(pool.max_samples_per_step));
    CHECK(fallback_of("targets", "capacity") == std::to_string(target{}.capacity));
    CHECK(fallback_of("callers", "burst") == std::to_string(caller{}.burst));
    CHECK(std::stod(fallback_of("callers", "rate_per_second")) == caller{}.rate_per_second);
    CHECK(std::stol(fallback_of("callers", "default_deadline_ms")) ==
          std::chrono::milliseconds{30000}.count());
    const auto rules = settings_section().fields;
    const auto limits = std::ranges::find(rules, "limits", &field_rule::name)->fields;
    const auto limit = [&](std::string_view name) {
        return std::string(std::ranges::find(limits, name, &field_rule::name)->fallback);
    };
    CHECK(limit("max_body_bytes") == std::to_string(daemon_limits{}.max_body_bytes));
    CHECK(limit("max_queue") == std::to_string(daemon_limits{}.max_queue));
    CHECK(limit("platform_calls_per_second") ==
          std::to_string(daemon_limits{}.platform_calls_per_second));
    CHECK(limit("sample_memory_mb") == std::to_string(daemon_limits{}.sample_memory_mb));
}

TEST_CASE("Prints the rows of docs/SETTINGS.md", "[.print-page]") {
    for (const auto& section : configuration_sections()) {
        std::cout << "\n## " << section.name << "\n\n";
        std::ranges::copy(page_rows(section), std::ostream_iterator<std::string>(std::cout, "\n"));
    }
    std::cout << "\n## settings\n\n";
    std::ranges::copy(page_rows(settings_section()),
                      std::ostream_iterator<std::string>(std::cout, "\n"));
}
