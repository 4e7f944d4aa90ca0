#include "cli/commands.h"

int main(int argc, char **argv)
{
    return dogwoodvalve::runCommandLine(argc, argv);
}
