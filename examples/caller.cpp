/// A caller of a plain service. With --once the call is not idempotent, such as a price sync: run
/// again with the same --key and --issued-ms, it still runs at most once.

#include "client/client.hpp"

#include <CLI/CLI.hpp>

#include <fstream>
#include <iostream>

namespace {

using namespace cornelloom;

struct arguments {
    std::vector<std::string> daemons;
    std::string token_file;
    client::service_request request;
    std::string service = "catalogue";
    bool once = false;
    std::int64_t issued_ms = 0;
    std::int64_t deadline_ms = 5000;
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

int call(arguments given) {
    client::caller_client daemons(options_of(given));
    given.request.service = kernel::service_id(given.service);
    given.request.idempotent = !given.once;
    given.request.issued = {given.issued_ms};
    given.request.deadline = std::chrono::milliseconds{given.deadline_ms};
    const auto answer = daemons.call(given.request);
    if (!answer.has_value()) {
        const auto& why = answer.error();
        std::cerr << to_string(why.reason) << " (" << to_string(why.state) << "): " << why.detail
                  << '\n';
        // Not run: it may safely be sent again. Unknown: only a person can tell.
        return why.state == kernel::run_state::not_run ? 1 : 2;
    }
    std::cout << answer.value().response.body << '\n';
    return 0;
}

} // namespace

int main(int argc, char** argv) {
    arguments given;
    CLI::App app{"Calls a plain service. Exit status: 0 answered, 1 not run, 2 unknown"};
    app.add_option("--daemon", given.daemons, "IP:PORT; repeat it for more")
        ->required()
        ->check([](const std::string& text) {
            const auto parsed = transport::parse_endpoint(text);
            return parsed.has_value() ? std::string() : parsed.error().detail;
        });
    app.add_option("--token-file", given.token_file, "file with the token")->required();
    app.add_option("--service", given.service)->capture_default_str();
    app.add_option("--method", given.request.method)->capture_default_str();
    app.add_option("--path", given.request.path)->capture_default_str();
    app.add_option("--body", given.request.body);
    app.add_flag("--once", given.once, "the call must not run twice");
    app.add_option("--key", given.request.idempotency_key, "key of the call when sent again");
    app.add_option("--issued-ms", given.issued_ms, "when the call was first sent");
    app.add_option("--deadline-ms", given.deadline_ms)->capture_default_str();
    CLI11_PARSE(app, argc, argv);
    return call(given);
}
