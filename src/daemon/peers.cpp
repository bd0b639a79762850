#include "daemon/peers.hpp"

#include "kernel/hash.hpp"

#include <algorithm>

namespace cornelloom::daemon {

namespace {

// Own zone first, then own region, then the rest.
int distance(const config::daemon_settings& self, const coord::member& other) {
    if (other.info.zone == self.zone) {
        return 0;
    }
    return other.info.region == self.region ? 1 : 2;
}

bool may_take_work(const coord::member& one, const kernel::host_id& self) {
    return one.info.id != self && !one.leaving && one.state == coord::member_state::alive;
}

} // namespace

peers::peers(context& shared, membership_runner& members, peer_transport transport)
    : shared_(shared), members_(members), transport_(std::move(transport)) {}

kernel::result<peer_reply> peers::call(const kernel::host_id& host, const std::string& path,
                                       const std::string& body, kernel::duration timeout) const {
    const auto member = members_.find(host);
    if (!member) {
        return kernel::error{kernel::error_code::unavailable, "host is not known: " + host.str()};
    }
    return transport_(member->info.service_address, path, body, timeout);
}

std::vector<kernel::host_id> peers::others() const {
    std::vector<kernel::host_id> all;
    for (const auto& one : members_.live()) {
        if (may_take_work(one, shared_.settings.host)) {
            all.push_back(one.info.id);
        }
    }
    return all;
}

std::optional<kernel::host_id> peers::choose_replica(std::string_view key) const {
    auto candidates = members_.live();
    std::erase_if(candidates,
                  [this](const auto& one) { return !may_take_work(one, shared_.settings.host); });
    const auto best = std::ranges::min_element(candidates, {}, [&](const coord::member& one) {
        return std::pair(distance(shared_.settings, one),
                         kernel::hash64(one.info.id.str(), kernel::hash64(key)));
    });
    return best == candidates.end() ? std::nullopt : std::optional(best->info.id);
}

bool peers::is_live(const kernel::host_id& host) const {
    const auto member = members_.find(host);
    return member && (member->state == coord::member_state::alive ||
                      member->state == coord::member_state::suspect);
}

} // namespace cornelloom::daemon
