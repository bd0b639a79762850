#pragma once

#include "config/internal/json_tree.hpp"
#include "config/model.hpp"

#include <string_view>

namespace cornelloom::config::internal {

/// Fields of an object that may be faulty: what is absent or of another kind leaves the default, so
/// that the checks that follow can still look at the rest.
void take(const json_node& object, std::string_view name, std::string& into);
void take(const json_node& object, std::string_view name, bool& into);
void take(const json_node& object, std::string_view name, double& into);
void take(const json_node& object, std::string_view name, std::uint32_t& into);
void take(const json_node& object, std::string_view name, std::uint64_t& into);
void take(const json_node& object, std::string_view name, network_address& into);

/// A whole number of milliseconds.
void take(const json_node& object, std::string_view name, duration& into);

template <class Tag>
void take(const json_node& object, std::string_view name, kernel::identifier<Tag>& into) {
    std::string text;
    take(object, name, text);
    if (!text.empty()) {
        into = kernel::identifier<Tag>(std::move(text));
    }
}

/// The texts of a list; other elements are left out.
[[nodiscard]] std::vector<std::string> texts(const json_node& object, std::string_view name);

template <class Tag>
void take(const json_node& object, std::string_view name,
          std::vector<kernel::identifier<Tag>>& into) {
    for (auto& text : texts(object, name)) {
        into.emplace_back(std::move(text));
    }
}

/// An enumerator by the name that `to_string` gives it.
template <class Enum>
void take_choice(const json_node& object, std::string_view name, Enum last, Enum& into) {
    std::string text;
    take(object, name, text);
    for (int i = 0; i <= static_cast<int>(last); ++i) {
        const auto candidate = static_cast<Enum>(i);
        if (to_string(candidate) == text) {
            into = candidate;
        }
    }
}

[[nodiscard]] zone extract_zone(const json_node& from);
[[nodiscard]] rollout_pool extract_pool(const json_node& from);
[[nodiscard]] target extract_target(const json_node& from);
[[nodiscard]] caller extract_caller(const json_node& from);
[[nodiscard]] service extract_service(const json_node& from);

} // namespace cornelloom::config::internal
