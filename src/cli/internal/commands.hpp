#pragma once

#include "cli/command_line.hpp"
#include "cli/output.hpp"
#include "client/operator_client.hpp"
#include "config/file.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cornelloom::cli::internal {

/// What stands on the command line.
struct arguments {
    output_format format = output_format::table;
    std::vector<std::string> daemons;
    std::string token_file;
    std::vector<std::string> files; ///< Files and folders.
    std::string output_folder;      ///< Of `get`; empty: standard output.
    std::optional<std::uint64_t> expected_generation;
    bool settings = false; ///< `check` looks at a daemon's settings.
    bool wait = false;
    std::uint32_t wait_seconds = 30;
    std::string request_id;
    client::drain_request drained;
};

/// A command's arguments and surroundings.
struct command {
    const arguments& given;
    const environment& where;
};

[[nodiscard]] exit_status check(const command& run);
[[nodiscard]] exit_status apply(const command& run);
[[nodiscard]] exit_status get(const command& run);
[[nodiscard]] exit_status diff(const command& run);
[[nodiscard]] exit_status status(const command& run);
[[nodiscard]] exit_status explain(const command& run);
[[nodiscard]] exit_status drain(const command& run);
[[nodiscard]] exit_status version(const command& run);

/// A client for the daemons named, or why there is none.
struct connection {
    std::unique_ptr<client::operator_client> client;
    exit_status failed = exit_status::usage; ///< When there is no client.
};

[[nodiscard]] connection connect(const command& run);

/// A client for each daemon named, for what only one of them knows or does.
struct connections {
    std::vector<std::unique_ptr<client::operator_client>> clients;
    exit_status failed = exit_status::usage; ///< When there are none.
};

[[nodiscard]] connections connect_each(const command& run);

/// Reports a refusal and says what it means for a script.
[[nodiscard]] exit_status report(const command& run, const kernel::refusal& refused);

/// Reports findings.
[[nodiscard]] exit_status report(const command& run, const kernel::findings& faults);
[[nodiscard]] exit_status report(const command& run, std::span<const std::string> faults);

/// Reads the files named and checks them as a configuration; nothing after reporting findings.
[[nodiscard]] std::optional<std::vector<config::config_file>> read_checked(const command& run);

/// Writes a JSON text that a daemon sent.
[[nodiscard]] exit_status write_document(const command& run, const std::string& text);

} // namespace cornelloom::cli::internal
