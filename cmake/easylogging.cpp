// Builds the easylogging++ source that the Debian package installs beside its header, and holds its storage.
#include <easylogging++.cc>

INITIALIZE_EASYLOGGINGPP
