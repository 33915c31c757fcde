#include <easylogging++.h>

// The log library needs exactly one definition of its global storage.
INITIALIZE_EASYLOGGINGPP
