/// Text tables for people.
#pragma once

#include <boost/json/value.hpp>

#include <iosfwd>
#include <string>
#include <vector>

namespace arbutusgate {

/// Rows of cells below a heading; columns are padded to the widest cell.
struct text_table
{
    std::vector<std::string>              heading;
    std::vector<std::vector<std::string>> rows;
};

void print(std::ostream& out, const text_table& it);

/// Prints a JSON object: scalars as a table of names and values, nested
/// objects under dotted names, each list of objects as a table of its own.
void print_tables(std::ostream& out, const boost::json::value& it);

} // namespace arbutusgate
