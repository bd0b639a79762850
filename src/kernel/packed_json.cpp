#include "kernel/packed_json.hpp"

#include <nlohmann/json.hpp>

namespace cornelloom::kernel {

namespace {

using nlohmann::json;
using value_builder = nlohmann::detail::json_sax_dom_parser<json>;

/// Builds the value and ends the parse where it is nested too deeply.
class bounded_builder : public value_builder {
public:
    explicit bounded_builder(json& value) : value_builder(value, false) {}

    bool start_object(std::size_t members) {
        return ++depth_ <= max_packed_depth && value_builder::start_object(members);
    }

    bool end_object() {
        --depth_;
        return value_builder::end_object();
    }

    bool start_array(std::size_t elements) {
        return ++depth_ <= max_packed_depth && value_builder::start_array(elements);
    }

    bool end_array() {
        --depth_;
        return value_builder::end_array();
    }

private:
    std::size_t depth_ = 0;
};

} // namespace

std::optional<json> parse_packed(std::string_view bytes) {
    json value;
    bounded_builder builder(value);
    try {
        return json::sax_parse(bytes.begin(), bytes.end(), &builder, json::input_format_t::msgpack)
                   ? std::optional(std::move(value))
                   : std::nullopt;
    } catch (const json::exception&) {
        // An array or map claims more elements than memory could hold.
        return std::nullopt;
    }
}

} // namespace cornelloom::kernel
