#include "cli/output.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <ostream>
#include <string>
#include <vector>

namespace cornelloom::cli {

namespace {

using json = nlohmann::json;

constexpr auto replace = json::error_handler_t::replace;

std::string cell(const json& value) {
    if (value.is_string()) {
        return value.get<std::string>();
    }
    if (value.is_null() || (value.is_structured() && value.empty())) {
        return "-";
    }
    if (value.is_array() &&
        std::ranges::all_of(value, [](const json& item) { return item.is_primitive(); })) {
        std::vector<std::string> items;
        std::ranges::transform(value, std::back_inserter(items), cell);
        return fmt::format("{}", fmt::join(items, " "));
    }
    return value.dump(-1, ' ', false, replace);
}

bool is_table(const json& value) {
    return value.is_array() && !value.empty() &&
           std::ranges::all_of(value, [](const json& row) { return row.is_object(); });
}

/// Whether a member says which element a row is about.
bool is_key(std::string_view name) {
    constexpr std::array<std::string_view, 6> keys{"id", "host", "target", "lease", "step", "pool"};
    return std::ranges::find(keys, name) != keys.end();
}

/// Names of the members of all rows; what a row is about first, the rest by name.
std::vector<std::string> columns_of(const json& rows) {
    std::vector<std::string> columns;
    for (const auto& row : rows) {
        for (const auto& [name, value] : row.items()) {
            if (std::ranges::find(columns, name) == columns.end()) {
                columns.push_back(name);
            }
        }
    }
    std::ranges::sort(columns, {},
                      [](const std::string& name) { return std::pair(!is_key(name), name); });
    return columns;
}

using table = std::vector<std::vector<std::string>>;

table cells_of(const json& rows) {
    const auto columns = columns_of(rows);
    table cells{columns};
    for (const auto& row : rows) {
        auto& line = cells.emplace_back();
        for (const auto& column : columns) {
            line.push_back(row.contains(column) ? cell(row[column]) : "-");
        }
    }
    return cells;
}

void write_table(std::ostream& out, const json& rows) {
    const auto cells = cells_of(rows);
    std::vector<std::size_t> widths(cells.front().size(), 0);
    for (const auto& line : cells) {
        for (std::size_t i = 0; i < line.size(); ++i) {
            widths[i] = std::max(widths[i], line[i].size());
        }
    }
    for (const auto& line : cells) {
        std::string text;
        for (std::size_t i = 0; i < line.size(); ++i) {
            text += fmt::format("{:<{}}  ", line[i], widths[i]);
        }
        text.erase(text.find_last_not_of(' ') + 1);
        out << text << '\n';
    }
}

/// A member of a document by its full name, such as `queues.in_flight`.
struct named_value {
    std::string name;
    const json* value;
};

/// The members of an object and of the objects in it.
void collect_members(const json& object, const std::string& prefix, std::vector<named_value>& all) {
    for (const auto& [name, value] : object.items()) {
        if (value.is_object()) {
            collect_members(value, prefix + name + ".", all);
        } else {
            all.push_back({prefix + name, &value});
        }
    }
}

void write_members(std::ostream& out, const json& object) {
    std::vector<named_value> all;
    collect_members(object, "", all);
    const auto tables = std::ranges::stable_partition(
        all, [](const named_value& member) { return !is_table(*member.value); });
    for (const auto& member : std::ranges::subrange(all.begin(), tables.begin())) {
        out << member.name << ": " << cell(*member.value) << '\n';
    }
    for (const auto& member : tables) {
        out << '\n' << member.name << ":\n";
        write_table(out, *member.value);
    }
}

} // namespace

void write(std::ostream& out, const json& document, output_format format) {
    if (format == output_format::json) {
        out << document.dump(-1, ' ', false, replace) << '\n';
    } else if (is_table(document)) {
        write_table(out, document);
    } else if (document.is_object()) {
        write_members(out, document);
    } else {
        out << cell(document) << '\n';
    }
}

} // namespace cornelloom::cli
