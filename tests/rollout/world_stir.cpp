#include "tests/rollout/world.hpp"

#include <algorithm>
#include <functional>
#include <numeric>
#include <string>

namespace cornelloom::rollout_test {

using namespace std::chrono_literals;

namespace {

/// The newest owner in most cases, else any host.
std::size_t some_host(world& all, std::uint32_t choice) {
    const auto owner = newest_owner(all);
    return owner == host_count || choice % 4 == 0 ? choice / 4 % host_count : owner;
}

/// A scheduler empties a target by itself.
void cancel_stream(world& all, std::size_t index) {
    const auto one = all.streams[index];
    drop_stream(all, index);
    if (auto* open = owned(all, one)) {
        on_cancelled(*open, one.ref, one.made);
        on_cancelled(*open, one.ref, one.made); // Doubled.
    }
}

void engine_fault(world& all, std::uint32_t choice) {
    const auto kind = choice % 8;
    const auto which = choice / 8;
    if (kind == 0 || kind > 4) {
        // Mostly the newest weights; now and then older ones, which nobody ordered, or newer ones,
        // which nobody has announced yet.
        const auto behind = which / engine_count % 4;
        const auto version =
            behind == 3 ? all.newest + 1 : all.newest - std::min(all.newest - 1, behind / 2);
        swap_engine(all, which % engine_count, version);
    } else if (kind == 1) {
        crash_engine(all, which % engine_count);
    } else if (!all.streams.empty() && kind == 4) {
        cancel_stream(all, which % all.streams.size());
    } else if (!all.streams.empty() && kind == 2) {
        break_stream(all, which % all.streams.size(), static_cast<break_cause>(which / 8 % 3));
    } else if (!all.streams.empty()) {
        generate(all, which % all.streams.size(), false);
    }
}

void host_fault(world& all, std::uint32_t choice) {
    const auto which = choice / 8;
    const auto host = which % host_count;
    if (all.steady_owner && choice % 8 < 2) {
        return;
    }
    switch (choice % 8) {
    case 0:
        kill_host(all, host);
        break;
    case 1:
        take_over(all, host, which / 16 % 3 == 0 ? which / host_count : 0);
        break;
    case 2:
        deliver_late_collection(all);
        break;
    case 3:
        announce_version(all, which | 1U << some_host(all, which));
        break;
    default:
        hedge(all, some_host(all, which), which / 8 % 6, which);
    }
}

void trainer_fault(world& all, std::uint32_t choice) {
    switch (choice % 3) {
    case 0:
        deliver_late_answer(all);
        break;
    case 1:
        all.checkpoint = all.trainer;
        break;
    default:
        restart_trainer(all);
    }
}

} // namespace

void stir(world& all, std::uint32_t action) {
    const auto choice = action / 64;
    const auto kind = action % 64;
    if (kind < 12) {
        submit(all, some_host(all, choice), 1 + choice % 3, choice);
    } else if (kind < 36 && !all.streams.empty()) {
        generate(all, choice % all.streams.size(), true);
    } else if (kind < 42) {
        run_effects(all, choice % 3 == 0 ? choice / 3 : 0);
    } else if (kind < 46) {
        pass_time(all, 700ms);
    } else if (kind < 52) {
        pull_from(all, some_host(all, choice), static_cast<fate>(choice / 16 % 4));
    } else if (kind < 57) {
        engine_fault(all, choice);
    } else if (kind < 61) {
        host_fault(all, choice);
    } else {
        trainer_fault(all, choice);
    }
    check_accounts(all);
}

std::string describe(const world& all) {
    std::string text = "newest " + std::to_string(all.newest) + ", committed " +
                       std::to_string(all.trainer.committed.size()) + ", trainer epoch " +
                       std::to_string(all.trainer.epoch);
    for (const auto& each : all.hosts) {
        if (!each.owned) {
            continue;
        }
        const auto& open = *each.owned;
        text += "\nepoch " + std::to_string(open.epoch) + " " + std::string(to_string(open.state)) +
                " newest " + std::to_string(open.newest);
        for (const auto& at : open.slots) {
            text += "\n  " + std::string(to_string(at.state)) + " attempts " +
                    std::to_string(at.attempts.size()) + " carried " + at.carried.text + " body " +
                    (at.body ? at.body->output.text : "none");
        }
    }
    return text;
}

namespace {

bool has_all(const world& all) {
    return all.trainer.committed.size() ==
           std::accumulate(all.stored.samples.begin(), all.stored.samples.end(), 0U);
}

} // namespace

bool run_to_completion(world& all) {
    if (newest_owner(all) == host_count) {
        take_over(all, 0, 0);
    }
    const auto owner = newest_owner(all);
    all.engines.fill(all.newest);
    constexpr int most_rounds = 200;
    for (int round = 0; round < most_rounds && !has_all(all); ++round) {
        pass_time(all, 1s);
        submit(all, owner, 6, 0);
        for (auto i = all.streams.size(); i-- > 0;) {
            generate(all, i, true);
        }
        run_effects(all, 0);
        pull_from(all, owner, fate::arrives);
        check_accounts(all);
    }
    return has_all(all);
}

void note_waste(world& all, std::size_t host) {
    if (const auto& open = all.hosts[host].owned) {
        std::ranges::transform(all.seen.wasted, open->tokens.wasted, all.seen.wasted.begin(),
                               std::plus<>{});
    }
}

void check_accounts(world& all) {
    for (const auto& each : all.hosts) {
        if (!each.owned) {
            continue;
        }
        const auto faults = check(*each.owned);
        for (const auto& fault : faults.items()) {
            all.broken_promises.push_back(to_string(fault));
        }
    }
}

} // namespace cornelloom::rollout_test
