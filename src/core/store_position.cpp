#include "bronzeplank/store_position.hpp"

namespace bronzeplank {

namespace {

// Leaves 2^40 revisions between two eras, and room for 2^13 eras below 2^53: receivers may read
// tokens as floating-point numbers.
constexpr unsigned era_shift = 40;

} // namespace

std::uint64_t store_position::fencing_token() const {
    return (era << era_shift) + revision;
}

} // namespace bronzeplank
