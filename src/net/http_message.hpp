/// @file
/// HTTP messages as values, independent of the library.
#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace mangospread::net {

/// Header fields in the order received; names compare without case.
class Headers {
 public:
  using Entry = std::pair<std::string, std::string>;

  void Add(std::string name, std::string value) {
    entries_.emplace_back(std::move(name), std::move(value));
  }
  void Reserve(std::size_t count) { entries_.reserve(count); }
  /// First value, or an empty view when there is none.
  [[nodiscard]] std::string_view Get(std::string_view name) const noexcept;
  [[nodiscard]] bool Has(std::string_view name) const noexcept;

  [[nodiscard]] auto begin() const noexcept { return entries_.begin(); }
  [[nodiscard]] auto end() const noexcept { return entries_.end(); }
  [[nodiscard]] std::size_t size() const noexcept { return entries_.size(); }

 private:
  std::vector<Entry> entries_;
};

[[nodiscard]] bool EqualsIgnoreCase(std::string_view a,
                                    std::string_view b) noexcept;

/// True for connection-level fields, which are not passed on.
[[nodiscard]] bool IsHopByHop(std::string_view name) noexcept;

enum class Method : unsigned char {
  kGet,
  kHead,
  kPost,
  kPut,
  kDelete,
  kOptions,
  kPatch,
};

[[nodiscard]] std::string_view MethodName(Method method) noexcept;

struct Request {
  Method method = Method::kGet;
  std::string target;  ///< Path and query.
  Headers headers;
  std::string body;
};

struct Response {
  int status = 0;
  Headers headers;
  std::string body;
};

}  // namespace mangospread::net
