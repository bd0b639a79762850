/// Stand-in of the platform's object API, see docs/OUTSIDE.md. `POST /control` sets its troubles:
/// {"outage_ms":N} answers 503 for so long, {"lose_answers":N} closes the connection after each of
/// the next N writes took effect, {"slow_ms":N} delays each call, {"hosts":[...]} replaces the list
/// of hosts after the lag. `GET /control` gives the calls counted so far.

#include "standins/internal/http_host.hpp"
#include "standins/internal/object_store.hpp"

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include <atomic>
#include <iostream>
#include <thread>

using cornelloom::standins::http_host;
using cornelloom::standins::object_store;
using cornelloom::standins::reply_writer;
using cornelloom::standins::stored_object;
using cornelloom::standins::write_outcome;
using cornelloom::transport::find_query;
using cornelloom::transport::http_request;
using nlohmann::json;

namespace {

using steady = std::chrono::steady_clock;

std::int64_t now_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(steady::now().time_since_epoch())
        .count();
}

struct host_list {
    std::mutex mutex;
    json shown = json::array();
    json next = json::array();
    std::int64_t next_from_ms = 0;
};

struct platform {
    object_store objects;
    host_list hosts;
    std::int64_t host_lag_ms = 0;
    std::atomic<std::int64_t> outage_until_ms{0};
    std::atomic<std::int64_t> answers_to_lose{0};
    std::atomic<std::int64_t> slow_ms{0};
    std::atomic<std::int64_t> reads{0};
    std::atomic<std::int64_t> writes{0};
    std::atomic<std::int64_t> watches{0};
};

json to_json(const stored_object& object) {
    json out{{"kind", object.kind}, {"name", object.name}, {"version", object.version}};
    if (object.deleted) {
        out["deleted"] = true;
    } else {
        out["value"] = object.value;
    }
    return out;
}

std::string to_json(const object_store::listing& found) {
    json objects = json::array();
    for (const auto& object : found.objects) {
        objects.push_back(to_json(object));
    }
    return json{{"revision", found.revision}, {"objects", objects}}.dump();
}

std::optional<std::int64_t> find_number(const http_request& request, std::string_view name) {
    const auto text = find_query(request.query, name);
    if (!text) {
        return std::nullopt;
    }
    return std::stoll(*text);
}

void answer_write(platform& self, const write_outcome& outcome, reply_writer& reply) {
    const auto body = json{{"version", outcome.version}}.dump();
    if (outcome.what == write_outcome::kind::conflict) {
        reply.send(409, body);
    } else if (outcome.what == write_outcome::kind::not_found) {
        reply.send(404, "{}");
    } else if (self.answers_to_lose.load() > 0) {
        --self.answers_to_lose;
        reply.drop();
    } else {
        reply.send(200, body);
    }
}

void serve_object(platform& self, const std::string& kind, const std::string& name,
                  const http_request& request, reply_writer& reply) {
    const auto expect = find_number(request, "expect");
    if (request.method == "PUT") {
        ++self.writes;
        auto value = json::parse(request.body).at("value").get<std::string>();
        constexpr std::size_t max_value_bytes = 1'000'000;
        if (value.size() > max_value_bytes) {
            reply.send(413, R"({"reason":"value over 1 MB"})");
            return;
        }
        answer_write(self, self.objects.put(kind, name, std::move(value), expect), reply);
    } else if (request.method == "DELETE") {
        ++self.writes;
        answer_write(self, self.objects.remove(kind, name, expect), reply);
    } else {
        ++self.reads;
        const auto object = self.objects.get(kind, name);
        reply.send(object ? 200 : 404, object ? to_json(*object).dump() : "{}");
    }
}

void serve_hosts(platform& self, reply_writer& reply) {
    ++self.reads;
    const std::lock_guard lock(self.hosts.mutex);
    if (now_ms() >= self.hosts.next_from_ms) {
        self.hosts.shown = self.hosts.next;
    }
    reply.send(200, json{{"hosts", self.hosts.shown}}.dump());
}

void serve_control(platform& self, const http_request& request, reply_writer& reply) {
    if (request.method == "POST") {
        const auto order = json::parse(request.body);
        if (order.contains("outage_ms")) {
            self.outage_until_ms = now_ms() + order["outage_ms"].get<std::int64_t>();
        }
        self.answers_to_lose = order.value("lose_answers", self.answers_to_lose.load());
        self.slow_ms = order.value("slow_ms", self.slow_ms.load());
        if (order.contains("hosts")) {
            const std::lock_guard lock(self.hosts.mutex);
            self.hosts.next = order["hosts"];
            self.hosts.next_from_ms = now_ms() + self.host_lag_ms;
        }
    }
    reply.send(200, json{{"reads", self.reads.load()},
                         {"writes", self.writes.load()},
                         {"watches", self.watches.load()}}
                        .dump());
}

std::vector<std::string> split_path(const std::string& path) {
    std::vector<std::string> parts;
    std::istringstream in(path);
    for (std::string part; std::getline(in, part, '/');) {
        if (!part.empty()) {
            parts.push_back(part);
        }
    }
    return parts;
}

void serve(platform& self, const http_request& request, reply_writer& reply) {
    const auto parts = split_path(request.path);
    if (parts.size() == 1 && parts[0] == "control") {
        serve_control(self, request, reply);
        return;
    }
    if (now_ms() < self.outage_until_ms) {
        reply.send(503, R"({"reason":"outage"})");
        return;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(self.slow_ms.load()));
    if (parts.size() == 4 && parts[1] == "objects") {
        serve_object(self, parts[2], parts[3], request, reply);
    } else if (parts.size() == 3 && parts[1] == "objects") {
        ++self.reads;
        reply.send(200, to_json(self.objects.list(parts[2])));
    } else if (parts.size() == 3 && parts[1] == "watch") {
        ++self.watches;
        const std::chrono::milliseconds wait{find_number(request, "timeout_ms").value_or(0)};
        const auto after = find_number(request, "after").value_or(0);
        reply.send(200, to_json(self.objects.watch(parts[2], after, wait)));
    } else if (parts.size() == 2 && parts[1] == "hosts") {
        serve_hosts(self, reply);
    } else {
        reply.send(404, R"({"reason":"no such path"})");
    }
}

} // namespace

int main(int argc, char** argv) {
    CLI::App app{"Stand-in of the platform's object API"};
    std::string listen = "127.0.0.1:0";
    platform self;
    app.add_option("--listen", listen, "IP:PORT to listen on")->capture_default_str();
    app.add_option("--host-lag-ms", self.host_lag_ms, "Lag of the list of hosts");
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
