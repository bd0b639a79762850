#include "coord/internal/follow_step.hpp"
#include "model.hpp"

#include <catch2/catch.hpp>

using namespace cornelloom;
using namespace cornelloom::coord;
using namespace cornelloom::test;
using namespace std::chrono_literals;

namespace {

constexpr int operators = 2;
constexpr int followers = 2;

object_key head_key() {
    return {std::string(configuration_head_kind), std::string(configuration_head_name)};
}

/// Two operators who start from the same generation, and two hosts that follow: one reads the
/// platform, the other hears gossip of any age. Owners 0 and 1 are operators, 2 and 3 hosts.
template <class Rules> struct configuration_world {
    model_network network;
    std::vector<configuration_apply> applies;
    std::vector<std::optional<apply_result>> results{operators};
    std::vector<configuration_follow> hosts;
    std::vector<configuration_head> history; ///< Every head that was ever in the platform.
    std::uint64_t history_version = 0;
    std::vector<std::pair<int, peer_fetch>> fetches;
    std::vector<configuration_hint> hints; ///< Gossip is never quite gone: any may come again.
    int stale_reads = 0;
    bool went_backwards = false;
    bool half_seen = false;

    [[nodiscard]] static kernel::time_point now() { return kernel::time_point{} + 1h; }

    static std::string body(int owner) { return "body of " + std::to_string(owner); }

    void drive_apply(int owner, const apply_event& event) {
        auto out = step(applies[static_cast<std::size_t>(owner)], event, now());
        network.send(owner, std::move(out.calls));
        if (out.finished) {
            results[static_cast<std::size_t>(owner)] = std::move(out.finished);
        }
    }

    configuration_follow& host(int owner) {
        return hosts[static_cast<std::size_t>(owner - operators)];
    }

    void drive_host(int owner, const follow_event& event) {
        auto& state = host(owner);
        const auto before = state.in_force.generation;
        auto out = internal::follow_machine<Rules>::step(state, event, now());
        went_backwards = went_backwards || state.in_force.generation < before;
        if (out.now_in_force) {
            half_seen = half_seen || !std::ranges::any_of(history, [&](const auto& head) {
                            return head.set_digest == kernel::digest_hex(state.body);
                        });
            hints.push_back(own_hint(state));
        }
        network.send(owner, std::move(out.calls));
        for (auto& fetch : out.fetches) {
            fetches.emplace_back(owner, std::move(fetch));
        }
    }

    void drive(int owner, const platform_answer& answer) {
        owner < operators ? drive_apply(owner, answer) : drive_host(owner, answer);
    }

    void note_head() {
        const auto* head = network.platform.find(head_key());
        if (head != nullptr && head->version != history_version) {
            history_version = head->version;
            history.push_back(*decode_head(head->value));
        }
    }

    [[nodiscard]] std::string violation() const {
        if (went_backwards) {
            return "a host went back to an older generation";
        }
        if (half_seen) {
            return "a host saw a set that nobody applied";
        }
        for (std::size_t owner = 0; owner < results.size(); ++owner) {
            const auto fault = results[owner] ? judge(owner, *results[owner]) : "";
            if (!fault.empty()) {
                return fault;
            }
        }
        return {};
    }

    [[nodiscard]] std::string judge(std::size_t owner, const apply_result& result) const {
        const auto digest = kernel::digest_hex(body(static_cast<int>(owner)));
        const auto own = std::ranges::find(history, digest, &configuration_head::set_digest);
        const bool took_effect = own != history.end();
        const bool says_so = result.status == apply_status::in_force;
        if (result.status == apply_status::undetermined) {
            return {};
        }
        if (took_effect != says_so) {
            return "an operator was told wrongly whether the apply took effect";
        }
        return took_effect && own->generation != result.generation ? "a wrong generation" : "";
    }

    [[nodiscard]] std::string fingerprint() const {
        auto all = network.fingerprint([&](int owner, std::uint64_t token) {
            if (owner < operators) {
                return applies[static_cast<std::size_t>(owner)].pending == token;
            }
            const auto& state = hosts[static_cast<std::size_t>(owner - operators)];
            return (state.head_call && state.head_call->token == token) ||
                   (state.fetch && state.fetch->token == token);
        });
        const auto add = [&](auto... numbers) { ((all += "," + std::to_string(numbers)), ...); };
        for (const auto& state : applies) {
            add(static_cast<int>(state.phase), state.current_version, state.failures,
                state.unwritten.size(), state.head_in_doubt ? 1 : 0, state.pending ? 1 : 0);
        }
        for (const auto& result : results) {
            add(result ? static_cast<int>(result->status) : 9);
        }
        for (const auto& state : hosts) {
            add(state.in_force.generation, state.newest_heard.generation, state.fetch_failures,
                state.head_failures, state.wanted ? state.wanted->head.generation : 0,
                state.wanted ? state.wanted->failures : 0, state.head_call ? 1 : 0,
                state.fetch ? 1 + (state.fetch->from_peer ? 1 : 0) : 0,
                state.next_poll.time_since_epoch().count(),
                state.next_fetch.time_since_epoch().count(), state.lower_since ? 1 : 0);
            all += state.newest_peer.str();
        }
        for (const auto& [owner, fetch] : fetches) {
            add(owner);
            all += fetch.peer.str() + fetch.digest;
        }
        add(stale_reads, history.size(), hints.size());
        return all;
    }

    [[nodiscard]] std::vector<successor_world<configuration_world>> successors() const {
        std::vector<successor_world<configuration_world>> found;
        const auto add = [&](std::string label, auto change) {
            auto next = *this;
            change(next);
            next.note_head();
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
            stale_steps(i, add);
        }
        for (std::size_t i = 0; i < fetches.size(); ++i) {
            add("a peer serves " + std::to_string(fetches[i].first), [&](auto& next) {
                const auto [owner, fetch] = next.fetches[i];
                next.fetches.erase(next.fetches.begin() + static_cast<std::ptrdiff_t>(i));
                const int peer = operators + std::stoi(fetch.peer.str());
                next.drive_host(owner,
                                peer_answer{fetch.token, serve(next.host(peer), fetch.digest)});
            });
        }
        // Only host 3 hears gossip, so that the hosts do not double each other's states.
        for (const auto& hint : hints) {
            add("host 3 hears of generation " + std::to_string(hint.generation),
                [&](auto& next) { next.drive_host(3, hint_heard{kernel::host_id{"0"}, hint}); });
        }
        const auto& reader = hosts.front();
        if (!reader.head_call) {
            add("host 2 reads the head", [](auto& next) {
                next.host(2).next_poll = now();
                next.drive_host(2, follow_tick{});
            });
        }
        return found;
    }

    /// A replica of the platform's store that lags answers with an older head.
    template <class Add> void stale_steps(std::size_t index, Add add) const {
        const auto& answer = network.answers[index];
        const auto* found = std::get_if<call_object>(&answer.what.outcome);
        if (answer.owner < operators || found == nullptr || found->object.key != head_key() ||
            stale_reads == 0) {
            return;
        }
        for (const auto& old : history) {
            add("a stale head reaches " + std::to_string(answer.owner), [&](auto& next) {
                --next.stale_reads;
                auto taken = next.network.take(index);
                std::get<call_object>(taken.what.outcome).object.value = encode(old);
                next.drive(taken.owner, taken.what);
            });
        }
    }

    void put_in_force(const apply_request& request) {
        auto apply = make_apply({}, request, now());
        auto calls = step(apply, apply_tick{}, now()).calls;
        while (!calls.empty()) {
            const auto outcome = network.platform.apply(calls.front().operation);
            calls = step(apply, platform_answer{calls.front().token, outcome}, now()).calls;
        }
        note_head();
    }

    /// Generation 2 is in force everywhere; both operators start from it.
    void set_up() {
        put_in_force({"first", 0, 0, "first body"});
        put_in_force({"second", 1, 1, "second body"});
        for (int i = 0; i < followers; ++i) {
            hosts.push_back(make_follow({.self = kernel::host_id{std::to_string(i)}}, now()));
            auto& state = hosts.back();
            state.in_force = history.back();
            state.body = "second body";
            state.parts = {{history.back().parts.front(), "second body"}};
            state.newest_heard = own_hint(state);
            state.next_poll = kernel::time_point::max();
        }
        for (int owner = 0; owner < operators; ++owner) {
            applies.push_back(make_apply({}, {std::to_string(owner), 2, 2, body(owner)}, now()));
        }
    }
};

struct bounds {
    int faults = 0;
    int stale_reads = 0;
    int racing = 0;
};

template <class Rules> exploration explore_configuration(const bounds& limits) {
    constexpr std::size_t state_limit = 400'000;
    configuration_world<Rules> world;
    world.set_up();
    world.network.faults = limits.faults;
    world.stale_reads = limits.stale_reads;
    for (int owner = 0; owner < limits.racing; ++owner) {
        world.drive_apply(owner, apply_tick{});
    }
    return explore(std::move(world), state_limit);
}

struct wrong_sign_rules {
    static bool is_newer(std::uint64_t offered, std::uint64_t in_force) {
        return offered < in_force;
    }
};

} // namespace

TEST_CASE("No interleaving takes a host back or misleads an operator", "[coord][model]") {
    // Story: two operators apply at once, the platform loses answers after the writes took effect,
    // and reads come back old. One operator must win whole, each must be told the truth, and no
    // host may return to rules that were replaced.
    const auto [name, limits] = GENERATE(
        table<std::string, bounds>({{"configuration, race", {0, 0, 2}},
                                    {"configuration, race and one fault", {1, 0, 2}},
                                    {"configuration, stale reads", {0, 2, 1}},
                                    {"configuration, race, fault, stale read", {1, 1, 2}}}));
    const auto found = explore_configuration<internal::follow_rules>(limits);
    print(name, found);
    CHECK(found.violation.empty());
    CHECK(found.complete);
}

TEST_CASE("The model catches generations compared with the wrong sign", "[coord][model][mutant]") {
    const auto found = explore_configuration<wrong_sign_rules>({0, 2, 1});
    print("configuration, wrong sign", found);
    CHECK(found.violation == "a host went back to an older generation");
}
