#include <criterion/criterion.h>
#include "scheduling/cell.h"
