#include "cli/commands.h"

int main(int argc, char** argv)
{
    return chervilslip::cli::run({argv + 1, argv + argc});
}
