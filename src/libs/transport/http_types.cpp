#include "transport/http_types.hpp"

#include <utility>

namespace pomelorouter::transport
{

namespace
{

constexpr unsigned http_1_1 = 11;

http_response make_response(status code, std::string body, std::string_view type)
{
    http_response response(code, http_1_1);
    response.set(field::content_type, type);
    response.body() = std::move(body);
    response.prepare_payload();
    return response;
}

} // namespace

http_request make_request(verb method, std::string_view target, std::string body)
{
    http_request request(method, target, http_1_1);
    if (!body.empty())
        request.set(field::content_type, "application/json");
    request.body() = std::move(body);
    request.prepare_payload();
    return request;
}

http_response json_response(status code, std::string body)
{
    return make_response(code, std::move(body), "application/json");
}

http_response text_response(status code, std::string body)
{
    return make_response(code, std::move(body), "text/plain; charset=utf-8");
}

http_response binary_response(status code, std::string body)
{
    return make_response(code, std::move(body), "application/octet-stream");
}

std::string_view target_path(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

std::string_view target_query(std::string_view target, std::string_view name)
{
    const std::size_t mark = target.find('?');
    if (mark == std::string_view::npos)
        return {};
    std::string_view rest = target.substr(mark + 1);
    while (!rest.empty())
    {
        const std::size_t end = rest.find('&');
        const std::string_view pair = rest.substr(0, end);
        const std::size_t equals = pair.find('=');
        if (pair.substr(0, equals) == name && equals != std::string_view::npos)
            return pair.substr(equals + 1);
        if (end == std::string_view::npos)
            break;
        rest = rest.substr(end + 1);
    }
    return {};
}

} // namespace pomelorouter::transport
