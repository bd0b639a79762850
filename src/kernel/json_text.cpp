#include "kernel/json_text.hpp"

#include <algorithm>

namespace cornelloom::kernel {

namespace {

constexpr std::string_view white_space = " \t\r\n";

std::string_view trim(std::string_view text) {
    const auto begin = text.find_first_not_of(white_space);
    if (begin == std::string_view::npos) {
        return {};
    }
    return text.substr(begin, text.find_last_not_of(white_space) - begin + 1);
}

/// The position after the string that begins at `at`; npos if it does not end.
std::size_t skip_string(std::string_view text, std::size_t at) {
    for (++at; at < text.size(); ++at) {
        if (text[at] == '\\') {
            ++at;
        } else if (text[at] == '"') {
            return at + 1;
        }
    }
    return std::string_view::npos;
}

/// The parts of the text between brackets that stand between commas of the outermost level; one
/// empty part if there is nothing between the brackets.
std::optional<std::vector<std::string_view>> split_parts(std::string_view text, char open,
                                                         char close) {
    text = trim(text);
    if (text.size() < 2 || text.front() != open || text.back() != close) {
        return std::nullopt;
    }
    std::vector<std::string_view> out;
    std::size_t depth = 0;
    std::size_t begin = 1;
    const auto end = text.size() - 1;
    for (std::size_t at = 1; at < end;) {
        const char each = text[at];
        if (each == '"') {
            at = skip_string(text, at);
            if (at > end) {
                return std::nullopt;
            }
            continue;
        }
        if (each == '[' || each == '{') {
            ++depth;
        } else if (each == ']' || each == '}') {
            if (depth-- == 0) {
                return std::nullopt;
            }
        } else if (each == ',' && depth == 0) {
            out.push_back(trim(text.substr(begin, at - begin)));
            begin = at + 1;
        }
        ++at;
    }
    if (depth != 0) {
        return std::nullopt;
    }
    out.push_back(trim(text.substr(begin, end - begin)));
    return out;
}

std::optional<json_member> split_member(std::string_view text) {
    if (text.empty() || text.front() != '"') {
        return std::nullopt;
    }
    const auto name_end = skip_string(text, 0);
    if (name_end == std::string_view::npos) {
        return std::nullopt;
    }
    const auto rest = trim(text.substr(name_end));
    if (rest.empty() || rest.front() != ':') {
        return std::nullopt;
    }
    return json_member{text.substr(1, name_end - 2), trim(rest.substr(1))};
}

} // namespace

json_extent measure_json(std::string_view text) {
    json_extent out;
    out.values = 1;
    std::size_t depth = 0;
    for (std::size_t at = 0; at < text.size();) {
        const char each = text[at];
        if (each == '"') {
            at = std::min(skip_string(text, at), text.size());
            continue;
        }
        if (each == '[' || each == '{') {
            ++out.values;
            out.depth = std::max(out.depth, ++depth);
        } else if (each == ']' || each == '}') {
            depth -= depth > 0 ? 1 : 0;
        } else if (each == ',') {
            ++out.values;
        }
        ++at;
    }
    return out;
}

std::string_view find_excess(std::string_view text, const json_limits& limits) {
    if (text.size() > limits.bytes) {
        return "too long";
    }
    const auto extent = measure_json(text);
    if (extent.depth > limits.depth) {
        return "nested too deeply";
    }
    return extent.values > limits.values ? "too many values" : "";
}

std::optional<std::vector<std::string_view>> split_array(std::string_view text) {
    auto parts = split_parts(text, '[', ']');
    if (parts && parts->size() == 1 && parts->front().empty()) {
        parts->clear();
    }
    return parts;
}

std::optional<std::vector<json_member>> split_object(std::string_view text) {
    const auto parts = split_parts(text, '{', '}');
    if (!parts) {
        return std::nullopt;
    }
    std::vector<json_member> out;
    if (parts->size() == 1 && parts->front().empty()) {
        return out;
    }
    out.reserve(parts->size());
    for (const auto part : *parts) {
        const auto member = split_member(part);
        if (!member) {
            return std::nullopt;
        }
        out.push_back(*member);
    }
    return out;
}

std::string_view find_member(const std::vector<json_member>& members, std::string_view name) {
    const auto found = std::ranges::find(members, name, &json_member::name);
    return found == members.end() ? std::string_view() : found->value;
}

} // namespace cornelloom::kernel
