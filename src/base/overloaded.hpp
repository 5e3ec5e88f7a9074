/// @file
/// Visits a variant with one callable for each alternative.
#pragma once

namespace mangospread::base {

/// Overload set of several callables.
///
/// @code
/// std::visit(base::Overloaded{[](int i) {}, [](const Text& t) {}}, value);
/// @endcode
template <typename... Handlers>
struct Overloaded : Handlers... {
  using Handlers::operator()...;
};
template <typename... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

}  // namespace mangospread::base
