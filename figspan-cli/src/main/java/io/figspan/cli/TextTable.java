package io.figspan.cli;

import java.util.ArrayList;
import java.util.List;

/** Rows of text in aligned columns. */
public final class TextTable {
    private static final String GAP = "  ";

    private final List<List<String>> rows = new ArrayList<>();

    public TextTable(String... header) {
        rows.add(List.of(header));
    }

    /** Adds a row with one cell for each column. */
    public void row(String... cells) {
        rows.add(List.of(cells));
    }

    public void print(Console console) {
        int[] widths = new int[rows.get(0).size()];
        for (List<String> row : rows) {
            for (int i = 0; i < row.size(); i++) {
                widths[i] = Math.max(widths[i], row.get(i).length());
            }
        }
        for (List<String> row : rows) {
            StringBuilder line = new StringBuilder();
            for (int i = 0; i < row.size(); i++) {
                line.append(row.get(i));
                line.append(" ".repeat(widths[i] - row.get(i).length()));
                line.append(GAP);
            }
            console.line(line.toString().stripTrailing());
        }
    }
}
