#include "bench/internal/fleet.hpp"

#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <functional>
#include <mutex>
#include <numeric>
#include <sstream>
#include <thread>

namespace cornelloom::bench {

namespace {

using namespace std::chrono_literals;
using nlohmann::json;
using steady = std::chrono::steady_clock;

constexpr auto call_timeout = 5s;
constexpr auto longest_wait = 20s;
constexpr auto poll_pause = 10ms;

transport::http_request get(const fleet& all, const std::string& path) {
    transport::http_request request;
    request.path = path;
    request.headers = {{"Authorization", "Bearer " + all.token}};
    return request;
}

std::string fetch(const fleet& all, const transport::endpoint& from, const std::string& path) {
    const auto answer = transport::call(from, get(all, path), {.timeout = call_timeout});
    return answer ? answer.value().body : std::string();
}

json fetch_status(const fleet& all, const transport::endpoint& from) {
    auto value = json::parse(fetch(all, from, "/v1/status"), nullptr, false);
    return value.is_object() ? value : json::object();
}

// Sums a counter over its labels in the Prometheus text.
double sum_counter(const std::string& text, const std::string& name) {
    std::istringstream in(text);
    double sum = 0;
    for (std::string line; std::getline(in, line);) {
        if (line.starts_with(name) && (line[name.size()] == '{' || line[name.size()] == ' ')) {
            sum += std::stod(line.substr(line.rfind(' ')));
        }
    }
    return sum;
}

double cpu_seconds(int pid) {
    std::ifstream in("/proc/" + std::to_string(pid) + "/stat");
    const std::string text((std::istreambuf_iterator<char>(in)), std::istreambuf_iterator<char>());
    const auto end_of_name = text.rfind(')');
    if (end_of_name == std::string::npos) {
        return 0;
    }
    std::istringstream fields(text.substr(end_of_name + 2));
    std::string skipped;
    constexpr int fields_before_utime = 11;
    for (int i = 0; i < fields_before_utime; ++i) {
        fields >> skipped;
    }
    double user = 0;
    double system = 0;
    fields >> user >> system;
    return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

double resident_mb(int pid) {
    std::ifstream in("/proc/" + std::to_string(pid) + "/statm");
    double size = 0;
    double resident = 0;
    in >> size >> resident;
    constexpr double bytes_per_mb = 1024.0 * 1024.0;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / bytes_per_mb;
}

// Calls `known` for each daemon, each on a thread of its own, until it says yes.
std::vector<double> time_until_known(const std::vector<transport::endpoint>& daemons,
                                     steady::time_point start,
                                     const std::function<bool(const transport::endpoint&)>& known) {
    std::mutex mutex;
    std::vector<double> found;
    std::vector<std::thread> watchers;
    watchers.reserve(daemons.size());
    for (const auto& daemon : daemons) {
        watchers.emplace_back([&, daemon] {
            while (steady::now() - start < longest_wait) {
                if (known(daemon)) {
                    const std::chrono::duration<double, std::milli> took = steady::now() - start;
                    const std::lock_guard lock(mutex);
                    found.push_back(took.count());
                    return;
                }
                std::this_thread::sleep_for(poll_pause);
            }
        });
    }
    for (auto& one : watchers) {
        one.join();
    }
    return found;
}

transport::http_response post(const fleet& all, const transport::endpoint& to,
                              const std::string& path, const json& body) {
    auto request = get(all, path);
    request.method = "POST";
    request.body = body.dump();
    const auto answer = transport::call(to, request, {.timeout = longest_wait});
    return answer ? answer.value() : transport::http_response{.status = 0};
}

// The first target's id; the set's files hold JSON text.
std::string first_target(const fleet& all) {
    const auto status = fetch_status(all, all.daemons.front());
    const auto targets = status.value("targets", json::array());
    return targets.empty() ? std::string() : targets.front().value("target", std::string());
}

} // namespace

fleet_sample take_sample(const fleet& all) {
    fleet_sample out;
    out.at = steady::now();
    for (std::size_t i = 0; i < all.daemons.size(); ++i) {
        const auto text = fetch(all, all.daemons[i], "/metrics");
        out.nodes.push_back({cpu_seconds(all.pids.at(i)), resident_mb(all.pids.at(i)),
                             sum_counter(text, "cornelloom_udp_bytes_total"),
                             sum_counter(text, "cornelloom_platform_calls_total")});
    }
    return out;
}

fleet_usage usage_between(const fleet_sample& before, const fleet_sample& after) {
    fleet_usage use;
    use.seconds = std::chrono::duration<double>(after.at - before.at).count();
    const auto count = static_cast<double>(after.nodes.size());
    for (std::size_t i = 0; i < after.nodes.size(); ++i) {
        const auto& last = after.nodes[i];
        const auto& first = before.nodes.at(i);
        const auto share = (last.cpu_seconds - first.cpu_seconds) / use.seconds;
        const auto bytes = (last.udp_bytes - first.udp_bytes) / use.seconds;
        use.core_share_mean += share / count;
        use.core_share_max = std::max(use.core_share_max, share);
        use.resident_mb_mean += last.resident_mb / count;
        use.resident_mb_max = std::max(use.resident_mb_max, last.resident_mb);
        use.udp_bytes_mean += bytes / count;
        use.udp_bytes_max = std::max(use.udp_bytes_max, bytes);
        use.platform_calls += (last.platform_calls - first.platform_calls) / use.seconds;
    }
    return use;
}

json read_set(const std::string& file) {
    std::ifstream in(file);
    return json::parse(in);
}

std::vector<double> time_change(const fleet& all, const json& set, int number) {
    const auto current = fetch_status(all, all.daemons.front()).value("generation", 0);
    auto changed = set;
    const json more{{"services", json::array({{{"id", "extra-" + std::to_string(number)},
                                               {"calls", json::array()}}})}};
    changed["files"].push_back({{"name", "extra.json"}, {"text", more.dump()}});
    const auto start = steady::now();
    const auto answer = post(all, all.daemons.front(), "/v1/configuration",
                             {{"apply_id", "fleet-" + std::to_string(number)},
                              {"expected_generation", current},
                              {"set", changed}});
    if (answer.status != 200) {
        throw std::runtime_error("apply was answered " + std::to_string(answer.status) + ": " +
                                 answer.body);
    }
    return time_until_known(all.daemons, start, [&](const auto& daemon) {
        const auto text = fetch(all, daemon, "/metrics");
        return sum_counter(text, "cornelloom_configuration_generation") > current;
    });
}

std::vector<double> time_leaving_mark(const fleet& all) {
    const auto target = first_target(all);
    const auto start = steady::now();
    post(all, all.daemons.front(), "/v1/drain", {{"target", target}});
    return time_until_known(all.daemons, start, [&](const auto& daemon) {
        const auto status = fetch_status(all, daemon);
        const auto targets = status.value("targets", json::array());
        return std::ranges::any_of(targets, [&](const json& one) {
            return one.value("target", std::string()) == target && one.value("leaving", false);
        });
    });
}

std::vector<double> time_kill(const fleet& all) {
    const auto status = fetch_status(all, all.daemons.back());
    const auto victim = status.value("host", std::string());
    const auto others = std::vector(all.daemons.begin(), all.daemons.end() - 1);
    const auto start = steady::now();
    kill(all.pids.back(), SIGKILL);
    return time_until_known(others, start, [&](const auto& daemon) {
        const auto hosts = fetch_status(all, daemon).value("hosts", json::array());
        return std::ranges::any_of(hosts, [&](const json& one) {
            return one.value("host", std::string()) == victim &&
                   one.value("state", std::string()) == "dead";
        });
    });
}

} // namespace cornelloom::bench
