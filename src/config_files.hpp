/// Reads the configuration documents of a deployment from files.
#pragma once

#include "arbutusgate/configuration.hpp"

#include "absl/status/statusor.h"

#include <string>

namespace arbutusgate {

/// Reads the whole file.
/// \return NotFound when the file cannot be opened, DataLoss when reading
/// fails.
absl::StatusOr<std::string> read_file(const std::string& path);

/// Reads the documents "base" from DIR/base.yaml and "site/NAME" from each
/// DIR/site/NAME.yaml.
/// \return the errors of read_file; NotFound when DIR/site cannot be listed.
absl::StatusOr<config_documents> read_documents(const std::string& dir);

} // namespace arbutusgate
