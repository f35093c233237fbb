#include "config_tree.hpp"

#include "config_reader.hpp"
#include "text.hpp"

#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/exceptions.h>
#include <yaml-cpp/parser.h>

#include <algorithm>
#include <optional>
#include <sstream>
#include <unordered_map>

namespace arbutusgate {

namespace {

constexpr std::size_t max_issues = 10'000;
// A deployment of the design scale (section 1.5) has about 30,000 nodes. The
// command-line program used at most 48 MB of memory to reject a document with
// more nodes than this limit.
constexpr std::size_t max_nodes = 100'000;

source_position to_position(std::string_view document, const YAML::Mark& mark)
{
    if (mark.is_null())
        return {document, 1, 1};
    return {document, static_cast<std::uint32_t>(mark.line) + 1,
            static_cast<std::uint32_t>(mark.column) + 1};
}

/// Builds the tree of a document from the events of the YAML parser.
class tree_builder : public YAML::EventHandler
{
public:
    tree_builder(std::string_view document, parsed_document& out)
        : document_(document), out_(out)
    {
    }

    void OnDocumentStart(const YAML::Mark&) override {}
    void OnDocumentEnd() override {}

    void OnNull(const YAML::Mark& mark, YAML::anchor_t anchor) override
    {
        add_leaf(node_kind::null, mark, anchor, {}, false);
    }

    void OnAlias(const YAML::Mark& mark, YAML::anchor_t) override
    {
        report_anchor(mark);
        add_leaf(node_kind::null, mark, 0, {}, false);
    }

    void OnScalar(const YAML::Mark& mark, const std::string& tag,
                  YAML::anchor_t anchor, const std::string& value) override
    {
        add_leaf(node_kind::scalar, mark, anchor, value, tag != "?");
    }

    void OnSequenceStart(const YAML::Mark& mark, const std::string&,
                         YAML::anchor_t    anchor,
                         YAML::EmitterStyle::value) override
    {
        open_collection(node_kind::sequence, mark, anchor);
    }

    void OnMapStart(const YAML::Mark& mark, const std::string&,
                    YAML::anchor_t anchor, YAML::EmitterStyle::value) override
    {
        open_collection(node_kind::mapping, mark, anchor);
    }

    void OnSequenceEnd() override { close_collection(); }
    void OnMapEnd() override { close_collection(); }

private:
    struct key_text
    {
        std::string     text;
        source_position position;
    };

    /// A collection whose end has not been parsed yet.
    struct frame
    {
        config_node node;
        /// Key whose value has not been parsed yet.
        std::optional<key_text> key;
        /// Line of each key.
        std::unordered_map<std::string, std::uint32_t> lines;
    };

    void report(const source_position& at, std::string message)
    {
        add_issue(out_.issues, at, std::move(message));
    }

    // With aliases a value would have two positions, and nested aliases can
    // expand a small document without bound.
    void report_anchor(const YAML::Mark& mark)
    {
        report(to_position(document_, mark),
               "anchors and aliases are not supported");
    }

    void add_leaf(node_kind kind, const YAML::Mark& mark, YAML::anchor_t anchor,
                  std::string text, bool quoted)
    {
        if (anchor != 0)
            report_anchor(mark);
        config_node it;
        it.kind     = kind;
        it.text     = std::move(text);
        it.quoted   = quoted;
        it.position = to_position(document_, mark);
        attach(std::move(it));
    }

    void open_collection(node_kind kind, const YAML::Mark& mark,
                         YAML::anchor_t anchor)
    {
        if (anchor != 0)
            report_anchor(mark);
        frame it;
        it.node.kind     = kind;
        it.node.position = to_position(document_, mark);
        stack_.push_back(std::move(it));
    }

    void close_collection()
    {
        config_node it = std::move(stack_.back().node);
        stack_.pop_back();
        attach(std::move(it));
    }

    void attach(config_node it)
    {
        if (++nodes_ > max_nodes && !stack_.empty()) {
            if (nodes_ == max_nodes + 1)
                report(it.position, concat("more than ", max_nodes, " values"));
            return;
        }
        if (stack_.empty()) {
            it.key_position = it.position;
            out_.root       = std::move(it);
            return;
        }
        frame& top = stack_.back();
        if (top.node.kind == node_kind::sequence) {
            it.key          = concat(top.node.children.size());
            it.key_position = it.position;
            top.node.children.push_back(std::move(it));
        }
        else if (!top.key) {
            set_key(top, it);
        }
        else {
            add_entry(top, std::move(it));
        }
    }

    void set_key(frame& top, config_node& it)
    {
        if (it.kind != node_kind::scalar)
            report(it.position, "a key must be a scalar");
        top.key = key_text{std::move(it.text), it.position};
    }

    void add_entry(frame& top, config_node it)
    {
        it.key          = std::move(top.key->text);
        it.key_position = top.key->position;
        // For an empty value the parser gives the position of the next token.
        if (it.kind == node_kind::null)
            it.position = it.key_position;
        top.key.reset();
        auto [found, added] =
            top.lines.try_emplace(it.key, it.key_position.line);
        if (added) {
            top.node.children.push_back(std::move(it));
            return;
        }
        report(it.key_position, concat("duplicate key ", quote_text(it.key),
                                       ", first on line ", found->second));
    }

    std::string_view   document_;
    parsed_document&   out_;
    std::vector<frame> stack_;
    std::size_t        nodes_ = 0;
};

} // namespace

void add_issue(std::vector<config_issue>& issues, const source_position& at,
               std::string message)
{
    if (issues.size() > max_issues)
        return;
    if (issues.size() == max_issues)
        message = concat("more than ", max_issues,
                         " errors; the others are left out");
    issues.push_back(
        {std::string(at.document), at.line, at.column, std::move(message)});
}

const config_node* config_node::find(std::string_view name) const
{
    if (kind != node_kind::mapping)
        return nullptr;
    auto it = std::find_if(
        children.begin(), children.end(),
        [&](const config_node& entry) { return entry.key == name; });
    return it == children.end() ? nullptr : &*it;
}

parsed_document parse_document(std::string_view name, const std::string& text)
{
    parsed_document out;
    out.root.position = out.root.key_position = {name, 1, 1};
    if (text.size() > limits::config_value_size) {
        add_issue(out.issues, {name, 1, 1},
                  concat("document has ", text.size(),
                         " bytes; the configuration service accepts at most ",
                         limits::config_value_size));
        return out;
    }
    // yaml-cpp reports errors only by exceptions.
    try {
        std::istringstream in(text);
        YAML::Parser       parser(in);
        tree_builder       builder(name, out);
        parsed_document    second_document;
        tree_builder       second_builder(name, second_document);
        if (parser.HandleNextDocument(builder) &&
            parser.HandleNextDocument(second_builder))
            add_issue(out.issues, second_document.root.position,
                      "only one YAML document is allowed");
    }
    catch (const YAML::Exception& e) {
        add_issue(out.issues, to_position(name, e.mark), e.msg);
    }
    return out;
}

} // namespace arbutusgate
