#include "front/retirement.hpp"

#include "front/feed.hpp"

namespace cornelloom::front {

namespace {

loop::task<void> answer_retirement(std::shared_ptr<host> self, std::string name) {
    for (;;) {
        const auto answer = co_await call_store(
            self->store, self->wire.replace_status(object_kind::retirements, name,
                                                   self->wire.retirement_done()));
        note(*self, retirement_answered, {{"host", name}, {"fault", to_string(answer.fault)}});
        if (answer.fault != store_fault::refused && answer.fault != store_fault::unknown) {
            co_return;
        }
        co_await loop::pause_for(self->io, store_pause(*self, store_pause_most));
    }
}

void answer_if_pending(const std::shared_ptr<host>& self, const stored_object& object) {
    if (!object.status.is_object()) {
        loop::asio::co_spawn(self->io, answer_retirement(self, object.name), loop::asio::detached);
    }
}

} // namespace

followed follow_retirements(const std::shared_ptr<host>& self) {
    followed watch{object_kind::retirements, no_pause,
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
    watch.wanted = [self] { return watches_store(*self); };
    return watch;
}

} // namespace cornelloom::front
