#pragma once

// The generated code triggers warnings that the project treats as errors.
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wconversion"
#pragma GCC diagnostic ignored "-Wshadow"
#include "goldcrestgate/wire/detail/envelope_generated.h"
#pragma GCC diagnostic pop
