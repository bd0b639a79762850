#pragma once

#include "client/options.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace cornelloom::client {

/// A configuration in force, as the platform keeps it.
struct configuration_in_force {
    std::uint64_t generation = 0;
    std::string set; ///< JSON document of files, see `config::parse_set`.
};

struct apply_request {
    std::string apply_id; ///< The same when sent again, so that it takes effect once.
    std::uint64_t expected_generation = 0;
    std::string set;
};

enum class apply_outcome {
    applied,
    conflict, ///< Another operator was faster; nothing was applied.
    rejected, ///< The daemon found faults; nothing was applied.
};

struct apply_answer {
    apply_outcome outcome = apply_outcome::applied;
    std::uint64_t generation = 0;     ///< New, or on a conflict the one in force.
    std::vector<std::string> details; ///< What differs, or the findings; a line each.
};

/// What to take out of service.
struct drain_request {
    std::string kind = "target"; ///< `host` or `target`.
    std::string id;
};

namespace internal {
class link;
}

/// For operators. Documents are given as JSON text, as the daemon sent them.
class operator_client {
public:
    explicit operator_client(client_options options);
    ~operator_client();
    operator_client(const operator_client&) = delete;
    operator_client& operator=(const operator_client&) = delete;

    [[nodiscard]] answered<std::string> status();
    [[nodiscard]] answered<configuration_in_force> configuration();
    [[nodiscard]] answered<apply_answer> apply(const apply_request& request);
    [[nodiscard]] answered<std::string> explain(const std::string& request_id);
    [[nodiscard]] answered<std::string> drain(const drain_request& request);

    /// An id for `apply_request`.
    [[nodiscard]] std::string make_apply_id();

private:
    [[nodiscard]] answered<std::string> get(std::string path);

    std::unique_ptr<internal::link> link_;
};

} // namespace cornelloom::client
