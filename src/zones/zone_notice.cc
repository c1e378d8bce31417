// Signs, verifies and serialises zone notices.

#include "zones/zone_notice.h"

#include <nlohmann/json.hpp>

#include "base/ed25519.h"
#include "base/json_text.h"

namespace bluebellstep {
namespace {

constexpr std::string_view kSignatureDomain = "zone notice";
constexpr std::size_t kMaxJsonBytes = 4096;

std::string signed_text(const ZoneNotice& notice) {
  return std::to_string(notice.serial) + (notice.in_service ? " in " : " out ") + notice.zone;
}

}  // namespace

bool sign_zone_notice(ZoneNotice& notice, std::string_view private_key) {
  auto signature = sign(private_key, kSignatureDomain, signed_text(notice));
  if (!signature) {
    return false;
  }
  notice.signature = *std::move(signature);
  return true;
}

bool verify_zone_notice(const OperatorKeys& operators, const ZoneNotice& notice) {
  const auto key = operators.find(notice.signer);
  return key != operators.end() &&
         verify(key->second, kSignatureDomain, signed_text(notice), notice.signature);
}

std::string zone_notice_to_json(const ZoneNotice& notice) {
  const nlohmann::json json = {{"zone", notice.zone},
                               {"state", notice.in_service ? "in" : "out"},
                               {"serial", notice.serial},
                               {"signer", notice.signer},
                               {"signature", notice.signature}};
  return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<ZoneNotice> zone_notice_from_json(std::string_view text) {
  if (text.size() > kMaxJsonBytes) {
    return std::nullopt;
  }
  const auto json = parse_json(text);
  const auto has_text = [&json](const char* key) {
    return json.contains(key) && json[key].is_string();
  };
  if (!json.is_object() || !has_text("zone") || !has_text("state") || !has_text("signer") ||
      !has_text("signature") || !json.contains("serial") || !json["serial"].is_number_unsigned() ||
      (json["state"] != "in" && json["state"] != "out")) {
    return std::nullopt;
  }
  return ZoneNotice{json["zone"], json["state"] == "in", json["serial"], json["signer"],
                    json["signature"]};
}

}  // namespace bluebellstep
