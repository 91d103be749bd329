#ifndef PACKAGES_STATE_SHARED_TEXT_H_
#define PACKAGES_STATE_SHARED_TEXT_H_

#include <atomic>
#include <compare>
#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/string_view.h"

namespace bramleyrail {

class SharedText;

template <typename T>
concept OtherText = std::convertible_to<const T&, std::string_view> &&
    !std::same_as<T, SharedText>;

// Immutable, reference-counted string of the size of a pointer. Copies share
// one allocation: thousands of tasks contain the same strings, and std::string
// would take more than 250 bytes for each task. Copies may be made and
// destroyed on any thread. Converts to the other string types.
class SharedText {
 public:
  SharedText() = default;
  SharedText(std::string_view text);    // NOLINT
  SharedText(const std::string& text);  // NOLINT
  SharedText(const char* text);         // NOLINT
  SharedText(const SharedText& other) noexcept : block_(other.block_) {
    if (block_ != nullptr) {
      block_->references.fetch_add(1, std::memory_order_relaxed);
    }
  }
  SharedText(SharedText&& other) noexcept
      : block_(std::exchange(other.block_, nullptr)) {}
  SharedText& operator=(SharedText other) noexcept {
    std::swap(block_, other.block_);
    return *this;
  }
  ~SharedText() { Release(); }

  std::string_view View() const {
    return block_ == nullptr ? std::string_view()
                             : std::string_view(Characters(), block_->size);
  }
  bool empty() const { return block_ == nullptr; }
  size_t size() const { return View().size(); }
  const char* data() const { return View().data(); }
  // Null-terminated.
  const char* c_str() const { return block_ == nullptr ? "" : Characters(); }

  operator std::string_view() const { return View(); }          // NOLINT
  operator std::string() const { return std::string(View()); }  // NOLINT
  operator absl::string_view() const {                          // NOLINT
    return {View().data(), View().size()};
  }
  operator absl::AlphaNum() const {  // NOLINT
    return absl::AlphaNum(absl::string_view(View().data(), View().size()));
  }

  friend bool operator==(const SharedText& left, const SharedText& right) {
    return left.block_ == right.block_ || left.View() == right.View();
  }
  friend std::strong_ordering operator<=>(const SharedText& left,
                                          const SharedText& right) {
    return left.block_ == right.block_ ? std::strong_ordering::equal
                                       : left.View() <=> right.View();
  }
  // Templates, because the comparison with a std::string would be ambiguous: it
  // converts to SharedText and SharedText converts to it.
  template <OtherText T>
  friend bool operator==(const SharedText& left, const T& right) {
    return left.View() == std::string_view{right};
  }
  template <OtherText T>
  friend auto operator<=>(const SharedText& left, const T& right) {
    return left.View() <=> std::string_view{right};
  }

 private:
  struct Block {
    std::atomic<uint32_t> references;
    uint32_t size;
  };

  const char* Characters() const {
    return reinterpret_cast<const char*>(block_ + 1);
  }
  void Release();

  Block* block_ = nullptr;
};

}  // namespace bramleyrail

#endif  // PACKAGES_STATE_SHARED_TEXT_H_
