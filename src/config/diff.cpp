#include "config/diff.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace cornelloom::config {

namespace {

using nlohmann::json;

struct element_key {
    std::string section;
    std::string id;
    auto operator<=>(const element_key&) const = default;
};

using element_map = std::map<element_key, json>;

/// Whether the document has the shape that elements can be taken from; else it differs as a whole.
bool has_sections(const json& document) {
    return document.is_object() &&
           std::ranges::all_of(document, [](const json& section) { return section.is_array(); });
}

void add_elements(const json& document, element_map& into) {
    for (const auto& [section, list] : document.items()) {
        for (const auto& item : list) {
            const auto id = item.is_object() ? item.value("id", json()) : json();
            into[{section, id.is_string() ? id.get<std::string>() : item.dump()}] = item;
        }
    }
}

element_map elements_of(std::span<const config_file> files) {
    element_map all;
    for (const auto& file : files) {
        const auto document = json::parse(file.text, nullptr, false);
        if (has_sections(document)) {
            add_elements(document, all);
        } else {
            all[{"files", file.path}] = file.text;
        }
    }
    return all;
}

std::vector<std::string> differing_fields(const json& before, const json& after) {
    std::set<std::string> names;
    for (const auto* side : {&before, &after}) {
        if (side->is_object()) {
            for (const auto& [name, value] : side->items()) {
                names.insert(name);
            }
        }
    }
    std::vector<std::string> differing;
    for (const auto& name : names) {
        if (before.value(name, json()) != after.value(name, json())) {
            differing.push_back(name);
        }
    }
    return differing;
}

} // namespace

std::string_view to_string(change_kind kind) {
    switch (kind) {
    case change_kind::added:
        return "added";
    case change_kind::removed:
        return "removed";
    case change_kind::changed:
        return "changed";
    }
    return "";
}

std::vector<change> diff_sets(std::span<const config_file> before,
                              std::span<const config_file> after) {
    const auto old_elements = elements_of(before);
    const auto new_elements = elements_of(after);
    std::vector<change> changes;
    for (const auto& [key, value] : old_elements) {
        const auto found = new_elements.find(key);
        if (found == new_elements.end()) {
            changes.push_back({change_kind::removed, key.section, key.id, {}});
        } else if (found->second != value) {
            const bool objects = value.is_object() && found->second.is_object();
            changes.push_back(
                {change_kind::changed, key.section, key.id,
                 objects ? differing_fields(value, found->second) : std::vector<std::string>{}});
        }
    }
    for (const auto& [key, value] : new_elements) {
        if (!old_elements.contains(key)) {
            changes.push_back({change_kind::added, key.section, key.id, {}});
        }
    }
    return changes;
}

} // namespace cornelloom::config
