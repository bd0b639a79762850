#include "front/log_reader.hpp"

#include "loop/gather.hpp"

namespace cornelloom::front {

loop::task<log_read> read_log(loop::io_context& io, std::uint64_t from, std::size_t at_once,
                              entry_reader read, entry_taker take) {
    for (auto next = from;; next += at_once) {
        std::vector<loop::task<read_entry_result>> calls;
        calls.reserve(at_once);
        for (std::uint64_t number = next; number < next + at_once; ++number) {
            calls.push_back(read(number));
        }
        const auto results = co_await loop::gather(io, std::move(calls));
        for (std::size_t at = 0; at < results.size(); ++at) {
            if (results[at].what != log_read::entry) {
                co_return results[at].what;
            }
            take(next + at, results[at].entry);
        }
    }
}

} // namespace cornelloom::front
