#include <dogwoodvalve/selector.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <optional>

namespace dogwoodvalve {

void Labels::set(std::string_view name, std::string_view value)
{
    const auto it = std::lower_bound(m_pairs.begin(), m_pairs.end(), name,
                                     [](const Pair &a, std::string_view b) { return a.first < b; });
    if (it != m_pairs.end() && it->first == name)
        it->second = value;
    else
        m_pairs.emplace(it, name, value);
}

const std::string *Labels::find(std::string_view name) const
{
    const auto it = std::lower_bound(m_pairs.begin(), m_pairs.end(), name,
                                     [](const Pair &a, std::string_view b) { return a.first < b; });
    return it != m_pairs.end() && it->first == name ? &it->second : nullptr;
}

namespace {

/// Limits the nesting of a selector, and so the recursion of the parser.
constexpr int MaxDepth = 32;
constexpr std::size_t MaxNodes = 256;

std::optional<double> toNumber(std::string_view text)
{
    double number = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
    if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size())
        return std::nullopt;
    return number;
}

bool isWordCharacter(char c)
{
    return std::isalnum(static_cast<unsigned char>(c)) || c == '_' || c == '-' || c == '.'
        || c == '/' || c == ':';
}

} // namespace

/// Recursive-descent parser of the selector grammar.
class SelectorParser
{
public:
    explicit SelectorParser(std::string_view text)
        : m_text(text)
    { }

    Result<Selector> parse()
    {
        Selector selector;
        selector.m_program.clear();
        m_program = &selector.m_program;
        if (!readOr(0))
            return error();
        skipSpace();
        if (m_position != m_text.size()) {
            fail("unexpected text");
            return error();
        }
        selector.m_text = m_text;
        return selector;
    }

private:
    using Operation = Selector::Operation;
    using Node = Selector::Node;

    Error error() const
    {
        return {ErrorKind::InvalidArgument,
                "selector '" + std::string(m_text) + "': " + m_message + " at column "
                    + std::to_string(m_errorPosition + 1),
                "write for example: accelerator in (a, b) and memory >= 40 and not has spare"};
    }

    bool fail(std::string message)
    {
        if (m_message.empty()) {
            m_message = std::move(message);
            m_errorPosition = m_position;
        }
        return false;
    }

    bool push(Node node)
    {
        if (m_program->size() >= MaxNodes)
            return fail("too many conditions");
        m_program->push_back(std::move(node));
        return true;
    }

    void skipSpace()
    {
        while (m_position < m_text.size()
               && std::isspace(static_cast<unsigned char>(m_text[m_position])))
            ++m_position;
    }

    bool consumeSymbol(std::string_view symbol)
    {
        skipSpace();
        if (m_text.substr(m_position, symbol.size()) != symbol)
            return false;
        m_position += symbol.size();
        return true;
    }

    std::string_view peekWord()
    {
        skipSpace();
        std::size_t end = m_position;
        while (end < m_text.size() && isWordCharacter(m_text[end]))
            ++end;
        return m_text.substr(m_position, end - m_position);
    }

    bool consumeKeyword(std::string_view keyword)
    {
        if (peekWord() != keyword)
            return false;
        m_position += keyword.size();
        return true;
    }

    bool readOr(int depth)
    {
        if (depth > MaxDepth)
            return fail("nested too deeply");
        if (!readAnd(depth))
            return false;
        while (consumeKeyword("or")) {
            if (!readAnd(depth) || !push({Operation::Or, {}, {}, 0}))
                return false;
        }
        return true;
    }

    bool readAnd(int depth)
    {
        if (!readNot(depth))
            return false;
        while (consumeKeyword("and")) {
            if (!readNot(depth) || !push({Operation::And, {}, {}, 0}))
                return false;
        }
        return true;
    }

    bool readNot(int depth)
    {
        if (depth > MaxDepth)
            return fail("nested too deeply");
        if (consumeKeyword("not"))
            return readNot(depth + 1) && push({Operation::Not, {}, {}, 0});
        if (consumeSymbol("(")) {
            if (!readOr(depth + 1))
                return false;
            return consumeSymbol(")") || fail("')' is missing");
        }
        return readCondition();
    }

    bool readCondition()
    {
        if (consumeKeyword("all"))
            return push({Operation::All, {}, {}, 0});
        if (consumeKeyword("has")) {
            std::string name;
            return readName(name) && push({Operation::Has, name, {}, 0});
        }
        std::string name;
        if (!readName(name))
            return false;
        if (consumeKeyword("not"))
            return consumeKeyword("in") ? readSet(Operation::NotIn, name) : fail("'in' is missing");
        if (consumeKeyword("in"))
            return readSet(Operation::In, name);
        return readComparison(name);
    }

    bool readComparison(const std::string &name)
    {
        struct Symbol
        {
            std::string_view text;
            Operation operation;
        };
        static constexpr std::array<Symbol, 7> Symbols {{{"!=", Operation::NotEqual},
                                                         {"<=", Operation::LessOrEqual},
                                                         {">=", Operation::GreaterOrEqual},
                                                         {"==", Operation::Equal},
                                                         {"=", Operation::Equal},
                                                         {"<", Operation::Less},
                                                         {">", Operation::Greater}}};
        for (const Symbol &symbol : Symbols) {
            if (!consumeSymbol(symbol.text))
                continue;
            Node node {symbol.operation, name, {}, 0};
            std::string value;
            if (!readValue(value))
                return false;
            node.values.push_back(value);
            if (symbol.operation != Operation::Equal && symbol.operation != Operation::NotEqual) {
                const std::optional<double> number = toNumber(value);
                if (!number)
                    return fail("this operator needs a number");
                node.number = *number;
            }
            return push(std::move(node));
        }
        return fail("a comparison is missing");
    }

    bool readSet(Operation operation, const std::string &name)
    {
        Node node {operation, name, {}, 0};
        if (!consumeSymbol("("))
            return fail("'(' is missing");
        do {
            std::string value;
            if (!readValue(value))
                return false;
            node.values.push_back(std::move(value));
        } while (consumeSymbol(","));
        if (!consumeSymbol(")"))
            return fail("')' is missing");
        return push(std::move(node));
    }

    bool readName(std::string &name)
    {
        name = peekWord();
        if (name.empty())
            return fail("a label name is missing");
        for (const std::string_view word : {"and", "or", "in", "not", "has", "all"}) {
            if (name == word)
                return fail("a label name is missing");
        }
        m_position += name.size();
        return true;
    }

    bool readValue(std::string &value)
    {
        skipSpace();
        if (m_position < m_text.size()
            && (m_text[m_position] == '\'' || m_text[m_position] == '"')) {
            const std::size_t end = m_text.find(m_text[m_position], m_position + 1);
            if (end == std::string_view::npos)
                return fail("the quote is not closed");
            value = m_text.substr(m_position + 1, end - m_position - 1);
            m_position = end + 1;
            return true;
        }
        value = peekWord();
        if (value.empty())
            return fail("a value is missing");
        m_position += value.size();
        return true;
    }

    std::string_view m_text;
    std::size_t m_position = 0;
    std::size_t m_errorPosition = 0;
    std::string m_message;
    std::vector<Node> *m_program = nullptr;
};

Result<Selector> Selector::parse(std::string_view text)
{
    return SelectorParser(text).parse();
}

bool Selector::evaluate(const Node &node, const Labels &labels)
{
    if (node.operation == Operation::All)
        return true;
    const std::string *value = labels.find(node.name);
    const auto listed = [&] {
        return value
            && std::find(node.values.begin(), node.values.end(), *value) != node.values.end();
    };
    if (node.operation == Operation::Has)
        return value != nullptr;
    if (node.operation == Operation::Equal || node.operation == Operation::In)
        return listed();
    if (node.operation == Operation::NotEqual || node.operation == Operation::NotIn)
        return !listed();
    const std::optional<double> number = value ? toNumber(*value) : std::nullopt;
    if (!number)
        return false;
    switch (node.operation) {
    case Operation::Less:
        return *number < node.number;
    case Operation::LessOrEqual:
        return *number <= node.number;
    case Operation::Greater:
        return *number > node.number;
    default:
        return *number >= node.number;
    }
}

bool Selector::matches(const Labels &labels) const
{
    // Each condition pushes one value and MaxNodes bounds the program, so the stack can't overflow.
    std::array<bool, MaxNodes> stack {};
    std::size_t top = 0;
    for (const Node &node : m_program) {
        switch (node.operation) {
        case Operation::Not:
            stack[top - 1] = !stack[top - 1];
            break;
        case Operation::And:
            --top;
            stack[top - 1] = stack[top - 1] && stack[top];
            break;
        case Operation::Or:
            --top;
            stack[top - 1] = stack[top - 1] || stack[top];
            break;
        default:
            stack[top++] = evaluate(node, labels);
        }
    }
    return stack[0];
}

} // namespace dogwoodvalve
