#include "transport/internal/platform_codec.hpp"

#include "transport/events.hpp"

#include <nlohmann/json.hpp>

#include <charconv>

namespace cornelloom::transport::internal {

using nlohmann::json;

namespace {

constexpr std::chrono::seconds default_retry_after{1};

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

coord::stored_object read_object(const json& body) {
    return {{body.at("kind"), body.at("name")},
            body.at("version"),
            body.value("value", std::string{}),
            body.value("deleted", false)};
}

coord::call_listing read_listing(const json& body) {
    coord::call_listing listing{body.at("revision"), {}};
    for (const auto& object : body.at("objects")) {
        listing.objects.push_back(read_object(object));
    }
    return listing;
}

coord::call_hosts read_hosts(const json& body) {
    coord::call_hosts hosts;
    for (const auto& host : body.at("hosts")) {
        hosts.hosts.push_back({host.at("id"), host.at("address"), host.at("zone"),
                               host.at("region"), host.value("leaving", false)});
    }
    return hosts;
}

coord::platform_outcome read_success(const coord::platform_operation& operation, const json& body) {
    return std::visit(
        overloaded{
            [&](const coord::get_object&) -> coord::platform_outcome {
                return coord::call_object{read_object(body)};
            },
            [&](const coord::put_object&) -> coord::platform_outcome {
                return coord::call_done{body.at("version")};
            },
            [&](const coord::delete_object&) -> coord::platform_outcome {
                return coord::call_done{body.value("version", std::uint64_t{0})};
            },
            [&](const coord::list_objects&) -> coord::platform_outcome {
                return read_listing(body);
            },
            [&](const coord::watch_objects&) -> coord::platform_outcome {
                return read_listing(body);
            },
            [&](const coord::list_hosts&) -> coord::platform_outcome { return read_hosts(body); }},
        operation);
}

kernel::duration retry_after(const http_response& response) {
    const auto text = find_header(response.headers, "Retry-After");
    double seconds = 0;
    if (!text ||
        std::from_chars(text->data(), text->data() + text->size(), seconds).ec != std::errc{}) {
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
                                    const http_response& response) {
    try {
        switch (response.status) {
        case 200:
            return read_success(operation, json::parse(response.body));
        case 404:
            return coord::call_not_found{};
        case 409:
            return coord::call_conflict{json::parse(response.body).at("version")};
        case 429:
            return coord::call_throttled{retry_after(response)};
        case 503:
            return coord::call_outage{};
        default:
            return read_other(operation, response);
        }
    } catch (const json::exception& damaged) {
        kernel::log(events::platform_answer_damaged,
                    {{"status", response.status}, {"error", damaged.id}});
        return lost_answer(operation);
    }
}

} // namespace cornelloom::transport::internal
