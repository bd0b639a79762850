#pragma once

#include "client/client.hpp"

#include <CLI/CLI.hpp>

#include <string>
#include <vector>

namespace cornelloom::examples {

/// The daemons to talk to, as named on the command line.
struct connection {
    std::vector<std::string> daemons;
    std::string token_file;
};

void add_connection(CLI::App& app, connection& to);

[[nodiscard]] client::client_options options_of(const connection& to);

/// Says on standard error why there is no answer.
void print_refusal(const kernel::refusal& why);

} // namespace cornelloom::examples
