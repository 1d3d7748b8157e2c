// Runs the pimentomoor binary as a process, while servers on the event loop of the test answer its requests.
#pragma once

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <string>
#include <vector>

#include "pimentomoor/event_loop.h"

namespace pimentomoor {

struct CommandResult {
  int exit_code = -1;  // -1 when the process was ended by a signal
  std::string output;  // standard output and standard error
};

/// Path of the binary under test, which the build puts beside the test runner.
inline const std::string& BinaryPath() {
  static const std::string path = std::filesystem::read_symlink("/proc/self/exe").replace_filename("pimentomoor");
  return path;
}

/// Starts the binary with `arguments`. Standard output and standard error go to the file `output_path`.
inline pid_t StartCommand(std::vector<std::string> arguments, const std::string& output_path) {
  arguments.insert(arguments.begin(), BinaryPath());
  std::vector<char*> argv;
  argv.reserve(arguments.size() + 1);
  for (std::string& argument : arguments) {
    argv.push_back(argument.data());
  }
  argv.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, 1, output_path.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
  posix_spawn_file_actions_adddup2(&actions, 1, 2);
  pid_t pid = 0;
  const int error = posix_spawn(&pid, BinaryPath().c_str(), &actions, nullptr, argv.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) {
    throw std::runtime_error("start " + BinaryPath() + ": error " + std::to_string(error));
  }
  return pid;
}

/// Runs the loop until the process has ended, and kills the process after 20 s. Reads and removes the file
/// `output_path`.
inline CommandResult WaitForCommand(EventLoop& loop, pid_t pid, const std::string& output_path) {
  int status = 0;
  if (!loop.RunUntil([&] { return waitpid(pid, &status, WNOHANG) == pid; }, std::chrono::seconds(20))) {
    kill(pid, SIGKILL);
    waitpid(pid, &status, 0);
  }
  std::ostringstream text;
  text << std::ifstream(output_path).rdbuf();
  unlink(output_path.c_str());
  return {.exit_code = WIFEXITED(status) ? WEXITSTATUS(status) : -1, .output = text.str()};
}

}  // namespace pimentomoor
