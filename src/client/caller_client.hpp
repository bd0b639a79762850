#pragma once

#include "client/options.hpp"
#include "kernel/identifiers.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace cornelloom::client {

/// One call of a plain service.
struct service_request {
    kernel::service_id service;
    std::string method = "GET";
    std::string path = "/"; ///< At the service.
    std::string query;      ///< Without the question mark, encoded.
    std::vector<transport::http_header> headers;
    std::string body;
    /// Whether it may run more than once. If not, the daemon claims the key before it sends the
    /// call, and this library repeats it only when it surely has not run.
    bool idempotent = false;
    /// Names the request when it is sent again, also by another process after a restart. Empty: one
    /// is made up.
    std::string idempotency_key;
    /// When the request was first issued; 0: now. Give it together with a key that is used again.
    kernel::wall_time issued;
    kernel::duration deadline = std::chrono::seconds{30};
};

/// The whole answer of the service, also if its status is an error.
struct service_answer {
    transport::http_response response;
    std::string idempotency_key;
    unsigned attempts = 0;
};

struct generation_request {
    kernel::pool_id pool;
    std::string prompt;
    std::uint32_t max_tokens = 256;
    std::uint64_t seed = 0;
    kernel::duration deadline = std::chrono::seconds{60};
};

/// Tokens of a text in order, by the weight version that produced them.
struct version_span {
    std::uint64_t tokens = 0;
    std::uint64_t version = 0;
    bool operator==(const version_span&) const = default;
};

struct generation {
    std::string text;
    std::vector<version_span> spans;
};

namespace internal {
class link;
}

/// For brokers, parish offices and background services. Thread-safe; calls wait for their answer.
/// A refusal says `not_run` only if no attempt can have run.
class caller_client {
public:
    explicit caller_client(client_options options);
    ~caller_client();
    caller_client(const caller_client&) = delete;
    caller_client& operator=(const caller_client&) = delete;

    [[nodiscard]] answered<service_answer> call(const service_request& request);

    /// One idempotent generation outside any step.
    [[nodiscard]] answered<generation> generate(const generation_request& request);

private:
    std::unique_ptr<internal::link> link_;
};

} // namespace cornelloom::client
