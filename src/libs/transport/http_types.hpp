#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <string>
#include <string_view>

namespace pomelorouter::transport
{

using http_request = boost::beast::http::request<boost::beast::http::string_body>;
using http_response = boost::beast::http::response<boost::beast::http::string_body>;
using boost::beast::http::field;
using boost::beast::http::status;
using boost::beast::http::verb;

/// Makes a request with `Content-Length`, and with a JSON content type if it has a body.
/// Sets no `Host`.
http_request make_request(verb method, std::string_view target, std::string body = {});
/// Makes a response with a JSON body.
http_response json_response(status code, std::string body);
/// Makes a response with a plain text body.
http_response text_response(status code, std::string body);
/// Makes a response with a binary body.
http_response binary_response(status code, std::string body);

/// Path of a request target, without the query.
std::string_view target_path(std::string_view target);
/// Value of a query parameter of a request target, without percent-decoding; empty if the
/// parameter is absent.
std::string_view target_query(std::string_view target, std::string_view name);

} // namespace pomelorouter::transport
