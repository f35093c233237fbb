/// Documents of a deployment kept as files.
#pragma once

#include "arbutusgate/configuration.hpp"

#include "absl/status/statusor.h"

#include <string>

namespace arbutusgate {

/// Reads a whole file.
/// \return NotFound when it cannot be opened, DataLoss when reading fails.
absl::StatusOr<std::string> read_file(const std::string& path);

/// Reads DIR/base.yaml and DIR/site/NAME.yaml as "base" and "site/NAME".
/// \return errors of read_file.
absl::StatusOr<config_documents> read_documents(const std::string& dir);

} // namespace arbutusgate
