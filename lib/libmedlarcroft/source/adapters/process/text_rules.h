#ifndef MEDLARCROFT_ADAPTERS_PROCESS_TEXT_RULES_H_
#define MEDLARCROFT_ADAPTERS_PROCESS_TEXT_RULES_H_

#include "adapters/process/settings_field.h"

/// @file
/// @brief Validation rules of text settings.

namespace medlarcroft::adapters {

[[nodiscard]] bool IsSettingName(std::string_view text);
[[nodiscard]] bool IsAddressText(std::string_view text);
[[nodiscard]] bool IsLoopbackAddressText(std::string_view text);
[[nodiscard]] bool IsHttpUrl(std::string_view text);
[[nodiscard]] bool IsFilePath(std::string_view text);
[[nodiscard]] bool IsSecretText(std::string_view text);
[[nodiscard]] bool IsHexSecret(std::string_view text);

constexpr TextRule kSettingName{
    &IsSettingName, "name: 1 to 128 letters, digits, '.', '_', '-'"};
constexpr TextRule kAddressText{&IsAddressText,
                                "IP:port, for example 10.0.0.1:80"};
/// For listeners without authentication: they must be reachable only from the
/// host itself.
constexpr TextRule kLoopbackAddressText{&IsLoopbackAddressText,
                                        "loopback IP:port, 127.x.x.x or [::1]"};
constexpr TextRule kHttpUrl{&IsHttpUrl, "http://IP:port or https://IP:port"};
constexpr TextRule kFilePath{&IsFilePath, "file path"};
constexpr TextRule kSecretText{&IsSecretText, "8 to 512 printable characters"};
constexpr TextRule kHexSecret{&IsHexSecret,
                              "even number of hexadecimal digits, 32 to 128"};

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_PROCESS_TEXT_RULES_H_
