// Processes, their signals and their output files.

#include "program.hpp"

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <stdexcept>
#include <thread>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace process_test
{

namespace
{

constexpr std::chrono::milliseconds s_pollPeriod{20};

std::string contents(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

} // namespace

bool waitUntil(const std::function<bool()> &condition, std::chrono::milliseconds limit)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= end) {
            return false;
        }
        std::this_thread::sleep_for(s_pollPeriod);
    }
    return true;
}

TemporaryFolder::TemporaryFolder()
{
    std::string pattern = (std::filesystem::temp_directory_path() / "trefoilstile-test-XXXXXX").string();
    if (mkdtemp(pattern.data()) == nullptr) {
        throw std::runtime_error("cannot make a temporary folder");
    }
    m_path = pattern;
}

TemporaryFolder::~TemporaryFolder()
{
    std::error_code ignored;
    std::filesystem::remove_all(m_path, ignored);
}

std::string TemporaryFolder::file(const std::string &name) const
{
    return m_path + "/" + name;
}

std::string TemporaryFolder::write(const std::string &name, const std::string &contents) const
{
    std::ofstream(file(name), std::ios::binary) << contents;
    return file(name);
}

Program::Program(const TemporaryFolder &folder, const std::string &name, const std::string &path, const std::vector<std::string> &arguments)
    : m_name(name)
    , m_outputFile(folder.file(name + ".out"))
    , m_logFile(folder.file(name + ".log"))
{
    std::vector<std::string> words = arguments;
    words.insert(words.begin(), path);
    std::vector<char *> argv;
    for (std::string &word : words) {
        argv.push_back(word.data());
    }
    argv.push_back(nullptr);
    const int output = open(m_outputFile.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
    const int log = open(m_logFile.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
    const pid_t parent = getpid();
    m_pid = fork();
    if (m_pid == 0) {
        // The kernel ends the program if the test program dies before its destructors run.
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (getppid() == parent && dup2(output, STDOUT_FILENO) >= 0 && dup2(log, STDERR_FILENO) >= 0) {
            execv(path.c_str(), argv.data());
        }
        _exit(127);
    }
    close(output);
    close(log);
    if (m_pid < 0) {
        throw std::runtime_error("cannot start " + path);
    }
}

Program::~Program()
{
    if (!m_status && m_pid > 0) {
        kill(m_pid, SIGKILL);
        reap(0);
    }
}

std::string Program::firstLine()
{
    waitUntil([this] {
        return contents(m_outputFile).find('\n') != std::string::npos || !running();
    });
    const std::string text = contents(m_outputFile);
    if (text.find('\n') == std::string::npos) {
        throw std::runtime_error(m_name + " did not start: " + log());
    }
    return text.substr(0, text.find('\n'));
}

void Program::signal(int number) const
{
    if (!m_status) {
        kill(m_pid, number);
    }
}

std::optional<int> Program::wait(std::chrono::milliseconds limit)
{
    waitUntil(
        [this] {
            return !running();
        },
        limit);
    return m_status;
}

bool Program::running()
{
    if (!m_status) {
        reap(WNOHANG);
    }
    return !m_status;
}

std::string Program::output() const
{
    return contents(m_outputFile);
}

std::string Program::log() const
{
    return contents(m_logFile);
}

void Program::reap(int options)
{
    int status = 0;
    if (waitpid(m_pid, &status, options) == m_pid) {
        m_status = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
    }
}

} // namespace process_test
