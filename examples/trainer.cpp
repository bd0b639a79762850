/// A trainer: announces its weights, opens a step of grouped prompts and pulls every sample once.
/// The last line on standard output is a JSON object with what was delivered.

#include "examples/internal/connection.hpp"

#include <nlohmann/json.hpp>

#include <iostream>

namespace {

using namespace cornelloom;

struct arguments {
    examples::connection daemons;
    std::string pool = "tasting-notes";
    std::string trainer = "notes-trainer";
    std::string step = "step-1";
    std::uint64_t version = 0;
    std::uint32_t groups = 4;
    std::uint32_t samples = 4;
    std::uint32_t staleness_bound = 2;
    std::uint32_t seconds = 60;
};

client::step_request step_of(const arguments& given) {
    client::step_request step;
    step.pool = kernel::pool_id(given.pool);
    step.trainer = kernel::trainer_id(given.trainer);
    step.step = given.step;
    step.version = given.version;
    step.staleness_bound = given.staleness_bound;
    step.deadline = std::chrono::seconds{given.seconds};
    for (std::uint32_t group = 0; group < given.groups; ++group) {
        const auto prompt = "Describe lot " + std::to_string(group) + " in one sentence.";
        step.groups.push_back({prompt, given.samples});
    }
    return step;
}

int refused(const kernel::refusal& why) {
    examples::print_refusal(why);
    return 1;
}

int train(const arguments& given) {
    client::trainer_client daemons(options_of(given.daemons));
    const auto step = step_of(given);
    if (const auto told = daemons.announce(step.pool, step.version); !told.has_value()) {
        return refused(told.error());
    }
    if (const auto opened = daemons.open(step); !opened.has_value()) {
        return refused(opened.error());
    }
    client::step_progress progress; // A real trainer keeps this over its own restart.
    std::uint64_t tokens = 0;
    const auto pulled = daemons.pull(step, progress, [&](const client::sample& sample) {
        for (const auto& span : sample.spans) {
            tokens += span.tokens;
        }
    });
    if (!pulled.has_value()) {
        return refused(pulled.error());
    }
    const auto& result = pulled.value();
    std::cout << nlohmann::json{{"samples_expected", given.groups * given.samples},
                                {"samples_delivered", result.delivered},
                                {"samples_failed", result.failed},
                                {"tokens", tokens},
                                {"duplicates", result.rejected.duplicates},
                                {"stale", result.rejected.stale},
                                {"unknown_versions", result.rejected.without_versions}}
                     .dump()
              << '\n';
    return 0;
}

} // namespace

int main(int argc, char** argv) {
    arguments given;
    CLI::App app{"A trainer that opens one step and pulls every sample once"};
    examples::add_connection(app, given.daemons);
    app.add_option("--pool", given.pool)->capture_default_str();
    app.add_option("--trainer", given.trainer)->capture_default_str();
    app.add_option("--step", given.step)->capture_default_str();
    app.add_option("--version", given.version, "version of the trainer's weights");
    app.add_option("--groups", given.groups)->capture_default_str();
    app.add_option("--samples", given.samples, "samples of each group")->capture_default_str();
    app.add_option("--staleness-bound", given.staleness_bound)->capture_default_str();
    app.add_option("--seconds", given.seconds, "deadline of the step")->capture_default_str();
    CLI11_PARSE(app, argc, argv);
    return train(given);
}
