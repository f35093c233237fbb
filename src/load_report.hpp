/// Reports of a load run.
#pragma once

#include "load_summary.hpp"

#include <boost/json/object.hpp>

#include <string>

namespace arbutusgate {

/// Returns tables for a terminal.
std::string text_report(const load_summary& summary);

/// Returns all figures as JSON; times are in milliseconds.
boost::json::object json_report(const load_summary& summary);

/// Returns an HTML page with plots as inline SVG, without external resources.
std::string html_report(const load_summary& summary);

} // namespace arbutusgate
