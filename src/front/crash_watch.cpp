#include "front/crash_watch.hpp"

#include "front/host.hpp"
#include "kernel/hash.hpp"

#include <algorithm>
#include <array>
#include <ranges>
#include <sstream>
#include <vector>

namespace cornelloom::front {

namespace {

/// Time in which a target that is alive accepts a connection: a round trip between regions takes
/// 40 ms.
constexpr loop::milliseconds check_timeout{250};
/// Digests in one log line; more than a few requests on a target tell little.
constexpr std::size_t max_listed = 8;

/// A target whose connection broke, and what ran there.
struct broken_target {
    std::string id;
    transport::endpoint address;
    std::map<std::uint64_t, kernel::duration> in_flight; ///< Run times by digest.
};

/// The requests in flight at the target, each digest once with its longest run.
std::map<std::uint64_t, kernel::duration> requests_at(const host& self,
                                                      std::string_view target_id) {
    std::map<std::uint64_t, kernel::duration> longest;
    for (const auto& [number, run] : self.crashes.runs) {
        if (run.target == target_id) {
            auto& known = longest[run.digest];
            known = std::max(known, self.now() - run.sent);
        }
    }
    return longest;
}

/// The digests of a few of the requests, for the log.
std::string digest_list(const broken_target& target) {
    std::string out;
    for (const auto digest : target.in_flight | std::views::keys | std::views::take(max_listed)) {
        out += (out.empty() ? "" : ",") + digest_text(digest);
    }
    return out;
}

void record_target_crash(host& self, const broken_target& target) {
    log_event(self, target_crashed,
              {{"target", target.id},
               {"requests", static_cast<std::uint64_t>(target.in_flight.size())},
               {"digests", digest_list(target)}});
}

/// Asks the target for a new connection.
loop::task<void> check_target(std::shared_ptr<host> self, broken_target target) {
    loop::exchange probe(self->connections, target.address);
    const auto fault = co_await probe.open(loop::after(check_timeout), false);
    probe.abort();
    self->crashes.checking.erase(target.id);
    const bool crashed = fault != loop::exchange_fault::none;
    const std::array labels{kernel::label{"outcome", crashed ? "crashed" : "alive"}};
    self->metrics.count("cornelloom_broken_targets_total", labels);
    if (crashed) {
        record_target_crash(*self, target);
    } else {
        log_event(*self, target_alive, {{"target", target.id}});
    }
}

void check_broken_target(const std::shared_ptr<host>& self, const std::string& target_id) {
    const auto found = self->targets.by_id.find(target_id);
    if (found == self->targets.by_id.end() || !self->crashes.checking.insert(target_id).second) {
        return;
    }
    const auto& entry = found->second.entry;
    loop::asio::co_spawn(
        self->io, check_target(self, {entry.id, entry.address, requests_at(*self, entry.id)}),
        loop::asio::detached);
}

} // namespace

std::uint64_t digest_of(const request_content& request) {
    std::uint64_t digest = 0;
    for (const auto part : {request.caller, request.host, request.method, request.path,
                            request.query, request.body}) {
        digest = kernel::hash64(part, digest);
    }
    return digest;
}

std::uint64_t digest_of_request(const transport::http_request& message, const caller_request& info,
                                const std::optional<std::string>& account) {
    const std::string caller = account.value_or(info.key_hash.value_or(""));
    return digest_of(
        {caller, info.host, message.method, message.path, message.query, message.body});
}

std::string digest_text(std::uint64_t digest) {
    std::ostringstream out;
    out << std::hex << digest;
    return out.str();
}

run_number begin_run(host& self, std::uint64_t digest, std::string_view target_id) {
    const auto number = self.crashes.next_run++;
    self.crashes.runs.emplace(number, active_run{digest, std::string(target_id), self.now()});
    return number;
}

void end_run(const std::shared_ptr<host>& self, run_number run, run_end end) {
    auto& watch = self->crashes;
    const auto found = watch.runs.find(run);
    if (found == watch.runs.end()) {
        return;
    }
    if (end == run_end::broken) {
        check_broken_target(self, found->second.target);
    }
    watch.runs.erase(found);
}

} // namespace cornelloom::front
