/// Plain-text tables for the terminal.
#pragma once

#include <boost/json/value.hpp>

#include <iosfwd>
#include <string>
#include <vector>

namespace arbutusgate {

/// Table that is printed with each column padded to its widest cell.
struct text_table
{
    std::vector<std::string>              heading;
    std::vector<std::vector<std::string>> rows;
};

void print(std::ostream& out, const text_table& it);

/// Prints a JSON value. Scalar members of an object form one table of names and
/// values, members of nested objects have dotted names, and each list of
/// objects is a separate table.
void print_tables(std::ostream& out, const boost::json::value& it);

} // namespace arbutusgate
