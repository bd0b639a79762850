#include "front/retirement.hpp"

#include "front/feed.hpp"
#include "loop/spawn.hpp"

namespace cornelloom::front {

namespace {

loop::task<void> answer_retirement(std::shared_ptr<host> self, std::string name) {
    for (;;) {
        const auto answer = co_await call_store(
            self->store,
            self->platform_adapter.replace_status(object_kind::retirements, name,
                                                  self->platform_adapter.retirement_done()));
        log_event(*self, retirement_answered, {{"host", name}, {"fault", to_string(answer.fault)}});
        if (answer.fault != store_outcome::refused && answer.fault != store_outcome::unknown) {
            co_return;
        }
        co_await loop::pause_for(self->io, store_retry_delay(*self, max_store_delay));
    }
}

void answer_if_pending(const std::shared_ptr<host>& self, const stored_object& object) {
    if (!object.status.is_object()) {
        loop::spawn(self->io, "answer retirement", answer_retirement(self, object.name));
    }
}

} // namespace

watched_kind watch_retirements(const std::shared_ptr<host>& self) {
    watched_kind watch{object_kind::retirements, no_delay,
                       [self](std::span<const stored_object> all) {
                           for (const auto& object : all) {
                               answer_if_pending(self, object);
                           }
                       },
                       [self](std::span<const object_change> changes) {
                           for (const auto& change : changes) {
                               if (!change.deleted) {
                                   answer_if_pending(self, change.object);
                               }
                           }
                       }};
    watch.is_needed = [self] { return watches_store(*self); };
    return watch;
}

} // namespace cornelloom::front
