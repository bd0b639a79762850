#pragma once

#include "kernel/finding.hpp"
#include "kernel/result.hpp"

#include <nlohmann/json.hpp>

#include <cmath>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>

namespace cornelloom::rollout::internal {

/// Reads the fields of a JSON object. Absent or mistyped ones become findings with their path, and
/// a default value is read instead, so that all faults of a message are found together.
class field_reader {
public:
    field_reader(const nlohmann::json& object, std::string path, kernel::findings& faults)
        : object_(object), path_(std::move(path)), faults_(faults) {
        if (!object_.is_object()) {
            fault("", "is no object", "an object");
        }
    }

    template <class T> [[nodiscard]] std::optional<T> optional(const char* name) {
        const auto* value = find(name);
        if (value == nullptr || value->is_null()) {
            return std::nullopt;
        }
        return convert<T>(*value, name);
    }

    template <class T> [[nodiscard]] T required(const char* name) {
        const auto* value = find(name);
        if (value == nullptr) {
            fault(name, "is missing", expected<T>());
            return {};
        }
        return convert<T>(*value, name).value_or(T{});
    }

    /// Calls `each(element, path)` for the elements of an array.
    template <class Each> void array(const char* name, const Each& each) {
        const auto* value = find(name);
        if (value == nullptr || !value->is_array()) {
            fault(name, "is missing or no array", "an array");
            return;
        }
        for (std::size_t i = 0; i < value->size(); ++i) {
            each((*value)[i], path_ + "/" + name + "/" + std::to_string(i));
        }
    }

    void fault(const char* name, std::string_view problem, std::string_view allowed) {
        const auto place = *name == '\0' ? path_ : path_ + "/" + name;
        faults_.add({"message", 0, place.empty() ? "/" : place}, problem, allowed);
    }

    [[nodiscard]] const nlohmann::json* find(const char* name) const {
        if (!object_.is_object()) {
            return nullptr;
        }
        const auto it = object_.find(name);
        return it == object_.end() ? nullptr : &*it;
    }

private:
    template <class T> static constexpr std::string_view expected() {
        if constexpr (std::is_same_v<T, std::string>) {
            return "a string";
        } else if constexpr (std::is_same_v<T, bool>) {
            return "true or false";
        } else if constexpr (std::is_floating_point_v<T>) {
            return "a number";
        } else {
            return "a whole number in range";
        }
    }

    template <class T> std::optional<T> convert(const nlohmann::json& value, const char* name) {
        if (fits<T>(value)) {
            return value.get<T>();
        }
        // The text of a message in MessagePack may be no UTF-8.
        const auto quote = value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
        fault(name, "is " + quote.substr(0, longest_quote), expected<T>());
        return std::nullopt;
    }

    template <class T> static bool fits(const nlohmann::json& value) {
        if constexpr (std::is_same_v<T, std::string>) {
            return value.is_string();
        } else if constexpr (std::is_same_v<T, bool>) {
            return value.is_boolean();
        } else if constexpr (std::is_floating_point_v<T>) {
            return value.is_number();
        } else if constexpr (std::is_signed_v<T>) {
            return value.is_number_integer();
        } else {
            return value.is_number_unsigned() &&
                   value.get<std::uint64_t>() <= std::numeric_limits<T>::max();
        }
    }

    static constexpr std::size_t longest_quote = 40;

    const nlohmann::json& object_;
    std::string path_;
    kernel::findings& faults_;
};

/// All findings as one error, or success.
[[nodiscard]] kernel::result<void> as_result(const kernel::findings& faults);

} // namespace cornelloom::rollout::internal
