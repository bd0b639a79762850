#include "kernel/progress_watch.hpp"

#include "kernel/events.hpp"

#include <thread>

namespace cornelloom::kernel {

namespace {

void watch_progress(const std::weak_ptr<progress_watch>& watched,
                    std::chrono::milliseconds interval, int checks) {
    std::uint64_t known = 0;
    int silent_checks = 0;
    for (;;) {
        std::this_thread::sleep_for(interval);
        const auto watch = watched.lock();
        if (!watch) {
            return;
        }
        const auto steps = watch->steps.load();
        silent_checks = steps == known ? silent_checks + 1 : 0;
        known = steps;
        if (silent_checks == checks) {
            log(events::no_progress, {{"ms", (interval * checks).count()}});
        }
    }
}

} // namespace

std::shared_ptr<progress_watch> start_progress_watch(std::chrono::milliseconds interval,
                                                     int checks) {
    auto out = std::make_shared<progress_watch>();
    std::thread([watched = std::weak_ptr(out), interval, checks] {
        watch_progress(watched, interval, checks);
    }).detach();
    return out;
}

} // namespace cornelloom::kernel
