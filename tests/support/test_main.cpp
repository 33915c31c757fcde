#include <cppunit/extensions/TestFactoryRegistry.h>
#include <cppunit/ui/text/TestRunner.h>

#include <iostream>

// Runs the fixtures of the named registries. An empty registry is an error, so
// that a misspelled name does not pass.
int main(int argc, char** argv)
{
    CppUnit::TextUi::TestRunner runner;
    for (int i = 1; i < argc; ++i)
    {
        CppUnit::Test* suite =
            CppUnit::TestFactoryRegistry::getRegistry(argv[i]).makeTest();
        if (suite->countTestCases() == 0)
        {
            std::cerr << "no tests are registered under " << argv[i] << '\n';
            return 2;
        }
        runner.addTest(suite);
    }
    return runner.run() ? 0 : 1;
}
