#include "transport/internal/platform_codec.hpp"

#include "kernel/json_text.hpp"
#include "transport/events.hpp"

#include <nlohmann/json.hpp>

#include <array>
#include <charconv>
#include <cmath>
#include <stdexcept>

namespace cornelloom::transport::internal {

using nlohmann::json;

namespace {

constexpr std::chrono::seconds default_retry_after{1};

/// The kind of the list of hosts in logs and metrics.
constexpr std::string_view hosts_kind = "host";

template <class... Cases> struct overloaded : Cases... {
    using Cases::operator()...;
};

std::string object_path(const coord::object_key& key) {
    return "/v1/objects/" + encode_path(key.kind) + "/" + encode_path(key.name);
}

std::string expectation(const std::optional<std::uint64_t>& version) {
    return version ? "expect=" + std::to_string(*version) : std::string{};
}

kernel::result<http_request> put_request(const coord::put_object& put) {
    if (put.value.size() > coord::platform_value_limit) {
        return kernel::error{kernel::error_code::too_large,
                             "value of " + put.key.kind + "/" + put.key.name};
    }
    http_request request{"PUT", object_path(put.key), expectation(put.expected_version), {}, {}};
    try {
        request.body = json{{"value", put.value}}.dump();
    } catch (const json::exception&) {
        return kernel::error{kernel::error_code::invalid_input,
                             "value of " + put.key.kind + "/" + put.key.name + " is not UTF-8"};
    }
    request.headers.push_back({"Content-Type", "application/json"});
    return request;
}

/// What is wrong; the parser's own messages quote the text, which stays out of the log.
std::string describe(const std::exception& damaged) {
    const auto* parser = dynamic_cast<const json::exception*>(&damaged);
    return parser == nullptr ? damaged.what() : "error " + std::to_string(parser->id);
}

/// A number that counts, such as a version; conversions of other numbers are undefined or wrap.
std::uint64_t read_count(const json& body, const char* name) {
    const auto& value = body.at(name);
    if (!value.is_number_unsigned()) {
        throw std::invalid_argument(std::string(name) + " is no count");
    }
    return value.get<std::uint64_t>();
}

coord::stored_object read_object(const json& body) {
    return {{body.at("kind"), body.at("name")},
            read_count(body, "version"),
            body.value("value", std::string{}),
            body.value("deleted", false)};
}

coord::host_record read_host(const json& body) {
    return {body.at("id"), body.at("address"), body.at("zone"), body.at("region"),
            body.value("leaving", false)};
}

std::string read_text(std::string_view text) {
    const auto value = json::parse(text, nullptr, false);
    return value.is_string() ? value.get<std::string>() : std::string();
}

void report_unreadable(std::string_view kind, std::string_view name, std::string_view problem,
                       kernel::metrics& metrics) {
    kernel::log(events::platform_object_unreadable,
                {{"kind", kind}, {"name", name}, {"problem", problem}});
    const std::array labels{kernel::label{"kind", kind}};
    metrics.count("cornelloom_unreadable_objects_total", labels);
}

/// Reads one element of a list. What can't be read costs only itself; the reason is logged.
template <class Read>
auto read_element(std::string_view text, std::string_view kind, const Read& read,
                  kernel::metrics& metrics) {
    std::optional<decltype(read(json()))> out;
    const auto members = kernel::split_object(text).value_or(std::vector<kernel::json_member>());
    const auto* const name_field = kind == hosts_kind ? "id" : "name";
    const auto report = [&](std::string_view problem) {
        report_unreadable(kind, read_text(kernel::find_member(members, name_field)), problem,
                          metrics);
    };
    if (const auto excess = kernel::find_excess(text, {}); !excess.empty()) {
        report(excess);
        return out;
    }
    try {
        out = read(json::parse(text));
    } catch (const std::exception& damaged) {
        report(describe(damaged));
    }
    return out;
}

/// The members of the answer, which has to be a JSON object.
std::vector<kernel::json_member> split_answer(std::string_view text) {
    auto members = kernel::split_object(text);
    if (!members) {
        throw std::invalid_argument("answer is no object");
    }
    return std::move(*members);
}

std::vector<std::string_view> split_list(const std::vector<kernel::json_member>& members,
                                         std::string_view name) {
    auto elements = kernel::split_array(kernel::find_member(members, name));
    if (!elements) {
        throw std::invalid_argument(std::string(name) + " is no list");
    }
    return std::move(*elements);
}

/// An object whose key can be read stays in the listing, without a value: it is there, but can't
/// be used.
coord::call_listing read_listing(std::string_view body, std::string_view kind,
                                 kernel::metrics& metrics) {
    const auto members = split_answer(body);
    const json revision{{"revision", json::parse(kernel::find_member(members, "revision"))}};
    coord::call_listing listing{read_count(revision, "revision"), {}};
    for (const auto text : split_list(members, "objects")) {
        if (auto object = read_element(text, kind, read_object, metrics)) {
            listing.objects.push_back(std::move(*object));
        } else if (const auto object_members = kernel::split_object(text)) {
            const auto name = read_text(kernel::find_member(*object_members, "name"));
            if (!name.empty()) {
                listing.objects.push_back({{std::string(kind), name}, 0, {}, false});
            }
        }
    }
    return listing;
}

coord::call_hosts read_hosts(std::string_view body, kernel::metrics& metrics) {
    coord::call_hosts hosts;
    for (const auto text : split_list(split_answer(body), "hosts")) {
        if (auto one = read_element(text, hosts_kind, read_host, metrics)) {
            hosts.hosts.push_back(std::move(*one));
        }
    }
    return hosts;
}

coord::platform_outcome read_success(const coord::platform_operation& operation,
                                     std::string_view body, kernel::metrics& metrics) {
    return std::visit(
        overloaded{[&](const coord::get_object&) -> coord::platform_outcome {
                       return coord::call_object{read_object(json::parse(body))};
                   },
                   [&](const coord::put_object&) -> coord::platform_outcome {
                       return coord::call_done{read_count(json::parse(body), "version")};
                   },
                   [&](const coord::delete_object&) -> coord::platform_outcome {
                       const auto answer = json::parse(body);
                       return coord::call_done{
                           answer.contains("version") ? read_count(answer, "version") : 0};
                   },
                   [&](const coord::list_objects& list) -> coord::platform_outcome {
                       return read_listing(body, list.kind, metrics);
                   },
                   [&](const coord::watch_objects& watch) -> coord::platform_outcome {
                       return read_listing(body, watch.kind, metrics);
                   },
                   [&](const coord::list_hosts&) -> coord::platform_outcome {
                       return read_hosts(body, metrics);
                   }},
        operation);
}

kernel::duration retry_after(const http_response& response) {
    const auto text = find_header(response.headers, "Retry-After");
    double seconds = 0;
    if (!text ||
        std::from_chars(text->data(), text->data() + text->size(), seconds).ec != std::errc{} ||
        std::isnan(seconds)) {
        return default_retry_after;
    }
    constexpr double longest_seconds = 60;
    const std::chrono::duration<double> wait{std::clamp(seconds, 0.0, longest_seconds)};
    return std::chrono::duration_cast<kernel::duration>(wait);
}

/// Any answer that the protocol does not know.
coord::platform_outcome read_other(const coord::platform_operation& operation,
                                   const http_response& response) {
    kernel::log(events::platform_answer_odd, {{"status", response.status}});
    const bool refused = response.status / 100 == 4;
    return refused ? coord::platform_outcome{coord::call_outage{}} : lost_answer(operation);
}

} // namespace

bool is_write(const coord::platform_operation& operation) {
    return std::holds_alternative<coord::put_object>(operation) ||
           std::holds_alternative<coord::delete_object>(operation);
}

kernel::result<http_request> to_request(const coord::platform_operation& operation) {
    using answer = kernel::result<http_request>;
    return std::visit(
        overloaded{
            [](const coord::get_object& get) -> answer {
                return http_request{"GET", object_path(get.key), {}, {}, {}};
            },
            [](const coord::put_object& put) -> answer { return put_request(put); },
            [](const coord::delete_object& gone) -> answer {
                return http_request{
                    "DELETE", object_path(gone.key), expectation(gone.expected_version), {}, {}};
            },
            [](const coord::list_objects& list) -> answer {
                return http_request{"GET", "/v1/objects/" + encode_path(list.kind), {}, {}, {}};
            },
            [](const coord::watch_objects& watch) -> answer {
                const auto wait =
                    std::chrono::duration_cast<std::chrono::milliseconds>(watch.timeout);
                return http_request{"GET",
                                    "/v1/watch/" + encode_path(watch.kind),
                                    "after=" + std::to_string(watch.after_revision) +
                                        "&timeout_ms=" + std::to_string(wait.count()),
                                    {},
                                    {}};
            },
            [](const coord::list_hosts&) -> answer {
                return http_request{"GET", "/v1/hosts", {}, {}, {}};
            }},
        operation);
}

coord::platform_outcome lost_answer(const coord::platform_operation& operation) {
    // A write may have taken effect before its answer was lost; a read changed nothing.
    return is_write(operation) ? coord::platform_outcome{coord::call_unknown{}}
                               : coord::platform_outcome{coord::call_outage{}};
}

coord::platform_outcome read_answer(const coord::platform_operation& operation,
                                    const http_response& response, kernel::metrics& metrics) {
    try {
        switch (response.status) {
        case 200:
            return read_success(operation, response.body, metrics);
        case 404:
            return coord::call_not_found{};
        case 409:
            return coord::call_conflict{read_count(json::parse(response.body), "version")};
        case 429:
            return coord::call_throttled{retry_after(response)};
        case 503:
            return coord::call_outage{};
        default:
            return read_other(operation, response);
        }
    } catch (const std::exception& damaged) {
        kernel::log(events::platform_answer_damaged,
                    {{"status", response.status}, {"error", describe(damaged)}});
        return lost_answer(operation);
    }
}

} // namespace cornelloom::transport::internal
