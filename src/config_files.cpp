#include "config_files.hpp"

#include "text.hpp"

#include <cerrno>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace arbutusgate {

namespace fs = std::filesystem;

absl::StatusOr<std::string> read_file(const std::string& path)
{
    std::error_code ec;
    if (!fs::is_regular_file(path, ec))
        return absl::NotFoundError(concat(path, ": no such file"));
    std::ifstream in(path, std::ios::binary);
    if (!in)
        return absl::NotFoundError(concat(path, ": ", std::strerror(errno)));
    std::ostringstream out;
    out << in.rdbuf();
    if (in.bad())
        return absl::DataLossError(concat(path, ": cannot be read"));
    return std::move(out).str();
}

absl::StatusOr<config_documents> read_documents(const std::string& dir)
{
    config_documents out;
    auto             base = read_file(dir + "/base.yaml");
    if (!base.ok())
        return base.status();
    out.emplace("base", *std::move(base));
    std::error_code ec;
    for (const auto& it : fs::directory_iterator(dir + "/site", ec)) {
        if (it.path().extension() != ".yaml")
            continue;
        auto text = read_file(it.path().string());
        if (!text.ok())
            return text.status();
        out.emplace("site/" + it.path().stem().string(), *std::move(text));
    }
    if (ec)
        return absl::NotFoundError(concat(dir, "/site: ", ec.message()));
    return out;
}

} // namespace arbutusgate
