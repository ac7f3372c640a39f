#include "config/csv.hpp"

#include "base/text.hpp"

#include <cstddef>

namespace eelgrassdoor::config {

namespace {

/// The length in bytes of the UTF-8 sequence at \p at, or 0 when it is malformed.
std::size_t utf8_length(std::string_view text, std::size_t at) {
    const auto byte = [&](std::size_t i) { return static_cast<unsigned char>(text[i]); };
    const unsigned char lead = byte(at);
    if (lead < 0x80) {
        return 1;
    }
    const std::size_t length = lead >= 0xf0 ? 4 : lead >= 0xe0 ? 3 : 2;
    if (lead < 0xc2 || lead > 0xf4 || at + length > text.size()) {
        return 0;
    }
    for (std::size_t i = at + 1; i < at + length; ++i) {
        if ((byte(i) & 0xc0) != 0x80) {
            return 0;
        }
    }
    const bool overlong =
        (lead == 0xe0 && byte(at + 1) < 0xa0) || (lead == 0xf0 && byte(at + 1) < 0x90);
    const bool out_of_range =
        (lead == 0xed && byte(at + 1) >= 0xa0) || (lead == 0xf4 && byte(at + 1) >= 0x90);
    return overlong || out_of_range ? 0 : length;
}

/// Reads one record at a time from a CSV text.
class csv_reader {
public:
    explicit csv_reader(std::string_view text) : m_text(text) {}

    [[nodiscard]] bool at_end() const { return m_offset >= m_text.size(); }

    csv_row read_row(std::vector<finding>& findings) {
        csv_row row{m_line, {}};
        do {
            row.cells.push_back(read_cell(findings));
        } while (consume(','));
        consume('\r');
        if (consume('\n')) {
            ++m_line;
        }
        return row;
    }

private:
    bool consume(char c) {
        if (at_end() || m_text[m_offset] != c) {
            return false;
        }
        ++m_offset;
        return true;
    }

    std::string read_cell(std::vector<finding>& findings) {
        return consume('"') ? read_quoted(findings) : read_unquoted();
    }

    std::string read_unquoted() {
        const std::size_t start = m_offset;
        while (!at_end() && m_text[m_offset] != ',' && m_text[m_offset] != '\n' &&
               m_text[m_offset] != '\r') {
            ++m_offset;
        }
        return std::string(strip(m_text.substr(start, m_offset - start)));
    }

    std::string read_quoted(std::vector<finding>& findings) {
        const int first_line = m_line;
        std::string cell;
        while (!at_end()) {
            const char c = m_text[m_offset++];
            if (c == '"' && !consume('"')) {
                return cell;
            }
            m_line += c == '\n' ? 1 : 0;
            cell.push_back(c);
        }
        findings.push_back({str_cat("row ", first_line), "a quoted cell is not closed"});
        return cell;
    }

    std::string_view m_text;
    std::size_t m_offset = 0;
    int m_line = 1;
};

bool is_blank(const csv_row& row) {
    return row.cells.size() == 1 && (row.cells[0].empty() || row.cells[0][0] == '#');
}

} // namespace

bool is_utf8(std::string_view text) {
    for (std::size_t at = 0; at < text.size();) {
        const std::size_t length = utf8_length(text, at);
        if (length == 0) {
            return false;
        }
        at += length;
    }
    return true;
}

parsed_csv parse_csv(std::string_view text) {
    parsed_csv out;
    csv_reader reader(text);
    while (!reader.at_end()) {
        csv_row row = reader.read_row(out.findings);
        if (!is_blank(row) && row.cells[0].substr(0, 1) != "#") {
            out.rows.push_back(std::move(row));
        }
    }
    return out;
}

std::string csv_cell(std::string_view text) {
    if (text.find_first_of(",\"\n\r") == std::string_view::npos) {
        return std::string(text);
    }
    std::string out = "\"";
    for (const char c : text) {
        out.append(c == '"' ? 2 : 1, c);
    }
    return out + "\"";
}

} // namespace eelgrassdoor::config
