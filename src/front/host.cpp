#include "front/host.hpp"

#include "kernel/hash.hpp"
#include "kernel/registry.hpp"

#include <cstdlib>
#include <iostream>

namespace cornelloom::front {

const adapter& the_adapter() {
    const auto* found = kernel::plugin_registry<adapter>::instance().find("platform");
    if (found == nullptr) {
        std::cerr << "cornelloom: no platform adapter is linked into this program\n";
        std::exit(EXIT_FAILURE);
    }
    return *found;
}

host::host(loop::io_context& loop, const adapter& platform, host_settings loaded_settings)
    : io(loop), wire(platform), settings(std::move(loaded_settings)), connections(loop),
      store(connections, settings.platform),
      random(kernel::hash64(settings.host) ^ static_cast<std::uint64_t>(clock.wall_now().unix_ms)),
      learned(loop), kept(loop), lead(loop) {
    if (settings.duties) {
        usage.length = settings.duties->usage_window;
        demand.length = settings.duties->usage_window;
    }
}

loop::milliseconds store_pause(host& self, loop::milliseconds max_delay) {
    return pause_after(self.store.ways, max_delay, std::uniform_real_distribution<>()(self.random));
}

void note_confirmed(host& self, object_kind kind, time_point when) {
    if (kind == object_kind::configuration && self.configuration_sound) {
        self.configuration_as_of = std::max(self.configuration_as_of, when);
        self.learned.open();
    }
}

std::string counter_name(const host& self) {
    return self.settings.host + "/" + std::to_string(self.salt);
}

void count_usage(host& self, const std::optional<std::string>& account, time_point when) {
    const bool wanted = self.settings.duties && self.settings.duties->reports_usage;
    if (!wanted || !account || account->empty()) {
        return;
    }
    const auto ago = std::chrono::duration_cast<milliseconds>(self.now() - when);
    add_one(self.usage, counter_name(self), *account, self.clock.wall_now().unix_ms - ago.count());
}

milliseconds configuration_age(const host& self) {
    if (self.configuration_as_of == time_point{}) {
        return milliseconds::max();
    }
    return std::chrono::duration_cast<milliseconds>(self.clock.boot_now() -
                                                    self.configuration_as_of);
}

host_entry own_entry(const host& self) {
    const auto& settings = self.settings;
    return {settings.host, settings.zone, settings.peers, settings.processor};
}

void note(host& self, const kernel::event& kind, std::initializer_list<kernel::field> fields) {
    auto& rate = self.line_rates[kind.number];
    const auto now = self.now();
    if (now - rate.window_start >= std::chrono::seconds(1)) {
        if (rate.dropped > 0) {
            kernel::log(lines_dropped, {{"of", kind.name}, {"lines", rate.dropped}});
        }
        rate = {now, 0, 0};
    }
    if (++rate.lines > max_lines_per_second) {
        ++rate.dropped;
        self.metrics.count("cornelloom_log_lines_dropped_total");
        return;
    }
    kernel::log(kind, fields);
}

} // namespace cornelloom::front
