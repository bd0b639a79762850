#pragma once

#include "front/batch.hpp"
#include "kernel/result.hpp"

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>
#include <vector>

/// The system's own objects on the platform, as JSON.
namespace cornelloom::front {

[[nodiscard]] std::string encode_header(const batch_header& header);
[[nodiscard]] kernel::result<batch_header> decode_header(std::string_view id,
                                                         const nlohmann::json& value);

[[nodiscard]] std::string encode_entry(const log_entry& entry);
[[nodiscard]] kernel::result<log_entry> decode_entry(const nlohmann::json& value);

[[nodiscard]] std::string encode_host(const host_entry& host);
[[nodiscard]] kernel::result<host_entry> decode_host(std::string_view name,
                                                     const nlohmann::json& value);

/// The lease to act for all hosts, as it is stored.
struct lease_record {
    std::string holder;
    std::uint64_t renewal = 0; ///< Makes each renewal a change, which has a revision of its own.
    double loads_at_once = 0;  ///< What the holder has learned of the weights' source.
};

[[nodiscard]] std::string encode_lease(const lease_record& lease);
[[nodiscard]] kernel::result<lease_record> decode_lease(const nlohmann::json& value);

/// The text of a submission in pieces that each fit one object, as JSON strings.
[[nodiscard]] std::vector<std::string> split_submission(std::string_view text,
                                                        std::size_t value_bytes);

/// Names of objects: numbers have six digits, so that names sort as numbers do.
[[nodiscard]] std::string entry_name(std::string_view batch, std::uint64_t number);

} // namespace cornelloom::front
