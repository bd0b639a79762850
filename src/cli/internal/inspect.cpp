#include "cli/internal/commands.hpp"

#include "config/diff.hpp"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <ostream>

namespace cornelloom::cli::internal {

using nlohmann::json;

namespace {

/// The files in force and their generation.
struct set_in_force {
    std::uint64_t generation = 0;
    std::vector<config::config_file> files;
};

struct fetched {
    std::optional<set_in_force> set;
    exit_status failed = exit_status::done;
};

fetched fetch(const command& run) {
    const auto daemons = connect(run);
    if (!daemons.client) {
        return {std::nullopt, daemons.failed};
    }
    const auto got = daemons.client->configuration();
    if (!got.has_value()) {
        return {std::nullopt, report(run, got.error())};
    }
    if (got.value().generation == 0) {
        return {set_in_force{}, exit_status::done};
    }
    auto files = config::parse_set(got.value().set, "configuration in force");
    if (!files.has_value()) {
        return {std::nullopt, report(run, files.error())};
    }
    return {set_in_force{got.value().generation, std::move(files).value()}, exit_status::done};
}

/// Writes one file of a set into a folder. Only its last name is used: a set comes from elsewhere
/// and must not be able to write outside the folder.
bool write_file(const std::string& folder, const config::config_file& file) {
    const auto name = std::filesystem::path(file.path).filename();
    std::ofstream out(std::filesystem::path(folder) / name, std::ios::binary);
    out << file.text;
    return out.good();
}

exit_status write_folder(const command& run, const set_in_force& set) {
    const auto& folder = run.given.output_folder;
    std::error_code failed;
    std::filesystem::create_directories(folder, failed);
    const bool all = std::ranges::all_of(
        set.files, [&](const config::config_file& file) { return write_file(folder, file); });
    if (failed || !all) {
        run.where.error << "cannot write to " << folder << '\n';
        return exit_status::usage;
    }
    write(run.where.out, json{{"generation", set.generation}, {"files", set.files.size()}},
          run.given.format);
    return exit_status::done;
}

json change_json(const config::change& change) {
    return {{"change", to_string(change.kind)},
            {"section", change.section},
            {"id", change.id},
            {"fields", change.fields}};
}

/// Adds what one host remembers of a request, with the host's name.
void append_entries(const json& answer, std::vector<json>& into) {
    if (!answer.is_object() || !answer.value("entries", json()).is_array()) {
        return;
    }
    for (auto entry : answer["entries"]) {
        if (entry.is_object()) {
            entry["host"] = answer.value("host", json("?"));
            into.push_back(std::move(entry));
        }
    }
}

/// Runs one call of the operators' client and writes its document.
template <class Call> exit_status ask(const command& run, Call&& call) {
    const auto daemons = connect(run);
    if (!daemons.client) {
        return daemons.failed;
    }
    const auto got = std::forward<Call>(call)(*daemons.client);
    return got.has_value() ? write_document(run, got.value()) : report(run, got.error());
}

} // namespace

exit_status get(const command& run) {
    const auto got = fetch(run);
    if (!got.set) {
        return got.failed;
    }
    if (!run.given.output_folder.empty()) {
        return write_folder(run, *got.set);
    }
    if (run.given.format == output_format::json) {
        write(run.where.out,
              json{{"generation", got.set->generation},
                   {"set", json::parse(config::serialize_set(got.set->files), nullptr, false)}},
              output_format::json);
        return exit_status::done;
    }
    run.where.out << "generation: " << got.set->generation << '\n';
    for (const auto& file : got.set->files) {
        run.where.out << "\n== " << file.path << '\n' << file.text << '\n';
    }
    return exit_status::done;
}

exit_status diff(const command& run) {
    const auto files = read_checked(run);
    if (!files) {
        return exit_status::findings;
    }
    const auto got = fetch(run);
    if (!got.set) {
        return got.failed;
    }
    auto changes = json::array();
    for (const auto& change : config::diff_sets(got.set->files, *files)) {
        changes.push_back(change_json(change));
    }
    const bool same = changes.empty();
    write(run.where.out, json{{"generation", got.set->generation}, {"changes", std::move(changes)}},
          run.given.format);
    return same ? exit_status::done : exit_status::differs;
}

exit_status status(const command& run) {
    return ask(run, [](client::operator_client& daemons) { return daemons.status(); });
}

exit_status explain(const command& run) {
    const auto daemons = connect_each(run);
    if (daemons.clients.empty()) {
        return daemons.failed;
    }
    std::vector<json> entries;
    std::optional<kernel::refusal> refused;
    for (const auto& daemon : daemons.clients) {
        const auto got = daemon->explain(run.given.request_id);
        if (!got.has_value()) {
            refused = got.error();
            continue;
        }
        append_entries(json::parse(got.value(), nullptr, false), entries);
    }
    if (entries.empty() && refused) {
        return report(run, *refused);
    }
    std::ranges::stable_sort(
        entries, {}, [](const json& entry) { return entry.value("at_unix_ms", std::int64_t{0}); });
    const bool known = !entries.empty();
    write(run.where.out,
          json{{"request", run.given.request_id}, {"known", known}, {"entries", entries}},
          run.given.format);
    return known ? exit_status::done : exit_status::not_found;
}

exit_status drain(const command& run) {
    const auto daemons = connect_each(run);
    if (daemons.clients.empty()) {
        return daemons.failed;
    }
    std::optional<kernel::refusal> refused;
    for (const auto& daemon : daemons.clients) {
        const auto got = daemon->drain(run.given.drained);
        if (got.has_value()) {
            return write_document(run, got.value());
        }
        refused = got.error();
    }
    return report(run, *refused);
}

exit_status version(const command& run) {
    write(run.where.out, json{{"version", CORNELLOOM_VERSION}}, run.given.format);
    return exit_status::done;
}

} // namespace cornelloom::cli::internal
