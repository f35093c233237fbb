#include "cli_trace.hpp"

#include "cli_options.hpp"
#include "log_trace.hpp"
#include "text.hpp"

#include "absl/status/status.h"

#include <boost/json/serialize.hpp>

#include <zlib.h>

#include <array>
#include <memory>
#include <ostream>

namespace arbutusgate {

namespace json = boost::json;

namespace {

struct gz_file_closer
{
    void operator()(gzFile_s* it) const { gzclose(it); }
};

/// Adds all lines of a plain or gzip file to the trace.
absl::Status read_log(const std::string& path, log_trace& out)
{
    const std::unique_ptr<gzFile_s, gz_file_closer> file(
        gzopen(path.c_str(), "rb"));
    if (!file)
        return absl::NotFoundError(concat(path, ": cannot be opened"));
    std::string             pending;
    std::array<char, 16384> buffer{};
    int                     n = 0;
    while ((n = gzread(file.get(), buffer.data(), buffer.size())) > 0) {
        pending.append(buffer.data(), static_cast<std::size_t>(n));
        std::size_t start = 0;
        for (auto end = pending.find('\n'); end != std::string::npos;
             end      = pending.find('\n', start))
        {
            out.add(std::string_view(pending).substr(start, end - start));
            start = end + 1;
        }
        pending.erase(0, start);
    }
    if (n < 0)
        return absl::DataLossError(concat(path, ": truncated or unreadable"));
    out.add(pending);
    return absl::OkStatus();
}

void print(const log_trace_line& it, std::ostream& out)
{
    out << it.time << ' ' << (it.node.empty() ? "-" : it.node);
    for (const auto& [name, value] : it.fields) {
        if (name == "message")
            out << "  " << std::string_view(value.as_string()) << ':';
    }
    for (const auto& [name, value] : it.fields) {
        if (name == "time" || name == "node" || name == "message" ||
            name == "level" || name == "request")
            continue;
        out << ' ' << std::string_view(name) << '=' << json::serialize(value);
    }
    out << '\n';
}

} // namespace

cli_exit run_trace(const cli_options& options, std::ostream& out,
                   std::ostream& err)
{
    log_trace trace(options.operands.front());
    for (std::size_t n = 1; n < options.operands.size(); ++n) {
        if (const auto ec = read_log(options.operands[n], trace); !ec.ok()) {
            err << "arbutusgate: " << ec.message() << '\n';
            return cli_exit::failed;
        }
    }
    const auto lines = trace.lines();
    if (lines.empty()) {
        err << "arbutusgate: no log lines found for this request\n";
        return cli_exit::failed;
    }
    for (const auto& it : lines) {
        if (options.json)
            out << json::serialize(it.fields) << '\n';
        else
            print(it, out);
    }
    return cli_exit::done;
}

} // namespace arbutusgate
