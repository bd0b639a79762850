#include "rollout/types.hpp"

#include <charconv>
#include <string_view>

namespace cornelloom::rollout {

namespace {

std::optional<std::uint64_t> parse_number(std::string_view text) {
    std::uint64_t value = 0;
    const auto* begin = text.data();
    const auto* end = begin + text.size();
    const auto [stop, error] = std::from_chars(begin, end, value);
    if (error != std::errc{} || stop != end) {
        return std::nullopt;
    }
    return value;
}

} // namespace

std::string to_string(const step_key& key) {
    return key.trainer.str() + "/" + key.id.str();
}

std::string to_string(const attempt_id& attempt) {
    return std::to_string(attempt.epoch) + "." + std::to_string(attempt.number);
}

std::string engine_request_id(const step_key& key, const attempt_ref& ref) {
    return to_string(key) + "/" + std::to_string(ref.slot) + "/" + to_string(ref.attempt);
}

std::optional<attempt_id> parse_attempt(std::string_view text) {
    const auto dot = text.find('.');
    if (dot == std::string_view::npos) {
        return std::nullopt;
    }
    const auto epoch = parse_number(text.substr(0, dot));
    const auto number = parse_number(text.substr(dot + 1));
    if (!epoch || !number) {
        return std::nullopt;
    }
    return attempt_id{*epoch, *number};
}

} // namespace cornelloom::rollout
