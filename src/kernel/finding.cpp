#include "kernel/finding.hpp"

#include <fmt/format.h>

namespace cornelloom::kernel {

std::string to_string(const finding& fault) {
    const auto& place = fault.place;
    auto text = fmt::format("{}:{}: {}: {}", place.file, place.line, place.path, fault.problem);
    if (!fault.allowed.empty()) {
        text += ", " + fault.allowed;
    }
    return text;
}

void findings::add(source_place place, std::string_view problem, std::string_view allowed) {
    items_.push_back({std::move(place), std::string(problem), std::string(allowed)});
}

void findings::append(std::span<const finding> others) {
    items_.insert(items_.end(), others.begin(), others.end());
}

} // namespace cornelloom::kernel
