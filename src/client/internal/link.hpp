#pragma once

#include "client/options.hpp"

#include <atomic>
#include <mutex>
#include <optional>
#include <random>
#include <span>

namespace cornelloom::client::internal {

/// How one request may be repeated.
struct repeat_rules {
    bool idempotent = false;
    unsigned max_attempts = 1;
    kernel::duration attempt_timeout = std::chrono::seconds{30}; ///< Of each attempt.
    std::span<const int> final_statuses; ///< Error statuses that are whole answers.
    /// Whether an idempotent request is repeated when a daemon says `unknown`. Off for requests
    /// that the daemon itself repeats, so that attempts of the layers do not multiply.
    bool repeat_unknown = false;
};

/// A whole answer and how often it was asked for.
struct exchange {
    transport::http_response response;
    kernel::run_state state = kernel::run_state::unknown;
    unsigned attempts = 0;
};

/// What one attempt came to.
struct attempt_outcome {
    std::optional<transport::http_response> response{}; ///< Set: whole answer, final.
    kernel::refusal refused{};                          ///< Else: why not.
    bool try_another_daemon = false;
};

[[nodiscard]] attempt_outcome classify(kernel::result<transport::http_response> received,
                                       std::span<const int> final_statuses);

/// The refusal in an answer's body; what the body does not say counts as unknown.
[[nodiscard]] kernel::refusal parse_refusal(const transport::http_response& response);

/// The daemons of a list, of which each request needs one. Thread-safe.
class link {
public:
    explicit link(client_options options);

    /// Sends until there is a whole answer, repeating is not allowed, or the deadline would pass.
    /// The state of a refusal covers all attempts: once one of them may have run, it is `unknown`.
    [[nodiscard]] answered<exchange> send(transport::http_request request,
                                          kernel::time_point deadline, const repeat_rules& rules);

    [[nodiscard]] kernel::time_point now() const { return clock_->now(); }

    [[nodiscard]] kernel::wall_time wall_now() const { return clock_->wall_now(); }

    [[nodiscard]] const retry_limits& retries() const { return options_.retries; }

    /// A key that no other request has.
    [[nodiscard]] std::string make_key();

    void wait(kernel::duration time) const { options_.wait(time); }

private:
    [[nodiscard]] attempt_outcome attempt(transport::http_request& request, kernel::duration left,
                                          const repeat_rules& rules);
    [[nodiscard]] kernel::duration delay(unsigned attempts, kernel::duration retry_after,
                                         bool try_another_daemon);

    client_options options_;
    kernel::runtime_clock own_clock_;
    kernel::runtime_clock* clock_;
    std::atomic<std::size_t> preferred_ = 0;
    std::mutex random_lock_;
    std::mt19937_64 random_;
};

/// Sets a header, replacing one of the same name.
void set_header(transport::http_request& request, std::string_view name, std::string value);

} // namespace cornelloom::client::internal
