/// Uses the coordination library alone: three workers find each other, one of them holds a lease,
/// and a configuration comes into force on all. The transport and the platform are this program's
/// own; the library is given messages and the time, and tells what to send.

#include "coord/coord.hpp"
#include "kernel/hash.hpp"

#include <algorithm>
#include <deque>
#include <iostream>
#include <map>
#include <string>
#include <vector>

using namespace cornelloom;
using namespace std::chrono_literals;

namespace {

/// The object store of this program. Any store with conditional updates will do.
struct object_store {
    std::map<coord::object_key, coord::stored_object> objects;

    coord::platform_outcome apply(const coord::platform_operation& what) {
        if (const auto* get = std::get_if<coord::get_object>(&what)) {
            const auto found = objects.find(get->key);
            return found == objects.end() ? coord::platform_outcome{coord::call_not_found{}}
                                          : coord::call_object{found->second};
        }
        const auto* put = std::get_if<coord::put_object>(&what);
        if (put == nullptr) {
            return coord::call_outage{}; // This store can do no more.
        }
        auto& object = objects[put->key];
        if (put->expected_version && *put->expected_version != object.version) {
            return coord::call_conflict{object.version};
        }
        object = {put->key, object.version + 1, put->value, false};
        return coord::call_done{object.version};
    }
};

struct worker {
    coord::membership members;
    coord::lease lease;
    coord::configuration_follow configuration;
};

/// Gives a machine an event and answers the calls that it makes in return.
template <class Machine, class Event>
void drive(object_store& store, Machine& machine, const Event& event, kernel::time_point now) {
    auto calls = coord::step(machine, event, now).calls;
    while (!calls.empty()) {
        const coord::platform_answer answer{calls.front().token,
                                            store.apply(calls.front().operation)};
        calls = coord::step(machine, answer, now).calls;
    }
}

worker make_worker(const std::string& name, kernel::time_point now) {
    const coord::member_info info{kernel::host_id{name}, kernel::zone_id{"zone"},
                                  kernel::region_id{"region"}, name, name};
    coord::lease_settings settings;
    settings.key = {"lease", "leader"};
    settings.self = info.id;
    settings.session = name + " since this start";
    return {coord::make_membership({}, info, 1, {"alder", "birch"}, kernel::hash64(name), now),
            coord::make_lease(settings), coord::make_follow({.self = info.id}, now)};
}

} // namespace

int main() {
    object_store store;
    kernel::time_point now{};
    std::map<std::string, worker> workers;
    for (const auto* name : {"alder", "birch", "cedar"}) {
        workers.emplace(name, make_worker(name, now));
        drive(store, workers.at(name).lease, coord::lease_wanted{}, now);
    }
    const auto body = coord::encode(coord::configuration_set{{{"greeting.json", "{}"}}}).value();
    auto apply = coord::make_apply({}, {"first apply", 0, 0, body}, now);
    drive(store, apply, coord::apply_tick{}, now);

    for (const auto end = now + 10s; now < end; now += 100ms) {
        std::deque<std::pair<std::string, coord::datagram>> network;
        for (auto& [name, self] : workers) {
            for (auto& sent : coord::step(self.members, coord::membership_tick{}, now).send) {
                network.emplace_back(name, std::move(sent));
            }
            drive(store, self.lease, coord::lease_tick{}, now);
            drive(store, self.configuration, coord::follow_tick{}, now);
        }
        while (!network.empty()) {
            const auto [from, sent] = std::move(network.front());
            network.pop_front();
            const coord::datagram_received event{from, sent.bytes};
            for (auto& reply : coord::step(workers.at(sent.to).members, event, now).send) {
                network.emplace_back(sent.to, std::move(reply));
            }
        }
    }

    bool good = true;
    for (const auto& [name, self] : workers) {
        const auto live = coord::live_members(self.members).size();
        const auto generation = self.configuration.in_force.generation;
        std::cout << name << ": sees " << live << " workers, generation " << generation
                  << (coord::may_order(self.lease, now) ? ", holds the lease" : "") << '\n';
        good = good && live == workers.size() && generation == 1;
    }
    const auto holders = std::ranges::count_if(
        workers, [&](const auto& entry) { return coord::may_order(entry.second.lease, now); });
    return good && holders == 1 ? 0 : 1;
}
