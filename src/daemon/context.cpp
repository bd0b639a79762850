#include "daemon/context.hpp"

#include <fmt/format.h>

namespace cornelloom::daemon {

namespace {

std::string make_session() {
    std::random_device entropy;
    return fmt::format("{:08x}{:08x}", entropy(), entropy());
}

} // namespace

context::context(config::daemon_settings its_settings)
    : settings(std::move(its_settings)), trace(clock),
      configuration(std::make_shared<const active_configuration>()), session(make_session()) {}

kernel::request_id make_request_id(context& shared) {
    return kernel::request_id(
        fmt::format("{}-{}-{}", shared.settings.host.str(), shared.session, shared.next_number++));
}

void count_refusal(context& shared, const kernel::request_id& id, const kernel::refusal& why) {
    const kernel::label labels[] = {{"reason", kernel::to_string(why.reason)},
                                    {"state", kernel::to_string(why.state)}};
    shared.metrics.count("cornelloom_refusals_total", labels);
    shared.trace.add(id, fmt::format("refused: {} ({}) {}", kernel::to_string(why.reason),
                                     kernel::to_string(why.state), why.detail));
}

transport::endpoint to_endpoint(const config::network_address& address) {
    return {address.ip, address.port};
}

} // namespace cornelloom::daemon
