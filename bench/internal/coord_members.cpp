#include "bench/internal/coord_members.hpp"

#include <algorithm>
#include <chrono>

namespace cornelloom::coord_bench {

namespace {

using namespace std::chrono_literals;

/// One way, as between zones of a region with a loaded host at either end.
constexpr kernel::duration latency = 2ms;
/// From hearing of a generation to having fetched it.
constexpr kernel::duration fetch_time = 50ms;
constexpr kernel::duration slice = 5ms;

std::string address(std::size_t index) {
    return "10.0.0.1:" + std::to_string(1000 + index);
}

std::size_t index_of(const std::string& gossip_address) {
    return std::stoul(gossip_address.substr(gossip_address.find(':') + 1)) - 1000;
}

} // namespace

kernel::host_id simulated_fleet::id(std::size_t index) {
    return kernel::host_id{"entry-" + std::to_string(index)};
}

simulated_fleet::simulated_fleet(std::size_t hosts)
    : up_(hosts, true), next_tick_(hosts, kernel::time_point{}) {
    constexpr std::size_t zones = 10;
    hosts_.reserve(hosts);
    for (std::size_t i = 0; i < hosts; ++i) {
        const coord::member_info info{id(i), kernel::zone_id{"zone-" + std::to_string(i % zones)},
                                      kernel::region_id{"region-" + std::to_string(i % 3)},
                                      address(i), address(i)};
        hosts_.push_back(
            coord::make_membership({}, info, 1, {address(0), address(1), address(2)}, i + 1, now_));
        next_tick_[i] = now_ + 7ms * i; // Hosts do not tick in step.
    }
}

std::size_t simulated_fleet::running() const {
    return static_cast<std::size_t>(std::ranges::count(up_, true));
}

void simulated_fleet::kill(std::size_t host) {
    up_[host] = false;
}

void simulated_fleet::send(std::size_t host, const coord::membership_event& event) {
    const auto before = std::chrono::steady_clock::now();
    auto out = coord::step(hosts_[host], event, now_);
    const auto spent = std::chrono::steady_clock::now() - before;
    totals_.machine_ns += static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::nanoseconds>(spent).count());
    ++totals_.steps;
    next_tick_[host] = out.next;
    handle(host, std::move(out));
}

void simulated_fleet::handle(std::size_t host, coord::membership_effects out) {
    for (auto& sent : out.send) {
        ++totals_.datagrams;
        totals_.bytes += sent.bytes.size();
        in_flight_.emplace(now_ + latency, arrival{host, index_of(sent.to), std::move(sent.bytes)});
    }
    for (const auto& heard : out.hints) {
        if (adopts_ && heard.hint.generation > hosts_[host].configuration.generation) {
            adoptions_.emplace(now_ + fetch_time, std::pair(host, heard.hint));
        }
    }
}

void simulated_fleet::advance() {
    now_ += slice;
    while (!in_flight_.empty() && in_flight_.begin()->first <= now_) {
        const auto arrived = std::move(in_flight_.begin()->second);
        in_flight_.erase(in_flight_.begin());
        if (up_[arrived.to]) {
            send(arrived.to, coord::datagram_received{address(arrived.from), arrived.bytes});
        }
    }
    while (!adoptions_.empty() && adoptions_.begin()->first <= now_) {
        const auto [host, hint] = adoptions_.begin()->second;
        adoptions_.erase(adoptions_.begin());
        if (hint.generation > hosts_[host].configuration.generation) {
            send(host, coord::configuration_in_force{hint});
        }
    }
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
        if (up_[i] && next_tick_[i] <= now_) {
            send(i, coord::membership_tick{});
        }
    }
}

void simulated_fleet::run(kernel::duration span) {
    for (const auto end = now_ + span; now_ < end;) {
        advance();
    }
}

std::vector<kernel::duration>
simulated_fleet::spread(const std::function<bool(const coord::membership&)>& known,
                        kernel::duration limit) {
    std::vector<kernel::duration> times;
    std::vector<bool> done(hosts_.size(), false);
    const auto start = now_;
    while (times.size() < running() && now_ - start < limit) {
        advance();
        for (std::size_t i = 0; i < hosts_.size(); ++i) {
            if (up_[i] && !done[i] && known(hosts_[i])) {
                done[i] = true;
                times.push_back(now_ - start);
            }
        }
    }
    std::ranges::sort(times);
    return times;
}

} // namespace cornelloom::coord_bench
