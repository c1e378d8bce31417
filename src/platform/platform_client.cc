// Requests to the object API and the decoding of its responses.

#include "platform/platform_client.h"

#include <limits>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

#include "base/json_text.h"

namespace bluebellstep {
namespace {

using Json = nlohmann::json;

constexpr int kOk = 200;
constexpr int kNotModified = 304;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;

// Added to the timeout of a watch, so that the platform's response at the end of the wait arrives
// before the timeout.
constexpr Duration kWatchTimeoutMargin{2000};

/** Percent-encodes all characters except the unreserved ones and '/', which separates the segments
 * of a key. */
std::string percent_encode(std::string_view text) {
  constexpr std::string_view kHex = "0123456789ABCDEF";
  constexpr std::string_view kUnreserved =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~/";
  std::string encoded;
  for (const char c : text) {
    if (kUnreserved.find(c) != std::string_view::npos) {
      encoded += c;
    } else {
      const auto byte = static_cast<unsigned char>(c);
      encoded += {'%', kHex[byte >> 4], kHex[byte & 15]};
    }
  }
  return encoded;
}

std::string object_path(std::string_view key) {
  return "/objects/" + percent_encode(key);
}

PlatformUnavailable unavailable(const HttpClient::Response& response) {
  if (const auto* failed = std::get_if<HttpClient::Failed>(&response.outcome)) {
    return {"platform: " + failed->detail};
  }
  return {"platform: unexpected status " + std::to_string(response.status)};
}

/** Returns the JSON object in the body of a complete response, or nothing. */
std::optional<Json> json_body(const HttpClient::Response& response) {
  if (!std::holds_alternative<HttpClient::Complete>(response.outcome)) {
    return std::nullopt;
  }
  Json body = parse_json(response.body);
  return body.is_object() ? std::optional(std::move(body)) : std::nullopt;
}

bool has_status(const HttpClient::Response& response, int status) {
  return response.status == status &&
         std::holds_alternative<HttpClient::Complete>(response.outcome);
}

/** Calls `decode` with the JSON of the response. Returns `PlatformUnavailable` if the body is not a
 * JSON object or `decode` throws. */
template <typename Result, typename Decode>
Result decode_or_unavailable(const HttpClient::Response& response, Decode decode) {
  const std::optional<Json> body = json_body(response);
  if (!body) {
    return unavailable(response);
  }
  try {
    return decode(*body);
  } catch (const std::exception& error) {
    return PlatformUnavailable{std::string("platform: cannot decode response: ") + error.what()};
  }
}

/** Returns the integer in the field `name`. Throws if it is not an integer from 0 to `max`, since
 * the JSON library would convert other numbers without an error. */
std::uint64_t decode_unsigned(const Json& body, const char* name, std::uint64_t max) {
  const Json& number = body.at(name);
  if (!number.is_number_unsigned() || number.get<std::uint64_t>() > max) {
    throw std::out_of_range(std::string(name) + " is out of range");
  }
  return number.get<std::uint64_t>();
}

StoreRevision decode_version(const Json& body) {
  return {decode_unsigned(body, "version", std::numeric_limits<std::uint64_t>::max())};
}

PlatformObject decode_object(const Json& body) {
  return {.key = body.at("key").get<std::string>(),
          .version = decode_version(body),
          .value = body.at("value").get<std::string>()};
}

PlatformClient::ReadResult decode_read(const HttpClient::Response& response) {
  if (has_status(response, kNotFound)) {
    return std::nullopt;
  }
  if (!has_status(response, kOk)) {
    return unavailable(response);
  }
  return decode_or_unavailable<PlatformClient::ReadResult>(
      response, [](const Json& body) { return std::optional(decode_object(body)); });
}

PlatformClient::ListResult decode_list(const HttpClient::Response& response) {
  if (!has_status(response, kOk)) {
    return unavailable(response);
  }
  return decode_or_unavailable<PlatformClient::ListResult>(response, [](const Json& body) {
    std::vector<PlatformObject> objects;
    for (const Json& item : body.at("items")) {
      objects.push_back(decode_object(item));
    }
    return objects;
  });
}

PlatformClient::WriteResult decode_write(const HttpClient::Response& response,
                                         const std::string& key) {
  using Result = PlatformClient::WriteResult;
  if (has_status(response, kConflict)) {
    return decode_or_unavailable<Result>(response, [&key](const Json& body) {
      return VersionConflict{{.key = key,
                              .version = decode_version(body),
                              .value = body.at("value").get<std::string>()}};
    });
  }
  if (!has_status(response, kOk)) {
    return unavailable(response);
  }
  return decode_or_unavailable<Result>(response,
                                       [](const Json& body) { return decode_version(body); });
}

PlatformInstance decode_instance(const Json& item) {
  return {.name = item.at("name").get<std::string>(),
          .role = item.at("role").get<std::string>(),
          .zone = item.at("zone").get<std::string>(),
          .endpoint = {item.at("ip").get<std::string>(),
                       static_cast<std::uint16_t>(decode_unsigned(item, "port", 65535))},
          .leaving = item.at("state").get<std::string>() == "leaving"};
}

PlatformClient::InstancesResult decode_instances(const HttpClient::Response& response) {
  if (!has_status(response, kOk)) {
    return unavailable(response);
  }
  return decode_or_unavailable<PlatformClient::InstancesResult>(response, [](const Json& body) {
    std::vector<PlatformInstance> instances;
    for (const Json& item : body.at("items")) {
      instances.push_back(decode_instance(item));
    }
    return instances;
  });
}

HttpCall make_call(const Endpoint& endpoint, Duration timeout, std::string path) {
  HttpCall call;
  call.endpoint = endpoint;
  call.path = std::move(path);
  call.connect_timeout = timeout;
  call.idle_timeout = timeout;
  return call;
}

}  // namespace

PlatformClient::PlatformClient(HttpClient& client, Endpoint endpoint, Duration timeout)
    : client_(client), endpoint_(std::move(endpoint)), timeout_(timeout) {}

void PlatformClient::read(std::string_view key, std::function<void(ReadResult)> on_result) {
  client_.send(make_call(endpoint_, timeout_, object_path(key)),
               [on_result = std::move(on_result)](const HttpClient::Response& response) {
                 on_result(decode_read(response));
               });
}

void PlatformClient::list(std::string_view prefix, std::function<void(ListResult)> on_result) {
  client_.send(make_call(endpoint_, timeout_, "/objects?prefix=" + percent_encode(prefix)),
               [on_result = std::move(on_result)](const HttpClient::Response& response) {
                 on_result(decode_list(response));
               });
}

void PlatformClient::write(std::string_view key,
                           StoreRevision expected,
                           std::string value,
                           std::function<void(WriteResult)> on_result) {
  HttpCall call = make_call(endpoint_, timeout_,
                            object_path(key) + "?if_version=" + std::to_string(expected.number));
  call.method = "PUT";
  call.body = std::move(value);
  client_.send(std::move(call), [key = std::string(key), on_result = std::move(on_result)](
                                    const HttpClient::Response& response) {
    on_result(decode_write(response, key));
  });
}

void PlatformClient::remove(std::string_view key,
                            StoreRevision expected,
                            std::function<void(WriteResult)> on_result) {
  HttpCall call = make_call(endpoint_, timeout_,
                            object_path(key) + "?if_version=" + std::to_string(expected.number));
  call.method = "DELETE";
  client_.send(std::move(call), [key = std::string(key), on_result = std::move(on_result)](
                                    const HttpClient::Response& response) {
    // The body is not needed, since an object that does not exist has version 0.
    on_result(has_status(response, kOk) ? WriteResult(StoreRevision{0})
                                        : decode_write(response, key));
  });
}

void PlatformClient::watch(std::string_view key,
                           StoreRevision after,
                           Duration wait,
                           std::function<void(ReadResult)> on_result) {
  HttpCall call = make_call(endpoint_, timeout_,
                            object_path(key) + "?watch_after=" + std::to_string(after.number) +
                                "&wait_ms=" + std::to_string(wait.ms));
  call.idle_timeout = wait + kWatchTimeoutMargin;
  client_.send(std::move(call),
               [platform_client = *this, key = std::string(key),
                on_result = std::move(on_result)](const HttpClient::Response& response) mutable {
                 if (has_status(response, kNotModified)) {
                   platform_client.read(key, std::move(on_result));
                   return;
                 }
                 on_result(decode_read(response));
               });
}

void PlatformClient::list_instances(std::function<void(InstancesResult)> on_result) {
  client_.send(make_call(endpoint_, timeout_, "/instances"),
               [on_result = std::move(on_result)](const HttpClient::Response& response) {
                 on_result(decode_instances(response));
               });
}

}  // namespace bluebellstep
