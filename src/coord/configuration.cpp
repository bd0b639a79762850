#include "coord/configuration.hpp"

#include "coord/internal/json.hpp"
#include "kernel/hash.hpp"

#include <algorithm>
#include <iterator>

namespace cornelloom::coord {

namespace {

using internal::json;

bool continues_character(char byte) {
    return (static_cast<unsigned char>(byte) & 0xC0U) == 0x80U;
}

} // namespace

kernel::result<std::string> encode(const configuration_set& set) {
    auto sorted = set.files;
    std::ranges::sort(sorted, {}, &configuration_file::path);
    const auto twice = std::ranges::adjacent_find(sorted, {}, &configuration_file::path);
    if (twice != sorted.end()) {
        return kernel::error{kernel::error_code::invalid_input, "two files named " + twice->path};
    }
    auto files = json::array();
    for (const auto& file : sorted) {
        files.push_back({{"path", file.path}, {"text", file.text}});
    }
    try {
        return json{{"files", std::move(files)}}.dump();
    } catch (const json::exception& fault) {
        return kernel::error{kernel::error_code::invalid_input, fault.what()};
    }
}

std::optional<configuration_set> decode_set(std::string_view text) {
    return internal::decode_json(text, [](const json& value) {
        configuration_set set;
        for (const auto& file : value.at("files")) {
            set.files.push_back(
                {file.at("path").get<std::string>(), file.at("text").get<std::string>()});
        }
        return set;
    });
}

std::vector<file_difference> differences(const configuration_set& before,
                                         const configuration_set& after) {
    std::vector<file_difference> found;
    const auto find = [](const configuration_set& set, const std::string& path) {
        return std::ranges::find(set.files, path, &configuration_file::path);
    };
    for (const auto& file : after.files) {
        const auto old = find(before, file.path);
        if (old == before.files.end()) {
            found.push_back({difference_kind::added, file.path});
        } else if (old->text != file.text) {
            found.push_back({difference_kind::changed, file.path});
        }
    }
    for (const auto& file : before.files) {
        if (find(after, file.path) == after.files.end()) {
            found.push_back({difference_kind::removed, file.path});
        }
    }
    std::ranges::sort(found, {}, &file_difference::path);
    return found;
}

std::string encode(const configuration_head& head) {
    auto recent = json::array();
    for (const auto& applied : head.recent) {
        recent.push_back({{"apply_id", applied.apply_id}, {"generation", applied.generation}});
    }
    return json{{"generation", head.generation},
                {"set_digest", head.set_digest},
                {"parts", head.parts},
                {"recent", std::move(recent)}}
        .dump();
}

std::optional<configuration_head> decode_head(std::string_view text) {
    return internal::decode_json(text, [](const json& value) {
        configuration_head head{.generation = value.at("generation").get<std::uint64_t>(),
                                .set_digest = value.at("set_digest").get<std::string>(),
                                .parts = value.at("parts").get<std::vector<std::string>>(),
                                .recent = {}};
        for (const auto& applied : value.at("recent")) {
            head.recent.push_back({applied.at("apply_id").get<std::string>(),
                                   applied.at("generation").get<std::uint64_t>()});
        }
        return head;
    });
}

std::vector<std::string_view> split(std::string_view text, std::size_t limit) {
    std::vector<std::string_view> parts;
    while (text.size() > limit) {
        std::size_t cut = limit;
        while (cut > 1 && continues_character(text[cut])) {
            --cut;
        }
        parts.push_back(text.substr(0, cut));
        text.remove_prefix(cut);
    }
    parts.push_back(text);
    return parts;
}

bool should_watch(const watch_candidate& self, std::span<const watch_candidate> live) {
    const auto score = [](const kernel::host_id& host) {
        return kernel::hash64(host.str(), kernel::hash64(configuration_head_kind));
    };
    const auto own = score(self.host);
    const auto ahead = std::ranges::count_if(live, [&](const watch_candidate& other) {
        return other.zone == self.zone && other.host != self.host && score(other.host) > own;
    });
    return static_cast<std::size_t>(ahead) < watchers_per_zone;
}

} // namespace cornelloom::coord
