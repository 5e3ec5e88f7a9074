#include "integration/harness/checks/command.hpp"

#include <boost/process.hpp>
#include <future>
#include <iterator>

#include "integration/harness/process.hpp"

namespace mangospread::testing {

CommandResult RunCommand(const std::vector<std::string>& arguments) {
  namespace bp = boost::process;
  bp::ipstream output;
  bp::ipstream errors;
  bp::child child(NodeProgram(), bp::args(arguments),
                  bp::std_in<bp::null, bp::std_out> output,
                  bp::std_err > errors);
  const auto read = [](bp::ipstream& stream) {
    return std::string(std::istreambuf_iterator<char>(stream), {});
  };
  // Both pipes are read concurrently. If one were read to its end first, a
  // command that fills the other would block and never close the first.
  auto output_reader = std::async(std::launch::async, read, std::ref(output));
  CommandResult result;
  result.errors = read(errors);
  result.output = output_reader.get();
  child.wait();
  result.status = child.exit_code();
  return result;
}

}  // namespace mangospread::testing
