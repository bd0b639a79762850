#include "config/load.hpp"

#include "config/internal/check.hpp"
#include "config/internal/extract.hpp"
#include "config/schema.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <map>

namespace cornelloom::config {

namespace {

using internal::child_path;
using internal::find_member;
using internal::json_kind;
using internal::json_node;

struct parsed_file {
    std::string path;
    json_node root;
};

/// One element of a section and where it stands.
struct element {
    const parsed_file* file;
    const json_node* node;
    std::string path;
};

/// All elements of all files, by section.
using elements = std::map<std::string, std::vector<element>, std::less<>>;

kernel::source_place place_of(const element& at, std::string_view field) {
    const auto* value = find_member(*at.node, field);
    return {at.file->path, value == nullptr ? at.node->line : value->line,
            child_path(at.path, field)};
}

std::string_view text_of(const element& at, std::string_view field) {
    const auto* value = find_member(*at.node, field);
    return value == nullptr ? std::string_view{} : std::string_view(value->text);
}

std::vector<parsed_file> parse_all(std::span<const config_file> files, kernel::findings& faults) {
    std::vector<parsed_file> parsed;
    std::size_t total = 0;
    for (const auto& file : files) {
        total += file.text.size();
        if (file.text.size() > max_file_bytes) {
            faults.add({file.path, 0, ""}, fmt::format("has {} bytes", file.text.size()),
                       fmt::format("at most {} bytes a file", max_file_bytes));
            continue;
        }
        if (auto root = internal::parse_json(file.path, file.text, faults)) {
            parsed.push_back({file.path, *std::move(root)});
        }
    }
    if (total > max_set_bytes || files.size() > max_set_files) {
        faults.add({"", 0, ""}, fmt::format("the set has {} files, {} bytes", files.size(), total),
                   fmt::format("at most {} files, {} bytes", max_set_files, max_set_bytes));
    }
    return parsed;
}

void collect_section(const parsed_file& file, const internal::json_member& member, elements& into,
                     kernel::findings& faults) {
    const auto path = child_path("", member.name);
    if (member.value.kind != json_kind::array) {
        faults.add({file.path, member.value.line, path}, "is " + describe(member.value),
                   "a list of objects");
        return;
    }
    auto& section = into[member.name];
    for (std::size_t i = 0; i < member.value.items.size(); ++i) {
        section.push_back({&file, &member.value.items[i], child_path(path, i)});
    }
}

void collect_file(const parsed_file& file, elements& into, kernel::findings& faults) {
    if (file.root.kind != json_kind::object) {
        faults.add({file.path, file.root.line, ""}, "is " + describe(file.root), "an object");
        return;
    }
    std::vector<std::string_view> names;
    std::ranges::transform(configuration_sections(), std::back_inserter(names),
                           &section_rule::name);
    for (const auto& member : file.root.members) {
        if (std::ranges::find(names, member.name) != names.end()) {
            collect_section(file, member, into, faults);
            continue;
        }
        const auto near = internal::nearest_name(member.name, names);
        faults.add({file.path, member.value.line, child_path("", member.name)},
                   near.empty() ? "is no known section"
                                : fmt::format("is no known section (did you mean {}?)", near),
                   fmt::format("{}", fmt::join(names, ", ")));
    }
}

/// Reports elements of a section that share the value of a field.
void check_unique(std::span<const element> section, std::string_view field,
                  kernel::findings& faults) {
    std::map<std::string_view, const element*> first;
    for (const auto& at : section) {
        const auto value = text_of(at, field);
        const auto [it, inserted] = first.try_emplace(value, &at);
        if (value.empty() || inserted) {
            continue;
        }
        const auto earlier = place_of(*it->second, field);
        faults.add(place_of(at, field),
                   fmt::format("is the same as at {}:{}", earlier.file, earlier.line),
                   "a value of its own");
    }
}

internal::known_ids collect_ids(const elements& all, const load_options& options) {
    internal::known_ids known;
    for (const auto& section : configuration_sections()) {
        auto& ids = known[std::string(section.name)];
        const auto found = all.find(section.name);
        if (found == all.end()) {
            continue;
        }
        for (const auto& at : found->second) {
            ids.emplace(text_of(at, "id"));
        }
        ids.erase("");
    }
    auto& regions = known["regions"];
    if (const auto zones = all.find("zones"); zones != all.end()) {
        for (const auto& at : zones->second) {
            regions.emplace(text_of(at, "region"));
        }
    }
    known["target_kinds"].insert(options.target_kinds.begin(), options.target_kinds.end());
    return known;
}

/// Checks that look at more than one field or element.
class relations {
public:
    relations(const configuration& all, const elements& places, kernel::findings& faults)
        : all_(&all), places_(&places), faults_(&faults) {}

    void check() {
        for (std::size_t i = 0; i < all_->pools.size(); ++i) {
            check_pool(all_->pools[i], places_->at("pools")[i]);
        }
        for (std::size_t i = 0; i < all_->targets.size(); ++i) {
            check_target(all_->targets[i], places_->at("targets")[i]);
        }
        for (std::size_t i = 0; i < all_->services.size(); ++i) {
            check_calls(all_->services[i], places_->at("services")[i]);
        }
    }

private:
    void check_pool(const rollout_pool& pool, const element& at) {
        if (pool.min_group_size > pool.max_group_size) {
            faults_->add(place_of(at, "min_group_size"),
                         fmt::format("is {}, above max_group_size", pool.min_group_size),
                         fmt::format("at most {}", pool.max_group_size));
        }
        if (pool.max_group_size > pool.max_samples_per_step) {
            faults_->add(place_of(at, "max_samples_per_step"),
                         fmt::format("is {}, below max_group_size", pool.max_samples_per_step),
                         fmt::format("at least {}", pool.max_group_size));
        }
        if (pool.idle_weight == 0 && pool.staleness_weight == 0) {
            faults_->add(place_of(at, "idle_weight"), "is 0, and so is staleness_weight",
                         "at least one of the two above 0");
        }
        check_pool_zones(pool, at);
        check_scoring(pool, at);
        check_fallback(pool, at);
    }

    void check_pool_zones(const rollout_pool& pool, const element& at) {
        for (const auto& zone : pool.zones) {
            const auto region = region_of(*all_, zone);
            const bool fits = pool.regions.empty() || region.empty() ||
                              std::ranges::find(pool.regions, region) != pool.regions.end();
            if (!fits) {
                faults_->add(
                    place_of(at, "zones"),
                    fmt::format("names {}, which stands in region {}", zone.str(), region.str()),
                    "zones of the pool's regions");
            }
        }
    }

    void check_scoring(const rollout_pool& pool, const element& at) {
        const auto* scorer = find_service(*all_, pool.scoring_service);
        if (scorer != nullptr && !scorer->scoring) {
            faults_->add(place_of(at, "scoring_service"),
                         fmt::format("names {}, which does not score", scorer->id.str()),
                         "a service with \"scoring\": true");
        }
    }

    void check_fallback(const rollout_pool& pool, const element& at) {
        const auto* next = find_pool(*all_, pool.fallback);
        if (next == nullptr) {
            return;
        }
        if (next->model != pool.model || next->adapter != pool.adapter) {
            faults_->add(place_of(at, "fallback"),
                         fmt::format("names {}, whose model or adapter differs", next->id.str()),
                         "a pool of the same model and adapter");
        }
        std::string chain = pool.id.str();
        for (std::size_t step = 0; next != nullptr && step < all_->pools.size(); ++step) {
            chain += " -> " + next->id.str();
            if (next->id == pool.id) {
                faults_->add(place_of(at, "fallback"), "closes a cycle: " + chain,
                             "fallbacks that end");
                return;
            }
            next = next->fallback.empty() ? nullptr : find_pool(*all_, next->fallback);
        }
    }

    void check_target(const target& checked, const element& at) {
        if (checked.pools.empty() && checked.services.empty()) {
            faults_->add({at.file->path, at.node->line, at.path}, "serves nothing",
                         "an entry in pools or services");
        }
    }

    void check_calls(const service& checked, const element& at) {
        for (std::size_t i = 0; i < checked.calls.size(); ++i) {
            const auto& call = checked.calls[i];
            const auto same = [&](const service_call& other) {
                return other.method == call.method && other.path_prefix == call.path_prefix;
            };
            const auto first = std::ranges::find_if(checked.calls, same);
            if (first != checked.calls.begin() + static_cast<std::ptrdiff_t>(i)) {
                const auto& node = find_member(*at.node, "calls")->items[i];
                faults_->add(
                    {at.file->path, node.line, child_path(child_path(at.path, "calls"), i)},
                    fmt::format("is a second rule for {} {}", call.method, call.path_prefix),
                    "one rule for each method and prefix");
            }
        }
    }

    const configuration* all_;
    const elements* places_;
    kernel::findings* faults_;
};

template <class T>
std::vector<T> extract_all(const elements& all, std::string_view section,
                           T (*extract)(const json_node&)) {
    std::vector<T> made;
    if (const auto found = all.find(section); found != all.end()) {
        std::ranges::transform(found->second, std::back_inserter(made),
                               [&](const element& at) { return extract(*at.node); });
    }
    return made;
}

configuration extract(const elements& all) {
    configuration made{
        .zones = extract_all(all, "zones", internal::extract_zone),
        .pools = extract_all(all, "pools", internal::extract_pool),
        .targets = extract_all(all, "targets", internal::extract_target),
        .callers = extract_all(all, "callers", internal::extract_caller),
        .services = extract_all(all, "services", internal::extract_service),
    };
    for (auto& each : made.targets) {
        each.region = region_of(made, each.zone);
    }
    return made;
}

} // namespace

checked<configuration> load_configuration(std::span<const config_file> files,
                                          const load_options& options) {
    kernel::findings faults;
    const auto parsed = parse_all(files, faults);
    elements all;
    for (const auto& file : parsed) {
        collect_file(file, all, faults);
    }
    const auto known = collect_ids(all, options);
    for (const auto& section : configuration_sections()) {
        for (const auto& at : all[std::string(section.name)]) {
            check_object({at.file->path, known, faults}, *at.node, at.path, section.fields);
        }
        check_unique(all[std::string(section.name)], "id", faults);
    }
    check_unique(all["callers"], "token_sha256", faults);
    check_unique(all["targets"], "address", faults);
    auto made = extract(all);
    relations(made, all, faults).check();
    if (!faults.empty()) {
        return faults;
    }
    return made;
}

} // namespace cornelloom::config
