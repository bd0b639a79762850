#pragma once

#include "coord/claims.hpp"
#include "daemon/lease_runner.hpp"
#include "daemon/peers.hpp"
#include "daemon/single_call.hpp"

#include <future>
#include <map>
#include <mutex>

namespace cornelloom::daemon {

/// A call that must not run twice, as its caller named it.
struct claimed_call {
    coord::claim_key key;
    kernel::wall_time issued;
    service_request call;
    bool forwarded = false; ///< Came from another host, and is not passed on again.
};

/// Runs calls that are not idempotent at most once: the holder of a key's shard makes the claim
/// durable before the first byte is sent. Calls that reach another host are passed on to it.
/// Thread-safe.
class claims_runner {
public:
    claims_runner(context& shared, request_runner& requests, lease_runner& leases,
                  membership_runner& members, platform_runner& platform, peers& others);

    /// Blocks until the final answer.
    [[nodiscard]] transport::http_response run(const claimed_call& call);

    /// A call that another host passed on.
    [[nodiscard]] peer_reply handle(const std::string& body);

    /// Wants the leases of the shards that this host should hold. Looks at every host.
    void choose_shards();

    /// Lets time pass in the shards that are served here.
    void tick();

    /// Commits what is known of outcomes, before the leases are given back.
    void close();

    [[nodiscard]] bool is_closed() const;

    [[nodiscard]] std::size_t records() const;

    static constexpr const char* peer_path = "/claims/call";

private:
    struct granted {};

    using verdict = std::variant<granted, coord::claim_outcome, kernel::refusal>;

    void want(std::uint32_t shard);
    [[nodiscard]] bool is_used(std::uint32_t shard) const;
    [[nodiscard]] bool is_open(std::uint32_t shard) const;
    [[nodiscard]] transport::http_response run_here(const claimed_call& call, std::uint32_t shard);
    [[nodiscard]] transport::http_response forward(const claimed_call& call,
                                                   const kernel::host_id& to) const;
    void apply(std::uint32_t shard, const coord::claims_event& event);
    [[nodiscard]] transport::http_response refuse(const kernel::request_id& id,
                                                  const kernel::refusal& why) const;

    context& shared_;
    request_runner& requests_;
    lease_runner& leases_;
    membership_runner& members_;
    platform_runner& platform_;
    peers& peers_;
    mutable std::mutex mutex_;
    std::map<std::uint32_t, coord::claims> shards_;
    std::map<std::uint32_t, kernel::time_point> last_use_;
    std::map<std::uint64_t, std::promise<verdict>> waiting_;
    std::uint64_t next_request_ = 1;
};

} // namespace cornelloom::daemon
