#include "front/live_batch.hpp"

#include "front/access.hpp"

namespace cornelloom::front {

namespace {

const route* find_batch_route(const live_batch& batch, std::string_view request_target) {
    const auto& routes = batch.local_host->routes;
    const auto path = request_target.substr(0, request_target.find('?'));
    return routes ? find_route(*routes, batch.state.header.host, path) : nullptr;
}

} // namespace

const route* route_of(const live_batch& batch) {
    return find_batch_route(batch, batch.state.header.path);
}

const route* route_of_item(const live_batch& batch, const batch_item& item) {
    return find_batch_route(batch, item.path);
}

bool may_give_up_by_configuration(const live_batch& batch) {
    const auto& self = *batch.local_host;
    return self.configuration_confirmed_at >= batch.known_since &&
           configuration_age(self) <= age_limits_of(self.settings).max_refusal_age;
}

bool may_send_items(const live_batch& batch) {
    return may_send_items(batch.log, batch.local_host->now(),
                          batch.local_host->settings.cancel_bound);
}

time_point deadline_of(const live_batch& batch) {
    const auto* route = route_of(batch);
    return batch.state.submitted + (route != nullptr ? route->run_deadline : milliseconds(0));
}

} // namespace cornelloom::front
