#pragma once

#include "front/store_request.hpp"
#include "front/types.hpp"
#include "front/usage_report.hpp"
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
};

struct object_page {
    std::vector<stored_object> items;
    bool more = false;
    std::uint64_t at = 0; ///< The platform's revision that the page shows.
};

struct object_change {
    stored_object object;
    bool deleted = false;
};

struct object_changes {
    std::vector<object_change> changes;
    std::uint64_t at = 0;
};

/// A request of a caller, as far as routing and forwarding need it.
struct caller_request {
    std::string id;
    std::string host;
    std::optional<milliseconds> time_left;
    std::int64_t last_event = 0;           ///< The last event that the caller has; 0: none.
    std::optional<std::string> key_hash{}; ///< Of the key that it brings; the key itself stays out.
};

/// The calls on batches that a caller may make.
struct batch_call {
    enum class verb { read_results, read_item, end };
    verb what = verb::read_results;
    std::string batch;
    std::string item;         ///< For `read_item`.
    std::size_t position = 0; ///< For `read_results`: the first position wanted.
    milliseconds wait{0};     ///< How long it may wait for a result.
    std::string account{};    ///< Of the caller, as the host that took the call in knows it.
};

/// What goes along with a request to a target.
struct forward_terms {
    std::string target_id; ///< Another target at that address refuses.
    std::optional<milliseconds> time_left;
    std::int64_t resume_after = 0; ///< The target goes on after this event; 0: from the start.
    /// The client account it runs for, empty for none; the caller's own headers about keys and
    /// accounts stay out. Nothing: there are no accounts, and these are headers like any other.
    std::optional<std::string> account{};
};

/// An order to load a version of a model.
struct load_order {
    enum class mode { wait, truncate, keep };
    std::string model;
    int version = 0;
    mode runs = mode::keep; ///< What becomes of the requests that run.
    std::string holder;
    std::uint64_t fence = 0;
    std::int64_t expected_orders = 0; ///< Orders that the target has accepted so far.
};

enum class order_outcome {
    accepted,
    holds_already,
    busy_or_changed,
    fenced,
    invalid,
    other_target
};

/// A target's own report.
struct target_report {
    std::int64_t orders = 0; ///< Accepted since its start.
    bool busy = false;       ///< An order is in progress.
    int running = 0;
    int waiting = 0;
    std::map<std::string, int, std::less<>> versions;
};

/// Who makes a call to the platform for all hosts.
struct duty_sender {
    std::string holder;
    std::uint64_t fence = 0;
};

/// So many targets of a service are wanted in a zone.
struct supply_order {
    std::string service;
    std::string zone;
    int count = 0;
};

/// Everything that depends on the platform's names and formats. The one implementation registers
/// itself as `platform`; each function is pure.
struct adapter {
    kernel::result<host_settings> (*settings)(std::string_view text);

    // The platform's object store.
    store_request (*list)(object_kind kind, std::string_view after, bool may_be_stale);
    store_request (*watch)(object_kind kind, std::uint64_t at, milliseconds wait);
    store_request (*get)(object_kind kind, std::string_view name, bool may_be_stale);
    store_request (*create)(object_kind kind, std::string_view name,
                            std::string_view specification);
    /// `revision` 0: whatever the object's revision is.
    store_request (*replace)(object_kind kind, std::string_view name,
                             std::string_view specification, std::uint64_t revision);
    store_request (*replace_status)(object_kind kind, std::string_view name,
                                    std::string_view status);
    kernel::result<object_page> (*page)(std::string_view body);
    kernel::result<object_changes> (*changes)(std::string_view body);
    kernel::result<stored_object> (*object)(std::string_view body);

    // Documents of operators, targets and trainers.
    kernel::result<configuration> (*configuration_of)(const nlohmann::json& specification);
    kernel::result<target_entry> (*target)(const stored_object& object);
    kernel::result<named_version> (*version)(const nlohmann::json& specification);
    std::string (*retirement_done)();

    // Callers.
    caller_request (*request)(const transport::http_request& message);
    std::optional<batch_call> (*batch)(const transport::http_request& message);
    kernel::result<batch_spec> (*submission)(const nlohmann::json& body);
    /// The results from a position on, at most about a megabyte of them.
    std::string (*results)(std::size_t total, std::size_t position,
                           const std::vector<item_result>& all);
    /// When a refused caller may come again.
    transport::http_header (*retry_after)(milliseconds pause);

    // Targets.
    transport::http_request (*forward)(const transport::http_request& message,
                                       const forward_terms& terms);
    transport::http_request (*item)(const batch_item& item, std::string_view host,
                                    const forward_terms& terms);
    transport::http_request (*scoring)(const scoring_call& scoring, const forward_terms& terms);
    target_answer (*answer)(const std::vector<transport::http_header>& headers);
    /// The headers of a target's answer that its caller gets.
    std::vector<transport::http_header> (*answer_headers)(
        const std::vector<transport::http_header>& headers);
    /// Takes the complete events off the front of `bytes`.
    std::vector<stream_event> (*events)(std::string& bytes);
    transport::http_request (*order)(const load_order& order, std::string_view target_id);
    order_outcome (*order_answer)(int status);
    transport::http_request (*report)(std::string_view target_id);
    kernel::result<target_report> (*report_of)(std::string_view body);

    // Calls to the platform that one host makes for all.
    transport::http_request (*usage)(const usage_report& report, const duty_sender& sender);
    transport::http_request (*supply)(const supply_order& order, const duty_sender& sender);
};

/// The adapter that is linked in. Ends the process with a message when there is none.
[[nodiscard]] const adapter& the_adapter();

} // namespace cornelloom::front
