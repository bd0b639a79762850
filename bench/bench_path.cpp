/// Cost of one hop: requests a second and latency of a plain service, called directly and through a
/// daemon, in turns within one run. Without `--daemon` a bare hop (server and client of the
/// transport library, no decisions) stands in the daemon's place. With `--malformed N`: N broken
/// requests, then a well-formed one, which must be answered. Prints one JSON line.

#include "transport/transport.hpp"

#include <CLI/CLI.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <iostream>
#include <map>
#include <memory>
#include <random>
#include <thread>
#include <vector>

namespace {

using namespace cornelloom::transport;
using cornelloom::kernel::duration;
using clock_type = std::chrono::steady_clock;
using nlohmann::json;

constexpr int cannot_run = 2;
constexpr std::uint64_t fixed_seed = 20261202;

struct options {
    std::string daemon;
    std::string service;
    std::string token;
    std::string service_name = "bellhouse";
    std::string path = "/echo";
    std::size_t body_bytes = 256;
    int requests = 2000;
    int rounds = 5;
    unsigned callers = 8;
    int malformed = 0;
};

/// One way to the service.
struct route {
    endpoint to;
    http_request request;
};

/// What one or more rounds over a route gave.
struct sample {
    std::vector<double> latencies_us;
    double seconds = 0;
    int failed = 0;
};

double percentile(const std::vector<double>& sorted, double share) {
    if (sorted.empty()) {
        return 0;
    }
    const auto last = static_cast<double>(sorted.size() - 1);
    return sorted[static_cast<std::size_t>(share * last)];
}

double micros(clock_type::duration time) {
    return std::chrono::duration<double, std::micro>(time).count();
}

/// Calls the route from several threads, as fast as the answers come.
void measure(const route& way, int requests, unsigned callers, sample& into) {
    std::vector<std::vector<double>> latencies(callers);
    std::atomic<int> left{requests};
    std::atomic<int> failed{0};
    const auto started = clock_type::now();
    {
        std::vector<std::jthread> threads;
        threads.reserve(callers);
        for (auto& mine : latencies) {
            threads.emplace_back([&] {
                while (left.fetch_sub(1) > 0) {
                    const auto begun = clock_type::now();
                    const auto reply = call(way.to, way.request);
                    mine.push_back(micros(clock_type::now() - begun));
                    failed += reply && reply.value().status == 200 ? 0 : 1;
                }
            });
        }
    }
    into.seconds += micros(clock_type::now() - started) / 1e6;
    into.failed += failed;
    for (const auto& mine : latencies) {
        into.latencies_us.insert(into.latencies_us.end(), mine.begin(), mine.end());
    }
}

json summary(sample& taken) {
    std::ranges::sort(taken.latencies_us);
    return {{"requests", taken.latencies_us.size()},
            {"failed", taken.failed},
            {"requests_per_second", static_cast<double>(taken.latencies_us.size()) / taken.seconds},
            {"p50_us", percentile(taken.latencies_us, 0.5)},
            {"p99_us", percentile(taken.latencies_us, 0.99)}};
}

/// The service and the hop that stand in when no processes are named.
struct own_servers {
    explicit own_servers(const options& given) {
        if (given.service.empty()) {
            service = std::make_unique<http_server>(
                endpoint{"127.0.0.1", 0},
                [](const http_request& request) { return http_response{200, {}, request.body}; });
        }
    }

    void add_hop(const endpoint& target) {
        hop = std::make_unique<http_server>(
            endpoint{"127.0.0.1", 0}, [target](const http_request& request) {
                auto reply = call(target, request);
                return reply ? std::move(reply).value() : http_response{502, {}, {}};
            });
    }

    std::unique_ptr<http_server> service;
    std::unique_ptr<http_server> hop;
};

endpoint endpoint_of(const std::string& text) {
    auto parsed = parse_endpoint(text);
    if (!parsed) {
        throw std::runtime_error(parsed.error().detail);
    }
    return parsed.value();
}

int run_comparison(const options& given) {
    own_servers own(given);
    const http_request request{"POST", given.path, "", {}, std::string(given.body_bytes, 'x')};
    const route direct{own.service ? endpoint{"127.0.0.1", own.service->port()}
                                   : endpoint_of(given.service),
                       request};
    route through{direct.to, request};
    if (given.daemon.empty()) {
        own.add_hop(direct.to);
        through.to.port = own.hop->port();
    } else {
        through.to = endpoint_of(given.daemon);
        through.request.path = "/v1/services/" + given.service_name + given.path;
        through.request.headers = {{"Authorization", "Bearer " + given.token},
                                   {"X-Deadline-Ms", "5000"}};
    }
    sample direct_sample;
    sample through_sample;
    sample warm_up;
    measure(direct, given.requests / 10, given.callers, warm_up);
    measure(through, given.requests / 10, given.callers, warm_up);
    // In turns, so that whatever else the machine does falls on both.
    for (int round = 0; round < given.rounds; ++round) {
        measure(direct, given.requests, given.callers, direct_sample);
        measure(through, given.requests, given.callers, through_sample);
    }
    const auto near = summary(direct_sample);
    const auto far = summary(through_sample);
    const auto difference = [&](const char* name) {
        return far.at(name).get<double>() - near.at(name).get<double>();
    };
    const json line = {
        {"bench", "path"},
        {"hop", given.daemon.empty() ? "bare" : "daemon"},
        {"callers", given.callers},
        {"body_bytes", given.body_bytes},
        {"direct", near},
        {"through", far},
        {"added_p50_us", difference("p50_us")},
        {"added_p99_us", difference("p99_us")},
        {"ratio_requests_per_second", far.at("requests_per_second").get<double>() /
                                          near.at("requests_per_second").get<double>()}};
    std::cout << line.dump() << '\n';
    return direct_sample.failed + through_sample.failed == 0 ? 0 : 1;
}

/// A request that breaks some rule; which one and how is drawn.
std::string broken_request(std::mt19937_64& random) {
    static const std::array<std::string, 16> kinds = {
        "GET / HTTP/9.9\r\n\r\n",
        "GET\r\n\r\n",
        "POST /a HTTP/1.1\r\nContent-Length: -1\r\n\r\nabc",
        "POST /a HTTP/1.1\r\nContent-Length: 3x\r\n\r\nabc",
        "POST /a HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
        "POST /a HTTP/1.1\r\nContent-Length: 99999999999\r\n\r\nabc",
        "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n",
        "POST /a HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc",
        "GET /\xff\xfe HTTP/1.1\r\n\r\n",
        "GET /a HTTP/1.1\r\nno colon\r\n\r\n",
        "GET /a HTTP/1.1\r\nX: " + std::string(100000, 'x') + "\r\n\r\n",
        "GET /" + std::string(100000, 'x') + " HTTP/1.1\r\n\r\n",
        "GET /a HTTP/1.1\r\n: x\r\n\r\n",
        "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
        "\x16\x03\x01\x02"};
    std::string bytes = kinds.at(random() % kinds.size());
    if (random() % 4 == 0) {
        bytes.at(random() % bytes.size()) = static_cast<char>(random() % 256);
    }
    return bytes;
}

/// The status of the first answer, or what came instead.
std::string outcome_of(const endpoint& to, const std::string& bytes) {
    using boost::asio::ip::tcp;
    boost::asio::io_context context;
    tcp::socket socket(context);
    boost::system::error_code failure;
    failure = socket.connect({boost::asio::ip::make_address(to.address), to.port}, failure);
    if (failure) {
        return "no connection";
    }
    boost::asio::write(socket, boost::asio::buffer(bytes), failure);
    failure = socket.shutdown(tcp::socket::shutdown_send, failure);
    std::string reply;
    boost::asio::read(socket, boost::asio::dynamic_buffer(reply), failure);
    constexpr std::size_t status_at = 9;
    return reply.size() > status_at + 3 ? reply.substr(status_at, 3) : "closed";
}

int run_malformed(const options& given) {
    std::unique_ptr<http_server> own;
    endpoint to;
    if (given.daemon.empty()) {
        own = std::make_unique<http_server>(endpoint{"127.0.0.1", 0}, [](const http_request&) {
            return http_response{200, {}, "ok"};
        });
        to = {"127.0.0.1", own->port()};
    } else {
        to = endpoint_of(given.daemon);
    }
    std::vector<std::map<std::string, int>> outcomes(given.callers);
    std::atomic<int> left{given.malformed};
    {
        std::vector<std::jthread> threads;
        threads.reserve(given.callers);
        for (unsigned i = 0; i < given.callers; ++i) {
            threads.emplace_back([&, i] {
                std::mt19937_64 random(fixed_seed + i);
                while (left.fetch_sub(1) > 0) {
                    ++outcomes[i][outcome_of(to, broken_request(random))];
                }
            });
        }
    }
    std::map<std::string, int> all;
    for (const auto& mine : outcomes) {
        for (const auto& [outcome, times] : mine) {
            all[outcome] += times;
        }
    }
    const auto after = call(to, {"GET", "/healthz", "", {}, ""});
    const bool answered = after && after.value().status == 200;
    std::cout << json{{"bench", "path_malformed"},
                      {"sent", given.malformed},
                      {"outcomes", all},
                      {"well_formed_answered", answered}}
                     .dump()
              << '\n';
    return answered ? 0 : 1;
}

} // namespace

int main(int argc, char** argv) {
    CLI::App app{"bench_path: what one hop costs"};
    options given;
    app.add_option("--daemon", given.daemon, "IP:PORT of a daemon; without it a bare hop");
    app.add_option("--service", given.service, "IP:PORT of the plain service behind the daemon");
    app.add_option("--name", given.service_name, "Name of the service in the configuration");
    app.add_option("--token", given.token, "Token of a caller that may call the service");
    app.add_option("--path", given.path, "Path at the service");
    app.add_option("--body", given.body_bytes, "Bytes of a request's body");
    app.add_option("--requests", given.requests, "Requests in each round, each way");
    app.add_option("--rounds", given.rounds, "Rounds each way, in turns");
    app.add_option("--callers", given.callers, "Threads that call at once");
    app.add_option("--malformed", given.malformed, "Broken requests to send instead");
    CLI11_PARSE(app, argc, argv);
    if (!given.daemon.empty() && given.service.empty() && given.malformed == 0) {
        std::cerr << "bench_path: --daemon needs --service, to compare with\n";
        return cannot_run;
    }
    try {
        return given.malformed > 0 ? run_malformed(given) : run_comparison(given);
    } catch (const std::exception& problem) {
        std::cerr << "bench_path: " << problem.what() << '\n';
        return cannot_run;
    }
}
