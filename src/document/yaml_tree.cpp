// Builds the tree from the events of yaml-cpp's parser.

#include "yaml_tree.hpp"

#include <istream>
#include <streambuf>

#include <fmt/format.h>
#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/exceptions.h>
#include <yaml-cpp/parser.h>

namespace trefoilstile::document
{

namespace
{

constexpr std::size_t s_maximumDepth = 16; // the document's own fields need 7

/// Read-only stream over a view, so that the text is not copied.
class ViewBuffer : public std::streambuf
{
public:
    explicit ViewBuffer(std::string_view text)
    {
        char *begin = const_cast<char *>(text.data()); // never written: the buffer is used for reading only
        setg(begin, begin, begin + text.size());
    }
};

[[noreturn]] void fail(const YAML::Mark &mark, std::string message)
{
    throw DocumentError({Fault{"", mark.line + 1, std::move(message)}});
}

class TreeBuilder : public YAML::EventHandler
{
public:
    YamlNode takeRoot()
    {
        return std::move(m_root);
    }

    void OnDocumentStart(const YAML::Mark &) override
    {
    }

    void OnDocumentEnd() override
    {
    }

    void OnNull(const YAML::Mark &mark, YAML::anchor_t anchor) override
    {
        rejectAnchor(mark, anchor);
        add(mark, YamlKind::Null, {});
    }

    void OnAlias(const YAML::Mark &mark, YAML::anchor_t) override
    {
        fail(mark, "aliases are not allowed");
    }

    void OnScalar(const YAML::Mark &mark, const std::string &, YAML::anchor_t anchor, const std::string &value) override
    {
        rejectAnchor(mark, anchor);
        if (!m_open.empty() && m_open.back()->kind == YamlKind::Map && !m_haveKey) {
            m_open.back()->keys.push_back(value);
            m_haveKey = true;
            return;
        }
        add(mark, YamlKind::Scalar, value);
    }

    void OnSequenceStart(const YAML::Mark &mark, const std::string &, YAML::anchor_t anchor, YAML::EmitterStyle::value) override
    {
        rejectAnchor(mark, anchor);
        open(mark, YamlKind::Sequence);
    }

    void OnSequenceEnd() override
    {
        close();
    }

    void OnMapStart(const YAML::Mark &mark, const std::string &, YAML::anchor_t anchor, YAML::EmitterStyle::value) override
    {
        rejectAnchor(mark, anchor);
        open(mark, YamlKind::Map);
    }

    void OnMapEnd() override
    {
        close();
    }

private:
    static void rejectAnchor(const YAML::Mark &mark, YAML::anchor_t anchor)
    {
        if (anchor != 0) {
            fail(mark, "anchors are not allowed");
        }
    }

    YamlNode &add(const YAML::Mark &mark, YamlKind kind, std::string_view scalar)
    {
        if (!m_open.empty() && m_open.back()->kind == YamlKind::Map && !m_haveKey) {
            fail(mark, "a field name must be plain text");
        }
        m_haveKey = false;
        YamlNode &node = m_open.empty() ? m_root : m_open.back()->children.emplace_back();
        node.kind = kind;
        node.line = mark.line + 1;
        node.scalar = scalar;
        return node;
    }

    void open(const YAML::Mark &mark, YamlKind kind)
    {
        if (m_open.size() >= s_maximumDepth) {
            fail(mark, fmt::format("nested more than {} levels deep", s_maximumDepth));
        }
        m_open.push_back(&add(mark, kind, {}));
    }

    void close()
    {
        m_open.pop_back();
        m_haveKey = false;
    }

    YamlNode m_root;
    // Nodes that are not closed yet, outermost first. Only the last one gets children, so no pointer dangles when a
    // vector of children grows.
    std::vector<YamlNode *> m_open;
    bool m_haveKey = false; // the innermost open map has a key without value
};

} // namespace

YamlNode parseYaml(std::string_view text)
{
    if (text.size() > s_maximumDocumentBytes) {
        throw DocumentError({Fault{"", 0, fmt::format("the document has {} bytes, at most {} are allowed", text.size(), s_maximumDocumentBytes)}});
    }
    ViewBuffer buffer(text);
    std::istream stream(&buffer);
    TreeBuilder builder;
    try {
        YAML::Parser parser(stream);
        if (!parser.HandleNextDocument(builder)) {
            throw DocumentError({Fault{"", 1, "the document is empty"}});
        }
        YamlNode root = builder.takeRoot();
        TreeBuilder second;
        if (parser.HandleNextDocument(second)) {
            throw DocumentError({Fault{"", 0, "the text holds more than one document"}});
        }
        return root;
    } catch (const YAML::Exception &error) {
        throw DocumentError({Fault{"", error.mark.line + 1, "malformed text: " + error.msg}});
    }
}

} // namespace trefoilstile::document
