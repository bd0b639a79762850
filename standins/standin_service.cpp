/// Stand-in of a plain service and of a scoring service. Each call is counted under its
/// Idempotency-Key before it is answered; `GET /control/runs` gives {"calls","keys","max"}.
/// `POST /v1/score` gives a score.

#include "standins/internal/http_host.hpp"

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <iostream>
#include <map>
#include <mutex>
#include <ranges>
#include <thread>

using cornelloom::standins::http_host;
using cornelloom::standins::reply_writer;
using cornelloom::transport::find_header;
using cornelloom::transport::http_request;
using nlohmann::json;

namespace {

struct service {
    std::mutex mutex;
    std::map<std::string, int> runs_by_key;
    std::int64_t calls = 0;
    int work_ms = 0;
    std::string name = "service";
};

void count_run(service& self, const http_request& request) {
    const std::lock_guard lock(self.mutex);
    ++self.calls;
    if (const auto key = find_header(request.headers, "Idempotency-Key")) {
        ++self.runs_by_key[std::string(*key)];
    }
}

std::string runs_json(service& self) {
    const std::lock_guard lock(self.mutex);
    int most = 0;
    for (const auto runs : self.runs_by_key | std::views::values) {
        most = std::max(most, runs);
    }
    return json{{"calls", self.calls}, {"keys", self.runs_by_key.size()}, {"max", most}}.dump();
}

void serve(service& self, const http_request& request, reply_writer& reply) {
    if (request.path == "/control/runs") {
        reply.send(200, runs_json(self));
        return;
    }
    count_run(self, request);
    std::this_thread::sleep_for(std::chrono::milliseconds(self.work_ms));
    if (request.path == "/v1/score") {
        const auto text = json::parse(request.body).at("text").get<std::string>();
        constexpr double scale = 1000;
        reply.send(200, json{{"score", static_cast<double>(text.size()) / scale}}.dump());
        return;
    }
    reply.send(200, json{{"service", self.name},
                         {"method", request.method},
                         {"path", request.path},
                         {"echo", request.body}}
                        .dump());
}

} // namespace

int main(int argc, char** argv) {
    CLI::App app{"Stand-in of a plain service"};
    std::string listen = "127.0.0.1:0";
    service self;
    app.add_option("--listen", listen, "IP:PORT to listen on")->capture_default_str();
    app.add_option("--name", self.name, "Name given in each answer")->capture_default_str();
    app.add_option("--work-ms", self.work_ms, "Time that each call takes");
    CLI11_PARSE(app, argc, argv);
    const auto where = cornelloom::transport::parse_endpoint(listen);
    if (!where) {
        std::cerr << where.error().detail << '\n';
        return 2;
    }
    http_host host(where.value(), [&](const http_request& request, reply_writer& reply) {
        serve(self, request, reply);
    });
    std::cout << "listening on " << host.port() << std::endl;
    host.run();
}
