#include <dogwoodvalve/invariant.h>

#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TextTestProgressListener.h>
#include <cppunit/extensions/TestFactoryRegistry.h>
#include <cppunit/ui/text/TestRunner.h>

#include <cstdio>
#include <cstdlib>
#include <string>
#include <string_view>

namespace {

/// Under test a failed invariant ends the program, so that it can't go unnoticed.
void abortOnInvariant(std::string_view description)
{
    std::fprintf(stderr, "invariant failed: %s\n", std::string(description).c_str());
    std::abort();
}

} // namespace

int main(int argc, char **argv)
{
    dogwoodvalve::setInvariantHandler(&abortOnInvariant);
    CppUnit::TextUi::TestRunner runner;
    runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
    runner.setOutputter(new CppUnit::CompilerOutputter(&runner.result(), std::cerr));
    return runner.run(argc > 1 ? argv[1] : "", false, true, false) ? EXIT_SUCCESS : EXIT_FAILURE;
}
