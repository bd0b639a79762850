#include "cli/internal/commands.hpp"

#include "config/diff.hpp"
#include "config/load.hpp"
#include "config/settings.hpp"

#include <algorithm>
#include <ostream>
#include <ranges>
#include <thread>

namespace cornelloom::cli::internal {

using nlohmann::json;

namespace {

constexpr auto poll_interval = std::chrono::milliseconds{250};

exit_status check_settings(const command& run) {
    const auto files = config::read_files(run.given.files);
    if (!files.has_value()) {
        return report(run, files.error());
    }
    kernel::findings faults;
    for (const auto& file : files.value()) {
        const auto loaded = config::load_settings(file);
        if (!loaded.has_value()) {
            faults.append(loaded.error().items());
        }
    }
    if (!faults.empty()) {
        return report(run, faults);
    }
    write(run.where.out, json{{"ok", true}, {"files", files.value().size()}}, run.given.format);
    return exit_status::done;
}

/// Hosts that a status says are alive and have not reached the generation.
std::vector<std::string> lagging_hosts(const json& status, std::uint64_t generation) {
    std::vector<std::string> lagging;
    for (const auto& host : status.value("hosts", json::array())) {
        const auto state = host.value("state", std::string("alive"));
        if (state == "alive" && host.value("generation", std::uint64_t{0}) < generation) {
            lagging.push_back(host.value("host", std::string("?")));
        }
    }
    return lagging;
}

struct wait_outcome {
    bool everywhere = false;
    std::vector<std::string> lagging;
};

/// Asks for the status until every host alive has the generation, or the time to wait is over.
wait_outcome wait_everywhere(const command& run, client::operator_client& daemons,
                             std::uint64_t generation) {
    const kernel::runtime_clock running;
    const auto& clock = run.where.clock == nullptr ? running : *run.where.clock;
    const auto deadline = clock.now() + std::chrono::seconds{run.given.wait_seconds};
    wait_outcome outcome;
    while (true) {
        const auto status = daemons.status();
        const auto document =
            status.has_value() ? json::parse(status.value(), nullptr, false) : json();
        if (document.is_object() && document.contains("hosts")) {
            outcome.lagging = lagging_hosts(document, generation);
            outcome.everywhere = outcome.lagging.empty();
        }
        if (outcome.everywhere || clock.now() >= deadline) {
            return outcome;
        }
        if (run.where.wait) {
            run.where.wait(poll_interval);
        } else {
            std::this_thread::sleep_for(poll_interval);
        }
    }
}

exit_status finish(const command& run, client::operator_client& daemons,
                   const client::apply_answer& answer) {
    json result{{"generation", answer.generation}, {"applied", true}};
    auto status = exit_status::done;
    if (run.given.wait) {
        const auto waited = wait_everywhere(run, daemons, answer.generation);
        result["in_force_everywhere"] = waited.everywhere;
        result["lagging_hosts"] = waited.lagging;
        status = waited.everywhere ? exit_status::done : exit_status::not_everywhere;
    }
    write(run.where.out, result, run.given.format);
    return status;
}

exit_status report_conflict(const command& run, const client::apply_answer& answer,
                            std::uint64_t expected) {
    if (run.given.format == output_format::json) {
        write(run.where.out,
              json{{"applied", false},
                   {"conflict", true},
                   {"generation", answer.generation},
                   {"expected_generation", expected},
                   {"differs", answer.details}},
              output_format::json);
        return exit_status::conflict;
    }
    run.where.error << "nothing was applied: generation " << answer.generation
                    << " is in force, not " << expected << ". "
                    << (answer.details.empty() ? "Its files are the same as yours.\n"
                                               : "Its files differ from yours:\n");
    for (const auto& line : answer.details) {
        run.where.error << "  " << line << '\n';
    }
    run.where.error << "Read it by `cornelloom get` and `cornelloom diff`, then apply again.\n";
    return exit_status::conflict;
}

} // namespace

exit_status check(const command& run) {
    if (run.given.settings) {
        return check_settings(run);
    }
    const auto files = read_checked(run);
    if (!files) {
        return exit_status::findings;
    }
    write(run.where.out, json{{"ok", true}, {"files", files->size()}}, run.given.format);
    return exit_status::done;
}

exit_status apply(const command& run) {
    const auto files = read_checked(run);
    if (!files) {
        return exit_status::findings;
    }
    const auto daemons = connect(run);
    if (!daemons.client) {
        return daemons.failed;
    }
    auto expected = run.given.expected_generation;
    if (!expected) {
        const auto in_force = daemons.client->configuration();
        if (!in_force.has_value()) {
            return report(run, in_force.error());
        }
        expected = in_force.value().generation;
    }
    const auto answer = daemons.client->apply(
        {daemons.client->make_apply_id(), *expected, config::serialize_set(*files)});
    if (!answer.has_value()) {
        return report(run, answer.error());
    }
    switch (answer.value().outcome) {
    case client::apply_outcome::conflict:
        return report_conflict(run, answer.value(), *expected);
    case client::apply_outcome::rejected:
        return report(run, answer.value().details);
    case client::apply_outcome::applied:
        break;
    }
    return finish(run, *daemons.client, answer.value());
}

} // namespace cornelloom::cli::internal
