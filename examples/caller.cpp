/// A caller of a plain service. With --once the call is not idempotent, such as a price sync: run
/// again with the same --key and --issued-ms, it still runs at most once.

#include "examples/internal/connection.hpp"

#include <iostream>

namespace {

using namespace cornelloom;

struct arguments {
    examples::connection daemons;
    client::service_request request;
    std::string service = "catalogue";
    bool once = false;
    std::int64_t issued_ms = 0;
    std::int64_t deadline_ms = 5000;
};

int call(arguments given) {
    client::caller_client daemons(options_of(given.daemons));
    given.request.service = kernel::service_id(given.service);
    given.request.idempotent = !given.once;
    given.request.issued = {given.issued_ms};
    given.request.deadline = std::chrono::milliseconds{given.deadline_ms};
    const auto answer = daemons.call(given.request);
    if (!answer.has_value()) {
        const auto& why = answer.error();
        examples::print_refusal(why);
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
    examples::add_connection(app, given.daemons);
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
