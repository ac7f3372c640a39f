#include "net/endpoint.hpp"

#include "base/text.hpp"

namespace eelgrassdoor::net {

result<tcp::endpoint> parse_endpoint(std::string_view text) {
    const std::size_t colon = text.rfind(':');
    std::uint32_t port = 0;
    io_error ec;
    const auto address =
        asio::ip::make_address(std::string(text.substr(0, std::min(colon, text.size()))), ec);
    if (ec || colon == std::string_view::npos || !parse_int(text.substr(colon + 1), port) ||
        port == 0 || port > 65535) {
        return error{error_code::invalid_request, str_cat("\"", text, "\" is not IP:PORT")};
    }
    return tcp::endpoint(address, static_cast<std::uint16_t>(port));
}

std::string_view address_part(std::string_view text) {
    return text.substr(0, std::min(text.rfind(':'), text.size()));
}

} // namespace eelgrassdoor::net
