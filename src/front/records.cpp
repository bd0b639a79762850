#include "front/records.hpp"

#include <boost/asio/ip/address.hpp>

#include <algorithm>
#include <limits>
#include <optional>

namespace cornelloom::front {

namespace {

using json = nlohmann::json;

kernel::error invalid_input_error(std::string_view detail) {
    return {kernel::error_code::invalid_input, std::string(detail)};
}

std::string dump(const json& value) {
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

json encode_result(const item_result& result) {
    return {{"id", result.id},       {"completed", result.completed},
            {"text", result.text},   {"versions", result.versions},
            {"score", result.score}, {"scored", result.scored}};
}

/// Far more events than a text may have; the next one has a number, too.
constexpr std::int64_t max_events = 1'000'000'000;
/// An item is given up long before.
constexpr std::int64_t max_failures = 1'000'000;

/// The whole number that a value is; nothing if it is none within the bounds.
std::optional<std::int64_t> decode_integer(const json& given, std::int64_t least,
                                           std::int64_t most) {
    const bool fits = given.is_number_unsigned()
                          ? given.get<std::uint64_t>() <= std::numeric_limits<std::int64_t>::max()
                          : given.is_number_integer();
    const auto number = fits ? given.get<std::int64_t>() : 0;
    return fits && number >= least && number <= most ? std::optional(number) : std::nullopt;
}

std::optional<std::vector<int>> decode_versions(const json& value) {
    if (!value.is_array()) {
        return std::nullopt;
    }
    std::vector<int> out;
    for (const auto& each : value) {
        const auto version =
            decode_integer(each, std::numeric_limits<int>::min(), std::numeric_limits<int>::max());
        if (!version) {
            return std::nullopt;
        }
        out.push_back(static_cast<int>(*version));
    }
    return out;
}

std::optional<item_result> decode_result(const json& value) {
    auto versions = decode_versions(value.at("versions"));
    if (!versions) {
        return std::nullopt;
    }
    item_result out;
    out.id = value.at("id").get<std::string>();
    out.completed = value.at("completed").get<bool>();
    out.text = value.at("text").get<std::string>();
    out.versions = std::move(*versions);
    out.score = value.at("score").get<std::string>();
    out.scored = value.at("scored").get<bool>();
    return out;
}

std::optional<partial_text> decode_partial(const json& value) {
    const auto last_event = decode_integer(value.at("last_event"), 0, max_events);
    auto versions = decode_versions(value.at("versions"));
    if (!last_event || !versions) {
        return std::nullopt;
    }
    partial_text out;
    out.last_event = *last_event;
    out.text = value.at("text").get<std::string>();
    out.versions = std::move(*versions);
    out.whole = value.at("whole").get<bool>();
    return out;
}

/// Turns the exception that the JSON library throws for a missing or mistyped field into an error.
template <class Decode>
auto catch_json_errors(std::string_view record_kind, Decode decode) -> decltype(decode()) {
    try {
        return decode();
    } catch (const json::exception& json_error) {
        return invalid_input_error(std::string(record_kind) + ": " + json_error.what());
    }
}

/// Submissions are bounded, and so are their parts.
constexpr std::int64_t max_parts = 50000;
/// Later times overflow when they are compared in nanoseconds.
constexpr std::int64_t max_unix_ms = 10'000'000'000'000;
constexpr double max_cpu_share = 4096;
constexpr double max_loads_at_once = 10000;

/// Whether another process can be called there.
bool is_callable(const transport::endpoint& where) {
    boost::system::error_code failure;
    const auto number = boost::asio::ip::make_address(where.address, failure);
    const bool is_broadcast =
        number.is_v4() && number.to_v4() == boost::asio::ip::address_v4::broadcast();
    return !failure && where.port != 0 && !number.is_unspecified() && !number.is_multicast() &&
           !is_broadcast;
}

kernel::result<transport::endpoint> decode_endpoint(const json& value, const char* field) {
    auto parsed = transport::parse_endpoint(value.at(field).get<std::string>());
    if (parsed && !is_callable(parsed.value())) {
        return invalid_input_error(std::string(field) + ": nothing can be called there");
    }
    return parsed;
}

/// The number of a field; nothing if it is none between 0 and `most`.
std::optional<double> decode_amount(const json& value, const char* field, double most) {
    const auto found = value.find(field);
    if (found == value.end() || !found->is_number()) {
        return std::nullopt;
    }
    const auto given = found->get<double>();
    return given >= 0 && given <= most ? std::optional(given) : std::nullopt;
}

} // namespace

std::string encode_header(const batch_header& header) {
    return dump({{"host", header.host},
                 {"path", header.path},
                 {"account", header.account},
                 {"owner", header.owner},
                 {"owner_at", to_string(header.owner_at)},
                 {"received_ms", header.received_ms},
                 {"parts", header.parts}});
}

kernel::result<batch_header> decode_header(std::string_view id, const json& value) {
    return catch_json_errors("batch", [&]() -> kernel::result<batch_header> {
        batch_header out;
        out.id = id;
        out.host = value.at("host").get<std::string>();
        out.path = value.at("path").get<std::string>();
        out.account = value.value("account", "");
        out.owner = value.at("owner").get<std::string>();
        BOOST_OUTCOME_TRY(owner_at, decode_endpoint(value, "owner_at"));
        out.owner_at = std::move(owner_at);
        const auto received_ms = decode_integer(value.at("received_ms"), 0, max_unix_ms);
        const auto parts = decode_integer(value.at("parts"), 0, max_parts);
        if (!received_ms || !parts) {
            return invalid_input_error("batch: a number is out of range");
        }
        out.received_ms = *received_ms;
        out.parts = static_cast<int>(*parts);
        return out;
    });
}

std::string encode_entry(const log_entry& entry) {
    json out = {{"writer", entry.writer}, {"nonce", entry.nonce}};
    for (const auto& result : entry.results) {
        out["results"].push_back(encode_result(result));
    }
    for (const auto& [id, partial] : entry.partials) {
        out["partials"][id] = {{"last_event", partial.last_event},
                               {"text", partial.text},
                               {"versions", partial.versions},
                               {"whole", partial.whole}};
    }
    if (!entry.failures.empty()) {
        out["failures"] = entry.failures;
    }
    if (entry.ends) {
        out["ends"] = true;
    }
    if (!entry.new_owner.empty()) {
        out["new_owner"] = entry.new_owner;
        out["new_owner_at"] = to_string(entry.new_owner_at);
    }
    return dump(out);
}

kernel::result<log_entry> decode_entry(const json& value) {
    return catch_json_errors("log entry", [&]() -> kernel::result<log_entry> {
        log_entry out;
        out.writer = value.at("writer").get<std::string>();
        out.nonce = value.at("nonce").get<std::uint64_t>();
        for (const auto& result : value.value("results", json::array())) {
            auto decoded = decode_result(result);
            if (!decoded) {
                return invalid_input_error("log entry: a number of a result is out of range");
            }
            out.results.push_back(std::move(*decoded));
        }
        const auto partials = value.value("partials", json::object());
        for (const auto& [id, partial] : partials.items()) {
            auto decoded = decode_partial(partial);
            if (!decoded) {
                return invalid_input_error("log entry: a number of a text is out of range");
            }
            out.partials.emplace(id, std::move(*decoded));
        }
        const auto failures = value.value("failures", json::object());
        if (!failures.is_object()) {
            return invalid_input_error("log entry: failures are no map");
        }
        for (const auto& [id, count] : failures.items()) {
            const auto decoded = decode_integer(count, 0, max_failures);
            if (!decoded) {
                return invalid_input_error("log entry: a number of failures is out of range");
            }
            out.failures.emplace(id, static_cast<int>(*decoded));
        }
        out.ends = value.value("ends", false);
        out.new_owner = value.value("new_owner", "");
        if (!out.new_owner.empty()) {
            BOOST_OUTCOME_TRY(new_owner_at, decode_endpoint(value, "new_owner_at"));
            out.new_owner_at = std::move(new_owner_at);
        }
        return out;
    });
}

std::string encode_host(const host_entry& host) {
    return dump(
        {{"zone", host.zone}, {"at", to_string(host.address)}, {"processor", host.cpu_share}});
}

kernel::result<host_entry> decode_host(std::string_view name, const json& value) {
    return catch_json_errors("host", [&]() -> kernel::result<host_entry> {
        host_entry out;
        out.name = name;
        out.zone = value.at("zone").get<std::string>();
        BOOST_OUTCOME_TRY(address, decode_endpoint(value, "at"));
        out.address = std::move(address);
        const auto cpu_share = decode_amount(value, "processor", max_cpu_share);
        if (!cpu_share) {
            return invalid_input_error("host: processor is out of range");
        }
        out.cpu_share = *cpu_share;
        return out;
    });
}

std::string encode_lease(const lease_record& lease) {
    return dump({{"holder", lease.holder},
                 {"renewal", lease.renewal},
                 {"loads_at_once", lease.loads_at_once}});
}

kernel::result<lease_record> decode_lease(const json& value) {
    return catch_json_errors("order lease", [&]() -> kernel::result<lease_record> {
        lease_record out;
        out.holder = value.at("holder").get<std::string>();
        const auto renewal = value.find("renewal");
        out.renewal = renewal != value.end() && renewal->is_number_unsigned()
                          ? renewal->get<std::uint64_t>()
                          : 0;
        out.loads_at_once = decode_amount(value, "loads_at_once", max_loads_at_once).value_or(0);
        return out;
    });
}

std::vector<std::string> split_submission(std::string_view text, std::size_t max_object_bytes) {
    // Half of the size, as each quote takes two bytes in a JSON string; 512 bytes for the name and
    // the revision of the object.
    const std::size_t max_piece_bytes = std::max<std::size_t>(max_object_bytes / 2 - 512, 512);
    std::vector<std::string> out;
    std::size_t begin = 0;
    while (begin < text.size() || out.empty()) {
        auto end = std::min(begin + max_piece_bytes, text.size());
        // Don't cut inside a multi-byte UTF-8 character.
        while (end < text.size() && end > begin + 1 &&
               (static_cast<unsigned char>(text[end]) & 0xC0U) == 0x80U) {
            --end;
        }
        out.push_back(dump(json(text.substr(begin, end - begin))));
        begin = end;
    }
    return out;
}

std::string numbered_name(std::string_view batch, std::uint64_t number) {
    const auto digits = std::to_string(1000000 + number).substr(1);
    return std::string(batch) + "." + digits;
}

} // namespace cornelloom::front
