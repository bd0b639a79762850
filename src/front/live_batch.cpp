#include "front/live_batch.hpp"

namespace cornelloom::front {

namespace {

const route* find(const live_batch& one, std::string_view target) {
    const auto& routes = one.self->routes;
    const auto path = target.substr(0, target.find('?'));
    return routes ? find_route(*routes, one.state.header.host, path) : nullptr;
}

} // namespace

const route* route_of(const live_batch& one) {
    return find(one, one.state.header.path);
}

const route* route_of_item(const live_batch& one, const batch_item& item) {
    return find(one, item.path);
}

bool may_send_items(const live_batch& one) {
    // One that is being stored can't have been ended.
    return !one.stored || may_send_items(one.log, one.self->now(), one.self->settings.cancel);
}

time_point deadline_of(const live_batch& one) {
    const auto* route = route_of(one);
    return one.state.submitted + (route != nullptr ? route->run_deadline : milliseconds(0));
}

} // namespace cornelloom::front
