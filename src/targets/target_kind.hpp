#pragma once

#include "kernel/identifiers.hpp"
#include "kernel/registry.hpp"
#include "transport/http_client.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace cornelloom::targets {

/// One attempt's work, as it is sent to a target.
struct work {
    kernel::request_id id; ///< Of the attempt; a later `cancel` names it.
    std::string method = "POST";
    std::string path;                            ///< Services only: method, path and query of the
    std::string query;                           ///< caller's request.
    std::vector<transport::http_header> headers; ///< Services only: passed on.
    std::string body;   ///< A service's request body or an engine's prompt.
    std::string so_far; ///< Engines: text already generated (resume).
    int max_tokens = 0;
    int priority = 0; ///< Higher runs first.
    std::uint64_t seed = 0;
    std::string adapter; ///< Engines: to be used on top of the model; empty: none.
};

/// A piece of generated text with the weight version that the engine reports for it.
struct piece {
    std::string text;
    int tokens = 0;
    std::int64_t version = 0;
    std::string adapter; ///< As the engine reports it; empty: the plain model.
};

/// Takes each piece as it arrives; false cancels the work.
using piece_sink = std::function<bool(const piece&)>;

enum class ending {
    whole,     ///< The target answered whole.
    not_sent,  ///< No byte reached the target.
    broken,    ///< Something was sent and no whole answer came.
    cancelled, ///< We ended it.
};

struct work_result {
    ending how = ending::broken;
    transport::http_response response; ///< Services: the answer, to be passed back whole.
    std::string detail;                ///< For people.
};

/// A target's own report; it lags by `age`.
struct load {
    std::int64_t version = 0;
    int running = 0;
    int queued = 0;
    int capacity = 0;
    double tokens_per_second = 0;
    bool loading = false;
    kernel::duration age{};
    std::string role;
    std::vector<std::string> adapters;
};

enum class order_kind { load_version, load_adapter, set_role };

struct order {
    order_kind kind = order_kind::load_version;
    std::int64_t version = 0; ///< For load_version.
    std::string name;         ///< Adapter or role.
    std::int64_t fence = 0;   ///< Fencing number of the lease under which it is given.
};

enum class order_verdict { accepted, old_fence, failed };

struct order_answer {
    order_verdict verdict = order_verdict::failed;
    std::int64_t fence = 0; ///< With `old_fence`: the largest that the target has seen.
};

struct cache_change {
    bool added = false;
    std::string prefix;
};

struct cache_changes {
    std::vector<cache_change> changes;
    std::int64_t next = 0; ///< Ask with this the next time.
};

/// A kind of target, as a plug-in: registered with `kernel::registration<target_kind>` under the
/// name that a configuration gives in `targets[].kind`. Functions that a kind does not have are
/// null.
struct target_kind {
    work_result (*run)(const transport::endpoint&, const work&, const piece_sink&,
                       const transport::call_options&) = nullptr;
    kernel::result<load> (*read_load)(const transport::endpoint&,
                                      kernel::duration timeout) = nullptr;
    kernel::result<order_answer> (*give_order)(const transport::endpoint&, const order&,
                                               kernel::duration timeout) = nullptr;
    void (*cancel)(const transport::endpoint&, const kernel::request_id&,
                   kernel::duration timeout) = nullptr;
    kernel::result<cache_changes> (*read_cache)(const transport::endpoint&, std::int64_t after,
                                                kernel::duration timeout) = nullptr;
};

/// How an error of a call counts for the promise "not run".
[[nodiscard]] ending to_ending(const kernel::error& problem);

} // namespace cornelloom::targets
