#include "cli/cli.hpp"
#include "tests/client/fake_daemon.hpp"

#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <sstream>

using namespace cornelloom;
using namespace cornelloom::cli;
using client::testing::fake_daemons;
using client::testing::refusal_json;
using nlohmann::json;

namespace {

constexpr auto zones = R"({"zones": [{"id": "krakow-a", "region": "malopolska"}]})";

/// A folder that goes with the test.
class scratch_folder {
public:
    explicit scratch_folder(std::string_view name)
        : path_(std::filesystem::temp_directory_path() / ("cornelloom_cli_" + std::string(name))) {
        std::filesystem::remove_all(path_);
        std::filesystem::create_directories(path_);
    }

    ~scratch_folder() { std::filesystem::remove_all(path_); }

    scratch_folder(const scratch_folder&) = delete;
    scratch_folder& operator=(const scratch_folder&) = delete;

    void write(const std::string& name, std::string_view text) const {
        std::ofstream(path_ / name) << text;
    }

    [[nodiscard]] std::string str() const { return path_.string(); }

private:
    std::filesystem::path path_;
};

struct outcome {
    exit_status status;
    std::string out;
    std::string error;
};

outcome run_command(fake_daemons& daemons, const std::vector<std::string>& words) {
    std::ostringstream out;
    std::ostringstream error;
    const auto options = daemons.options();
    const environment where{out, error, options.send, options.wait, &daemons.clock};
    const auto status = run(words, where);
    return {status, out.str(), error.str()};
}

std::string in_force(int generation, std::string_view text) {
    return json{{"generation", generation},
                {"set", {{"files", {{{"name", "a.json"}, {"text", text}}}}}}}
        .dump();
}

const std::vector<std::string> daemon_words{"--daemon", "127.0.0.1:8000"};

std::vector<std::string> with_daemon(std::vector<std::string> words) {
    words.insert(words.end(), daemon_words.begin(), daemon_words.end());
    return words;
}

} // namespace

TEST_CASE("check reports all findings and sends nothing", "[cli][check]") {
    const scratch_folder folder("check");
    fake_daemons daemons;
    SECTION("two faulty files") {
        folder.write("a.json", "{\n\"zones\": [{\"id\": \"x\"}]}");
        folder.write("b.json", "{\"pool\": []}");
        const auto ran = run_command(daemons, {"check", folder.str()});
        CHECK(ran.status == exit_status::findings);
        CHECK(ran.error.find("a.json:2: /zones/0/region: is missing") != std::string::npos);
        CHECK(ran.error.find("b.json:1: /pool: is no known section") != std::string::npos);
        CHECK(ran.error.find("2 findings") != std::string::npos);
    }
    SECTION("the same as JSON") {
        folder.write("b.json", "{\"pool\": []}");
        const auto ran = run_command(daemons, {"check", folder.str(), "--output", "json"});
        CHECK(ran.status == exit_status::findings);
        CHECK(json::parse(ran.out)["findings"].size() == 1);
    }
    SECTION("right files") {
        folder.write("a.json", zones);
        CHECK(run_command(daemons, {"check", folder.str()}).status == exit_status::done);
    }
    SECTION("settings of a daemon") {
        folder.write("host.json", "{\"host\": 7}");
        const auto ran = run_command(daemons, {"check", "--settings", folder.str() + "/host.json"});
        CHECK(ran.status == exit_status::findings);
        CHECK(ran.error.find("host.json:1: /host: is 7") != std::string::npos);
    }
    CHECK(daemons.seen.empty());
}

TEST_CASE("apply sends nothing when a file has a fault", "[cli][apply]") {
    const scratch_folder folder("apply_faulty");
    folder.write("a.json", "{\"zones\": 7}");
    fake_daemons daemons;
    CHECK(run_command(daemons, with_daemon({"apply", folder.str()})).status ==
          exit_status::findings);
    CHECK(daemons.seen.empty());
}

TEST_CASE("apply replaces just the generation that the operator knew", "[cli][apply]") {
    const scratch_folder folder("apply");
    folder.write("a.json", zones);
    fake_daemons daemons;
    SECTION("named by --expect") {
        daemons.answer(200, R"({"generation":5})");
        const auto ran =
            run_command(daemons, with_daemon({"apply", folder.str(), "--expect", "4"}));
        CHECK(ran.status == exit_status::done);
        CHECK(ran.out.find("generation: 5") != std::string::npos);
        const auto body = json::parse(daemons.seen.at(0).request.body);
        CHECK(body["expected_generation"] == 4);
        CHECK(body["set"]["files"][0]["name"] == "a.json");
    }
    SECTION("without it, the one in force now") {
        daemons.answer(200, in_force(7, zones));
        daemons.answer(200, R"({"generation":8})");
        CHECK(run_command(daemons, with_daemon({"apply", folder.str()})).status ==
              exit_status::done);
        CHECK(json::parse(daemons.seen.at(1).request.body)["expected_generation"] == 7);
    }
    SECTION("another operator was faster") {
        daemons.answer(409, R"({"generation":6,"differs":["pools notes staleness_bound"]})");
        const auto ran =
            run_command(daemons, with_daemon({"apply", folder.str(), "--expect", "4"}));
        CHECK(ran.status == exit_status::conflict);
        CHECK(ran.error.find("pools notes staleness_bound") != std::string::npos);
    }
    SECTION("the answer stays away") {
        for (int i = 0; i < 4; ++i) {
            daemons.fail(kernel::error_code::unknown);
        }
        CHECK(run_command(daemons, with_daemon({"apply", folder.str(), "--expect", "4"})).status ==
              exit_status::unknown);
    }
    SECTION("no daemon can be reached") {
        CHECK(run_command(daemons, with_daemon({"apply", folder.str(), "--expect", "4"})).status ==
              exit_status::unreachable);
    }
    SECTION("the token has no right to operate") {
        daemons.answer(403, refusal_json("not-run", "unauthorized", 0));
        CHECK(run_command(daemons, with_daemon({"apply", folder.str(), "--expect", "4"})).status ==
              exit_status::refused);
    }
}

TEST_CASE("apply --wait tells whether all hosts have the generation", "[cli][apply]") {
    const scratch_folder folder("wait");
    folder.write("a.json", zones);
    fake_daemons daemons;
    daemons.answer(200, R"({"generation":5})");
    const auto status = [](int second) {
        return json{{"hosts",
                     {{{"host", "h1"}, {"state", "alive"}, {"generation", 5}},
                      {{"host", "h2"}, {"state", "alive"}, {"generation", second}},
                      {{"host", "h3"}, {"state", "dead"}, {"generation", 1}}}}}
            .dump();
    };
    const auto words = with_daemon({"apply", folder.str(), "--expect", "4", "--wait",
                                    "--wait-seconds", "2", "--output", "json"});
    SECTION("they do after a while; a dead host does not count") {
        daemons.answer(200, status(4));
        daemons.answer(200, status(5));
        const auto ran = run_command(daemons, words);
        CHECK(ran.status == exit_status::done);
        CHECK(json::parse(ran.out)["in_force_everywhere"] == true);
    }
    SECTION("one of them lags") {
        for (int i = 0; i < 20; ++i) {
            daemons.answer(200, status(4));
        }
        const auto ran = run_command(daemons, words);
        CHECK(ran.status == exit_status::not_everywhere);
        CHECK(json::parse(ran.out)["lagging_hosts"] == json::array({"h2"}));
    }
}

TEST_CASE("get saves the set in force inside the folder only", "[cli][get]") {
    // A set with a file name such as ../../x could overwrite any file of the operator's machine.
    const scratch_folder folder("get");
    fake_daemons daemons;
    daemons.answer(200,
                   R"({"generation":3,"set":{"files":[{"name":"../escaped.json","text":"{}"}]}})");
    const auto ran = run_command(daemons, with_daemon({"get", "--to", folder.str()}));
    CHECK(ran.status == exit_status::done);
    CHECK(std::filesystem::exists(folder.str() + "/escaped.json"));
    CHECK_FALSE(std::filesystem::exists(folder.str() + "/../escaped.json"));
}

TEST_CASE("diff shows what applying would change", "[cli][diff]") {
    const scratch_folder folder("diff");
    folder.write("a.json", zones);
    fake_daemons daemons;
    SECTION("nothing") {
        daemons.answer(200, in_force(3, zones));
        CHECK(run_command(daemons, with_daemon({"diff", folder.str()})).status ==
              exit_status::done);
    }
    SECTION("a region") {
        daemons.answer(200, in_force(3, R"({"zones":[{"id":"krakow-a","region":"x"}]})"));
        const auto ran = run_command(daemons, with_daemon({"diff", folder.str()}));
        CHECK(ran.status == exit_status::differs);
        CHECK(ran.out.find("krakow-a") != std::string::npos);
        CHECK(ran.out.find("region") != std::string::npos);
    }
}

TEST_CASE("status, explain and drain ask the daemon and print its answer", "[cli][status]") {
    fake_daemons daemons;
    daemons.answer(200, R"({"generation":4,"hosts":[{"id":"h1","zone":"krakow-a"}]})");
    SECTION("status as a table") {
        const auto ran = run_command(daemons, with_daemon({"status"}));
        CHECK(ran.out == "generation: 4\n\nhosts:\nid  zone\nh1  krakow-a\n");
    }
    SECTION("drain names the target") {
        CHECK(run_command(daemons, with_daemon({"drain", "target", "e1"})).status ==
              exit_status::done);
        CHECK(daemons.seen.at(0).request.body == R"({"target":"e1"})");
    }
}

TEST_CASE("A status for people has its plain values first, then its tables", "[cli][status]") {
    fake_daemons daemons;
    daemons.answer(200, R"({"hosts":[{"zone":"a","host":"h1"}],"queues":{"delayed":2},)"
                        R"("ready":true,"weights":[]})");
    CHECK(run_command(daemons, with_daemon({"status"})).out ==
          "queues.delayed: 2\nready: true\nweights: -\n\nhosts:\nhost  zone\nh1    a\n");
}

TEST_CASE("explain gathers what all daemons named know of a request", "[cli][explain]") {
    // A request enters at one host and runs at a target that another host asked: each remembers
    // only its own part.
    fake_daemons daemons;
    const auto words = with_daemon({"explain", "r-1", "--daemon", "127.0.0.1:8001"});
    daemons.answer(200, R"({"host":"h1","entries":[{"at_unix_ms":9,"what":"answered"}]})");
    SECTION("in the order of time") {
        daemons.answer(200, R"({"host":"h2","entries":[{"at_unix_ms":5,"what":"placed on e1"}]})");
        const auto ran = run_command(daemons, words);
        CHECK(ran.status == exit_status::done);
        CHECK(ran.out == "known: true\nrequest: r-1\n\nentries:\nhost  at_unix_ms  what\n"
                         "h2    5           placed on e1\nh1    9           answered\n");
        CHECK(daemons.seen.at(0).request.path == "/v1/explain/r-1");
        CHECK(daemons.seen.at(0).to != daemons.seen.at(1).to);
    }
    SECTION("also when one of them cannot be reached") {
        CHECK(run_command(daemons, words).status == exit_status::done);
    }
    SECTION("and says when none does") {
        daemons.answers.clear();
        daemons.answer(200, R"({"host":"h1","known":false,"entries":[]})");
        daemons.answer(200, R"({"host":"h2","known":false,"entries":[]})");
        CHECK(run_command(daemons, words).status == exit_status::not_found);
    }
}

TEST_CASE("A wrong command line is told from a failure", "[cli]") {
    fake_daemons daemons;
    CHECK(run_command(daemons, {}).status == exit_status::usage);
    CHECK(run_command(daemons, {"aply"}).status == exit_status::usage);
    CHECK(run_command(daemons, {"status"}).status == exit_status::usage);
    CHECK(run_command(daemons, {"status", "--daemon", "engine:1"}).status == exit_status::usage);
    CHECK(run_command(daemons, {"drain", "zone", "x", "--daemon", "127.0.0.1:1"}).status ==
          exit_status::usage);
    CHECK(run_command(daemons, {"--help"}).status == exit_status::done);
    CHECK(run_command(daemons, {"version"}).out.starts_with("version: "));
    CHECK(daemons.seen.empty());
}
