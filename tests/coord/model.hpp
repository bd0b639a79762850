#pragma once

#include "fake_platform.hpp"
#include "kernel/hash.hpp"

#include <deque>
#include <functional>
#include <iostream>
#include <unordered_set>

namespace cornelloom::test {

/// What an exploration found. `trace` leads from the start to the violation.
struct exploration {
    std::size_t states = 0;
    std::size_t transitions = 0;
    bool complete = false; ///< Every reachable state within the world's own bounds was seen.
    std::string violation;
    std::vector<std::string> trace;
};

template <class World> struct successor_world {
    std::string label;
    World world;
};

/// Breadth-first over all states that `World::successors` reaches. A world is a value with
/// `fingerprint()`, `violation()` (empty: none) and `successors()`.
template <class World> exploration explore(World initial, std::size_t state_limit) {
    struct visited {
        World world;
        std::size_t parent;
        std::string label;
    };

    exploration found;
    std::deque<visited> all;
    std::unordered_set<std::string> seen{kernel::digest_hex(initial.fingerprint())};
    std::vector<std::pair<std::size_t, std::string>> steps; // Parent and label of each state.
    all.push_back({std::move(initial), 0, "start"});
    std::size_t index = 0;
    while (!all.empty()) {
        const auto current = std::move(all.front());
        all.pop_front();
        steps.emplace_back(current.parent, current.label);
        const auto here = index++;
        found.violation = current.world.violation();
        if (!found.violation.empty()) {
            for (auto at = here; at != 0; at = steps[at].first) {
                found.trace.insert(found.trace.begin(), steps[at].second);
            }
            break;
        }
        if (seen.size() >= state_limit) {
            found.states = seen.size();
            return found;
        }
        for (auto& next : current.world.successors()) {
            ++found.transitions;
            if (seen.insert(kernel::digest_hex(next.world.fingerprint())).second) {
                all.push_back({std::move(next.world), here, std::move(next.label)});
            }
        }
    }
    found.states = seen.size();
    found.complete = found.violation.empty();
    return found;
}

inline void print(std::string_view name, const exploration& found) {
    std::cout << "model " << name << ": " << found.states << " states, " << found.transitions
              << " transitions, " << (found.complete ? "complete" : "stopped") << '\n';
    for (const auto& label : found.trace) {
        std::cout << "    " << label << '\n';
    }
    if (!found.violation.empty()) {
        std::cout << "    violated: " << found.violation << '\n';
    }
}

/// Calls between machines and the platform: each may be lost, doubled, delayed past its answer,
/// and overtaken by any other. `faults` bounds how often things go wrong.
struct model_network {
    struct request {
        int owner;
        platform_call call;
        bool answered = false; ///< The owner was told `unknown`; it may still take effect.
        bool copied = false;
    };

    struct answer {
        int owner;
        platform_answer what;
    };

    fake_platform platform;
    std::vector<request> requests;
    std::vector<answer> answers;
    int faults = 0;

    void send(int owner, std::vector<platform_call> calls) {
        for (auto& call : calls) {
            requests.push_back({owner, std::move(call), false, false});
        }
    }

    /// Every next state of the network alone; `add(label, changed network)`.
    template <class Add> void network_steps(Add add) const {
        for (std::size_t i = 0; i < requests.size(); ++i) {
            const auto& call = requests[i];
            const auto name = std::to_string(call.owner) + " " +
                              std::string(to_string(call.call.kind)) + " " +
                              std::to_string(call.call.operation.index());
            auto applied = *this;
            const auto outcome = applied.platform.apply(call.call.operation);
            applied.requests.erase(applied.requests.begin() + static_cast<std::ptrdiff_t>(i));
            if (!call.answered) {
                applied.answers.push_back({call.owner, {call.call.token, outcome}});
            }
            add("platform takes " + name, std::move(applied));
            if (faults == 0) {
                continue;
            }
            const bool writes = std::holds_alternative<put_object>(call.call.operation);
            if (!call.answered) {
                auto late = *this;
                --late.faults;
                late.answers.push_back({call.owner, {call.call.token, call_unknown{}}});
                late.requests[i].answered = true;
                if (!writes) {
                    late.requests.erase(late.requests.begin() + static_cast<std::ptrdiff_t>(i));
                }
                add("no answer in time to " + name, std::move(late));
            }
            if (writes && !call.copied) {
                auto twice = *this;
                --twice.faults;
                twice.platform.apply(call.call.operation);
                twice.requests[i].copied = true;
                add("platform takes a double of " + name, std::move(twice));
            }
        }
        for (std::size_t i = 0; i < answers.size() && faults > 0; ++i) {
            if (!std::holds_alternative<call_unknown>(answers[i].what.outcome)) {
                auto lost = *this;
                --lost.faults;
                lost.answers[i].what.outcome = call_unknown{};
                add("answer lost to " + std::to_string(answers[i].owner), std::move(lost));
            }
        }
    }

    [[nodiscard]] answer take(std::size_t index) {
        auto taken = std::move(answers[index]);
        answers.erase(answers.begin() + static_cast<std::ptrdiff_t>(index));
        return taken;
    }

    /// `is_current(owner, token)`: whether the owner still waits for it. Token numbers themselves
    /// are left out, since they tell histories apart that behave the same.
    template <class IsCurrent> std::string fingerprint(IsCurrent is_current) const {
        std::string all = std::to_string(faults);
        for (const auto& [key, object] : platform.objects) {
            all += "|" + key.kind + key.name + std::to_string(object.version) + object.value;
        }
        std::vector<std::string> flights;
        for (const auto& call : requests) {
            auto line = std::to_string(call.owner) + (call.answered ? "a" : "") +
                        (call.copied ? "c" : "") +
                        (is_current(call.owner, call.call.token) ? "!" : "");
            line += std::to_string(call.call.operation.index());
            if (const auto* put = std::get_if<put_object>(&call.call.operation)) {
                line += put->key.kind + put->key.name + put->value +
                        std::to_string(put->expected_version.value_or(99));
            }
            flights.push_back(std::move(line));
        }
        for (const auto& [owner, what] : answers) {
            auto line = "<" + std::to_string(owner) + (is_current(owner, what.token) ? "!" : "");
            line += outcome_name(what.outcome);
            if (const auto* found = std::get_if<call_object>(&what.outcome)) {
                line += found->object.value + std::to_string(found->object.version);
            } else if (const auto* done = std::get_if<call_done>(&what.outcome)) {
                line += std::to_string(done->version);
            }
            flights.push_back(std::move(line));
        }
        std::ranges::sort(flights);
        for (const auto& line : flights) {
            all += "|" + line;
        }
        return all;
    }
};

} // namespace cornelloom::test
