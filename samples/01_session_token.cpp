// Sample 1: the caller carries a session's position in a token.
#include "bronzeplank/session_token.hpp"

#include <fmt/format.h>
#include <sodium.h>

int main() {
    using namespace bronzeplank;
    if (sodium_init() < 0) {
        return 1;
    }
    const session_secret secret{"the secret that all hosts share"};
    // A write in the group "stock" was confirmed in term 3 at offset 0x1F00.
    const session_token token = session_token().advanced("stock", {3, 0x1F00});
    const std::string text = encode(token, "desk", secret);
    fmt::print("the caller keeps: {}\n", text);
    // Any host decodes the token to find the position that a replica must have.
    const log_position needed = decode(text, "desk", secret).position("stock");
    const replay_state replica{0x1E00, {{3, 0x1000}}};
    const bool covered = covers(replica, needed) == coverage::covered;
    fmt::print("a replica at {} {} it\n", format_offset(replica.offset),
               covered ? "covers" : "does not cover");
}
