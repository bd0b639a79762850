/// Stand-in of a model engine, see docs/OUTSIDE.md. `GET /control` gives the tokens paid so far;
/// `POST /control` {"down_ms":N} cuts every stream and refuses calls for so long, like a crash with
/// a restart. A prompt that contains the text of --crash-on does the same.

#include "standins/internal/engine_model.hpp"
#include "standins/internal/http_host.hpp"

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <iostream>
#include <map>
#include <mutex>

using namespace cornelloom::standins;
using cornelloom::transport::find_query;
using cornelloom::transport::http_request;
using nlohmann::json;

namespace {

std::int64_t now_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

struct exported_kv {
    std::string so_far;
    std::int64_t bytes = 0;
};

struct engine {
    explicit engine(const engine_settings& settings) : model(settings) {}

    engine_model model;
    std::string crash_on;
    std::atomic<std::int64_t> down_until_ms{0};
    std::atomic<std::int64_t> crashes{0};
    std::mutex mutex;
    std::string role = "mixed";
    std::vector<std::string> adapters;
    std::map<std::string, std::string> texts; ///< Of running streams, for KV export.
    std::map<std::string, exported_kv> kv;
};

constexpr std::int64_t restart_ms = 1000;

bool is_down(const engine& self) {
    return now_ms() < self.down_until_ms.load();
}

void crash(engine& self, std::int64_t for_ms) {
    self.down_until_ms = now_ms() + for_ms;
    ++self.crashes;
}

json to_json(const piece& one, const std::string& adapter) {
    return {
        {"text", one.text}, {"tokens", one.tokens}, {"version", one.version}, {"adapter", adapter}};
}

void forget_text(engine& self, const std::string& request_id) {
    const std::lock_guard lock(self.mutex);
    self.texts.erase(request_id);
}

void stream_pieces(engine& self, const generate_order& order, reply_writer& reply) {
    const auto one = self.model.start(order);
    reply.begin_stream();
    piece next;
    bool alive = true;
    while (alive) {
        const bool arrived = self.model.next_piece(*one, next);
        alive = !is_down(self) && reply.peer_is_there();
        if (!alive || (arrived && next.done)) {
            break;
        }
        if (arrived) {
            const std::lock_guard lock(self.mutex);
            self.texts[order.request_id] += next.text;
        }
        alive = !arrived || reply.write_line(to_json(next, order.adapter).dump());
    }
    forget_text(self, order.request_id);
    if (alive) {
        reply.write_line(R"({"done":true,"finish":"stop"})");
        reply.end_stream();
        return;
    }
    self.model.cancel(order.request_id);
    reply.drop();
}

generate_order to_order(engine& self, const json& body) {
    generate_order order;
    order.request_id = body.at("request_id").get<std::string>();
    order.prompt = body.at("prompt").get<std::string>();
    order.so_far = body.value("so_far", "");
    order.max_tokens = body.value("max_tokens", order.max_tokens);
    order.priority = body.value("priority", 0);
    order.seed = body.value("seed", std::uint64_t{0});
    const std::lock_guard lock(self.mutex);
    // An adapter that is not loaded is not used, and the pieces say so.
    const auto adapter = body.value("adapter", "");
    if (std::ranges::find(self.adapters, adapter) != self.adapters.end()) {
        order.adapter = adapter;
    }
    const auto kv = self.kv.find(body.value("kv", ""));
    if (kv != self.kv.end()) {
        order.so_far = kv->second.so_far;
    }
    return order;
}

void serve_generate(engine& self, const http_request& request, reply_writer& reply) {
    const auto order = to_order(self, json::parse(request.body));
    if (!self.crash_on.empty() && order.prompt.find(self.crash_on) != std::string::npos) {
        crash(self, restart_ms);
        reply.drop();
        return;
    }
    stream_pieces(self, order, reply);
}

void serve_order(engine& self, const http_request& request, reply_writer& reply) {
    const auto order = json::parse(request.body);
    const auto kind = order.at("kind").get<std::string>();
    if (kind == "load_version") {
        const auto outcome = self.model.load_version(order.at("value").get<std::int64_t>(),
                                                     order.value("fence", std::int64_t{0}));
        const auto refused = json{{"reason", "old_fence"}, {"fence", outcome.fence}};
        reply.send(outcome.accepted ? 200 : 409,
                   outcome.accepted ? R"({"accepted":true})" : refused.dump());
        return;
    }
    const std::lock_guard lock(self.mutex);
    if (kind == "set_role") {
        self.role = order.at("value").get<std::string>();
    } else if (kind == "load_adapter") {
        self.adapters.push_back(order.at("value").get<std::string>());
    } else {
        reply.send(400, R"({"reason":"no such kind of order"})");
        return;
    }
    reply.send(200, R"({"accepted":true})");
}

void serve_load(engine& self, reply_writer& reply) {
    const auto report = self.model.report();
    const auto& settings = self.model.settings();
    const std::lock_guard lock(self.mutex);
    reply.send(200, json{{"version", report.version},
                         {"running", report.running},
                         {"queued", report.queued},
                         {"loading", report.loading},
                         {"age_ms", now_ms() - report.at_ms},
                         {"capacity", settings.slots},
                         {"tokens_per_second", settings.tokens_per_second},
                         {"role", self.role},
                         {"adapters", self.adapters}}
                        .dump());
}

void serve_cache_events(engine& self, const http_request& request, reply_writer& reply) {
    const auto after = std::stoll(find_query(request.query, "after").value_or("0"));
    json events = json::array();
    auto next = after;
    for (const auto& one : self.model.cache_events_after(after)) {
        events.push_back(
            {{"id", one.id}, {"kind", one.added ? "added" : "evicted"}, {"prefix", one.prefix}});
        next = one.id;
    }
    reply.send(200, json{{"events", events}, {"next", next}}.dump());
}

void serve_kv(engine& self, const http_request& request, reply_writer& reply) {
    const auto body = json::parse(request.body);
    const std::lock_guard lock(self.mutex);
    if (request.path == "/v1/kv/import") {
        const auto name = body.at("kv").get<std::string>();
        self.kv[name] = {body.value("so_far", ""), 0};
        reply.send(200, "{}");
        return;
    }
    const auto id = body.at("request_id").get<std::string>();
    const auto text = self.texts.find(id);
    if (text == self.texts.end()) {
        reply.send(404, "{}");
        return;
    }
    constexpr std::size_t bytes_per_character = 4096;
    reply.send(200, json{{"kv", "kv-" + id},
                         {"bytes", text->second.size() * bytes_per_character},
                         {"so_far", text->second}}
                        .dump());
}

void serve_control(engine& self, const http_request& request, reply_writer& reply) {
    if (request.method == "POST") {
        crash(self, json::parse(request.body).value("down_ms", restart_ms));
    }
    const auto paid = self.model.paid();
    reply.send(200, json{{"tokens", paid.tokens},
                         {"requests", paid.requests},
                         {"cancelled_tokens", paid.cancelled_tokens},
                         {"crashes", self.crashes.load()}}
                        .dump());
}

void serve(engine& self, const http_request& request, reply_writer& reply) {
    if (request.path == "/control") {
        serve_control(self, request, reply);
    } else if (is_down(self)) {
        reply.drop();
    } else if (request.path == "/v1/generate") {
        serve_generate(self, request, reply);
    } else if (request.path == "/v1/cancel") {
        const auto id = json::parse(request.body).at("request_id").get<std::string>();
        const auto tokens = self.model.cancel(id);
        reply.send(200, json{{"cancelled", tokens >= 0}, {"tokens", tokens}}.dump());
    } else if (request.path == "/v1/load") {
        serve_load(self, reply);
    } else if (request.path == "/v1/order") {
        serve_order(self, request, reply);
    } else if (request.path == "/v1/cache-events") {
        serve_cache_events(self, request, reply);
    } else if (request.path.starts_with("/v1/kv/")) {
        serve_kv(self, request, reply);
    } else {
        reply.send(404, R"({"reason":"no such path"})");
    }
}

void add_options(CLI::App& app, engine_settings& settings) {
    app.add_option("--slots", settings.slots, "Sequences in one batch")->capture_default_str();
    app.add_option("--tokens-per-second", settings.tokens_per_second, "Speed of one sequence")
        ->capture_default_str();
    app.add_option("--load-ms", settings.load_ms, "Time to load weights")->capture_default_str();
    app.add_option("--report-lag-ms", settings.report_lag_ms, "Age of the load report")
        ->capture_default_str();
    app.add_option("--straggler-share", settings.straggler_share,
                   "Share that runs 10 times slower");
    app.add_option("--slow-factor", settings.slow_factor, "Divides the speed of the engine");
    app.add_option("--failed-load-share", settings.failed_load_share, "Loads that change nothing");
    app.add_option("--seed", settings.seed, "Seed of stragglers and failed loads");
    app.add_flag("!--ignores-fence", settings.checks_fence,
                 "Takes orders with old fencing numbers");
}

} // namespace

int main(int argc, char** argv) {
    CLI::App app{"Stand-in of a model engine"};
    std::string listen = "127.0.0.1:0";
    std::string crash_on;
    engine_settings settings;
    app.add_option("--listen", listen, "IP:PORT to listen on")->capture_default_str();
    app.add_option("--version", settings.first_version, "Weights loaded at the start");
    app.add_option("--crash-on", crash_on, "A prompt with this text crashes the engine");
    add_options(app, settings);
    CLI11_PARSE(app, argc, argv);
    const auto where = cornelloom::transport::parse_endpoint(listen);
    if (!where) {
        std::cerr << where.error().detail << '\n';
        return 2;
    }
    engine self(settings);
    self.crash_on = crash_on;
    http_host host(where.value(), [&](const http_request& request, reply_writer& reply) {
        serve(self, request, reply);
    });
    std::cout << "listening on " << host.port() << std::endl;
    host.run();
}
