#include "standin_main.hpp"

int main(int argc, char** argv)
{
    return arbutusgate::standin_main(argc, argv);
}
