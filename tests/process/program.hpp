// A program under test: started with fork and exec, ended by its process id.
#pragma once

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace process_test
{

/// Limit after which a condition is taken to be never met; far above any duration that the programs should need.
constexpr std::chrono::seconds s_hangLimit{60};

/// Polls until the condition holds; false if it still does not after the limit.
bool waitUntil(const std::function<bool()> &condition, std::chrono::milliseconds limit = s_hangLimit);

/// New folder for the files of one test, removed with its contents at the end.
class TemporaryFolder
{
public:
    TemporaryFolder();
    ~TemporaryFolder();
    TemporaryFolder(const TemporaryFolder &) = delete;
    TemporaryFolder &operator=(const TemporaryFolder &) = delete;

    std::string file(const std::string &name) const;

    /// Writes the file and returns its path.
    std::string write(const std::string &name, const std::string &contents) const;

private:
    std::string m_path;
};

/// One running program. Its output goes to two files; the destructor kills it if it still runs.
class Program
{
public:
    /// `name` is unique within the folder.
    Program(const TemporaryFolder &folder, const std::string &name, const std::string &path, const std::vector<std::string> &arguments);
    ~Program();
    Program(const Program &) = delete;
    Program &operator=(const Program &) = delete;

    /// First line of standard output, waited for. Throws std::runtime_error with the log if the program ends without one.
    std::string firstLine();

    void signal(int number) const;

    /// Waits for the end; exit status, 128 + the signal that ended it, or nothing if it still runs after the limit.
    std::optional<int> wait(std::chrono::milliseconds limit = s_hangLimit);

    bool running();

    /// Process id; valid until the end of the program has been waited for.
    pid_t pid() const
    {
        return m_pid;
    }

    std::string output() const;

    /// What the program wrote to standard error.
    std::string log() const;

private:
    void reap(int options);

    std::string m_name;
    std::string m_outputFile;
    std::string m_logFile;
    pid_t m_pid = -1;
    std::optional<int> m_status; // set once the process has been reaped; its id is not used after that
};

} // namespace process_test
