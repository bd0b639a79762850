#include "front/host.hpp"

#include "kernel/hash.hpp"
#include "kernel/registry.hpp"

#include <cstdlib>
#include <iostream>

namespace cornelloom::front {

const adapter& the_adapter() {
    const auto* found = kernel::plugin_registry<adapter>::instance().find("platform");
    if (found == nullptr) {
        std::cerr << "cornelloom: built without the platform's adapter\n";
        std::exit(EXIT_FAILURE);
    }
    return *found;
}

host::host(loop::io_context& loop, const adapter& platform, host_settings given)
    : io(loop), wire(platform), settings(std::move(given)), connections(loop),
      store(connections, settings.platform),
      random(kernel::hash64(settings.host) ^ static_cast<std::uint64_t>(clock.wall_now().unix_ms)),
      learned(loop), kept(loop) {}

loop::milliseconds store_pause(host& self, loop::milliseconds most) {
    return pause_after(self.store.ways, most, std::uniform_real_distribution<>()(self.random));
}

host_entry own_entry(const host& self) {
    const auto& settings = self.settings;
    return {settings.host, settings.zone, settings.peers, settings.processor};
}

void note(host& self, const kernel::event& kind, std::initializer_list<kernel::field> fields) {
    auto& rate = self.line_rates[kind.number];
    const auto now = self.now();
    if (now - rate.second >= std::chrono::seconds(1)) {
        if (rate.dropped > 0) {
            kernel::log(lines_dropped, {{"of", kind.name}, {"lines", rate.dropped}});
        }
        rate = {now, 0, 0};
    }
    if (++rate.lines > lines_per_second_most) {
        ++rate.dropped;
        self.metrics.count("cornelloom_log_lines_dropped_total");
        return;
    }
    kernel::log(kind, fields);
}

} // namespace cornelloom::front
