#pragma once

#include "front/adapter.hpp"
#include "kernel/clock.hpp"
#include "loop/task.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace cornelloom::front {

/// Tells apart how connections to targets end.
///
/// A broken connection alone does not show that its target has crashed: answers get lost, and links
/// are reset. So the target is asked for a new connection, and only a target that accepts none has
/// crashed. What ran there is logged by content, since each attempt of a caller has an id of its
/// own.

struct host;

/// What makes two requests the same. The id is no part of it, since each attempt has its own.
struct request_content {
    std::string_view caller; ///< Client account, or hash of the key; empty: anyone.
    std::string_view host;
    std::string_view method;
    std::string_view path;
    std::string_view query;
    std::string_view body;
};

[[nodiscard]] std::uint64_t digest_of(const request_content& request);

/// The digest of a caller's request. Without accounts, callers are told apart by their keys.
[[nodiscard]] std::uint64_t digest_of_request(const transport::http_request& message,
                                              const caller_request& info,
                                              const std::optional<std::string>& account);

/// The digest as log lines show it.
[[nodiscard]] std::string digest_text(std::uint64_t digest);

/// Identifies a run in `crash_watch`.
using run_number = std::uint64_t;

/// How a run ended, as far as it tells of a crash.
enum class run_end {
    survived, ///< The target answered.
    broken,   ///< The connection ended without an answer.
    unknown,  ///< Not run, given up, or no valid answer.
};

/// A request of this host in flight at a target.
struct active_run {
    std::uint64_t digest = 0;
    std::string target;
    kernel::time_point sent{};
};

/// The runs of this host.
struct crash_watch {
    std::map<run_number, active_run> runs{};
    run_number next_run = 1;
    std::set<std::string, std::less<>> checking{}; ///< Targets that are being asked.
};

/// Registers a run that is being sent to the target.
[[nodiscard]] run_number begin_run(host& self, std::uint64_t digest, std::string_view target_id);

/// Removes the run. After a broken connection, checks in the background whether the target has
/// crashed.
void end_run(const std::shared_ptr<host>& self, run_number run, run_end end);

} // namespace cornelloom::front
