#include "cli/output.hpp"

#include <fmt/format.h>

#include <algorithm>
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
    if (value.is_array() &&
        std::ranges::all_of(value, [](const json& item) { return item.is_primitive(); })) {
        std::vector<std::string> items;
        std::ranges::transform(value, std::back_inserter(items), cell);
        return fmt::format("{}", fmt::join(items, " "));
    }
    return value.is_null() ? "-" : value.dump(-1, ' ', false, replace);
}

bool is_table(const json& value) {
    return value.is_array() && !value.empty() &&
           std::ranges::all_of(value, [](const json& row) { return row.is_object(); });
}

/// Names of the members of all rows; `id` first, the rest by name.
std::vector<std::string> columns_of(const json& rows) {
    std::vector<std::string> columns;
    for (const auto& row : rows) {
        for (const auto& [name, value] : row.items()) {
            if (std::ranges::find(columns, name) == columns.end()) {
                columns.push_back(name);
            }
        }
    }
    std::ranges::sort(columns, {}, [](const std::string& name) {
        return std::pair(name != "id" && name != "kind", name);
    });
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

void write_members(std::ostream& out, const json& object, const std::string& prefix) {
    for (const auto& [name, value] : object.items()) {
        if (is_table(value)) {
            out << '\n' << prefix << name << ":\n";
            write_table(out, value);
        } else if (value.is_object()) {
            write_members(out, value, prefix + name + ".");
        } else {
            out << prefix << name << ": " << cell(value) << '\n';
        }
    }
}

} // namespace

void write(std::ostream& out, const json& document, output_format format) {
    if (format == output_format::json) {
        out << document.dump(-1, ' ', false, replace) << '\n';
    } else if (is_table(document)) {
        write_table(out, document);
    } else if (document.is_object()) {
        write_members(out, document, "");
    } else {
        out << cell(document) << '\n';
    }
}

} // namespace cornelloom::cli
