#include "front/copies.hpp"

#include "front/age_plan.hpp"
#include "front/host.hpp"

#include <algorithm>
#include <array>

namespace cornelloom::front {

namespace {

/// Kinds on whose age a bound depends.
constexpr std::array bounded_kinds{object_kind::configuration, object_kind::targets};

std::int64_t age_ms(const host& self, object_kind kind) {
    return copy_age(self, kind).value_or(milliseconds(-1)).count();
}

void report_overdue(host& self, object_kind kind, copy_state& copy, milliseconds bound) {
    const auto age = copy_age(self, kind);
    const bool overdue = age && *age > bound;
    if (overdue == copy.overdue) {
        return;
    }
    copy.overdue = overdue;
    log_event(self, overdue ? copy_overdue : copy_confirmed,
              {{"watch", to_string(kind)},
               {"age_ms", age_ms(self, kind)},
               {"bound_ms", bound.count()},
               {"source", to_string(copy.source)},
               {"feeder", copy.feeder},
               {"source_ms", ms_between(copy.source_since, self.now())}});
}

} // namespace

std::string_view to_string(copy_source source) {
    switch (source) {
    case copy_source::none:
        return "none";
    case copy_source::store:
        return "store";
    case copy_source::relay:
        return "relay";
    case copy_source::feeder:
        return "feeder";
    }
    return "none";
}

void record_source(host& self, object_kind kind, copy_source source, std::string_view feeder) {
    auto& copy = self.copies[kind];
    if (copy.source == source && copy.feeder == feeder) {
        return;
    }
    log_event(self, copy_source_changed,
              {{"watch", to_string(kind)},
               {"source", to_string(source)},
               {"feeder", feeder},
               {"before", to_string(copy.source)},
               {"feeder_before", copy.feeder},
               {"age_ms", age_ms(self, kind)}});
    copy.source = source;
    copy.feeder = feeder;
    copy.source_since = self.now();
    const std::array labels{kernel::label{"kind", to_string(kind)},
                            kernel::label{"source", to_string(source)}};
    self.metrics.count("cornelloom_copy_source_changes_total", labels);
}

void record_confirmed(host& self, object_kind kind, time_point when) {
    auto& copy = self.copies[kind];
    copy.confirmed_at = std::max(copy.confirmed_at, when);
    if (kind == object_kind::configuration && self.configuration_valid) {
        self.configuration_confirmed_at = std::max(self.configuration_confirmed_at, when);
        self.startup_changed.open();
    }
}

std::optional<milliseconds> copy_age(const host& self, object_kind kind) {
    const auto found = self.copies.find(kind);
    if (found == self.copies.end() || found->second.confirmed_at == time_point{}) {
        return std::nullopt;
    }
    return std::chrono::duration_cast<milliseconds>(self.clock.boot_now() -
                                                    found->second.confirmed_at);
}

void report_copies(host& self) {
    for (const auto kind : bounded_kinds) {
        report_overdue(self, kind, self.copies[kind], plan_age(kind, self.settings).bound);
        if (const auto age = copy_age(self, kind)) {
            const std::array labels{kernel::label{"kind", to_string(kind)}};
            self.metrics.set("cornelloom_copy_age_seconds",
                             std::chrono::duration<double>(*age).count(), labels);
        }
    }
}

} // namespace cornelloom::front
