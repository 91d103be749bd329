#include "packages/state/shared_text.h"

#include <cstring>
#include <new>

namespace bramleyrail {

SharedText::SharedText(std::string_view text) {
  if (text.empty()) {
    return;
  }
  void* memory = ::operator new(sizeof(Block) + text.size() + 1);
  block_ = new (memory) Block{1, static_cast<uint32_t>(text.size())};
  char* characters = reinterpret_cast<char*>(block_ + 1);
  std::memcpy(characters, text.data(), text.size());
  characters[text.size()] = '\0';
}

SharedText::SharedText(const std::string& text)
    : SharedText(std::string_view{text}) {}

SharedText::SharedText(const char* text) : SharedText(std::string_view{text}) {}

void SharedText::Release() {
  if (block_ != nullptr &&
      block_->references.fetch_sub(1, std::memory_order_acq_rel) == 1) {
    block_->~Block();
    ::operator delete(block_);
  }
  block_ = nullptr;
}

}  // namespace bramleyrail
