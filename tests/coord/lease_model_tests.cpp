#include "model.hpp"

#include <catch2/catch.hpp>

using namespace cornelloom;
using namespace cornelloom::coord;
using namespace cornelloom::test;
using namespace std::chrono_literals;

namespace {

struct fencing_target {
    static bool accepts(std::uint64_t highest, std::uint64_t fence) {
        return accepts_fence(highest, fence);
    }
};

struct careless_target {
    static bool accepts(std::uint64_t /*highest*/, std::uint64_t /*fence*/) { return true; }
};

/// Host 0 holds the lease at the start. Two hosts, one lease and one target. Orders may stand
/// between the holder's check and the target for any time. A host that is not stepped while time
/// moves is a paused host.
template <class Target> struct lease_world {
    struct order {
        int owner;
        std::uint64_t fence;
        bool operator==(const order&) const = default;
    };

    model_network network;
    std::vector<lease> hosts;
    std::vector<order> orders; ///< On their way.
    int seconds = 0;
    int last_second = 0;
    int crashes = 0;
    int sessions = 2;
    int orders_left = 2;
    int returns = 0;                 ///< How often a holder may give the lease back.
    std::uint64_t highest_fence = 0; ///< Seen by the target.
    std::uint64_t newest_obeyed = 0;
    bool stale_obeyed = false;

    static lease_settings settings(int owner, int session) {
        lease_settings made;
        made.key = {"lease", "pool"};
        made.self = kernel::host_id{std::to_string(owner)};
        made.session = std::to_string(session);
        made.term = 2s;
        made.margin = 500ms;
        made.renew_every = 1s;
        made.poll_every = 1s;
        return made;
    }

    [[nodiscard]] kernel::time_point now() const {
        return kernel::time_point{} + std::chrono::seconds{seconds};
    }

    [[nodiscard]] lease& host(int owner) { return hosts[static_cast<std::size_t>(owner)]; }

    [[nodiscard]] const lease& host(int owner) const {
        return hosts[static_cast<std::size_t>(owner)];
    }

    void drive(int owner, const lease_event& event) {
        network.send(owner, step(host(owner), event, now()).calls);
    }

    void start(int owner, int session) {
        host(owner) = make_lease(settings(owner, session));
        drive(owner, lease_wanted{});
    }

    [[nodiscard]] std::string violation() const {
        const auto holders = std::ranges::count_if(
            hosts, [&](const lease& state) { return may_order(state, now()); });
        if (holders > 1) {
            return "two hosts may order at the same time";
        }
        return stale_obeyed ? "the target obeyed an old holder after a new one" : "";
    }

    [[nodiscard]] std::string fingerprint() const {
        auto all = network.fingerprint([&](int owner, std::uint64_t token) {
            return host(owner).pending && host(owner).pending->token == token;
        });
        const auto add = [&](auto... numbers) { ((all += "," + std::to_string(numbers)), ...); };
        const auto at = [](kernel::time_point when) { return when.time_since_epoch().count(); };
        for (const auto& state : hosts) {
            add(static_cast<int>(state.role), state.fence, at(state.valid_until), state.version,
                at(state.next_action), state.failures);
            all += encode(state.mine) + state.settings.session;
            if (state.seen) {
                add(at(state.seen->first_seen), state.seen->version);
                all += encode(state.seen->record);
            }
            for (const auto& call : {state.pending, state.in_doubt}) {
                all += call ? encode(call->written) + std::to_string(at(call->sent)) : "-";
            }
        }
        for (const auto& [owner, fence] : orders) {
            add(owner, fence);
        }
        add(seconds, crashes, sessions, orders_left, returns, highest_fence, newest_obeyed,
            stale_obeyed ? 1 : 0);
        return all;
    }

    [[nodiscard]] std::vector<successor_world<lease_world>> successors() const {
        std::vector<successor_world<lease_world>> found;
        const auto add = [&](std::string label, auto change) {
            auto next = *this;
            change(next);
            found.push_back({std::move(label), std::move(next)});
        };
        network.network_steps([&](std::string label, model_network changed) {
            add(std::move(label), [&](auto& next) { next.network = std::move(changed); });
        });
        for (std::size_t i = 0; i < network.answers.size(); ++i) {
            add("answer to " + std::to_string(network.answers[i].owner), [&](auto& next) {
                const auto answer = next.network.take(i);
                next.drive(answer.owner, answer.what);
            });
        }
        if (seconds < last_second) {
            add("a second passes", [](auto& next) { ++next.seconds; });
        }
        for (int owner = 0; owner < static_cast<int>(hosts.size()); ++owner) {
            host_steps(owner, add);
        }
        for (std::size_t i = 0; i < orders.size(); ++i) {
            add("an order of " + std::to_string(orders[i].owner) + " arrives",
                [&](auto& next) { next.arrive(i); });
        }
        return found;
    }

    template <class Add> void host_steps(int owner, Add add) const {
        const auto name = std::to_string(owner);
        const auto& state = host(owner);
        const bool due = !state.pending && now() >= state.next_action;
        const bool over = state.role == lease_role::held && now() >= state.valid_until;
        if (due || over) {
            add(name + " ticks", [&](auto& next) { next.drive(owner, lease_tick{}); });
        }
        if (orders_left > 0 && may_order(state, now())) {
            add(name + " checks its lease and orders", [&](auto& next) {
                --next.orders_left;
                next.orders.push_back({owner, next.host(owner).fence});
            });
        }
        if (crashes > 0) {
            add(name + " crashes and restarts", [&](auto& next) {
                --next.crashes;
                next.start(owner, ++next.sessions);
            });
        }
        if (returns > 0 && state.role == lease_role::held) {
            add(name + " gives back", [&](auto& next) {
                --next.returns;
                next.drive(owner, lease_given_back{});
            });
        }
    }

    void arrive(std::size_t index) {
        const auto [owner, fence] = orders[index];
        orders.erase(orders.begin() + static_cast<std::ptrdiff_t>(index));
        if (Target::accepts(highest_fence, fence)) {
            highest_fence = std::max(highest_fence, fence);
            stale_obeyed = stale_obeyed || fence < newest_obeyed;
            newest_obeyed = std::max(newest_obeyed, fence);
        }
    }
};

struct bounds {
    int faults = 0;
    int crashes = 0;
    int seconds = 0;
    int orders = 0;
    int returns = 0;
};

template <class Target> exploration explore_lease(const bounds& limits) {
    constexpr std::size_t state_limit = 400'000;
    lease_world<Target> world;
    world.network.faults = limits.faults;
    world.crashes = limits.crashes;
    world.last_second = limits.seconds;
    world.orders_left = limits.orders;
    world.returns = limits.returns;
    world.hosts.resize(2);
    world.start(0, 1);
    while (world.host(0).role != lease_role::held) {
        const auto call = std::exchange(world.network.requests, {}).front().call;
        world.drive(0, platform_answer{call.token, world.network.platform.apply(call.operation)});
    }
    world.start(1, 2);
    return explore(std::move(world), state_limit);
}

} // namespace

TEST_CASE("No interleaving has two lease holders or obeys an old one", "[coord][model]") {
    // Story: a weights steward is paused while its lease lapses, another host takes over, and the
    // first one wakes with an order in hand. Engines would load the old version over the new one.
    const auto [name, limits] =
        GENERATE(table<std::string, bounds>({{"lease, lapse and takeover", {0, 0, 4, 2, 0}},
                                             {"lease, one fault", {1, 0, 3, 0, 0}},
                                             {"lease, one crash", {0, 1, 3, 0, 0}},
                                             {"lease, given back", {0, 0, 3, 1, 1}}}));
    const auto found = explore_lease<fencing_target>(limits);
    print(name, found);
    CHECK(found.violation.empty());
    CHECK(found.complete);
}

TEST_CASE("The model catches a target without the fencing check", "[coord][model][mutant]") {
    const auto found = explore_lease<careless_target>({0, 0, 4, 2, 0});
    print("lease, fencing check removed at the target", found);
    CHECK(found.violation == "the target obeyed an old holder after a new one");
}
