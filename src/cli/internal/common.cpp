#include "cli/internal/commands.hpp"

#include "config/load.hpp"
#include "transport/http.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <ostream>
#include <ranges>

namespace cornelloom::cli::internal {

using nlohmann::json;

namespace {

/// The first line of the token's file; nothing when it cannot be read.
std::optional<std::string> read_token(const std::string& path) {
    std::ifstream in(path);
    std::string token;
    if (!std::getline(in, token)) {
        return std::nullopt;
    }
    return token;
}

std::optional<client::client_options> options_of(const command& run) {
    client::client_options options;
    options.send = run.where.send;
    options.wait = run.where.wait;
    options.clock = run.where.clock;
    for (const auto& text : run.given.daemons) {
        auto daemon = transport::parse_endpoint(text);
        if (!daemon.has_value()) {
            run.where.error << "--daemon " << text << ": " << daemon.error().detail << '\n';
            return std::nullopt;
        }
        options.daemons.push_back(std::move(daemon).value());
    }
    if (options.daemons.empty()) {
        run.where.error << "name at least one daemon by --daemon IP:PORT\n";
        return std::nullopt;
    }
    if (!run.given.token_file.empty()) {
        auto token = read_token(run.given.token_file);
        if (!token) {
            run.where.error << "--token-file " << run.given.token_file << ": cannot be read\n";
            return std::nullopt;
        }
        options.token = *std::move(token);
    }
    return options;
}

exit_status status_of(const kernel::refusal& refused) {
    if (refused.state != kernel::run_state::not_run) {
        return exit_status::unknown;
    }
    // Made by the client library when no daemon of the list took a connection.
    return refused.reason == kernel::refusal_reason::not_ready ? exit_status::unreachable
                                                               : exit_status::refused;
}

} // namespace

connection connect(const command& run) {
    auto options = options_of(run);
    if (!options) {
        return {};
    }
    return {std::make_unique<client::operator_client>(*std::move(options)), exit_status::done};
}

connections connect_each(const command& run) {
    const auto options = options_of(run);
    if (!options) {
        return {};
    }
    connections all{{}, exit_status::done};
    for (const auto& daemon : options->daemons) {
        auto one = *options;
        one.daemons = {daemon};
        all.clients.push_back(std::make_unique<client::operator_client>(std::move(one)));
    }
    return all;
}

exit_status report(const command& run, const kernel::refusal& refused) {
    const auto after = std::chrono::duration_cast<std::chrono::milliseconds>(refused.retry_after);
    if (run.given.format == output_format::json) {
        write(run.where.out,
              json{{"state", to_string(refused.state)},
                   {"reason", to_string(refused.reason)},
                   {"detail", refused.detail},
                   {"retry_after_ms", after.count()}},
              output_format::json);
    } else if (status_of(refused) == exit_status::unreachable) {
        run.where.error << "no daemon could be reached, or none is ready: " << refused.detail
                        << '\n';
    } else {
        run.where.error << to_string(refused.reason) << " (" << to_string(refused.state)
                        << "): " << refused.detail << '\n';
    }
    return status_of(refused);
}

exit_status report(const command& run, std::span<const std::string> faults) {
    if (run.given.format == output_format::json) {
        write(run.where.out,
              json{{"ok", false},
                   {"findings", std::vector<std::string>(faults.begin(), faults.end())}},
              output_format::json);
        return exit_status::findings;
    }
    for (const auto& fault : faults) {
        run.where.error << fault << '\n';
    }
    run.where.error << faults.size() << (faults.size() == 1 ? " finding" : " findings") << '\n';
    return exit_status::findings;
}

exit_status report(const command& run, const kernel::findings& faults) {
    std::vector<std::string> lines;
    std::ranges::transform(faults.items(), std::back_inserter(lines),
                           [](const kernel::finding& fault) { return to_string(fault); });
    return report(run, lines);
}

std::optional<std::vector<config::config_file>> read_checked(const command& run) {
    auto files = config::read_files(run.given.files);
    if (!files.has_value()) {
        static_cast<void>(report(run, files.error()));
        return std::nullopt;
    }
    const auto loaded = config::load_configuration(files.value());
    if (!loaded.has_value()) {
        static_cast<void>(report(run, loaded.error()));
        return std::nullopt;
    }
    return std::move(files).value();
}

exit_status write_document(const command& run, const std::string& text) {
    const auto document = json::parse(text, nullptr, false);
    if (document.is_discarded()) {
        run.where.error << "the daemon's answer is no JSON\n";
        return exit_status::unknown;
    }
    write(run.where.out, document, run.given.format);
    return exit_status::done;
}

} // namespace cornelloom::cli::internal
