#include "dispatch/leader/done_tasks.hpp"

#include <algorithm>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string_view>

namespace mangospread::dispatch {
namespace {

using nlohmann::json;

constexpr std::string_view kDigits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
constexpr int kBitsPerDigit = 6;
constexpr std::int64_t kMaxCount = INT32_MAX;

std::string EncodeRanges(const std::vector<DoneTasks>& done) {
  std::string text;
  for (std::size_t i = 0; i < done.size();) {
    const int position = done[i].position;
    int end = position;
    // Ranges of successive steps are joined.
    for (; i < done.size() && done[i].position == end; ++i) {
      end += done[i].count;
    }
    text +=
        std::to_string(position) + "," + std::to_string(end - position) + ",";
  }
  if (!text.empty()) text.pop_back();
  return text;
}

std::string EncodeBits(const std::vector<DoneTasks>& done) {
  const int tasks = done.empty() ? 0 : done.back().position + done.back().count;
  std::vector<unsigned char> values(
      static_cast<std::size_t>((tasks + kBitsPerDigit - 1) / kBitsPerDigit));
  for (const DoneTasks& range : done) {
    for (int t = range.position; t < range.position + range.count; ++t) {
      values[static_cast<std::size_t>(t / kBitsPerDigit)] |=
          static_cast<unsigned char>(1U << (t % kBitsPerDigit));
    }
  }
  std::string text;
  text.reserve(values.size());
  for (const unsigned char value : values) text.push_back(kDigits[value]);
  return text;
}

bool DecodeRanges(const json& numbers, std::vector<DoneTasks>& done) {
  if (!numbers.is_array() || numbers.size() % 2 != 0) return false;
  for (std::size_t i = 0; i < numbers.size(); i += 2) {
    if (!numbers[i].is_number_unsigned() ||
        !numbers[i + 1].is_number_unsigned()) {
      return false;
    }
    const auto position = numbers[i].get<std::uint64_t>();
    const auto count = numbers[i + 1].get<std::uint64_t>();
    if (position > kMaxCount || count > kMaxCount - position) return false;
    done.push_back(
        {static_cast<int>(position), static_cast<int>(count), TaskIndex()});
  }
  return true;
}

bool DecodeBits(const json& text, std::vector<DoneTasks>& done) {
  if (!text.is_string()) return false;
  int position = 0;
  for (const char digit : text.get_ref<const std::string&>()) {
    const std::size_t value = kDigits.find(digit);
    if (value == std::string_view::npos) return false;
    for (int bit = 0; bit < kBitsPerDigit; ++bit, ++position) {
      if ((value >> static_cast<unsigned>(bit) & 1U) == 0) continue;
      if (!done.empty() &&
          done.back().position + done.back().count == position) {
        ++done.back().count;
      } else {
        done.push_back({position, 1, TaskIndex()});
      }
    }
  }
  return true;
}

std::string ListedTask(const TaskIndex& task) {
  return "[" + std::to_string(task.step) + "," + std::to_string(task.index) +
         ",true,0,[],\"\"],";
}

}  // namespace

std::string EncodeDone(const std::vector<DoneTasks>& done) {
  const std::string ranges = EncodeRanges(done);
  const int tasks = done.empty() ? 0 : done.back().position + done.back().count;
  const std::size_t bits_size =
      static_cast<std::size_t>(tasks) / kBitsPerDigit + 1;
  if (ranges.size() <= bits_size) return "\"done\":[" + ranges + "]";
  return "\"done_bits\":\"" + EncodeBits(done) + "\"";
}

std::size_t MaxDoneBytes(const Submission& submission) {
  constexpr std::size_t kFieldBytes = 16;  // Name of the field and quotes.
  std::size_t tasks = 0;
  for (const StepSpec& step : submission.steps) {
    tasks += static_cast<std::size_t>(step.count);
  }
  tasks *= static_cast<std::size_t>(std::max(submission.occurrences, 1));
  return tasks / kBitsPerDigit + 1 + kFieldBytes;
}

bool DecodeDone(const json& object, std::vector<DoneTasks>& done) {
  const auto ranges = object.find("done");
  if (ranges != object.end()) return DecodeRanges(*ranges, done);
  const auto bits = object.find("done_bits");
  return bits == object.end() || DecodeBits(*bits, done);
}

bool CanListDone(const std::vector<DoneTasks>& done, std::size_t max_bytes) {
  std::size_t bytes = 0;
  for (const DoneTasks& range : done) {
    const TaskIndex last{range.first.step, range.first.index + range.count - 1};
    bytes += ListedTask(last).size() * static_cast<std::size_t>(range.count);
    if (bytes > max_bytes) return false;
  }
  return true;
}

std::string ListDone(const std::vector<DoneTasks>& done) {
  std::string text;
  for (const DoneTasks& range : done) {
    for (int i = 0; i < range.count; ++i) {
      text += ListedTask({range.first.step, range.first.index + i});
    }
  }
  return text;
}

}  // namespace mangospread::dispatch
