#include "CppUTest/CommandLineTestRunner.h"

int main(int argc, char** argv) {
  // Library caches (log4cxx, locale) outlive a test and would be reported as
  // leaks; the sanitizer build looks for leaks instead.
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  return CommandLineTestRunner::RunAllTests(argc, argv);
}
