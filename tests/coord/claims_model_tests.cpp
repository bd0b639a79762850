#include "coord/internal/claims_step.hpp"
#include "model.hpp"

#include <catch2/catch.hpp>

using namespace cornelloom;
using namespace cornelloom::coord;
using namespace cornelloom::test;
using namespace std::chrono_literals;

namespace {

constexpr int keepers = 2;
constexpr std::uint64_t request_count = 2;

/// Two hosts that may both believe they hold a shard, one key that its caller sends to either,
/// and the target. A grant waits in an outbox, so its host may be paused or crash before sending.
template <class Rules> struct claims_world {
    struct outgoing {
        int owner;
        std::uint64_t request;
    };

    model_network network;
    std::vector<claims> hosts{make_claims(settings()), make_claims(settings())};
    std::vector<outgoing> outbox;
    std::vector<int> running; ///< Owners whose target has not answered yet.
    std::uint64_t next_fence = 1;
    std::uint64_t asked = 0;
    std::set<std::uint64_t> executed;
    std::set<std::uint64_t> called_not_run;
    std::set<std::uint64_t> replayed;
    int executions = 0;
    int crashes = 1;
    int openings = 3;
    bool late = false; ///< The first request's deadline has passed.

    static claims_settings settings() {
        claims_settings made;
        made.commit_every = {};
        return made;
    }

    static claim_key key() { return {kernel::caller_id{"c"}, "k"}; }

    [[nodiscard]] kernel::time_point now() const { return kernel::time_point{} + (late ? 2s : 1s); }

    void drive(int owner, const claims_event& event) {
        auto& host = hosts[static_cast<std::size_t>(owner)];
        auto out = internal::claims_machine<Rules>::step(host, event, now(),
                                                         kernel::wall_time{10'000'000});
        network.send(owner, std::move(out.calls));
        for (const auto& grant : out.grants) {
            outbox.push_back({owner, grant.request});
        }
        for (const auto& answer : out.answers) {
            const auto* refused = std::get_if<kernel::refusal>(&answer.answer);
            if (refused == nullptr) {
                replayed.insert(answer.request);
            } else if (refused->state == kernel::run_state::not_run) {
                called_not_run.insert(answer.request);
            }
        }
    }

    [[nodiscard]] std::string violation() const {
        if (executions > 1) {
            return "the request ran twice";
        }
        const bool lied = std::ranges::any_of(
            called_not_run, [&](auto request) { return executed.contains(request); });
        if (lied) {
            return "a request that ran was refused as not run";
        }
        return !replayed.empty() && executions == 0 ? "an outcome without a run" : "";
    }

    [[nodiscard]] std::string fingerprint() const {
        const auto current = [&](int owner, std::uint64_t token) {
            const auto& host = hosts[static_cast<std::size_t>(owner)];
            return host.call != claims_call::none && host.call_token == token;
        };
        auto all = network.fingerprint(current);
        const auto add = [&](auto... numbers) { ((all += "," + std::to_string(numbers)), ...); };
        for (const auto& host : hosts) {
            add(static_cast<int>(host.phase), host.fence, host.version, static_cast<int>(host.call),
                host.failures, host.queue.size());
            all += encode(host.head) + encode(host.unwritten);
            for (const auto& [name, record] : host.records) {
                add(static_cast<int>(record.state), record.running ? 1 : 0);
            }
            for (const auto& waiting : host.queue) {
                add(waiting.request);
            }
            if (host.commit) {
                all += encode(host.commit->next) + (host.commit->in_doubt ? "d" : "");
                for (const auto& waiting : host.commit->waiting) {
                    add(waiting.request, waiting.refused ? 1 : 0);
                }
            }
        }
        for (const auto& [owner, request] : outbox) {
            add(owner, request);
        }
        for (const auto owner : running) {
            add(owner);
        }
        for (const auto& group : {executed, called_not_run, replayed}) {
            all += "/";
            std::ranges::for_each(group, add);
        }
        add(next_fence, asked, executions, crashes, openings, late ? 1 : 0);
        return all;
    }

    [[nodiscard]] std::vector<successor_world<claims_world>> successors() const {
        std::vector<successor_world<claims_world>> found;
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
        for (int owner = 0; owner < keepers; ++owner) {
            host_steps(owner, add);
        }
        target_steps(add);
        if (!late) {
            add("the first deadline passes", [](auto& next) { next.late = true; });
        }
        return found;
    }

    template <class Add> void host_steps(int owner, Add add) const {
        const auto name = std::to_string(owner);
        const auto& host = hosts[static_cast<std::size_t>(owner)];
        if (openings > 0 && host.phase == claims_phase::closed) {
            add(name + " takes the lease", [&](auto& next) {
                --next.openings;
                next.drive(owner, claims_opened{next.next_fence++});
            });
        }
        if (asked < request_count) {
            add("the caller asks " + name, [&](auto& next) {
                const auto deadline =
                    kernel::time_point{} + (next.asked == 0 && !next.late ? 2s : 9s);
                next.drive(owner, claim_asked{next.asked++, key(), kernel::wall_time{10'000'000},
                                              deadline});
            });
        }
        if (crashes > 0 && host.phase != claims_phase::closed) {
            add(name + " crashes", [&](auto& next) {
                --next.crashes;
                next.hosts[static_cast<std::size_t>(owner)] = make_claims(settings());
                std::erase_if(next.outbox, [&](const auto& out) { return out.owner == owner; });
                std::erase(next.running, owner);
            });
        }
        const bool idle = host.phase == claims_phase::open && host.call == claims_call::none;
        if (idle && (!host.queue.empty() || !host.unwritten.empty() || host.commit)) {
            add(name + " ticks", [&](auto& next) { next.drive(owner, claims_tick{}); });
        }
    }

    template <class Add> void target_steps(Add add) const {
        for (std::size_t i = 0; i < outbox.size(); ++i) {
            const auto out = outbox[i];
            const auto name = std::to_string(out.owner);
            const auto remove = [i](auto& next) {
                next.outbox.erase(next.outbox.begin() + static_cast<std::ptrdiff_t>(i));
            };
            add("the target runs what " + name + " sends", [&](auto& next) {
                remove(next);
                ++next.executions;
                next.executed.insert(out.request);
                next.running.push_back(out.owner);
            });
            add(name + " cannot reach the target", [&](auto& next) {
                remove(next);
                next.drive(out.owner, claim_unsent{key()});
            });
        }
        for (std::size_t i = 0; i < running.size(); ++i) {
            add("the target answers " + std::to_string(running[i]), [&](auto& next) {
                const auto owner = next.running[i];
                next.running.erase(next.running.begin() + static_cast<std::ptrdiff_t>(i));
                next.drive(owner, claim_ran{key(), {200, "done"}});
            });
        }
    }
};

struct unconditional_rules : internal::claims_rules {
    static std::optional<std::uint64_t> expected_version(std::uint64_t) { return std::nullopt; }
};

struct send_first_rules : internal::claims_rules {
    static constexpr bool grant_before_commit = true;
};

struct bounds {
    int faults = 0;
    int crashes = 0;
    int openings = 0;
    bool late = true; ///< Whether the deadline has passed from the start, for the second request.
};

/// Host 0 holds the shard and serves; from there on everything may happen, within the bounds.
template <class Rules> exploration explore_claims(const bounds& limits) {
    constexpr std::size_t state_limit = 2'000'000;
    claims_world<Rules> world;
    world.drive(0, claims_opened{world.next_fence++});
    while (!world.network.requests.empty()) {
        const auto call = world.network.requests.front();
        world.network.requests.clear();
        world.drive(
            0, platform_answer{call.call.token, world.network.platform.apply(call.call.operation)});
    }
    world.network.faults = limits.faults;
    world.crashes = limits.crashes;
    world.openings = limits.openings;
    world.late = limits.late;
    return explore(std::move(world), state_limit);
}

} // namespace

TEST_CASE("No interleaving runs a claimed request twice or lies about it", "[coord][model]") {
    // Story: a price sync is sent, no answer comes, and the caller sends it again through another
    // host. Meanwhile a lease lapsed, a holder was paused or crashed, and the platform lost,
    // doubled and delayed calls. The price must be printed once, and `not run` must be true.
    const auto [name, limits] =
        GENERATE(table<std::string, bounds>({{"claims, lapse and one fault", {1, 0, 1, true}},
                                             {"claims, crash and lapses", {0, 1, 2, true}},
                                             {"claims, crash, fault, lapse", {1, 1, 1, true}},
                                             {"claims, two faults", {2, 0, 1, true}},
                                             {"claims, a deadline passes", {1, 0, 1, false}}}));
    const auto found = explore_claims<internal::claims_rules>(limits);
    print(name, found);
    CHECK(found.violation.empty());
    CHECK(found.complete);
}

TEST_CASE("The model catches claims written without a condition", "[coord][model][mutant]") {
    const auto found = explore_claims<unconditional_rules>({1, 0, 1, true});
    print("claims, fencing check removed", found);
    CHECK(found.violation == "the request ran twice");
}

TEST_CASE("The model catches claims written after sending", "[coord][model][mutant]") {
    const auto found = explore_claims<send_first_rules>({0, 1, 1, true});
    print("claims, claim after send", found);
    CHECK(!found.violation.empty());
}
