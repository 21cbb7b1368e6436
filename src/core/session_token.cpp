#include "bronzeplank/session_token.hpp"

#include "bronzeplank/error.hpp"

#include <algorithm>
#include <array>
#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>
#include <sodium.h>
#include <vector>

namespace bronzeplank {

namespace {

constexpr int base64_variant = sodium_base64_VARIANT_URLSAFE_NO_PADDING;
constexpr std::size_t max_token_bytes = 4096;
using mac_bytes = std::array<unsigned char, crypto_generichash_BYTES>;

const unsigned char* as_bytes(std::string_view text) {
    return reinterpret_cast<const unsigned char*>(text.data());
}

std::string to_base64(std::string_view bytes) {
    std::string text(sodium_base64_encoded_len(bytes.size(), base64_variant), '\0');
    sodium_bin2base64(text.data(), text.size(), as_bytes(bytes), bytes.size(), base64_variant);
    text.pop_back();
    return text;
}

std::string from_base64(std::string_view text) {
    std::string bytes(text.size(), '\0');
    std::size_t length = 0;
    const int failed =
        sodium_base642bin(reinterpret_cast<unsigned char*>(bytes.data()), bytes.size(), text.data(),
                          text.size(), nullptr, &length, nullptr, base64_variant);
    if (failed != 0) {
        throw request_error(error_kind::session_invalid, "the session token is not base64");
    }
    bytes.resize(length);
    return bytes;
}

// The authenticated data includes the workspace, so that a token is not valid in another one.
mac_bytes authenticate(std::string_view payload, std::string_view workspace,
                       const session_secret& secret) {
    mac_bytes key{};
    crypto_generichash(key.data(), key.size(), as_bytes(secret.value), secret.value.size(), nullptr,
                       0);
    mac_bytes mac{};
    crypto_generichash_state state;
    crypto_generichash_init(&state, key.data(), key.size(), mac.size());
    const std::uint64_t length = workspace.size();
    crypto_generichash_update(&state, reinterpret_cast<const unsigned char*>(&length),
                              sizeof length);
    crypto_generichash_update(&state, as_bytes(workspace), workspace.size());
    crypto_generichash_update(&state, as_bytes(payload), payload.size());
    crypto_generichash_final(&state, mac.data(), mac.size());
    return mac;
}

std::string to_json(const session_token& token) {
    rapidjson::StringBuffer buffer;
    rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
    writer.StartObject();
    for (const auto& [group, position] : token.positions()) {
        writer.Key(group.c_str());
        writer.StartArray();
        writer.Uint64(position.term);
        writer.Uint64(position.offset);
        writer.EndArray();
    }
    writer.EndObject();
    return {buffer.GetString(), buffer.GetSize()};
}

bool is_position(const rapidjson::Value& value) {
    return value.IsArray() && value.Size() == 2 && value[0].IsUint64() && value[1].IsUint64();
}

// The payload is authentic, but may come from another version of this program.
session_token read_positions(const std::string& payload) {
    rapidjson::Document document;
    document.Parse(payload.data(), payload.size());
    const request_error unknown(error_kind::session_invalid,
                                "the session token's contents are not known to this version");
    if (document.HasParseError() || !document.IsObject()) {
        throw unknown;
    }
    session_token token;
    for (const auto& member : document.GetObject()) {
        if (!is_position(member.value)) {
            throw unknown;
        }
        token = token.advanced(member.name.GetString(),
                               {member.value[0].GetUint64(), member.value[1].GetUint64()});
    }
    return token;
}

} // namespace

log_position session_token::position(const std::string& group) const {
    const auto found = m_positions.find(group);
    return found == m_positions.end() ? log_position{} : found->second;
}

session_token session_token::advanced(const std::string& group,
                                      const log_position& position) const {
    session_token next = *this;
    auto& current = next.m_positions[group];
    current = std::max(current, position);
    return next;
}

std::string encode(const session_token& token, std::string_view workspace,
                   const session_secret& secret) {
    return internal::sign(to_json(token), workspace, secret);
}

std::string internal::sign(std::string_view payload, std::string_view workspace,
                           const session_secret& secret) {
    const mac_bytes mac = authenticate(payload, workspace, secret);
    const std::string_view mac_text(reinterpret_cast<const char*>(mac.data()), mac.size());
    return to_base64(payload) + "." + to_base64(mac_text);
}

session_token decode(std::string_view text, std::string_view workspace,
                     const session_secret& secret) {
    if (text.empty()) {
        return {};
    }
    const auto dot = text.find('.');
    if (dot == std::string_view::npos || text.size() > max_token_bytes) {
        throw request_error(error_kind::session_invalid,
                            "the session token has no signature or is too long");
    }
    const std::string payload = from_base64(text.substr(0, dot));
    const std::string received_mac = from_base64(text.substr(dot + 1));
    const mac_bytes expected_mac = authenticate(payload, workspace, secret);
    if (received_mac.size() != expected_mac.size() ||
        sodium_memcmp(received_mac.data(), expected_mac.data(), expected_mac.size()) != 0) {
        throw request_error(error_kind::session_invalid,
                            "the session token's signature is not valid for this workspace");
    }
    return read_positions(payload);
}

} // namespace bronzeplank
