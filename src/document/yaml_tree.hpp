// Tree of a YAML or JSON text with line numbers. It takes the place of YAML::Node, which drops duplicate fields on
// access, follows aliases and needs several hundred bytes for each scalar.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "trefoilstile/document/parse.hpp"

namespace trefoilstile::document
{

enum class YamlKind : unsigned char { Null, Scalar, Sequence, Map };

/// One node of the tree. `keys[i]` names `children[i]` in maps; sequences have no keys.
struct YamlNode {
    YamlKind kind = YamlKind::Null;
    int line{}; ///< 1 is the first line
    std::string scalar;
    std::vector<YamlNode> children;
    std::vector<std::string> keys;
};

/// Reads exactly one YAML document.
/// @throws DocumentError if the text is malformed, too long, nested too deeply, or uses anchors, aliases or other keys
///         than plain ones: an alias could make a short text stand for a huge document.
YamlNode parseYaml(std::string_view text);

} // namespace trefoilstile::document
