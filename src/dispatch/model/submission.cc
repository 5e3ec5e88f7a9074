#include "dispatch/model/submission.hpp"

#include <array>
#include <charconv>

namespace mangospread::dispatch {
namespace {

constexpr std::array<std::string_view, 5> kStateNames = {
    "queued", "running", "complete", "failed", "cancelled"};

/// Removes the last dot and the number after it from the text. Returns the
/// number, or nullopt if there is none.
std::optional<int> CutNumber(std::string_view& text) {
  const std::size_t dot = text.rfind('.');
  if (dot == std::string_view::npos) return std::nullopt;
  const std::string_view digits = text.substr(dot + 1);
  int value = 0;
  const auto [end, error] =
      std::from_chars(digits.data(), digits.data() + digits.size(), value);
  if (error != std::errc() || end != digits.data() + digits.size() ||
      value < 0) {
    return std::nullopt;
  }
  text = text.substr(0, dot);
  return value;
}

}  // namespace

std::string_view StateName(SubmissionState state) noexcept {
  return kStateNames[static_cast<std::size_t>(state)];
}

std::optional<SubmissionState> ParseState(std::string_view name) noexcept {
  for (std::size_t i = 0; i < kStateNames.size(); ++i) {
    if (kStateNames[i] == name) return static_cast<SubmissionState>(i);
  }
  return std::nullopt;
}

std::string ToString(const TaskName& name) {
  std::string text = name.submission.str();
  for (const int part : {name.occurrence, name.task.step, name.task.index}) {
    text += '.';
    text += std::to_string(part);
  }
  return text;
}

Result<TaskName> ParseTaskName(std::string_view text) {
  std::string_view rest = text;
  const auto index = CutNumber(rest);
  const auto step = CutNumber(rest);
  const auto occurrence = CutNumber(rest);
  if (!index || !step || !occurrence || rest.empty()) {
    return Error{Errc::kMalformed, std::string(text)};
  }
  return TaskName{SubmissionId(std::string(rest)), *occurrence,
                  TaskIndex{*step, *index}};
}

}  // namespace mangospread::dispatch
