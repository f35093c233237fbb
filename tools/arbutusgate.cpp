#include "cli.hpp"

#include <iostream>

int main(int argc, char** argv)
{
    return static_cast<int>(
        arbutusgate::run_cli(argc, argv, std::cout, std::cerr));
}
