#pragma once

#include "front/store_request.hpp"
#include "front/types.hpp"
#include "front/usage_report.hpp"
#include "kernel/json_text.hpp"
#include "kernel/result.hpp"
#include "loop/exchange.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cornelloom::front {

struct stored_object {
    std::string name;
    std::uint64_t revision = 0;
    nlohmann::json specification;
    nlohmann::json status;
    /// Why the specification or the status can't be read; empty if they can. The name and the
    /// revision hold.
    std::string fault{};
};

struct object_page {
    std::vector<stored_object> items;
    std::size_t unnamed = 0; ///< Entries whose name or revision can't be read; not in `items`.
    bool has_more = false;
    std::uint64_t at = 0; ///< Store revision of the page.
};

struct object_change {
    stored_object object;
    bool deleted = false;
};

struct object_changes {
    std::vector<object_change> changes;
    std::size_t unnamed = 0; ///< As in `object_page`.
    std::uint64_t at = 0;
};

/// The properties of a caller's request that routing and forwarding need.
struct caller_request {
    std::string id;
    std::string host; ///< The `Host` header without its port.
    std::optional<milliseconds> time_left;
    std::int64_t last_event = 0;           ///< Last event that the caller received; 0: none.
    std::optional<std::string> key_hash{}; ///< Hash of its key; the key itself is not kept.
};

/// A caller's call on an existing batch.
struct batch_call {
    enum class verb { read_results, read_item, end };
    verb operation = verb::read_results;
    std::string batch;
    std::string item;         ///< For `read_item`.
    std::size_t position = 0; ///< For `read_results`: first position to return.
    milliseconds wait{0};     ///< Maximum time to wait for a result.
    std::string account{};    ///< Client account, as determined by the host that received the call.
};

/// What is added to a request when it is forwarded to a target.
struct forward_options {
    std::string target_id; ///< Another target at that address refuses the request.
    std::optional<milliseconds> time_left;
    std::int64_t resume_after = 0; ///< Event after which the target resumes; 0: from the start.
    /// Client account of the request, empty for none; the caller's own key and account headers are
    /// removed. Unset: no accounts are configured, and these headers are forwarded.
    std::optional<std::string> account{};
    /// Rank of the request at the target, 0 is the most urgent; unset: the target's default.
    std::optional<int> priority{};
};

/// An order to a target to load a version of a model.
struct load_order {
    enum class mode { wait, truncate, keep };
    std::string model;
    int version = 0;
    /// What happens to running requests. `wait` is ordered for models whose samples must come from
    /// a single version, `keep` for all others.
    mode running_requests = mode::keep;
    std::string holder;      ///< Host that gives the order; holds the order lease.
    std::uint64_t fence = 0; ///< Fencing token of that lease.
    /// Orders that the target must have accepted so far. So of two orders with the same number it
    /// accepts only one.
    std::int64_t expected_orders = 0;
};

enum class order_outcome {
    accepted,
    already_loaded,
    busy_or_changed,
    fenced, ///< Refused because of the fencing token.
    invalid,
    other_target ///< Refused: another target is at that address.
};

/// The state that a target reports about itself.
struct target_report {
    std::int64_t orders = 0; ///< Orders accepted since its start.
    bool busy = false;       ///< An order is in progress.
    int running = 0;
    int waiting = 0;
    std::map<std::string, int, std::less<>> versions;
};

/// Identifies the host that makes a call to the platform on behalf of all.
struct duty_sender {
    std::string holder;      ///< The host; holds the order lease.
    std::uint64_t fence = 0; ///< Fencing token of that lease.
};

/// Requests a number of targets of a service in a zone from the platform.
struct supply_order {
    std::string service;
    std::string zone;
    int count = 0;
};

/// Encodes and decodes everything that depends on the platform's names and formats. The only
/// implementation registers itself as `platform`. All functions are pure.
struct adapter {
    kernel::result<host_settings> (*settings)(std::string_view text);

    // Requests to the platform's object store and its answers.
    store_request (*list)(object_kind kind, std::string_view after, bool allow_stale);
    store_request (*watch)(object_kind kind, std::uint64_t since, milliseconds wait);
    store_request (*get)(object_kind kind, std::string_view name, bool allow_stale);
    store_request (*create)(object_kind kind, std::string_view name,
                            std::string_view specification);
    /// Replaces unconditionally if `revision` is 0.
    store_request (*replace)(object_kind kind, std::string_view name,
                             std::string_view specification, std::uint64_t revision);
    store_request (*replace_status)(object_kind kind, std::string_view name,
                                    std::string_view status);
    // An object whose text can't be read, or is beyond the limits, costs no other object.
    kernel::result<object_page> (*page)(std::string_view body, const kernel::json_limits& limits);
    kernel::result<object_changes> (*changes)(std::string_view body,
                                              const kernel::json_limits& limits);
    kernel::result<stored_object> (*object)(std::string_view body);
    /// Name of the one object that holds the configuration.
    std::string_view configuration_name;

    // Stored objects of operators, targets and trainers.
    kernel::result<configuration> (*configuration_of)(const nlohmann::json& specification);
    kernel::result<target_entry> (*target)(const stored_object& object);
    kernel::result<published_version> (*version)(const nlohmann::json& specification);
    std::string (*retirement_done)();

    // Requests of callers and their answers.
    caller_request (*request)(const transport::http_request& message);
    std::optional<batch_call> (*batch)(const transport::http_request& message);
    kernel::result<batch_spec> (*submission)(const nlohmann::json& body);
    /// Encodes the results from a position on, limited to about a megabyte.
    std::string (*results)(std::size_t total, std::size_t position,
                           const std::vector<item_result>& all);
    /// Header with the retry delay for a refused request.
    transport::http_header (*retry_after)(milliseconds pause);

    // Requests to targets and their answers.
    transport::http_request (*forward)(const transport::http_request& message,
                                       const forward_options& options);
    transport::http_request (*item)(const batch_item& item, std::string_view host,
                                    const forward_options& options);
    transport::http_request (*scoring)(const scoring_call& scoring, const forward_options& options);
    target_answer (*answer)(const std::vector<transport::http_header>& headers);
    /// Selects the headers of a target's answer that are forwarded to the caller.
    std::vector<transport::http_header> (*answer_headers)(
        const std::vector<transport::http_header>& headers);
    /// Removes the complete events from the front of `bytes` and returns them.
    std::vector<stream_event> (*events)(std::string& bytes);
    transport::http_request (*order)(const load_order& order, std::string_view target_id);
    order_outcome (*order_answer)(int status);
    transport::http_request (*report)(std::string_view target_id);
    kernel::result<target_report> (*report_of)(std::string_view body);

    // Calls to the platform that one host makes on behalf of all.
    transport::http_request (*usage)(const usage_report& report, const duty_sender& sender);
    transport::http_request (*supply)(const supply_order& order, const duty_sender& sender);
};

/// Returns the linked adapter. Exits with an error message if there is none.
[[nodiscard]] const adapter& linked_adapter();

} // namespace cornelloom::front
