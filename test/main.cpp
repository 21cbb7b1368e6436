/// \file
/// The entry point of the unit tests; CATCH_CONFIG_MAIN is defined by the build.
#include <catch2/catch.hpp>
