#pragma once

#include "daemon/membership_runner.hpp"
#include "kernel/result.hpp"
#include "transport/peer_stream.hpp"

#include <functional>
#include <string>

namespace cornelloom::daemon {

using transport::peer_reply;

/// Calls another daemon by its `IP:port`. Errors as of transport::call.
using peer_transport =
    std::function<kernel::result<peer_reply>(const std::string& address, const std::string& path,
                                             const std::string& body, kernel::duration timeout)>;

/// Finds other daemons by their host id and calls them.
class peers {
public:
    peers(context& shared, membership_runner& members, peer_transport transport);

    [[nodiscard]] kernel::result<peer_reply> call(const kernel::host_id& host,
                                                  const std::string& path, const std::string& body,
                                                  kernel::duration timeout) const;

    /// Live hosts but this one, those that leave left out.
    [[nodiscard]] std::vector<kernel::host_id> others() const;

    /// The host that keeps the copy of what `key` names: by rendezvous hash among the other hosts
    /// of the zone, else of the region (copies across regions are paid for), else of all. Nothing
    /// when this host is alone.
    [[nodiscard]] std::optional<kernel::host_id> choose_replica(std::string_view key) const;

    [[nodiscard]] bool is_live(const kernel::host_id& host) const;

private:
    context& shared_;
    membership_runner& members_;
    peer_transport transport_;
};

} // namespace cornelloom::daemon
