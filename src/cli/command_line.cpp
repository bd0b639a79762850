#include "cli/command_line.hpp"

#include "cli/internal/commands.hpp"

#include <CLI/CLI.hpp>

#include <algorithm>
#include <array>
#include <ostream>

namespace cornelloom::cli {

namespace {

using internal::arguments;

using command_function = exit_status (*)(const internal::command&);

constexpr auto exit_statuses =
    "Exit status: 0 done, 1 findings in the files, 2 wrong command line, 3 another generation is\n"
    "in force, 4 no daemon reached, 5 refused, 6 outcome unknown, 7 applied but not yet "
    "everywhere,\n"
    "8 diff found differences, 9 no daemon asked knows the request.";

void add_output(CLI::App& command, arguments& given) {
    const std::map<std::string, output_format> formats{{"table", output_format::table},
                                                       {"json", output_format::json}};
    command.add_option("--output", given.format, "table for people, json for programs")
        ->transform(CLI::CheckedTransformer(formats))
        ->option_text("table|json [table]");
}

void add_daemons(CLI::App& command, arguments& given) {
    command.add_option("--daemon", given.daemons, "IP:PORT of a daemon; repeat it for more")
        ->required()
        ->allow_extra_args(false)
        ->option_text("IP:PORT");
    command.add_option("--token-file", given.token_file,
                       "file whose first line is the operator's token");
}

void add_files(CLI::App& command, arguments& given) {
    command.add_option("files", given.files, "files, or folders with *.json files")->required();
}

/// The command line's grammar.
class grammar {
public:
    explicit grammar(arguments& given) : given_(&given) {
        app_.require_subcommand(1);
        app_.footer(exit_statuses);
        add_configuration();
        add_inspection();
    }

    CLI::App& app() { return app_; }

    /// The command that was named.
    [[nodiscard]] command_function chosen() const {
        const auto it = std::ranges::find_if(
            commands_, [](const entry& each) { return each.parser->parsed(); });
        return it == commands_.end() ? nullptr : it->function;
    }

private:
    struct entry {
        CLI::App* parser;
        command_function function;
    };

    CLI::App& add(const std::string& name, const std::string& help, command_function function) {
        auto* parser = app_.add_subcommand(name, help);
        commands_.push_back({parser, function});
        add_output(*parser, *given_);
        return *parser;
    }

    void add_configuration() {
        auto& check = add("check", "Check a set of files; all findings at once, nothing is sent",
                          internal::check);
        add_files(check, *given_);
        check.add_flag("--settings", given_->settings, "the files are settings of daemons");

        auto& apply =
            add("apply", "Put a set of files in force, as a whole or not at all", internal::apply);
        add_files(apply, *given_);
        add_daemons(apply, *given_);
        apply.add_option("--expect", given_->expected_generation,
                         "generation that the files replace; without it, the one in force");
        apply.add_flag("--wait", given_->wait, "wait until it is in force on all hosts");
        apply.add_option("--wait-seconds", given_->wait_seconds, "longest time to wait")
            ->check(CLI::Range(1, 3600))
            ->capture_default_str();

        auto& get = add("get", "Print or save the set of files in force", internal::get);
        add_daemons(get, *given_);
        get.add_option("--to", given_->output_folder, "folder to save the files to");

        auto& diff = add("diff", "Show what applying the files would change", internal::diff);
        add_files(diff, *given_);
        add_daemons(diff, *given_);
    }

    void add_inspection() {
        add_daemons(add("status", "Show hosts, targets, generations, leases, queues, refusals",
                        internal::status),
                    *given_);
        auto& explain = add("explain", "Tell where a request went and why", internal::explain);
        add_daemons(explain, *given_);
        explain
            .add_option("request", given_->request_id,
                        "id from the header X-Request-Id; name all daemons that may know it")
            ->required();

        auto& drain = add("drain", "Take a host or target out of service, cutting off nothing",
                          internal::drain);
        add_daemons(drain, *given_);
        drain.add_option("kind", given_->drained.kind, "host or target")
            ->check(CLI::IsMember({"host", "target"}))
            ->required();
        drain
            .add_option("id", given_->drained.id, "its id; a host must be among the daemons named")
            ->required();

        add("version", "Print the version", internal::version);
    }

    arguments* given_;
    CLI::App app_{"cornelloom: declare, look at and steer a rollout service", "cornelloom"};
    std::vector<entry> commands_;
};

} // namespace

exit_status run(std::span<const std::string> words, const environment& where) {
    arguments given;
    grammar parser(given);
    // CLI11 takes the words in reverse.
    std::vector<std::string> reversed(words.rbegin(), words.rend());
    try {
        parser.app().parse(std::move(reversed));
    } catch (const CLI::ParseError& failed) {
        const int code = parser.app().exit(failed, where.out, where.error);
        return code == 0 ? exit_status::done : exit_status::usage;
    }
    return parser.chosen()({given, where});
}

} // namespace cornelloom::cli
