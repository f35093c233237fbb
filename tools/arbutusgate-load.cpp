#include "load_main.hpp"

int main(int argc, char** argv)
{
    return arbutusgate::load_main(argc, argv);
}
