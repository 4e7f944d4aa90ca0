#pragma once

#include <dogwoodvalve/labels.h>
#include <dogwoodvalve/result.h>

#include <string>
#include <string_view>
#include <vector>

namespace dogwoodvalve {

/// A condition on labels, compiled once and evaluated without allocation.
///
/// The grammar, loosest binding first:
///
///     A or B          A and B          not A          (A)
///     name = value    name != value    name in (a, b)    name not in (a, b)
///     has name        name < 10        name <= 10        name > 10        name >= 10
///     all
///
/// A comparison with an absent label is false, except for != and "not in", which are true.
/// <, <=, > and >= compare numbers and are false for a label that is not a number. Values may be
/// quoted with ' or ".
class Selector
{
public:
    /// A selector that matches everything.
    Selector() = default;

    /// Compiles a selector. Fails with InvalidArgument and the column where parsing stopped.
    static Result<Selector> parse(std::string_view text);

    bool matches(const Labels &labels) const;

    /// The text that was compiled.
    const std::string &text() const { return m_text; }
    bool operator==(const Selector &other) const { return m_text == other.m_text; }

private:
    friend class SelectorParser;

    enum class Operation {
        All,
        Has,
        Equal,
        NotEqual,
        In,
        NotIn,
        Less,
        LessOrEqual,
        Greater,
        GreaterOrEqual,
        Not,
        And,
        Or,
    };

    /// One step of the program, in postfix order.
    struct Node
    {
        Operation operation = Operation::All;
        std::string name;
        std::vector<std::string> values;
        double number = 0;
    };

    static bool evaluate(const Node &node, const Labels &labels);

    std::string m_text = "all";
    std::vector<Node> m_program {Node {}};
};

} // namespace dogwoodvalve
