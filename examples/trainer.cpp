/// A trainer: announces its weights, opens a step of grouped prompts and pulls every sample once.
/// The last line on standard output is a JSON object with what was delivered.

#include "client/client.hpp"

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include <fstream>
#include <iostream>

namespace {

using namespace cornelloom;

struct arguments {
    std::vector<std::string> daemons;
    std::string token_file;
    std::string pool = "tasting-notes";
    std::string trainer = "notes-trainer";
    std::string step = "step-1";
    std::uint64_t version = 0;
    std::uint32_t groups = 4;
    std::uint32_t samples = 4;
    std::uint32_t staleness_bound = 2;
    std::uint32_t seconds = 60;
};

client::client_options options_of(const arguments& given) {
    client::client_options options;
    for (const auto& text : given.daemons) {
        options.daemons.push_back(transport::parse_endpoint(text).value());
    }
    std::ifstream token(given.token_file);
    std::getline(token, options.token);
    return options;
}

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
    std::cerr << to_string(why.reason) << " (" << to_string(why.state) << "): " << why.detail
              << '\n';
    return 1;
}

int train(const arguments& given) {
    client::trainer_client daemons(options_of(given));
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
    app.add_option("--daemon", given.daemons, "IP:PORT; repeat it for more")
        ->required()
        ->check([](const std::string& text) {
            const auto parsed = transport::parse_endpoint(text);
            return parsed.has_value() ? std::string() : parsed.error().detail;
        });
    app.add_option("--token-file", given.token_file, "file with the token")->required();
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
