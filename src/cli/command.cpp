#include "cli/command.hpp"

#include "bronzeplank/error.hpp"

#include <fmt/format.h>
#include <fstream>
#include <sstream>

namespace bronzeplank::cli {

std::string read_file(const std::string& path) {
    std::ifstream file(path);
    if (!file) {
        throw std::runtime_error(fmt::format("cannot read \"{}\"", path));
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

endpoint parse_endpoint(const std::string& text, const std::string& input_name) {
    const auto colon = text.rfind(':');
    const std::string port_text = colon == std::string::npos ? "" : text.substr(colon + 1);
    const bool valid_port_text = !port_text.empty() && port_text.size() <= 5 &&
                                 port_text.find_first_not_of("0123456789") == std::string::npos;
    if (!valid_port_text || colon == 0 || std::stoi(port_text) > 65535) {
        throw input_error(input_name, "an IP address and a port, such as 127.0.0.1:7100",
                          "\"" + text + "\"");
    }
    return {text.substr(0, colon), static_cast<std::uint16_t>(std::stoi(port_text))};
}

} // namespace bronzeplank::cli
