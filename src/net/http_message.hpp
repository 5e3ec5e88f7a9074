/// @file
/// HTTP messages as values, independent of evhttp.
#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace mangospread::net {

/// Header fields in the order received; names are compared case-insensitively.
class Headers {
 public:
  using Entry = std::pair<std::string, std::string>;

  void Add(std::string name, std::string value) {
    entries_.emplace_back(std::move(name), std::move(value));
  }
  void Reserve(std::size_t count) { entries_.reserve(count); }
  /// Removes the fields for which `predicate` returns true.
  template <typename Predicate>
  void EraseIf(Predicate predicate) {
    std::erase_if(entries_, predicate);
  }
  /// Value of the first field with this name, or an empty view if there is
  /// none.
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

/// True for hop-by-hop fields, which are not forwarded.
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

/// Body of a message. Copies share its bytes, so that a body that is kept for
/// another send, passed to the RPC thread and written to a socket is stored
/// only once.
class Body {
 public:
  Body() = default;
  Body(std::string bytes)  // NOLINT(google-explicit-constructor)
      : bytes_(bytes.empty()
                   ? nullptr
                   : std::make_shared<const std::string>(std::move(bytes))) {}
  Body(const char* text)  // NOLINT(google-explicit-constructor)
      : Body(std::string(text)) {}

  [[nodiscard]] const std::string& str() const noexcept;
  [[nodiscard]] std::string_view view() const noexcept { return str(); }
  [[nodiscard]] std::size_t size() const noexcept { return str().size(); }
  [[nodiscard]] bool empty() const noexcept { return bytes_ == nullptr; }
  /// Null when the body is empty.
  [[nodiscard]] const std::shared_ptr<const std::string>& shared()
      const noexcept {
    return bytes_;
  }
  operator std::string_view() const noexcept {  // NOLINT
    return str();
  }
  bool operator==(std::string_view other) const noexcept {
    return view() == other;
  }

 private:
  std::shared_ptr<const std::string> bytes_;
};

struct Request {
  Method method = Method::kGet;
  std::string target;  ///< Path and query.
  Headers headers;
  Body body;
};

struct Response {
  int status = 0;
  Headers headers;
  Body body;
};

}  // namespace mangospread::net
