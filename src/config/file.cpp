#include "config/file.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>

namespace cornelloom::config {

namespace {

namespace fs = std::filesystem;

void read_one(const fs::path& path, std::string name, std::vector<config_file>& into,
              kernel::findings& faults) {
    std::error_code failed;
    const auto size = fs::file_size(path, failed);
    if (!failed && size > max_file_bytes) {
        faults.add({name, 0, ""}, fmt::format("has {} bytes", size),
                   fmt::format("at most {} bytes a file", max_file_bytes));
        return;
    }
    std::ifstream in(path, std::ios::binary);
    std::string text{std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
    if (failed || in.bad() || !in.is_open()) {
        faults.add({name, 0, ""}, "cannot be read", "a readable file");
        return;
    }
    into.push_back({std::move(name), std::move(text)});
}

void read_folder(const fs::path& folder, std::vector<config_file>& into, kernel::findings& faults) {
    const auto before = into.size();
    for (const auto& entry : fs::directory_iterator(folder)) {
        if (entry.is_regular_file() && entry.path().extension() == ".json") {
            read_one(entry.path(), entry.path().filename().string(), into, faults);
        }
    }
    if (into.size() == before && faults.empty()) {
        faults.add({folder.string(), 0, ""}, "has no *.json file", "a folder with some");
    }
}

void check_names(std::span<const config_file> files, kernel::findings& faults) {
    const auto repeated = std::ranges::adjacent_find(files, {}, &config_file::path);
    if (repeated != files.end()) {
        faults.add({repeated->path, 0, ""}, "is there twice", "each file name once");
    }
}

} // namespace

checked<std::vector<config_file>> read_files(std::span<const std::string> paths) {
    kernel::findings faults;
    std::vector<config_file> files;
    for (const auto& path : paths) {
        std::error_code failed;
        if (fs::is_directory(path, failed)) {
            read_folder(path, files, faults);
        } else {
            read_one(path, fs::path(path).filename().string(), files, faults);
        }
    }
    std::ranges::sort(files, {}, &config_file::path);
    check_names(files, faults);
    if (!faults.empty()) {
        return faults;
    }
    return files;
}

std::string serialize_set(std::span<const config_file> files) {
    std::vector<config_file> sorted(files.begin(), files.end());
    std::ranges::sort(sorted, {}, &config_file::path);
    auto list = nlohmann::json::array();
    for (const auto& file : sorted) {
        list.push_back({{"name", file.path}, {"text", file.text}});
    }
    const nlohmann::json document{{"files", std::move(list)}};
    // Wrong UTF-8 in a text becomes the replacement character: a set in force has been checked.
    return document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

checked<std::vector<config_file>> parse_set(std::string_view document,
                                            std::string_view document_name) {
    kernel::findings faults;
    const std::string name(document_name);
    const auto root = nlohmann::json::parse(document, nullptr, false);
    const auto files = root.is_object() ? root.find("files") : root.end();
    if (!root.is_object() || files == root.end() || !files->is_array()) {
        faults.add({name, 1, ""}, "is no set of files", R"({"files":[{"name","text"}]})");
        return faults;
    }
    std::vector<config_file> set;
    for (std::size_t i = 0; i < files->size(); ++i) {
        const auto& file = (*files)[i];
        const bool whole = file.is_object() && file.contains("name") && file["name"].is_string() &&
                           file.contains("text") && file["text"].is_string();
        if (!whole) {
            faults.add({name, 1, fmt::format("/files/{}", i)}, "is no file",
                       R"({"name": a text, "text": a text})");
            continue;
        }
        set.push_back({file["name"].get<std::string>(), file["text"].get<std::string>()});
    }
    std::ranges::sort(set, {}, &config_file::path);
    check_names(set, faults);
    if (!faults.empty()) {
        return faults;
    }
    return set;
}

} // namespace cornelloom::config
