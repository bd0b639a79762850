#pragma once

#include "coord/coord.hpp"
#include "kernel/kernel.hpp"

#include <functional>
#include <queue>

namespace cornelloom::test {

using namespace cornelloom::coord;
using namespace std::chrono_literals;

/// Members in one process under a paused clock; datagrams take a millisecond, and `deliver`
/// decides which of them arrive.
class gossip_net {
public:
    explicit gossip_net(std::size_t hosts, membership_settings settings = {},
                        std::uint64_t seed = 1)
        : settings_(settings), seed_(seed) {
        for (std::size_t i = 0; i < hosts; ++i) {
            add(i);
        }
    }

    static std::string address(std::size_t index) { return "10.0.0.1:" + std::to_string(index); }

    static kernel::host_id id(std::size_t index) {
        return kernel::host_id{"host-" + std::to_string(index)};
    }

    void add(std::size_t index, std::uint64_t incarnation = 1) {
        if (nodes.size() <= index) {
            nodes.resize(index + 1);
            up.resize(index + 1, false);
        }
        const member_info info{id(index), kernel::zone_id{"zone-" + std::to_string(index % 3)},
                               kernel::region_id{"region"}, address(index), address(index)};
        nodes[index] = make_membership(settings_, info, incarnation, {address(0), address(1)},
                                       seed_ * 1000 + index, clock.now());
        up[index] = true;
    }

    membership_effects step_node(std::size_t index, const membership_event& event) {
        auto out = step(nodes[index], event, clock.now());
        for (auto& sent : out.send) {
            in_flight_.push_back({index, std::move(sent)});
        }
        for (const auto& change : out.changes) {
            changes.push_back({index, change});
        }
        return out;
    }

    /// Moves time on in steps of 50 ms; paused hosts get no ticks and keep their datagrams out.
    void run(kernel::duration span) {
        const auto end = clock.now() + span;
        while (clock.now() < end) {
            clock.advance(50ms);
            for (std::size_t i = 0; i < nodes.size(); ++i) {
                if (up[i]) {
                    step_node(i, membership_tick{});
                }
            }
            deliver_all();
        }
    }

    /// Runs until `done`, at most for `limit`; how long it took.
    std::optional<kernel::duration> run_until(const std::function<bool()>& done,
                                              kernel::duration limit) {
        const auto start = clock.now();
        while (!done()) {
            if (clock.now() - start >= limit) {
                return std::nullopt;
            }
            run(50ms);
        }
        return clock.now() - start;
    }

    [[nodiscard]] bool all(const std::function<bool(const membership&)>& holds) const {
        for (std::size_t i = 0; i < nodes.size(); ++i) {
            if (up[i] && !holds(nodes[i])) {
                return false;
            }
        }
        return true;
    }

    [[nodiscard]] bool all_see_live(std::size_t count) const {
        return all([&](const membership& node) { return live_members(node).size() == count; });
    }

    [[nodiscard]] bool all_see(std::size_t index, member_state state) const {
        return all([&](const membership& node) {
            const auto found = node.members.find(id(index));
            return found != node.members.end() && found->second.state == state;
        });
    }

    struct noted_change {
        std::size_t at;
        member_change change;
    };

    kernel::runtime_clock clock{kernel::runtime_clock::mode::paused};
    std::vector<membership> nodes;
    std::vector<bool> up; ///< Runs: takes ticks and datagrams.
    std::vector<noted_change> changes;
    std::size_t largest = 0;
    std::function<bool(std::size_t from, std::size_t to)> deliver = [](auto, auto) { return true; };

private:
    struct flight {
        std::size_t from;
        datagram what;
    };

    void deliver_all() {
        while (!in_flight_.empty()) {
            const auto batch = std::exchange(in_flight_, {});
            for (const auto& [from, what] : batch) {
                largest = std::max(largest, what.bytes.size());
                const auto to = std::stoul(what.to.substr(what.to.find(':') + 1));
                if (to < nodes.size() && up[to] && deliver(from, to)) {
                    step_node(to, datagram_received{address(from), what.bytes});
                }
            }
        }
    }

    membership_settings settings_;
    std::uint64_t seed_;
    std::vector<flight> in_flight_;
};

} // namespace cornelloom::test
