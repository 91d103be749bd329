#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "CppUTest/CommandLineTestRunner.h"
#include "CppUTest/TestRegistry.h"

namespace {

constexpr std::string_view kPassOver = "--pass-over=";

// Takes the test GROUP.NAME out of the registry. CppUTest itself can exclude
// one name only. Returns false when there is no such test.
bool PassOver(std::string_view name) {
  TestRegistry* registry = TestRegistry::getCurrentRegistry();
  UtestShell* previous = nullptr;
  for (UtestShell* test = registry->getFirstTest(); test != nullptr;
       test = test->getNext()) {
    const std::string full_name = std::string(test->getGroup().asCharString()) +
                                  "." + test->getName().asCharString();
    if (full_name != name) {
      previous = test;
      continue;
    }
    if (previous == nullptr) {
      registry->unDoLastAddTest();
    } else {
      previous->addTest(test->getNext());
    }
    return true;
  }
  return false;
}

}  // namespace

// Takes the options of CppUTest, and --pass-over=GROUP.NAME for each test that
// is not run.
int main(int argc, char** argv) {
  // Library caches (log4cxx, locale) outlive a test and would be reported as
  // leaks; the sanitizer build looks for leaks instead.
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  std::vector<char*> others;
  for (char* argument : std::span(argv, static_cast<size_t>(argc))) {
    const std::string_view text = argument;
    if (!text.starts_with(kPassOver)) {
      others.push_back(argument);
    } else if (!PassOver(text.substr(kPassOver.size()))) {
      return 2;
    }
  }
  return CommandLineTestRunner::RunAllTests(static_cast<int>(others.size()),
                                            others.data());
}
