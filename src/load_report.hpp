/// Output of a load run's figures.
#pragma once

#include "load_summary.hpp"

#include <boost/json/object.hpp>

#include <string>

namespace arbutusgate {

/// Table for a terminal.
std::string text_report(const load_summary& summary);

/// All figures; times in milliseconds.
boost::json::object json_report(const load_summary& summary);

/// One page with plots as inline SVG, without external resources.
std::string html_report(const load_summary& summary);

} // namespace arbutusgate
