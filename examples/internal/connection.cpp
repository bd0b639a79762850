#include "examples/internal/connection.hpp"

#include <fstream>
#include <iostream>

namespace cornelloom::examples {

namespace {

/// What is wrong with an address; empty when nothing is.
std::string check_daemon(const std::string& text) {
    const auto parsed = transport::parse_endpoint(text);
    return parsed.has_value() ? std::string() : parsed.error().detail;
}

} // namespace

void add_connection(CLI::App& app, connection& to) {
    app.add_option("--daemon", to.daemons, "IP:PORT; repeat it for more")
        ->required()
        ->allow_extra_args(false)
        ->check(check_daemon);
    app.add_option("--token-file", to.token_file, "file with the token")->required();
}

client::client_options options_of(const connection& to) {
    client::client_options options;
    for (const auto& text : to.daemons) {
        options.daemons.push_back(transport::parse_endpoint(text).value());
    }
    std::ifstream token(to.token_file);
    std::getline(token, options.token);
    return options;
}

void print_refusal(const kernel::refusal& why) {
    std::cerr << to_string(why.reason) << " (" << to_string(why.state) << "): " << why.detail
              << '\n';
}

} // namespace cornelloom::examples
